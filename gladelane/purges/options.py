"""The settings of fleet-wide purges from an operator's file."""

from __future__ import annotations

from typing import Literal

import msgspec


class Options(msgspec.Struct, frozen=True):
    """The settings of a director.

    Attributes: servers, the purge log servers as (host, port); token_file; folder, where purges are stored,
    or empty to store none; retention_ms; skew_ms, added to the time of every purge; delay_ms, after which a
    director that no server reaches is cut off; strict, the classes whose copies are then limited in age;
    cut_off_per_s, the initial rate of refetches if `origin_per_s` is not set; start_wait_ms, how long a start
    waits for a server; order_kinds, the kinds of servers that accept orders to drop copies; orders_per_s, the
    most orders a second to all servers together; origin_per_s, the rate of refetches that the origin can bear
    from all directors together, 0 if unknown; lost, whether strict classes void or serve copies from before a
    loss."""

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
