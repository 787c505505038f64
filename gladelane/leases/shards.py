"""Purge orders divided into shards, each of which is one leased resource. Pure.

A purge order tells a cache server to drop its copies of an object. Every director could send every order,
since an order may be repeated without harm; a lease for each shard saves the repetitions, and needs no
fencing. A cache server belongs to a shard by a hash of its name. The preferred holders of the shards are
spread evenly over the directors, so that a director which stops hands over its own shards only.
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
    """Up to which purge one cache server has acknowledged, and the start of the process that did."""

    process_start: float
    acknowledged: str


_progress_decoder: msgspec.json.Decoder[dict[str, ServerProgress]] = msgspec.json.Decoder(
    dict[str, ServerProgress]
)


class ShardedOrders:
    """Decides for which cache servers this director sends purge orders, and hands progress over.

    A director that does not hold the lease of a shard sends its orders all the same while no director can
    hold any lease: an order that is sent twice does no harm, and one that is not sent does.
    """

    def __init__(
        self,
        orders: Orders,
        shard_count: int,
        is_held: Callable[[str], bool],
        has_lost_quorum: Callable[[], bool],
        known_positions: Callable[[], Vector],
    ) -> None:
        """`is_held` tells whether this director holds a resource; `has_lost_quorum`, whether nobody can.

        `known_positions` returns the last purge of each stream that this director knows.
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
        """Returns what the cache servers of a shard have acknowledged, for the next holder; may be empty."""
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

        Text that cannot be read is ignored: the orders are then sent from the start, which does no harm.
        """
        try:
            progress = _progress_decoder.decode(text)
            vectors = {server: parse_vector(one.acknowledged) for server, one in progress.items()}
        except (msgspec.MsgspecError, InvalidPositionError):
            return
        for server, vector in vectors.items():
            if self.resource_of(server) == resource:
                self._orders.adopt_progress(server, progress[server].process_start, vector)
