"""The state that all parts of a router share: settings, time of the current event, servers and actions.

Times are ms of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .events import Action, Settings
from .slow_start import ColdBudgets
from .store_list import StoreList

#: With more directors in a zone than this, the requests of a client for the parts of an object are spread so
#: widely that each director receives only a few of the parts.
PASS_SEEN_BY_DIRECTORS = 2

SWEEP_TOKEN = "sweep"
LIST_TOKEN = "list"
#: The token of a request's timer consists of one of these, a colon and the number of the request.
DEADLINE_TIMER, HEDGE_TIMER, RETRY_TIMER = "d", "h", "r"


def directors_in_zone(settings: Settings) -> int:
    """The number of directors in the zone of this one; 1 if the settings do not give it."""
    by_zone = dict(zip(settings.zones, settings.seats_by_zone, strict=False))
    return by_zone.get(settings.zone, 1)


@dataclass(slots=True)
class RoutingContext:
    """The state passed to each part of a router. The router sets `now_ms` and `actions` for each event."""

    settings: Settings
    store_list: StoreList
    cold: ColdBudgets
    directors_in_zone: int
    now_ms: float = 0.0
    actions: list[Action] = field(default_factory=list)
    #: Whether a single director receives too few requests for an object to learn from them alone.
    is_scattered: bool = False

    def __post_init__(self) -> None:
        self.is_scattered = self.directors_in_zone > PASS_SEEN_BY_DIRECTORS

    def emit(self, action: Action) -> None:
        """Adds an action to the result of the current event."""
        self.actions.append(action)
