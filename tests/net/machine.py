"""What a busy machine adds to a time that was measured, as opposed to the program."""

from __future__ import annotations

from pathlib import Path

PROC = Path("/proc")  # PID/schedstat: ns on a core, ns ready to run without one, turns; of the main thread


def waited_for_core_s(process: int | str = "self") -> float:
    """How long the main thread of a process, by its number, has been ready to run while others had the cores, since
    its start. What the program itself computes is not in it. 0.0 where the system does not count, and for a process
    that has ended."""
    try:
        return int((PROC / str(process) / "schedstat").read_text().split()[1]) / 1e9
    except OSError:
        return 0.0
