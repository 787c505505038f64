"""The copies of a fake cache, parent or origin, with fills and joined fills.

A copy is dated by when the origin sent it out; one that is older than the request accepts is fetched again. A
running fill is joined without a further check, as real caches do, so its copy may be older than a purge
that came meanwhile. The body of an answer is the date of the copy, so that clients can verify its age.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

from ..purges.scope import parse
from .fake_server import Said, Seen

PartKey = tuple[str, int]  # 16 hex digits of the object, and the part


def now_ms() -> float:
    """The time in Unix ms."""
    return time.time() * 1000.0


class FakeCacheStore:
    """The storage of one server. `sources`: the stores that the field `parent` of a request may name.

    Without sources it is the origin, which has new copies of all objects."""

    def __init__(self, sources: Mapping[str, FakeCacheStore] | None = None, fill_s: float = 0.0) -> None:
        self.sources = dict(sources or {})
        self.fill_s = fill_s
        self.copies: dict[PartKey, float] = {}
        self.groups: dict[str, int] = {}  # group of each object, if known: purges may name groups
        self.filling: dict[PartKey, asyncio.Future[float]] = {}
        self.asked: list[float] = []  # when the origin got requests, in s of the loop
        self.eager = False  # joins fills without the hint, as some caches do
        self.hits = self.fills = self.joins = self.dropped = 0

    async def answer(self, seen: Seen) -> Said:
        """The answer to a request: a copy, the result of a fill, or a miss."""
        fields = seen.fields
        key = fields["thing"].lower(), int(fields["nth"])
        accept = float(fields.get("accept", 0.0))
        if not self.sources:
            dated, note = await self.get(key, 0.0), "h"
        elif (cached := self._cached_date(key, accept)) is not None:
            self.hits += 1
            dated, note = cached, "h"
        elif (source := self.sources.get(fields.get("parent", ""))) is not None:
            dated = await self._fill(key, accept, source, "coalesce" in fields.get("hints", ""))
            note = "f"
        else:
            return "not_here -", b""
        return f"served digest=d,dated={int(dated)},remark={note}", b"\x00%d" % int(dated)

    async def get(self, key: PartKey, accept: float) -> float:
        """Serves a fill of another store; returns the date of the copy."""
        if not self.sources:
            self.asked.append(asyncio.get_running_loop().time())
            return now_ms()
        cached = self._cached_date(key, accept)
        if cached is not None:
            return cached
        return await self._fill(key, accept, next(iter(self.sources.values())), True)

    def _cached_date(self, key: PartKey, accept: float) -> float | None:
        dated = self.copies.get(key)
        if dated is None or (accept and now_ms() - dated > accept):
            return None
        return dated

    async def _fill(self, key: PartKey, accept: float, source: FakeCacheStore, join: bool) -> float:
        under_way = self.filling.get(key)
        if (join or self.eager) and under_way is not None:
            self.joins += 1
            return await asyncio.shield(under_way)
        future: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        self.filling[key] = future
        self.fills += 1
        dated = await source.get(key, accept)
        await asyncio.sleep(self.fill_s)  # the transfer of the copy
        self.copies[key] = max(dated, self.copies.get(key, 0.0))
        if self.filling.get(key) is future:
            del self.filling[key]
        future.set_result(dated)
        return dated

    def drop(self, order: str) -> None:
        """Carries out an order `MOMENT SCOPE`: removes older copies. A scope by class covers all classes."""
        at, _, text = order.partition(" ")
        scope = parse(text)
        for key, dated in list(self.copies.items()):
            group = self.groups.get(key[0], -1)
            if dated < float(at) and any(
                box._replace(cls="").covers("", group, int(key[0], 16), key[1]) for box in scope.boxes
            ):
                del self.copies[key]
                self.dropped += 1
