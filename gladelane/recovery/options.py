"""The `recovery` section of an operator's file."""

from __future__ import annotations

import msgspec


class Options(msgspec.Struct, frozen=True):
    """`dir` is the folder for learned state and idempotency keys; if it is empty, nothing is stored. Learned
    state is written every `write_interval_ms`, and the next process uses it if it is no older than
    `max_age_ms`."""

    dir: str = ""
    write_interval_ms: float = 5_000.0
    max_age_ms: float = 120_000.0
