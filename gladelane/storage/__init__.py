"""Storage of state that outlives a process: one write-ahead log with snapshots, used by all services.

`log` opens and recovers a log, `write_ahead_log` appends to it, and `log_format` defines its bytes. `files`
has the `Disk` protocol and its implementation in a folder, `compaction` replaces long logs by snapshots,
`outage` logs the start and the end of storage failures, and `boot` provides timestamps that stay comparable
when the wall clock is stepped.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def without_gc() -> Iterator[None]:
    """Disables garbage collection during a recovery.

    Recovery creates hundreds of thousands of objects that stay, and each full collection would traverse all
    of them again.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
