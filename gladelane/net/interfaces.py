"""Protocols of what the director is connected to, and of what its parts share."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ..admin.maintenance import MaintenanceRegister
from ..endpoints.address import Address
from ..endpoints.plan import Endpoints
from ..purges.answer_limits import AnswerLimits
from ..routing.events import Event, Settings
from ..routing.idempotency import KeyWindows
from ..routing.router import Router
from ..timer_wheel import TimerWheel
from .attempt_outcomes import AttemptOutcome
from .exchange import Attempt


class Sender(Protocol):
    """The part of the connections to servers that the director uses."""

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt, or ends it if that is not possible."""

    def abandon(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Cancels an attempt at its server."""

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Keeps an attempt from being sent if it has not been sent yet."""

    def drop_server(self, store: str) -> None:
        """Sends no new attempts on the connections to a server that left, moved, restarted or drains."""

    def remove_address(self, store: str, address: Address) -> None:
        """Stops using an address that a server no longer has."""


class Guard(Protocol):
    """Limits that follow from the purges of control servers, including purges that may have been missed."""

    def max_copy_age_ms(self, cls: str) -> float:
        """The maximum age of copies of a class; `inf` means any age."""

    def answer_limits(self, cls: str, group: int, object_: int, part: int, written_ms: float) -> AnswerLimits:
        """The limits on a copy that answers now. `written_ms` is when the request for it was written; objects
        are numbered from 0."""

    def superseded(self) -> None:
        """Counts an answer that was not passed on because of a limit that came after its request was sent."""

    def admits(self, cls: str, part: tuple[int, int], worth: float) -> float:
        """0 if a request for (object, part) is admitted; otherwise its Retry-After in ms."""

    def answered(self, cls: str, part: tuple[int, int], dated_ms: float, in_time: bool) -> None:
        """Records that an attempt for (object, part) ended. `dated_ms` is the date of its copy; 0: it has
        none."""

    def listed(self, runs: Mapping[str, tuple[str, float]]) -> None:
        """Takes the servers of the endpoint list: kind and start time by name."""


class Audit(Protocol):
    """Decides whether this director's view of the fleet permits it to act, and records its actions."""

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
        """Called when the endpoint list, purges or settings have changed."""


class KeyObserver(Protocol):
    """Is notified of attempts with an idempotency key. Times are ms of the director's clock."""

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        """Called when an attempt is about to be written."""

    def never_ran(self, key: str, at_ms: float, store: str) -> None:
        """Called when that attempt is proven not to have run."""


class DirectorContext(Protocol):
    """What the director's parts share. Settings, router and sender may be replaced at any time. The guard,
    the audit and the key observer are present only if the deployment has them."""

    settings: Settings
    router: Router
    sender: Sender
    clock: Callable[[], float]
    timers: TimerWheel
    endpoints: Endpoints
    keys: KeyWindows
    register: MaintenanceRegister
    rev: int  # revision of the latest watch event that was applied
    guard: Guard | None
    audit: Audit | None
    key_observer: KeyObserver | None

    def post(self, event: Event) -> None:
        """Passes an event to the router and acts on its decisions."""
