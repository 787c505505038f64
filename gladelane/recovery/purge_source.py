"""Protocols for what recovery needs to know about the fleet's purges, so that it does not import `purges`."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class Subscription(Protocol):
    """The subscription to one purge log server."""

    caught_up_ms: float
    """When all purges that the server announced at the start were received, in ms; 0 before that."""


class RefetchBudget(Protocol):
    """The budget for refetching copies that purges made invalid."""

    @property
    def is_active(self) -> bool:
        """Whether the operator's file limits refetches."""

    def is_idle(self, now_ms: float) -> bool:
        """Whether no refetch has been denied for a second."""


class PurgeSource(Protocol):
    """A director's view of the fleet's purges."""

    @property
    def subscribers(self) -> Sequence[Subscription]:
        """One subscription for each purge log server."""

    @property
    def refetch_budget(self) -> RefetchBudget:
        """The budget for refetches."""

    @property
    def follows(self) -> bool:
        """Whether some server was heard from lately and has sent all of its purges."""

    def lines(self) -> list[tuple[str, int]]:
        """Names and values for the admin endpoint's metrics."""
