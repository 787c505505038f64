"""The interface of the router: its settings, the events that it takes and the actions that it asks for.

The module makes no decisions. Times are milliseconds of the caller's clock. Stores, requests and objects are
opaque identifiers. The settings are defined in `deployment` and exported here as well, so that this module is
the complete interface.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from ..deployment import ClassSpec as ClassSpec
from ..deployment import Effect as Effect
from ..deployment import Settings as Settings


class State(Enum):
    """The state of a store in the endpoint list: it accepts requests, is draining, or was removed."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Status(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISS = "miss"
    SUPERSEDED = "superseded"  # it was answered as asked, but a limit that came since forbids to use the copy


#: Outcomes that prove that the attempt never ran at a store.
NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.MISS})

#: Stores may drop a request without an answer if at most 60 ms are left until its deadline. The other 10 ms
#: allow for clock ticks and transit.
MAX_DROPPABLE_MS = 70.0


def is_informative_timeout(waited_ms: float, objective_ms: float) -> bool:
    """Whether a timeout says anything about the store. A timeout says nothing if the attempt had less time
    than its latency objective and so little time that stores may drop it."""
    return waited_ms >= min(objective_ms, MAX_DROPPABLE_MS)


class Note(Enum):
    """Where the answer of an attempt came from, or why its fill failed; NOT_REPORTED: not known."""

    NOT_REPORTED = 0
    HIT = 1
    PARENT_HELD = 2
    FROM_ORIGIN = 3
    JOINED = 4
    AGED = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKEN = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10


class ListKind(Enum):
    """What a `Members` event contains: changes, the complete list, a remembered list, or nothing (FAILED)."""

    CHANGES = "changes"
    COMPLETE = "complete"
    REMEMBERED = "remembered"
    FAILED = "failed"


# --- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request. The router reads neither `repeat` nor `tenant`."""

    id: int
    cls: str
    object: int
    deadline_ms: float
    size_kb: float = 0.0
    group: int = 0
    part: int = 0
    repeat: bool = False
    tenant: str = ""
    ran_ms: float = 0.0  # when the earliest known attempt with the same key may have run; 0: none is known
    ran_at: str = ""  # the store at which that attempt may have run


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt ended. The router uses its own clock and reads neither `latency_ms` nor `report`.

    `over`: its request has ended, so that no further attempt is made."""

    id: int
    attempt: int
    store: str
    status: Status
    latency_ms: float = 0.0
    note: Note = Note.NOT_REPORTED
    source_wait_ms: float = 0.0
    over: bool = False
    report: Mapping[str, float] | None = None
    unread_ms: float = 0.0  # upper bound for how long it waited unread while the event loop was blocked


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a health check. The router asks for none and ignores it."""

    store: str
    status: Status
    latency_ms: float = 0.0
    report: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class Started:
    """The stream of the answer has started: no further attempt of its request is made."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of this request disconnected."""

    id: int


@dataclass(frozen=True, slots=True)
class Purge:
    """An object, or a complete group if `object` is 0, was purged `age_ms` ago."""

    object: int
    group: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class Message:
    """A message from another director; the router ignores it."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that was requested by `SetTimer` is due."""

    token: str


@dataclass(frozen=True, slots=True)
class Member:
    """An entry of the endpoint list. `started_at_ms`: when its process started, Unix ms; 0: long ago."""

    store: str
    zone: str
    kind: str
    cell: int = 0
    state: State = State.READY
    weight: float = 1.0
    started_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Members:
    """The endpoint list, or changes to it."""

    kind: ListKind
    stores: tuple[Member, ...] = ()


Event = Request | Outcome | Probed | Started | ClientDisconnected | Purge | Message | Timer | Members


# --- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Lookup:
    """Ask a store for its copy; a miss is not filled."""

    id: int
    store: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask a store. A miss is filled from `source`; it is not filled if that is the store itself.

    `max_age_ms`: the age of the oldest copy that may be served; 0: limited only by the class's fresh time."""

    id: int
    store: str
    timeout_ms: float
    source: str
    rank: int = 0
    max_age_ms: float = 0.0
    join: bool = False
    source_holds_only: bool = False
    parent_keeps_none: bool = False
    renew: bool = False


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt; its outcome still follows."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a store for a load report; the router asks for none."""

    store: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """The final answer that the request is rejected and that a retry is harmless. `retry_after_ms`: the value
    of its Retry-After; 0: none."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """The final answer that the request failed and may have run."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `Timer` event at this time or soon after it; it cannot be cancelled."""

    token: str
    due_ms: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Poll the endpoint list once; the router subscribes instead."""


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message to a director, or to all of them where `to` is None; the router sends none."""

    data: bytes
    to: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the log; the router writes none."""

    text: str


Action = (
    Lookup
    | Fetch
    | Cancel
    | Probe
    | Refuse
    | Fail
    | SetTimer
    | Subscribe
    | PollEndpointList
    | SendMessage
    | Log
)
