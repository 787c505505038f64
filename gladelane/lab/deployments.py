"""A generated deployment as a value: settings in the form of the wire, a fleet, its load, its faults. Pure.

`deployment_draw` makes them. Times are ms, sizes KB, links counted in transfers at full pace.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ..deployment.wire import settings_from_wire
from ..routing.events import Settings
from .deployed_clocks import ClockPlan

GROUPS = 8  # of objects
OBJECTS_OF_CLASS = 10_000  # a class's objects are numbered apart from those of any other


class FaultKind(Enum):
    """What goes wrong; `Fault` says where, when and how much."""

    CRASH = "crash"  # a process dies and comes back cold
    JOIN = "join"  # a store that was not there starts cold
    DRAIN = "drain"  # a store is listed as draining, and leaves in the end
    PURGE_OBJECT = "purge object"
    PURGE_GROUP = "purge group"
    SLOW_ORIGIN = "slow origin"
    ERRORS = "errors"  # a store answers a part of its requests with an error
    SILENCE = "silence"  # a store takes requests and answers none
    RESETS = "resets"  # connections to a store break, though it runs
    LATE_LISTS = "late lists"


@dataclass(frozen=True, slots=True)
class Fault:
    """`at_ms` counts from the run's start; `factor` is how many times slower, or the part that is hit."""

    kind: FaultKind
    at_ms: float
    lasts_ms: float = 0.0
    store: str = ""
    object: int = -1
    group: int = -1
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class StoreSpec:
    """A cache, a parent or the origin. `age_ms` is how long it has run at the start; 0: for ever.
    `weight` is what the list tells of its link."""

    name: str
    zone: str
    kind: str
    cell: int
    link: float
    weight: float
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """How often a class is asked for, as a part of all requests, and what it is asked for."""

    share: float
    mean_kb: float
    objects: int
    parts: int


@dataclass(frozen=True, slots=True)
class Network:
    """Ways and what goes wrong on them. Chances are by attempt or by connection."""

    near_ms: float
    far_ms: float
    jitter: float
    slow_dial_chance: float
    slow_dial_ms: float
    late_answer_chance: float
    late_answer_ms: float
    lost_answer_chance: float
    list_delay_ms: tuple[float, float]


@dataclass(frozen=True, slots=True)
class Clients:
    """How clients retry, wait and leave."""

    retries: int
    wait_ms: float  # before a client asks again
    patience: float  # least part of the class's deadline for which a try waits
    leave_chance: float


@dataclass(frozen=True, slots=True)
class OriginSpec:
    """What the origin bears at once, and how fast it is."""

    workers: int
    service_ms: float
    max_requests: int
    link: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """One generated deployment. `seed` is that of its run."""

    seed: int
    wire: Mapping[str, Any]
    directors: tuple[str, ...]  # the zone of each
    caches: tuple[StoreSpec, ...]
    parents: tuple[StoreSpec, ...]
    joining: tuple[StoreSpec, ...]  # not there at the start
    origin: StoreSpec
    origin_spec: OriginSpec
    inlets: Mapping[str, float]  # of each location, in transfers
    classes: tuple[ClassLoad, ...]
    sizes_listed: bool
    cache_storage_kb: float
    parent_storage_kb: float
    most_fills: int
    filled_at_start: bool
    rate: float  # first tries a second, over the whole fleet
    duration_ms: float
    network: Network
    clients: Clients
    faults: tuple[Fault, ...]
    clocks: ClockPlan = ClockPlan()

    def settings_wire(self, director: int) -> dict[str, Any]:
        """The settings as the wire has them, for one of the directors."""
        return {**self.wire, "me": director, "zone": self.directors[director]}

    def settings(self, director: int) -> Settings:
        """The settings of one of the directors, as it reads them. Raises BadSetting."""
        return settings_from_wire(self.settings_wire(director))

    def mean_work_ms(self, place: int) -> float:
        """Mean sending time of a class, by its place in the settings."""
        flow: float = self.wire["family_info"]["one_flow_kb_per_s"]
        return self.classes[place].mean_kb / flow * 1000.0


def director_name(place: int) -> str:
    """No store has such a name."""
    return f"d{place}"


def class_of(object_: int) -> int:
    """The place in the settings of the class that an object belongs to."""
    return object_ // OBJECTS_OF_CLASS


def group_of(object_: int) -> int:
    """The group that an object belongs to, as purges name it."""
    return object_ % GROUPS
