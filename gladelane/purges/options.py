"""What an operator's file says of fleet-wide purges."""

from __future__ import annotations

from typing import Literal

import msgspec


class Options(msgspec.Struct, frozen=True):
    """What the operator's file says. Times in ms; feeds as (host, port)."""

    feeds: tuple[tuple[str, int], ...]
    token_file: str
    folder: str
    retention_ms: float
    skew_ms: float
    delay_ms: float
    strict: frozenset[str]
    cut_off_per_s: float
    start_wait_ms: float
    order_kinds: frozenset[str] = frozenset()
    orders_per_s: float = 50.0
    origin_per_s: float = 0.0  # renewals that the origin bears from all directors; 0: not known
    lost: Literal["void", "serve"] = "void"  # what strict classes make of copies from before a loss
