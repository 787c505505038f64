"""The state that all parts of a router share: settings, the time of the current event, servers, actions.

Times are ms of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .events import Action, Settings
from .slow_start import ColdBudgets
from .store_list import StoreList

#: More directors than these in a zone scatter a client's pass over an object's parts, so that each director
#: sees only a few of the parts.
PASS_SEEN_BY_DIRECTORS = 2

SWEEP_TOKEN = "sweep"
LIST_TOKEN = "list"
#: Tokens of a request's timers are one of these, a colon and the request's number.
DEADLINE_TIMER, HEDGE_TIMER, RETRY_TIMER = "d", "h", "r"


def directors_in_zone(settings: Settings) -> int:
    """How many directors share this one's zone; 1 where the deployment does not say."""
    by_zone = dict(zip(settings.zones, settings.seats_by_zone, strict=False))
    return by_zone.get(settings.zone, 1)


@dataclass(slots=True)
class RoutingContext:
    """What each part of a router is handed. The router sets `now_ms` and `actions` for each event."""

    settings: Settings
    store_list: StoreList
    cold: ColdBudgets
    directors_in_zone: int
    now_ms: float = 0.0
    actions: list[Action] = field(default_factory=list)
    #: Whether one director sees too few requests of an object to learn from them alone.
    is_scattered: bool = False

    def __post_init__(self) -> None:
        self.is_scattered = self.directors_in_zone > PASS_SEEN_BY_DIRECTORS

    def emit(self, action: Action) -> None:
        """Adds an action to the answer to the current event."""
        self.actions.append(action)
