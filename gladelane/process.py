"""What the operating system says of this process, and its garbage collector's pauses."""

from __future__ import annotations

import gc
import logging
import os
import time

log = logging.getLogger("gladelane")

STANDARD = 3  # descriptors that a process is started with
GC_LONG_MS = 10.0  # a collection this long is logged


def most_descriptors(told: int) -> int:
    """By the configuration, or by the system where that allows fewer."""
    allowed = os.sysconf("SC_OPEN_MAX")  # RLIMIT_NOFILE as it is now; -1: without bound
    return min(told, allowed) if allowed > 0 else told


def open_descriptors() -> int:
    """Those of this process now."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # less the one that lists them
    except OSError:
        return STANDARD


def watch_gc() -> None:
    began = 0.0

    def told(phase: str, info: dict[str, int]) -> None:
        nonlocal began
        if phase == "start":
            began = time.perf_counter()
        elif (pause := (time.perf_counter() - began) * 1000.0) > GC_LONG_MS:
            log.warning("gc pause ms=%.0f generation=%d", pause, info["generation"])

    gc.callbacks.append(told)
