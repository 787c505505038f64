"""What an operator's file says of coming back."""

from __future__ import annotations

import msgspec


class Options(msgspec.Struct, frozen=True):
    """Of the operator's file. dir: empty: nothing is kept."""

    dir: str = ""
    every_ms: float = 5_000.0
    most_age_ms: float = 120_000.0
