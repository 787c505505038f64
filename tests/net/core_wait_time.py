"""The part of a measured time that is due to other processes on the machine, not to the program under test."""

from __future__ import annotations

from pathlib import Path

#: PID/schedstat holds, for the main thread: ns on a core, ns runnable without a core, number of time slices
PROC = Path("/proc")


def get_core_wait_s(process: int | str = "self") -> float:
    """How long the main thread of a process, given by its process id, has been runnable without a core since its start.
    The time of its own computation is not included. Returns 0.0 where the system does not count this time, and for a
    process that has ended."""
    try:
        return int((PROC / str(process) / "schedstat").read_text().split()[1]) / 1e9
    except OSError:
        return 0.0
