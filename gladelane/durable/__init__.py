"""State that outlives a process: one write-ahead log with snapshots, for all who keep state.

`files` is the little that the log asks of a disk, `log` the format, its writing and its recovery.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def without_gc() -> Iterator[None]:
    """For recovery: hundreds of thousands of objects that stay are made, and each full collection would walk
    them all again."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()
