"""Which piece of work a server's orders belong to, who is to have it first, and what its owner leaves for the
next. Pure.

Orders to drop copies may be carried out twice without harm, so a fence would guard nothing here; what one
owner a shard saves is everybody's sending each order. Shards are spread over directors by their numbers; when
one is gone its shards alone move, to the next number.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

import msgspec

from ..control.positions import BadPosition, Vector, read_vector, vector_text
from ..purges.orders import Orders


def shard_of(server: str, shards: int) -> int:
    return int.from_bytes(blake2b(server.encode(), digest_size=4).digest()) % shards


def work_of(shard: int) -> str:
    return f"orders-{shard:03d}"


def works(shards: int, me: int, directors: int) -> dict[str, int]:
    """All pieces of work, with this director's place for each."""
    directors = max(directors, 1)
    return {work_of(n): (me - n * directors // shards) % directors for n in range(shards)}


class Left(msgspec.Struct, array_like=True):
    """Of one server: its process's start, and up to where it has acknowledged."""

    run: float
    vector: str


_left_decoder: msgspec.json.Decoder[dict[str, Left]] = msgspec.json.Decoder(dict[str, Left])


class Sharded:
    """holds: whether this director has a work now; alone: nobody can have any, so everybody does all."""

    def __init__(
        self,
        orders: Orders,
        shards: int,
        holds: Callable[[str], bool],
        alone: Callable[[], bool],
        reached: Callable[[], Vector],
    ) -> None:
        self._orders, self._shards, self._holds, self._alone = orders, shards, holds, alone
        self._reached = reached
        self._shard: dict[str, str] = {}

    def work(self, server: str) -> str:
        if server not in self._shard:
            self._shard[server] = work_of(shard_of(server, self._shards))
        return self._shard[server]

    def owned(self, server: str) -> bool:
        return self._holds(self.work(server)) or self._alone()

    def progress(self, work: str) -> str:
        """What the servers of a work have acknowledged, for its next owner."""
        told = {
            server: Left(run, vector_text(vector))
            for server, (run, vector) in self._orders.acknowledged_by(self._reached()).items()
            if self.work(server) == work and vector
        }
        return msgspec.json.encode(told).decode() if told else ""

    def resume(self, work: str, text: str) -> None:
        """What the owner before left. What cannot be read is begun again: that does no harm."""
        try:
            left = _left_decoder.decode(text)
            vectors = {server: read_vector(one.vector) for server, one in left.items()}
        except (msgspec.MsgspecError, BadPosition):
            return
        for server, vector in vectors.items():
            if self.work(server) == work:
                self._orders.resume(server, left[server].run, vector)
