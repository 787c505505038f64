"""What recovery asks of the fleet's purges, as protocols: `recovery` imports nothing of `purges`."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class Subscription(Protocol):
    """The subscription to one purge log server."""

    caught_up_ms: float
    """When all purges that the server announced at the start were known, ms; 0 before that."""


class RefetchBudget(Protocol):
    """The budget for refetching copies that purges made void."""

    @property
    def is_active(self) -> bool:
        """Whether the operator's file limits refetches."""

    def is_idle(self, now_ms: float) -> bool:
        """Whether it has denied no refetch for a second."""


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
        """Whether some server was heard from lately and has sent all that it knows."""

    def lines(self) -> list[tuple[str, int]]:
        """Names and values for the admin endpoint's metrics."""
