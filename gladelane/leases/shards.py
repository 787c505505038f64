"""Division of the purge orders into shards, each of which is one leased resource. Pure.

A purge order tells a cache server to drop its copies of an object. Orders are idempotent, so every director
could send every order. A lease for each shard avoids the duplicates, and needs no fencing. A hash of its name
assigns a cache server to a shard. The preferred holders of the shards are spread evenly over the directors,
so that a director which stops hands over only its own shards.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

import msgspec

from ..control_plane.positions import InvalidPositionError, Vector, format_vector, parse_vector
from ..purges.orders import Orders


def shard_of(server: str, shard_count: int) -> int:
    """Returns the shard of a cache server, from 0."""
    return int.from_bytes(blake2b(server.encode(), digest_size=4).digest()) % shard_count


def shard_resource(shard: int) -> str:
    """Returns the name of the leased resource for a shard."""
    return f"orders-{shard:03d}"


def shard_ranks(shard_count: int, director_index: int, director_count: int) -> dict[str, int]:
    """Returns the rank of one director for each shard's resource; rank 0 is the preferred holder."""
    director_count = max(director_count, 1)
    return {
        shard_resource(shard): (director_index - shard * director_count // shard_count) % director_count
        for shard in range(shard_count)
    }


class ServerProgress(msgspec.Struct, array_like=True):
    """The purges that one cache server has acknowledged, and the start time of its process."""

    process_start: float
    acknowledged: str


_progress_decoder: msgspec.json.Decoder[dict[str, ServerProgress]] = msgspec.json.Decoder(
    dict[str, ServerProgress]
)


class ShardedOrders:
    """Decides for which cache servers this director sends purge orders, and exports and imports progress.

    While no director can hold any lease, every director sends the orders of all shards: a duplicate order is
    harmless, and a missing one is not.
    """

    def __init__(
        self,
        orders: Orders,
        shard_count: int,
        is_held: Callable[[str], bool],
        has_lost_quorum: Callable[[], bool],
        known_positions: Callable[[], Vector],
    ) -> None:
        """`is_held` returns whether this director holds a resource; `has_lost_quorum`, whether none can.

        `known_positions` returns the last purge that this director knows of each stream.
        """
        self._orders, self._shard_count = orders, shard_count
        self._is_held, self._has_lost_quorum = is_held, has_lost_quorum
        self._known_positions = known_positions
        self._resources: dict[str, str] = {}

    def resource_of(self, server: str) -> str:
        """Returns the resource whose holder sends the orders to a cache server."""
        if server not in self._resources:
            self._resources[server] = shard_resource(shard_of(server, self._shard_count))
        return self._resources[server]

    def is_responsible_for(self, server: str) -> bool:
        """Returns whether this director sends the orders to a cache server now."""
        return self._is_held(self.resource_of(server)) or self._has_lost_quorum()

    def export_progress(self, resource: str) -> str:
        """Returns the acknowledgements of a shard's cache servers for the next holder, or an empty text."""
        progress = {
            server: ServerProgress(process_start, format_vector(vector))
            for server, (process_start, vector) in self._orders.acknowledged_by(
                self._known_positions()
            ).items()
            if vector and self.resource_of(server) == resource
        }
        return msgspec.json.encode(progress).decode() if progress else ""

    def import_progress(self, resource: str, text: str) -> None:
        """Continues where the last holder of a shard stopped.

        Malformed text is ignored: all orders are then sent again, which is harmless.
        """
        try:
            progress = _progress_decoder.decode(text)
            vectors = {server: parse_vector(entry.acknowledged) for server, entry in progress.items()}
        except (msgspec.MsgspecError, InvalidPositionError):
            return
        for server, vector in vectors.items():
            if self.resource_of(server) == resource:
                self._orders.adopt_progress(server, progress[server].process_start, vector)
