"""The lease settings in an operator's file."""

from __future__ import annotations

import msgspec


class LeaseOptions(msgspec.Struct, frozen=True):
    """`duration_ms` is the duration of a lease, and `shard_count` the number of purge order shards."""

    duration_ms: float = 3_000.0
    shard_count: int = 16
