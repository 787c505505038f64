"""The interface of the router: settings, events, and actions that it asks for. No decision stands here.

Times are milliseconds of the caller's clock. Stores, requests and objects are opaque identifiers.
The settings are those of `deployment`. They are named here too, so that this module is the whole interface.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from ..deployment import ClassSpec as ClassSpec
from ..deployment import Effect as Effect
from ..deployment import Settings as Settings


class State(Enum):
    """The state of a store by the endpoint list: it accepts requests, is draining, or was removed."""

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


#: Outcomes that prove the attempt never ran.
NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.MISS})

#: Stores may drop a request that has 60 ms left or less without an answer; 10 ms are for ticks and transit.
MAY_BE_DROPPED_MS = 70.0


def is_telling_timeout(waited_ms: float, aim_ms: float) -> bool:
    """Whether a timeout says anything of the store: an attempt that had less time than its latency objective,
    and so little that stores may drop it, says nothing."""
    return waited_ms >= min(aim_ms, MAY_BE_DROPPED_MS)


class Note(Enum):
    """How an attempt was answered, or why its fill failed; NOT_REPORTED: it is not known."""

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
    """What a `Members` event has: changes, the complete list, the list as remembered, or none."""

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
    ran_ms: float = 0.0  # when an earlier attempt with the same key may first have run, 0: none is known
    ran_at: str = ""  # and at which store


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt ended. The router uses its own clock and reads neither `latency_ms` nor `report`."""

    id: int
    attempt: int
    store: str
    status: Status
    latency_ms: float = 0.0
    note: Note = Note.NOT_REPORTED
    source_wait_ms: float = 0.0
    over: bool = False
    report: Mapping[str, float] | None = None
    unread_ms: float = 0.0  # for how long at most it lay here unread: the event loop was held up


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a health check. The router asks for none and ignores it."""

    store: str
    status: Status
    latency_ms: float = 0.0
    report: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class Started:
    """The answer's stream has begun: its request is not attempted elsewhere any more."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client of this request left."""

    id: int


@dataclass(frozen=True, slots=True)
class Purge:
    """An object, or a group where `object` is 0, was purged `age_ms` ago."""

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
    """A timer that SetTimer asked for is due."""

    token: str


@dataclass(frozen=True, slots=True)
class Member:
    """An entry of the endpoint list. `came_up_ms`: its start, Unix ms; 0: long ago."""

    store: str
    zone: str
    kind: str
    cell: int = 0
    state: State = State.READY
    weight: float = 1.0
    came_up_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Members:
    """The endpoint list, or changes of it."""

    kind: ListKind
    stores: tuple[Member, ...] = ()


Event = Request | Outcome | Probed | Started | ClientGone | Purge | Message | Timer | Members


# --- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Lookup:
    """Ask a store for its copy; a miss is not filled."""

    id: int
    store: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask a store; a miss is filled from `source` (the store itself: it is not filled). `max_age_ms`: the
    oldest copy that may be served, 0: as the class's fresh time says."""

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
    """The final answer that the request was rejected, and that a retry is harmless. `come_back_ms`: its
    Retry-After, 0: none."""

    id: int
    come_back_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """The final answer that the request failed, and may have run."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Timer event at that time or soon after; it cannot be cancelled."""

    token: str
    due_ms: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribe to changes of the endpoint list."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class AskList:
    """Poll the endpoint list once; the router subscribes instead."""


@dataclass(frozen=True, slots=True)
class Tell:
    """A message to a director, or to all of them where `to` is None; the router sends none."""

    data: bytes
    to: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the log; the router writes none."""

    text: str


Action = Lookup | Fetch | Cancel | Probe | Refuse | Fail | SetTimer | Subscribe | AskList | Tell | Log
