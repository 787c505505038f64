"""The `recovery` section of an operator's file."""

from __future__ import annotations

import msgspec


class Options(msgspec.Struct, frozen=True):
    """`dir` is the folder for learnt state and keys; without one nothing is stored. Learnt state is written
    every `every_ms` and used by the next process if it is no older than `most_age_ms`."""

    dir: str = ""
    every_ms: float = 5_000.0
    most_age_ms: float = 120_000.0
