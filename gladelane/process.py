"""What the operating system says of this process, and its garbage collector."""

from __future__ import annotations

import gc
import logging
import os
import time

log = logging.getLogger("gladelane")

STANDARD_DESCRIPTORS = 3  # with which a process is started
LONG_GC_PAUSE_MS = 10.0  # a collection this long is logged
GC_THRESHOLDS = (50_000, 10, 10)  # nearly all objects are freed by their last reference; cycles are few


def descriptor_limit(configured: int) -> int:
    """How many descriptors may be open: by the configuration, or by the system if that allows fewer."""
    allowed = os.sysconf("SC_OPEN_MAX")  # RLIMIT_NOFILE as it is now; -1: without bound
    return min(configured, allowed) if allowed > 0 else configured


def open_descriptors() -> int:
    """The number of descriptors that are open now."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # less the one that lists them
    except OSError:
        return STANDARD_DESCRIPTORS


def freeze_startup_objects() -> None:
    """What the start has made stays: full collections need not walk it. Sets the thresholds of
    collections."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def watch_gc() -> None:
    """Logs each long pause of the garbage collector from now on."""
    started_s = 0.0

    def on_gc(phase: str, info: dict[str, int]) -> None:
        nonlocal started_s
        if phase == "start":
            started_s = time.perf_counter()
        elif (pause_ms := (time.perf_counter() - started_s) * 1000.0) > LONG_GC_PAUSE_MS:
            log.warning("gc pause ms=%.0f generation=%d", pause_ms, info["generation"])

    gc.callbacks.append(on_gc)
