"""The interface by which routing decisions look up how old a copy may be after purges."""

from __future__ import annotations

from typing import Protocol


class PurgeIndex(Protocol):
    """Finds the newest active purge of a request. Objects are numbered from 0; times are in Unix ms."""

    def add_object_or_group(self, object_: int, group: int, at_ms: float, until_ms: float) -> None:
        """Makes copies from before `at_ms` out of date until `until_ms`: those of one object, or those of a
        group if `object_` is negative."""

    def newest_purge_ms(self, cls: str, group: int, object_: int, part: int, now_ms: float) -> float:
        """Returns the time before which no copy of a part may be dated; 0.0 if there is no limit."""

    def newest_purge_by_age_ms(self, cls: str, group: int, object_: int, part: int, now_ms: float) -> float:
        """Returns the local time such that no copy that existed then may be served; 0.0 if there is no limit.
        It is never before `newest_purge_ms`, and later than it if the issuer's clock is behind the local
        one."""

    def expire(self, now_ms: float) -> int:
        """Removes some of the expired purges. Returns how many."""
