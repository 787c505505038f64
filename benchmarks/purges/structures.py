"""The data structures alone: lookups against a plain scan, memory, and recovery from the log."""

from __future__ import annotations

import random
import tempfile
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gladelane.lab.fake_cache_store import now_ms
from gladelane.purges.active_purges import ActivePurges
from gladelane.purges.purge import IssuerSequence, Purge
from gladelane.purges.scope import parse
from gladelane.purges.wire import encode_purge, purge_decoder
from gladelane.storage import without_gc
from gladelane.storage.files import Folder
from gladelane.storage.log import recover

from .draws import STRICT, draw_scope_of_any_kind

POPULAR_OBJECTS = 20_000
LOOKUPS, LOOKUP_ROUNDS = 50_000, 3
SCANNED_LOOKUPS = 2
MEASURED_SHARE = 5  # one in so many purges is enough to see what one takes


class Lookup(NamedTuple):
    """An object part as a request names it."""

    class_name: str
    group: int
    object_id: int
    part: int


@dataclass(frozen=True)
class Recovery:
    """How long a start takes to read the log, and to build the purges from it."""

    log_ms: float
    purges_ms: float


@dataclass(frozen=True)
class StructureFigures:
    """The names are those of the report."""

    standing: int
    lookup_us: float
    lookup_us_scan: int
    bytes_per_purge: int
    recovery_ms: int
    recovery_log_ms: int


def measure_structures(count: int) -> StructureFigures:
    """With so many active purges."""
    rng = random.Random(3)
    at_ms = now_ms()
    sequence = IssuerSequence("bench", (), 0.0, at_ms)
    purges = [
        sequence.next(parse(draw_scope_of_any_kind(rng)).text(), at_ms + number / 100.0)
        for number in range(count)
    ]
    purge_bytes = bytes_per_purge(purges[: count // MEASURED_SHARE], at_ms)
    active = apply_all(purges, at_ms)
    lookups = draw_lookups(rng)
    lookup_us = time_lookups_us(active, lookups, at_ms)
    scan_us = time_scans_us(purges, active, lookups[:SCANNED_LOOKUPS], at_ms)
    recovery = time_recovery(purges, at_ms)
    return StructureFigures(
        standing=count,
        lookup_us=round(lookup_us, 2),
        lookup_us_scan=round(scan_us),
        bytes_per_purge=round(purge_bytes),
        recovery_ms=round(recovery.log_ms + recovery.purges_ms),
        recovery_log_ms=round(recovery.log_ms),
    )


def apply_all(purges: Sequence[Purge], at_ms: float) -> ActivePurges:
    """The index alone: it keeps no purges to hand on."""
    active = ActivePurges(keeps_purges=False)
    for purge in purges:
        active.apply(purge, at_ms)
    return active


def bytes_per_purge(purges: Sequence[Purge], at_ms: float) -> float:
    """Memory of the index for each purge."""
    tracemalloc.start()
    active = apply_all(purges, at_ms)
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del active  # that was alive until here
    return allocated / len(purges)


def draw_lookups(rng: random.Random) -> list[Lookup]:
    """Of popular objects mostly."""
    popular = [rng.getrandbits(64) for _ in range(POPULAR_OBJECTS)]
    weights = [1.0 / (place + 1) for place in range(len(popular))]
    chosen = rng.choices(popular, weights, k=LOOKUPS)
    return [Lookup(STRICT, rng.randrange(256), object_id, 0) for object_id in chosen]


def time_lookups_us(active: ActivePurges, lookups: Sequence[Lookup], at_ms: float) -> float:
    """One lookup, in the fastest of some rounds."""
    rounds_s = []
    for _ in range(LOOKUP_ROUNDS):
        began_s = time.perf_counter()
        for lookup in lookups:
            active.index.newest_purge_ms(*lookup, at_ms)
        rounds_s.append(time.perf_counter() - began_s)
    return min(rounds_s) / len(lookups) * 1e6


def time_scans_us(
    purges: Sequence[Purge], active: ActivePurges, lookups: Sequence[Lookup], at_ms: float
) -> float:
    """One lookup by a scan over all purges, which must give what the index gives."""
    scopes = [(purge.at_ms, parse(purge.scope)) for purge in purges]
    began_s = time.perf_counter()
    for lookup in lookups:
        newest_ms = max((purged_ms for purged_ms, scope in scopes if scope.covers(*lookup)), default=0.0)
        assert newest_ms == active.index.newest_purge_ms(*lookup, at_ms)
    return (time.perf_counter() - began_s) / len(lookups) * 1e6


def time_recovery(purges: Sequence[Purge], at_ms: float) -> Recovery:
    """From a log that has all of them."""
    with tempfile.TemporaryDirectory(prefix="gl") as folder:
        log, _ = recover(Folder(folder), "never")
        for purge in purges:
            log.append(encode_purge(purge))
        log.commit()
        log.close()
        began_s = time.perf_counter()
        found = recover(Folder(folder))[1]
        read_s = time.perf_counter()
        active = ActivePurges()
        with without_gc():
            for record in found.records:
                active.apply(purge_decoder.decode(record), at_ms)
        built_s = time.perf_counter()
    assert len(found.records) == len(purges)
    return Recovery((read_s - began_s) * 1000.0, (built_s - read_s) * 1000.0)
