"""A generated deployment as a value: settings in wire form, a fleet, its load and its faults. Pure.

`deployment_draw` draws them. Times are in ms, sizes in KB, capacities of links in transfers at full rate.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ..deployment.wire import settings_from_wire
from ..routing.events import Settings
from .deployed_clocks import ClockPlan

GROUPS = 8  # number of groups of objects
OBJECTS_OF_CLASS = 10_000  # each class has a number range of its own


class FaultKind(Enum):
    """The kinds of faults; a `Fault` has the place, the time and the extent."""

    CRASH = "crash"  # a process crashes and restarts, in slow start
    JOIN = "join"  # a further store starts, in slow start
    DRAIN = "drain"  # a store is listed as draining and leaves later
    PURGE_OBJECT = "purge object"
    PURGE_GROUP = "purge group"
    SLOW_ORIGIN = "slow origin"
    ERRORS = "errors"  # a store answers some of its requests with an error
    SILENCE = "silence"  # a store receives requests and answers none
    RESETS = "resets"  # connections to a running store are reset
    LATE_LISTS = "late lists"


@dataclass(frozen=True, slots=True)
class Fault:
    """`at_ms` counts from the start of the run. `factor`: how many times slower, or the affected part."""

    kind: FaultKind
    at_ms: float
    lasts_ms: float = 0.0
    store: str = ""
    object: int = -1
    group: int = -1
    factor: float = 1.0


@dataclass(frozen=True, slots=True)
class StoreSpec:
    """A cache, a parent or the origin. `age_ms`: for how long it has run at the start of the run; 0: long
    ago. `weight`: its weight in the endpoint list, which may differ from its link."""

    name: str
    zone: str
    kind: str
    cell: int
    link: float
    weight: float
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """The load of a class: its share of all requests, and the objects that are requested."""

    share: float
    mean_kb: float
    objects: int
    parts: int


@dataclass(frozen=True, slots=True)
class Network:
    """Delays of the network, and the probabilities of its faults, per attempt or per connection."""

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
    wait_ms: float  # before a client retries
    patience: float  # the least time that an attempt waits, as a part of the class's deadline
    leave_chance: float


@dataclass(frozen=True, slots=True)
class OriginSpec:
    """The capacity and the speed of the origin."""

    workers: int
    service_ms: float
    max_requests: int
    link: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """One generated deployment. `seed` is the seed of its run."""

    seed: int
    wire: Mapping[str, Any]
    directors: tuple[str, ...]  # the zone of each
    caches: tuple[StoreSpec, ...]
    parents: tuple[StoreSpec, ...]
    joining: tuple[StoreSpec, ...]  # start during the run
    origin: StoreSpec
    origin_spec: OriginSpec
    inlets: Mapping[str, float]  # incoming link of each location, in transfers
    classes: tuple[ClassLoad, ...]
    sizes_listed: bool
    cache_storage_kb: float
    parent_storage_kb: float
    most_fills: int
    filled_at_start: bool
    rate: float  # first attempts per second of the whole fleet
    duration_ms: float
    network: Network
    clients: Clients
    faults: tuple[Fault, ...]
    clocks: ClockPlan = ClockPlan()

    def settings_wire(self, director: int) -> dict[str, Any]:
        """The settings of one director in wire form."""
        return {**self.wire, "me": director, "zone": self.directors[director]}

    def settings(self, director: int) -> Settings:
        """The settings of one director, parsed. Raises BadSetting."""
        return settings_from_wire(self.settings_wire(director))

    def mean_work_ms(self, place: int) -> float:
        """The mean transfer time of a class, given by its index in the settings."""
        flow: float = self.wire["family_info"]["one_flow_kb_per_s"]
        return self.classes[place].mean_kb / flow * 1000.0


def director_name(place: int) -> str:
    """The name of a director, which no store can have."""
    return f"d{place}"


def class_of(object_: int) -> int:
    """The class of an object, as its index in the settings."""
    return object_ // OBJECTS_OF_CLASS


def group_of(object_: int) -> int:
    """The group of an object, as purges name it."""
    return object_ % GROUPS
