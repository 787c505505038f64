"""Resource limits and open descriptors of this process, and its garbage collector."""

from __future__ import annotations

import gc
import logging
import os
import time
from collections.abc import Callable

log = logging.getLogger("gladelane")

STANDARD_DESCRIPTORS = 3  # stdin, stdout and stderr, with which every process starts
LONG_GC_PAUSE_MS = 10.0  # longer collections are logged
GC_THRESHOLDS = (5_000, 10, 10)  # high: reference counting frees nearly all objects, few are in cycles
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def descriptor_limit(configured: int) -> int:
    """The number of descriptors that may be open: the configured number, or the system's limit if that is
    lower."""
    allowed = os.sysconf("SC_OPEN_MAX")  # the current RLIMIT_NOFILE; -1 means unlimited
    return min(configured, allowed) if allowed > 0 else configured


def count_open_descriptors() -> int:
    """The number of descriptors that are open now."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # without the one that was opened to list them
    except OSError:
        return STANDARD_DESCRIPTORS


def resident_bytes() -> float:
    """The resident memory of this process; 0 if the system does not tell."""
    try:
        with open("/proc/self/statm", "rb") as statm:
            return float(int(statm.read().split()[1]) * PAGE_BYTES)
    except (OSError, IndexError, ValueError):
        return 0.0


def load_heap_trim() -> Callable[[], None]:
    """Returns a function that gives free memory back to the system, as malloc_trim(3) does; one without an
    effect if the C library has none."""
    try:
        import ctypes  # needed here only

        trim = ctypes.CDLL(None).malloc_trim
    except (ImportError, OSError, AttributeError) as error:
        log.info("free memory is not given back to the system: %s", error)
        return lambda: None
    trim.argtypes, trim.restype = [ctypes.c_size_t], ctypes.c_int

    def trim_heap() -> None:
        trim(0)

    return trim_heap


def freeze_startup_objects() -> None:
    """Excludes the objects created during the start from garbage collection, since they live as long as the
    process, and sets the collection thresholds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def log_long_gc_pauses() -> None:
    """Logs each garbage collection from now on that takes longer than LONG_GC_PAUSE_MS."""
    started_s = 0.0

    def on_gc(phase: str, info: dict[str, int]) -> None:
        nonlocal started_s
        if phase == "start":
            started_s = time.perf_counter()
        elif (pause_ms := (time.perf_counter() - started_s) * 1000.0) > LONG_GC_PAUSE_MS:
            log.warning("gc pause ms=%.0f generation=%d", pause_ms, info["generation"])

    gc.callbacks.append(on_gc)
