"""Generated deployments: settings in the form of the wire, a fleet, its load and its faults. Pure.

Every field that the program reads is drawn from a range of its own, wider than any deployment known so far;
names of zones, kinds and classes are made up anew each time. One source of randomness gives one deployment:
a seeded `random.Random`, or a generator under the control of a property test.

Times are ms, sizes KB, links counted in transfers at full pace.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

from ..interface import Settings
from ..settings_wire import settings_from_wire

MOST_DIRECTORS = 12
MOST_CACHES = 12
MOST_REQUESTS = 400  # first tries in a run: keeps it well under 0.3 s of processor time
GROUPS = 8  # of objects
OBJECTS_OF_CLASS = 10_000  # a class's objects are numbered apart from those of any other
MEDIAN_MISSES = 0.4  # part of the bytes that parents have to carry, caches being small and short-lived here
LEAST_LINK = 1.5  # of a cache, in transfers


class FaultKind(Enum):
    """What goes wrong; `Fault` says where, when and how much."""

    CRASH = "crash"  # a process dies and comes back cold
    JOIN = "join"  # a store that was not there starts cold
    DRAIN = "drain"  # a store is told to drain, and leaves in the end
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
    retries: int
    wait_ms: float  # before a client asks again
    patience: float  # least part of the class's deadline for which a try waits
    leave_chance: float


@dataclass(frozen=True, slots=True)
class OriginSpec:
    workers: int
    service_ms: float
    room: int
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
    sizes_told: bool
    cache_room_kb: float
    parent_room_kb: float
    most_fills: int
    filled_at_start: bool
    rate: float  # first tries a second, over the whole fleet
    span_ms: float
    network: Network
    clients: Clients
    faults: tuple[Fault, ...]

    def settings_wire(self, director: int) -> dict[str, Any]:
        """The settings as the wire has them, for one of the directors."""
        return {**self.wire, "me": director, "zone": self.directors[director]}

    def settings(self, director: int) -> Settings:
        return settings_from_wire(self.settings_wire(director))

    def mean_work_ms(self, place: int) -> float:
        """Mean sending time of a class, by its place in the settings."""
        flow: float = self.wire["family_info"]["one_flow_kb_per_s"]
        return self.classes[place].mean_kb / flow * 1000.0


def draw_deployment(rng: random.Random) -> Deployment:
    return _Draw(rng).deployment()


class _Draw:
    """The steps of one draw, in the order in which later ones need earlier ones."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.names: set[str] = set()

    def deployment(self) -> Deployment:
        rng = self.rng
        seed = rng.randrange(1 << 32)
        hubs = [self._name() for _ in range(rng.randint(1, 3))]
        locations = [self._name() for _ in range(rng.randint(1, 3))]
        directors = self._directors(locations)
        kinds = [self._name() for _ in range(3)]
        rng.shuffle(kinds)
        machine, hub_kind, store_kind = kinds
        has_parents = rng.random() < 0.85
        flow = self._between(1200.0, 15_000.0)
        classes = self._classes()
        loads = self._loads(classes, flow)
        works = [load.mean_kb / flow * 1000.0 for load in loads]
        work = sum(load.share * one for load, one in zip(loads, works, strict=True))
        span = rng.uniform(3000.0, 5000.0)
        rate = rng.uniform(25.0, MOST_REQUESTS / (span / 1000.0))
        load = rng.choice([rng.uniform(0.3, 0.75), rng.uniform(0.6, 1.3)])
        link = rate * work / 1000.0 / load  # of all caches together
        weights = rng.choice(["nominal", "nominal", "off", "rough", "live"])
        caches = self._caches(locations, machine, link, weights)
        joining = self._joining(caches, weights)
        parents = self._parents(hubs, hub_kind, link, weights) if has_parents else ()
        origin = StoreSpec(self._name(), hubs[0], store_kind, 90, 1.0, 1.0)
        inlets = self._inlets(locations, caches)
        kinds_listed = [machine, store_kind, *([hub_kind] if has_parents else [])]
        rng.shuffle(kinds_listed)
        zones = [*hubs, *locations]
        wire = self._wire(zones, hubs, directors, classes, flow, weights, inlets)
        wire["kinds"] = kinds_listed
        wire["family_info"]["store_kind"] = kinds_listed.index(store_kind)
        wire["family_info"]["upper_kind"] = kinds_listed.index(hub_kind) if has_parents else -1
        clients = Clients(
            rng.randint(0, 2), rng.uniform(20.0, 400.0), rng.uniform(0.5, 1.0), rng.choice([0.0, 0.03])
        )
        return Deployment(
            seed=seed,
            wire=wire,
            directors=tuple(directors),
            caches=caches,
            parents=parents,
            joining=joining,
            origin=origin,
            origin_spec=self._origin(rate, link),
            inlets=inlets,
            classes=loads,
            sizes_told=rng.random() < 0.8,
            cache_room_kb=link / len(caches) * flow * rng.uniform(2.0, 13.0),
            parent_room_kb=link * flow * rng.uniform(2.0, 30.0),
            most_fills=rng.randint(6, 40),
            filled_at_start=rng.random() < 0.5,
            rate=rate,
            span_ms=span,
            network=self._network(),
            clients=clients,
            faults=self._faults(span, caches, parents, joining, origin, loads),
        )

    # --- names and numbers

    def _name(self) -> str:
        while True:
            number, letters = self.rng.randrange(1 << 28), ""
            while number or not letters:
                number, letter = divmod(number, 26)
                letters += chr(ord("a") + letter)
            name = f"{letters[:3]}-{letters[3:]}"
            if name not in self.names:
                self.names.add(name)
                return name

    def _between(self, least: float, most: float) -> float:
        """Evenly on a scale of factors, so that small values are as likely as large ones."""
        return float(least * (most / least) ** self.rng.random())

    # --- the settings

    def _classes(self) -> list[dict[str, Any]]:
        """Rows of the wire's `classes`, with what it files elsewhere by class under `_own`."""
        return [self._class(place) for place in range(self.rng.randint(1, 5))]

    def _class(self, place: int) -> dict[str, Any]:
        rng = self.rng
        # the first is safe: a deployment of side effects alone keeps nothing anywhere
        effect = "retryable" if place == 0 else rng.choice(["retryable", "dedup", "fragile"])
        write = place > 0 and rng.random() < (0.1 if effect == "retryable" else 0.8)
        deadline = self._between(400.0, 7000.0)
        fresh = 0.0 if write else rng.choice([0.0, self._between(500.0, 20_000.0)])
        row = {
            "name": self._name(),
            "effect": effect,
            "group": rng.choice(["all", "zone", "cell"]),
            "window_ms": self._between(60.0, 5000.0),
            "aim_ms": deadline * rng.uniform(0.1, 0.9),
            "deadline_ms": deadline,
            "value": rng.uniform(0.5, 4.0),
            "late_worth": rng.choice([0.0, 0.15]),
            "stream": False,
            "_own": {
                "pass_on": write,
                "segmented": not write and rng.random() < 0.5,
                "good_for_ms": fresh,
                "stale_for_ms": rng.choice([0.0, fresh * 1.5]),
            },
        }
        if rng.random() < 0.7:
            row["aim_stretch"] = rng.uniform(0.5, 2.5)
        return row

    def _loads(self, classes: Sequence[Mapping[str, Any]], flow: float) -> tuple[ClassLoad, ...]:
        rng = self.rng
        raw = [self._between(0.1, 1.0) for _ in classes]
        loads = []
        for share, row in zip(raw, classes, strict=True):
            own = row["_own"]
            work = rng.uniform(5.0, 30.0) if own["pass_on"] else self._between(30.0, 500.0)
            work = min(work, row["deadline_ms"] / 4.0)
            parts = rng.randint(2, 17) if own["segmented"] else 1
            loads.append(ClassLoad(share / sum(raw), work * flow / 1000.0, rng.randint(10, 300), parts))
        return tuple(loads)

    def _wire(
        self,
        zones: list[str],
        hubs: list[str],
        directors: list[str],
        classes: list[dict[str, Any]],
        flow: float,
        weights: str,
        inlets: Mapping[str, float],
    ) -> dict[str, Any]:
        rng = self.rng
        own = [row.pop("_own") for row in classes]
        purge_grace = rng.uniform(200.0, 1500.0)
        family: dict[str, Any] = {
            key: [values[key] for values in own]
            for key in ("pass_on", "segmented", "good_for_ms", "stale_for_ms")
        }
        family |= {
            "hub_of": [zones.index(z) if z in hubs else rng.randrange(len(hubs)) for z in zones],
            "seats_by_zone": [directors.count(zone) for zone in zones],
            "inlet_kb_per_s": [inlets.get(zone, 0.0) * flow if rng.random() < 0.8 else 0.0 for zone in zones],
            "one_flow_kb_per_s": flow,
            "notes_given": rng.choice(["all", "hit", "off"]),
            "peers_fill": rng.choice(["off", "location", "any"]),
            "merges_fills": rng.random() < 0.7,
            "straight": rng.random() < 0.7,
            "notice_time_ms": purge_grace,
            "gone_everywhere_ms": rng.uniform(2000.0, 8000.0),
            "parent_cold_from": self._between(0.04, 0.6),
            "parent_cold_ms": self._between(2000.0, 25_000.0),
            "parent_breaks_at": rng.uniform(1.3, 5.0),
            "origin_fall_multiple": rng.choice([0.0, 2.5]),
            "origin_bears_ms": 3000.0,
        }
        reports = rng.choice(["inline", "on_probe", "off"])
        return {
            "areas": zones,
            "balancers": len(directors),
            "classes": classes,
            "family_info": family,
            "registry_mode": rng.choice(["automatic", "subscribe"]),
            "report": {"how": reports, "fields": [] if reports == "off" else ["busy", "x1"]},
            "weights": weights,
            "tick_ms": rng.choice([1.0, 2.0, 5.0]),
            "limits": {
                "cancel": rng.random() < 0.7,
                "may_duplicate": rng.random() < 0.5,
                "may_tell": rng.random() < 0.2,
                "probes": rng.random() < 0.2,
                "retry_after": rng.random() < 0.5,
                "max_retry_after_ms": rng.uniform(0.0, 3000.0),
                "max_attempts": rng.randint(1, 10),
                "max_open": rng.choice([100, 20_000]),
                "max_streams": rng.choice([1, 4, 32, 100]),
                "dial_timeout_ms": rng.uniform(100.0, 600.0),
                "conn_idle_ms": rng.uniform(3000.0, 20_000.0),
            },
            "rules": {
                "drain_grace_ms": rng.choice([100.0, 250.0, 1000.0, rng.uniform(100.0, 2000.0)]),
                "grace_to_answer_ms": rng.choice([0.0, 8.0]),
                "cold_from": self._between(0.08, 0.7),
                "warm_after_ms": self._between(2000.0, 20_000.0),
                "fall_multiple": rng.uniform(1.5, 5.0),
                "fall_ms": self._between(500.0, 3000.0),
                "ask_within_ms": rng.uniform(5000.0, 20_000.0),
            },
        }

    # --- the fleet

    def _directors(self, locations: list[str]) -> list[str]:
        rng = self.rng
        most = MOST_DIRECTORS // len(locations)
        several = rng.random() < 0.3  # most deployments have one or two a location
        return [zone for zone in locations for _ in range(rng.randint(1, most if several else min(2, most)))]

    def _told(self, link: float, weights: str) -> float:
        if weights == "nominal":
            return round(link, 2)
        if weights == "rough":
            return round(link * self.rng.uniform(0.9, 1.1), 2)
        return round(link / self.rng.uniform(1.0, 4.0), 2) if weights == "live" else 1.0

    def _age(self) -> float:
        """How long a store has run: most for ever, some for so short that they are cold."""
        return self.rng.uniform(1.0, 4000.0) if self.rng.random() < 0.15 else 0.0

    def _caches(self, locations: list[str], kind: str, link: float, weights: str) -> tuple[StoreSpec, ...]:
        rng = self.rng
        most = MOST_CACHES // len(locations)
        placed = [(place, zone) for place, zone in enumerate(locations) for _ in range(rng.randint(1, most))]
        caches = []
        for place, zone in placed:
            own = max(link / len(placed) * rng.uniform(0.85, 1.15), LEAST_LINK)
            cell = place * 4 + rng.randrange(3)  # no two zones share a cell
            told = self._told(own, weights)
            caches.append(StoreSpec(self._name(), zone, kind, cell, own, told, self._age()))
        return tuple(caches)

    def _joining(self, caches: tuple[StoreSpec, ...], weights: str) -> tuple[StoreSpec, ...]:
        joining = []
        for _ in range(self.rng.randint(0, 3)):
            like = self.rng.choice(caches)
            told = self._told(like.link, weights)
            joining.append(StoreSpec(self._name(), like.zone, like.kind, like.cell, like.link, told))
        return tuple(joining)

    def _parents(self, hubs: list[str], kind: str, link: float, weights: str) -> tuple[StoreSpec, ...]:
        rng = self.rng
        count = rng.randint(1, 4)
        parents = []
        for place in range(count):
            own = max(link * MEDIAN_MISSES * rng.uniform(1.1, 1.6) / count, LEAST_LINK)
            told = self._told(own, weights)
            parents.append(
                StoreSpec(self._name(), hubs[place % len(hubs)], kind, 60 + place, own, told, self._age())
            )
        return tuple(parents)

    def _inlets(self, locations: list[str], caches: tuple[StoreSpec, ...]) -> dict[str, float]:
        return {
            zone: max(sum(c.link for c in caches if c.zone == zone) * self.rng.uniform(0.4, 1.4), LEAST_LINK)
            for zone in locations
        }

    def _origin(self, rate: float, link: float) -> OriginSpec:
        rng = self.rng
        service = rng.uniform(15.0, 70.0)
        workers = max(round(rate * service / 1000.0 * rng.uniform(0.5, 2.5)), 2)
        return OriginSpec(
            workers, service, workers * rng.randint(3, 20), max(link * rng.uniform(0.3, 1.5), 2.0)
        )

    # --- the network, and what goes wrong

    def _network(self) -> Network:
        rng = self.rng
        least = rng.uniform(20.0, 600.0)
        return Network(
            near_ms=rng.uniform(0.2, 2.0),
            far_ms=rng.uniform(4.0, 45.0),
            jitter=rng.uniform(0.0, 0.3),
            slow_dial_chance=rng.choice([0.0, 0.1, 0.3]),
            slow_dial_ms=rng.uniform(100.0, 1500.0),
            late_answer_chance=rng.choice([0.0, 0.03]),
            late_answer_ms=rng.uniform(50.0, 800.0),
            lost_answer_chance=rng.choice([0.0, 0.0, 0.02]),
            list_delay_ms=(least, least + rng.uniform(10.0, 1500.0)),
        )

    def _faults(
        self,
        span: float,
        caches: tuple[StoreSpec, ...],
        parents: tuple[StoreSpec, ...],
        joining: tuple[StoreSpec, ...],
        origin: StoreSpec,
        loads: tuple[ClassLoad, ...],
    ) -> tuple[Fault, ...]:
        rng = self.rng
        stores = [store.name for store in (*caches, *parents)]
        faults = [Fault(FaultKind.JOIN, rng.uniform(0.1, 0.6) * span, store=store.name) for store in joining]
        kinds = [kind for kind in FaultKind if kind is not FaultKind.JOIN]
        for _ in range(rng.randint(0, 8)):
            kind = rng.choice(kinds)
            at, lasts = rng.uniform(0.05, 0.8) * span, rng.uniform(100.0, 0.5 * span)
            if kind is FaultKind.PURGE_OBJECT:
                faults += [
                    Fault(kind, rng.uniform(0.0, 1.0) * span, object=self._object(loads)) for _ in range(5)
                ]
            elif kind is FaultKind.PURGE_GROUP:
                faults.append(Fault(kind, at, group=rng.randrange(GROUPS)))
            elif kind is FaultKind.SLOW_ORIGIN:
                faults.append(Fault(kind, at, lasts, factor=rng.uniform(2.0, 6.0)))
            elif kind is FaultKind.LATE_LISTS:
                faults.append(Fault(kind, at, lasts, factor=rng.uniform(2.0, 5.0)))
            elif kind in (FaultKind.ERRORS, FaultKind.RESETS, FaultKind.SILENCE):
                store = rng.choice([*stores, origin.name])
                faults.append(Fault(kind, at, lasts, store, factor=rng.uniform(0.2, 0.9)))
            else:
                faults.append(Fault(kind, at, lasts, rng.choice(stores)))
        return tuple(sorted(faults, key=lambda fault: fault.at_ms))

    def _object(self, loads: tuple[ClassLoad, ...]) -> int:
        """One of the objects that are asked for most."""
        place = self.rng.randrange(len(loads))
        return place * OBJECTS_OF_CLASS + self.rng.randrange(min(6, loads[place].objects))


def class_of(object_: int) -> int:
    """The place in the settings of the class that an object belongs to."""
    return object_ // OBJECTS_OF_CLASS


def group_of(object_: int) -> int:
    return object_ % GROUPS
