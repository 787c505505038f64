"""The settings of leases in an operator's file."""

from __future__ import annotations

import msgspec


class LeaseOptions(msgspec.Struct, frozen=True):
    """`duration_ms` is that of a lease; `shard_count` is how many parts the purge orders are divided into."""

    duration_ms: float = 3_000.0
    shard_count: int = 16
