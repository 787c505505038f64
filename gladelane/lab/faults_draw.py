"""The random faults of a generated deployment."""

from __future__ import annotations

from collections.abc import Sequence

from .deployments import GROUPS, OBJECTS_OF_CLASS, ClassLoad, Fault, FaultKind, StoreSpec
from .draws import Draws

MAX_FAULTS = 8  # not counting those of joining stores
PURGES_AT_ONCE = 5  # the most objects that are purged at once


def draw_faults(
    draws: Draws,
    duration_ms: float,
    stores: Sequence[StoreSpec],
    joining: Sequence[StoreSpec],
    origin: StoreSpec,
    loads: Sequence[ClassLoad],
) -> tuple[Fault, ...]:
    """Faults of a run of `duration_ms`, by time. Each of `joining` joins; `stores` are caches and parents."""
    rng = draws.rng
    faults = [
        Fault(FaultKind.JOIN, rng.uniform(0.1, 0.6) * duration_ms, store=store.name) for store in joining
    ]
    kinds = [kind for kind in FaultKind if kind is not FaultKind.JOIN]
    names = [store.name for store in stores]
    for _ in range(rng.randint(0, MAX_FAULTS)):
        faults += _draw_kind(draws, rng.choice(kinds), duration_ms, names, origin.name, loads)
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))


def _draw_kind(
    draws: Draws,
    kind: FaultKind,
    duration_ms: float,
    stores: Sequence[str],
    origin: str,
    loads: Sequence[ClassLoad],
) -> list[Fault]:
    rng = draws.rng
    at_ms, lasts_ms = rng.uniform(0.05, 0.8) * duration_ms, rng.uniform(100.0, 0.5 * duration_ms)
    match kind:
        case FaultKind.PURGE_OBJECT:
            return [_draw_purge(draws, duration_ms, loads) for _ in range(PURGES_AT_ONCE)]
        case FaultKind.PURGE_GROUP:
            return [Fault(kind, at_ms, group=rng.randrange(GROUPS))]
        case FaultKind.SLOW_ORIGIN:
            return [Fault(kind, at_ms, lasts_ms, factor=rng.uniform(2.0, 6.0))]
        case FaultKind.LATE_LISTS:
            return [Fault(kind, at_ms, lasts_ms, factor=rng.uniform(2.0, 5.0))]
        case FaultKind.ERRORS | FaultKind.RESETS | FaultKind.SILENCE:
            store = rng.choice([*stores, origin])
            return [Fault(kind, at_ms, lasts_ms, store, factor=rng.uniform(0.2, 0.9))]
        case _:
            return [Fault(kind, at_ms, lasts_ms, rng.choice(stores))]


def _draw_purge(draws: Draws, duration_ms: float, loads: Sequence[ClassLoad]) -> Fault:
    at_ms = draws.rng.uniform(0.0, 1.0) * duration_ms
    return Fault(FaultKind.PURGE_OBJECT, at_ms, object=_draw_object(draws, loads))


def _draw_object(draws: Draws, loads: Sequence[ClassLoad]) -> int:
    """One of the most popular objects."""
    place = draws.rng.randrange(len(loads))
    return place * OBJECTS_OF_CLASS + draws.rng.randrange(min(6, loads[place].objects))
