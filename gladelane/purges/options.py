"""The settings of fleet-wide purges from an operator's file."""

from __future__ import annotations

from typing import Literal

import msgspec


class Options(msgspec.Struct, frozen=True):
    """The settings of a director.

    Attributes: servers, the purge log servers as (host, port); token_file; folder, where purges are stored,
    empty for nowhere; retention_ms; skew_ms, added to every moment; delay_ms, after which a director without
    a server is cut off; strict, the classes that are then bound; cut_off_per_s, renewals a second at first if
    `origin_per_s` is not set; start_wait_ms, how long a start waits for a server; order_kinds, the kinds of
    servers that take orders to drop copies; orders_per_s, over all servers; origin_per_s, renewals that the
    origin can bear from all directors together, 0 if unknown; lost, what strict classes do with copies from
    before a loss."""

    servers: tuple[tuple[str, int], ...]
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
    origin_per_s: float = 0.0
    lost: Literal["void", "serve"] = "void"
