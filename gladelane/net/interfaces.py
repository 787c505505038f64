"""Protocols: what the director is connected to, and what its parts share."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..admin.maintenance import MaintenanceRegister
from ..endpoints.address import Address
from ..endpoints.plan import Endpoints
from ..routing.events import Event, Settings
from ..routing.idempotency import KeyWindows
from ..routing.router import Router
from ..timer_wheel import TimerWheel
from .attempt_outcomes import AttemptOutcome
from .exchange import Attempt


class Sender(Protocol):
    """The connections to servers, as the director uses them."""

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt, or ends it if that is not possible."""

    def abandon(self, attempt: Attempt, end: AttemptOutcome) -> None:
        """Cancels an attempt at its server."""

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Keeps an attempt from being sent if that has not happened yet."""

    def drop_server(self, store: str) -> None:
        """A server left, moved or restarted: nothing new goes to its connections."""

    def remove_address(self, store: str, address: Address) -> None:
        """A server no longer has this address."""


class Guard(Protocol):
    """Limits from purges of control servers, known or possibly missed."""

    def max_copy_age_ms(self, cls: str) -> float:
        """The age that copies of a class may have; `inf`: any."""

    def admits(self, cls: str, part: tuple[int, int], worth: float) -> float:
        """0 if a request for (object, part) is admitted; otherwise its Retry-After in ms."""

    def answered(self, cls: str, part: tuple[int, int], dated_ms: float, in_time: bool) -> None:
        """An attempt for (object, part) ended; `dated_ms` is the date of the copy, 0: there is none."""

    def listed(self, runs: Mapping[str, tuple[str, float]]) -> None:
        """The servers in the endpoint list: kind and start time by name."""


class Audit(Protocol):
    """Whether this director's view of the fleet permits it to act, and the record of its actions."""

    def retry_after_ms(self, cls: str) -> float:
        """0 if a request of this class is admitted; otherwise its Retry-After in ms."""

    def may_send(self, cls: str) -> bool:
        """Whether an attempt may be sent now."""

    def may_answer(self, cls: str) -> bool:
        """Whether a response may be forwarded now."""

    def record_attempt(self, cls: str) -> int:
        """Records an attempt and returns the number of its activity interval."""

    def record_answer(self, cls: str, number: int) -> None:
        """Records an answer to an attempt of the activity interval `number`."""

    def refresh_view(self) -> None:
        """The endpoint list, purges or settings have changed."""


class KeyObserver(Protocol):
    """Is notified of attempts with an idempotency key. Times are ms of the director's clock."""

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        """An attempt is about to be written."""

    def never_ran(self, key: str, at_ms: float, store: str) -> None:
        """That attempt is proven not to have run."""


class DirectorContext(Protocol):
    """What the director's parts share. Settings, router and sender may be replaced at any time; the guard,
    the audit and the key observer are present only where the deployment has them."""

    settings: Settings
    router: Router
    sender: Sender
    clock: Callable[[], float]
    timers: TimerWheel
    endpoints: Endpoints
    keys: KeyWindows
    register: MaintenanceRegister
    rev: int  # of the latest watch event that was applied
    guard: Guard | None
    audit: Audit | None
    key_observer: KeyObserver | None

    def post(self, event: Event) -> None:
        """Passes an event to the router and acts on its decisions."""
