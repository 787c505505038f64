"""What an operator's file says of ownership."""

from __future__ import annotations

import msgspec


class Options(msgspec.Struct, frozen=True):
    """length_ms: of a lease; shards: pieces that the servers' orders are parted into."""

    length_ms: float = 3_000.0
    shards: int = 16
