"""Measures the data structures alone: lookups and plain scans, memory, and recovery from the log."""

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

from .random_scopes import STRICT_CLASS, draw_scope_of_any_kind

POPULAR_OBJECTS = 20_000
LOOKUPS, LOOKUP_ROUNDS = 50_000, 3
SCANNED_LOOKUPS = 2
PURGES_PER_MEASURED = 5  # memory is measured with one in this many purges


class Lookup(NamedTuple):
    """The object part that a request names."""

    class_name: str
    group: int
    object_id: int
    part: int


@dataclass(frozen=True)
class Recovery:
    """The time that a start takes to read the log, and to build the purges from it."""

    log_ms: float
    purges_ms: float


@dataclass(frozen=True)
class StructureFigures:
    """The results. The fields have the names of the report; `standing` is the number of active purges."""

    standing: int
    lookup_us: float
    lookup_us_scan: int
    bytes_per_purge: int
    recovery_ms: int
    recovery_log_ms: int


def measure_structures(count: int) -> StructureFigures:
    """Measures the data structures with `count` active purges."""
    rng = random.Random(3)
    at_ms = now_ms()
    sequence = IssuerSequence("bench", (), 0.0, at_ms)
    purges = [
        sequence.next(parse(draw_scope_of_any_kind(rng)).text(), at_ms + number / 100.0)
        for number in range(count)
    ]
    purge_bytes = bytes_per_purge(purges[: count // PURGES_PER_MEASURED], at_ms)
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
    """Applies all purges to a new index, which does not keep them for other servers."""
    active = ActivePurges(keeps_purges=False)
    for purge in purges:
        active.apply(purge, at_ms)
    return active


def bytes_per_purge(purges: Sequence[Purge], at_ms: float) -> float:
    """Returns the memory of the index for each purge."""
    tracemalloc.start()
    active = apply_all(purges, at_ms)
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del active  # it had to live until the memory was read
    return allocated / len(purges)


def draw_lookups(rng: random.Random) -> list[Lookup]:
    """Draws lookups, mostly of popular objects."""
    popular = [rng.getrandbits(64) for _ in range(POPULAR_OBJECTS)]
    weights = [1.0 / (index + 1) for index in range(len(popular))]
    chosen = rng.choices(popular, weights, k=LOOKUPS)
    return [Lookup(STRICT_CLASS, rng.randrange(256), object_id, 0) for object_id in chosen]


def time_lookups_us(active: ActivePurges, lookups: Sequence[Lookup], at_ms: float) -> float:
    """Returns the mean time of a lookup in the fastest of LOOKUP_ROUNDS rounds."""
    rounds_s = []
    for _ in range(LOOKUP_ROUNDS):
        started_s = time.perf_counter()
        for lookup in lookups:
            active.index.newest_purge_ms(*lookup, at_ms)
        rounds_s.append(time.perf_counter() - started_s)
    return min(rounds_s) / len(lookups) * 1e6


def time_scans_us(
    purges: Sequence[Purge], active: ActivePurges, lookups: Sequence[Lookup], at_ms: float
) -> float:
    """Returns the mean time of a scan over all purges, and asserts that it gives the result of the index."""
    scopes = [(purge.at_ms, parse(purge.scope)) for purge in purges]
    started_s = time.perf_counter()
    for lookup in lookups:
        newest_ms = max((purged_ms for purged_ms, scope in scopes if scope.covers(*lookup)), default=0.0)
        assert newest_ms == active.index.newest_purge_ms(*lookup, at_ms)
    return (time.perf_counter() - started_s) / len(lookups) * 1e6


def time_recovery(purges: Sequence[Purge], at_ms: float) -> Recovery:
    """Returns the time of a recovery from a log that has all purges."""
    with tempfile.TemporaryDirectory(prefix="gl") as folder:
        log, _ = recover(Folder(folder), "never")
        for purge in purges:
            log.append(encode_purge(purge))
        log.commit()
        log.close()
        started_s = time.perf_counter()
        found = recover(Folder(folder))[1]
        read_s = time.perf_counter()
        active = ActivePurges()
        with without_gc():
            for record in found.records:
                active.apply(purge_decoder.decode(record), at_ms)
        built_s = time.perf_counter()
    assert len(found.records) == len(purges)
    return Recovery((read_s - started_s) * 1000.0, (built_s - read_s) * 1000.0)
