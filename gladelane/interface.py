"""What the router is told and what it may ask for: settings, events and actions. No decision stands here.

Times are milliseconds of the caller's clock. Stores, requests and objects are opaque identifiers.
The settings are `deployment`'s; they are named here too, so that this one module is the whole interface.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from .deployment import ClassSpec as ClassSpec
from .deployment import Effect as Effect
from .deployment import Settings as Settings


class State(Enum):
    """Of a store, by the list: it takes work, finishes what it has, or has left."""

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


class Note(Enum):
    """How an attempt was answered, or why its fill failed; UNTOLD where the deployment does not say."""

    UNTOLD = 0
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
    """What a list of stores holds: what changed, all of it, all as remembered, or nothing where it failed."""

    CHANGES = "changes"
    COMPLETE = "complete"
    REMEMBERED = "remembered"
    FAILED = "failed"


# --- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Request:
    """A client asks. The router does not read repeat and tenant."""

    id: int
    cls: str
    object: int
    deadline_ms: float
    size_kb: float = 0.0
    group: int = 0
    part: int = 0
    repeat: bool = False
    tenant: str = ""
    ran_ms: float = 0.0  # when an earlier try of the same key first may have run, 0: none is known
    ran_at: str = ""  # and at which store


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt ended. The router goes by its own clock and reads neither latency_ms nor report."""

    id: int
    attempt: int
    store: str
    status: Status
    latency_ms: float = 0.0
    note: Note = Note.UNTOLD
    source_wait_ms: float = 0.0
    over: bool = False
    report: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class Probed:
    """What a probe found; the router sends none and passes it over."""

    store: str
    status: Status
    latency_ms: float = 0.0
    report: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class Started:
    """The answer's stream has begun: the attempt belongs to the client now."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """Nobody waits for this request any more."""

    id: int


@dataclass(frozen=True, slots=True)
class Purge:
    """An object, or a whole group where object is 0, was purged age_ms ago."""

    object: int
    group: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class Message:
    """From another proxy; the router passes it over."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Timer:
    """One that SetTimer asked for is due."""

    token: str


@dataclass(frozen=True, slots=True)
class Member:
    """One entry of the list; `came_up_ms` 0: it has run for long."""

    store: str
    zone: str
    kind: str
    cell: int = 0
    state: State = State.READY
    weight: float = 1.0
    came_up_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Members:
    """The list, or what changed in it."""

    kind: ListKind
    stores: tuple[Member, ...] = ()


Event = Request | Outcome | Probed | Started | ClientGone | Purge | Message | Timer | Members


# --- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Lookup:
    """Ask a store for what it holds, no fill."""

    id: int
    store: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask a store; a miss is filled from `source` (the store itself: no fill). max_age_ms 0: fresh time."""

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
    """Give one attempt up; its outcome still comes."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a store for its load; the router does not."""

    store: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """The final answer that a further try is harmless; `come_back_ms` 0: no advice when."""

    id: int
    come_back_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """The final answer that says nothing on whether the request ran."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Asks for a Timer at that time or soon after; it cannot be taken back."""

    token: str
    due_ms: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks for changes of the list from now on."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class AskList:
    """Ask for the list once; the router subscribes instead."""


@dataclass(frozen=True, slots=True)
class Tell:
    """A message to one proxy, or to all where `to` is absent; the router sends none."""

    data: bytes
    to: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators; the router writes none."""

    text: str


Action = Lookup | Fetch | Cancel | Probe | Refuse | Fail | SetTimer | Subscribe | AskList | Tell | Log


# --- what the decisions ask of the fleet's purges


class PurgeIndex(Protocol):
    """The newest moment that any purge in force sets. Objects count from 0 here; times are Unix ms."""

    def add_one(self, object_: int, group: int, at: float, until: float) -> None:
        """Copies from before `at` are out of date up to `until`: of one object, or below 0 of a group."""

    def newest(self, cls: str, group: int, object_: int, part: int, now: float) -> float:
        """The newest moment from before which no copy may be served, 0: none."""

    def expire(self, now: float) -> int:
        """Forgets some of what has ended; gives how many."""
