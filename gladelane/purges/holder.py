"""What a director holds of the fleet's purges: follows every feed, binds at once what it hears, and stores it
where a lasting folder is set. Decisions stand in `standing` and `cutoff`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping

import msgspec

from ..durable import without_gc
from ..durable.files import Disk
from ..durable.log import Broken, Log, recover
from .cutoff import CutOff
from .follow import Follower
from .deliver import Deliver
from .index import Index
from .order import BadPurge, Purge, Vector
from .orders import Orders
from .scope import BadScope
from .standing import Standing
from .tokens import Tokens

log = logging.getLogger(__name__)

LOOK_S = 0.2  # how often the link to the feeds is judged
FORGET_EVERY = 300  # looks
SNAPSHOT_AFTER = 20_000
ORDERS_AT_ONCE = 8


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


class _Stored(msgspec.Struct, array_like=True):
    """A record of the director's log: purges as they were taken, and how far a feed had told all."""

    purges: list[Purge] = []
    reached: list[tuple[str, int, int]] = []


class Holder:
    def __init__(
        self, options: Options, index: Index, clock: Callable[[], float], disk: Disk | None = None
    ) -> None:
        """Recovers from the disk, if there is one. Raises Damaged, BadTokens and OSError."""
        self.options, self.clock = options, clock
        now = clock()
        keep = disk is not None or bool(options.order_kinds)
        self.standing = Standing(index, keep, options.retention_ms, options.skew_ms)
        self.orders = Orders(options.orders_per_s, ORDERS_AT_ONCE, now)
        self.cut_off = CutOff(options.delay_ms, options.strict, options.cut_off_per_s, now, log.warning)
        self._tokens = Tokens(options.token_file)
        self._log: Log | None = None
        self._fresh = _Stored()
        self._records = 0
        if disk is not None:
            self._recover(disk, now)
        self.followers = [
            Follower(
                host, port, self._tokens.own, self.standing.positions.vector, self.take, self._reached, clock
            ) for host, port in options.feeds
        ]
        self._tasks: list[asyncio.Task[None]] = []
        if options.order_kinds:
            self.orders.add(self.standing.beyond({}))

    def _recover(self, disk: Disk, now: float) -> None:
        self._log, found = recover(disk)
        with without_gc():
            if found.snapshot is not None:
                self.standing.restore(found.snapshot, now)
            for record in found.records:
                stored: _Stored = msgspec.msgpack.decode(record, type=_Stored)
                for purge in stored.purges:
                    self.standing.take(purge, now)
                self.standing.positions.adopt({(i, e): last for i, e, last in stored.reached})
        self._records = len(found.records)
        standing, records = len(self.standing), self._records
        log.info("purges recovered standing=%d records=%d cut=%d", standing, records, found.cut)

    def start(self, deliver: Deliver | None = None) -> None:
        self._tasks = [asyncio.create_task(one.run()) for one in self.followers]
        if deliver is not None and self.options.order_kinds:
            self._tasks.append(asyncio.create_task(deliver.run()))
        self._tasks.append(asyncio.create_task(self._look()))

    async def ready(self) -> None:
        """Until one feed has told all that it has, or `start_wait_ms`: then strict classes are bound as when
        cut off, and the director serves."""
        waits = [asyncio.create_task(one.caught_up.wait()) for one in self.followers]
        done, late = await asyncio.wait(
            waits, timeout=self.options.start_wait_ms / 1000.0, return_when=asyncio.FIRST_COMPLETED
        )
        for one in late:
            one.cancel()
        if not done:
            log.error("no feed reached within ms=%.0f", self.options.start_wait_ms)
        self.judge()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._log is not None:
            await self._store()
            self._log.close()

    # --- what is told

    def take(self, purges: list[Purge]) -> None:
        now = self.clock()
        for purge in purges:
            try:
                new = self.standing.take(purge, now)
            except (BadPurge, BadScope) as error:
                log.error("bad purge issuer=%.64s seq=%s: %s", purge.issuer, purge.seq, error)
                continue
            if new and self._log is not None:
                self._fresh.purges.append(purge)
            if new and self.options.order_kinds:
                self.orders.add((purge,))

    def _reached(self, vector: Vector) -> None:
        positions = self.standing.positions
        if not positions.reaches(vector):
            positions.adopt(vector)
            self._fresh.reached += [(issuer, epoch, last) for (issuer, epoch), last in vector.items()]

    def listed(self, runs: Mapping[str, tuple[str, float]]) -> None:
        """The servers of the list: each one's kind and the start of its process."""
        kinds = self.options.order_kinds
        self.orders.servers({name: run for name, (kind, run) in runs.items() if kind in kinds})

    # --- what is asked

    def oldest_ms(self, cls: str) -> float:
        """The oldest copy that may be accepted, in ms: nothing older than the retention can be vouched
        for."""
        bound = self.cut_off.oldest_ms(cls)
        return min(bound, self.standing.oldest_ms()) if bound else self.standing.oldest_ms()

    def admits(self, cls: str) -> bool:
        return self.cut_off.admits(cls, self.clock())

    def judge(self) -> None:
        """Whether the director is cut off. A feed counts while all that it named is known here."""
        self.cut_off.update(max((one.caught_ms for one in self.followers), default=0.0), self.clock())

    # --- background

    async def _look(self) -> None:
        looks = 0
        while True:
            await asyncio.sleep(LOOK_S)
            self.judge()
            looks += 1
            if looks % FORGET_EVERY == 0:
                self.standing.forget(self.clock())
                self.orders.compact(self.standing.beyond({}), len(self.standing))
            try:
                await self._store()
            except (OSError, Broken) as error:  # what binds goes on binding; a restart asks the feeds again
                log.error("purges not stored: %s", error)
                self._log = None

    async def _store(self) -> None:
        if self._log is None or not (self._fresh.purges or self._fresh.reached):
            return
        fresh, self._fresh = self._fresh, _Stored()
        self._log.append(msgspec.msgpack.encode(fresh))
        await asyncio.to_thread(self._log.commit)
        self._records += len(fresh.purges) or 1
        if self._records >= SNAPSHOT_AFTER:
            payload = self.standing.snapshot()  # not in a thread: purges come in meanwhile
            await asyncio.to_thread(self._log.snapshot, payload)
            self._records = 0
