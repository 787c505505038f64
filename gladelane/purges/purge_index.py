"""The interface by which routing decisions ask how old a copy may be after purges."""

from __future__ import annotations

from typing import Protocol


class PurgeIndex(Protocol):
    """The newest moment that any active purge sets. Objects count from 0 here; times are Unix ms."""

    def add_one(self, object_: int, group: int, at: float, until: float) -> None:
        """Copies from before `at` are out of date up to `until`: of one object, or below 0 of a group."""

    def newest(self, cls: str, group: int, object_: int, part: int, now: float) -> float:
        """The newest moment such that no copy dated before it may be served, 0: none."""

    def newest_by_age(self, cls: str, group: int, object_: int, part: int, now: float) -> float:
        """The newest moment of our own clock such that no copy that was there then may be served, 0: none.
        Not before `newest`: later where the clock of a purge's issuer is behind ours."""

    def expire(self, now: float) -> int:
        """Forgets some of the purges that have ended. Returns how many."""
