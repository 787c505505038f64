"""What a director holds of the fleet's purges: follows every feed, binds at once what it hears, and stores it
where a lasting folder is set. Decisions stand in `active_purges` and `cutoff`."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Mapping

import msgspec

from ..control.http import CALL_ERRORS, fetch
from ..control.positions import BadPosition, Vector, vector_text
from ..control.tokens import Tokens
from ..durable import without_gc
from ..durable.files import Disk
from ..durable.log import Broken, Log, recover
from ..interface import PurgeIndex
from ..routes.renewal import Cause, Renewal, Thing
from .active_purges import ActivePurges
from .cutoff import CutOff, Link
from .deliver import Deliver
from .horizon import Loss
from .index import scope_index
from .options import Options
from .order import BadPurge, Purge
from .orders import Orders
from .reseed import Reseed
from .scope import BadScope
from .subscriber import Subscriber
from .wire import Event, batches, encode_json

log = logging.getLogger(__name__)

LOOK_S = 0.2  # how often the link to the feeds is judged
FORGET_EVERY = 300  # looks
SNAPSHOT_AFTER = 20_000
ORDERS_AT_ONCE = 8


class _Stored(msgspec.Struct, array_like=True):
    """A record of the director's log: purges as they were taken, and how far a feed had told all."""

    purges: list[Purge] = []
    reached: list[tuple[str, int, int]] = []
    losses: list[Loss] = []


class Holder:
    def __init__(
        self,
        options: Options,
        index: PurgeIndex,
        clock: Callable[[], float],
        disk: Disk | None = None,
        directors: int = 1,
        rng: random.Random | None = None,
    ) -> None:
        """Recovers from the disk, if there is one. directors: who share the origin. Raises Damaged,
        BadTokens, OSError, and TypeError for an index that takes no scopes."""
        self.options, self.clock = options, clock
        now = clock()
        rng = rng or random.Random()
        self.standing = ActivePurges(scope_index(index), True, options.retention_ms, options.skew_ms)
        self.orders = Orders(options.orders_per_s, ORDERS_AT_ONCE, now)
        self.cut_off = CutOff(options.delay_ms, options.strict, log.warning)
        part = options.origin_per_s / max(directors, 1)
        self.renewal = Renewal(part or options.cut_off_per_s, part, now, rng)
        self.renewal.begin(Cause.CUT_OFF, now)
        self.reseeded = 0
        self._tokens = Tokens(options.token_file)
        self._log: Log | None = None
        self._fresh = _Stored()
        self._records = 0
        if disk is not None:
            self._recover(disk, now)
        self._since = 0.0  # copies from before it may be older than a purge that is lost
        self.turned: Callable[[], None] = lambda: None  # hears that something else is known now
        self.followers = [self._subscriber(host, port) for host, port in options.feeds]
        self._lacks = [(one, Reseed(rng)) for one in self.followers]
        self._marks: dict[Subscriber, Vector] = {}
        self._look_at_horizon()
        self._tasks: list[asyncio.Task[None]] = []
        self._seeding: set[asyncio.Task[None]] = set()
        if options.order_kinds:
            self.orders.add(self.standing.beyond({}))

    def _subscriber(self, host: str, port: int) -> Subscriber:
        def told_mark(vector: Vector) -> None:
            self._marks[one] = vector
            self._reached(vector)

        one = Subscriber(
            host,
            port,
            self._tokens.own,
            self.standing.positions.vector,
            self.take,
            told_mark,
            self.clock,
            on_losses=self._told_losses,
        )
        return one

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
                self.standing.horizon.tell(stored.losses, now)
        self._records = len(found.records)
        standing, records = len(self.standing), self._records
        log.info("purges recovered standing=%d records=%d cut=%d", standing, records, found.cut)

    def start(self, deliver: Deliver | None = None) -> None:
        self._tasks = [asyncio.create_task(one.run()) for one in self.followers]
        if deliver is not None and self.options.order_kinds:
            self._tasks.append(asyncio.create_task(deliver.run()))
        self._tasks += [asyncio.create_task(self._look()), asyncio.create_task(self._keep())]

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
        for task in (*self._tasks, *self._seeding):
            task.cancel()
        await asyncio.gather(*self._tasks, *self._seeding, return_exceptions=True)
        if self._log is not None:
            await self._store()
            self._log.close()

    # --- what is told

    def take(self, purges: list[Purge]) -> None:
        now = self.clock()
        for purge in purges:
            try:
                new = self.standing.take(purge, now)
            except (BadPurge, BadPosition, BadScope) as error:
                log.error("bad purge issuer=%.64s seq=%s: %s", purge.issuer, purge.seq, error)
                continue
            if new and self._log is not None:
                self._fresh.purges.append(purge)
            if new and self.options.order_kinds:
                self.orders.add((purge,))
        self.turned()

    def _reached(self, vector: Vector) -> None:
        positions = self.standing.positions
        if not positions.reaches(vector):
            positions.adopt(vector)
            self._fresh.reached += [(issuer, epoch, last) for (issuer, epoch), last in vector.items()]
            self.turned()

    def _told_losses(self, event: Event) -> None:
        changed = self.standing.horizon.tell(event.losses, self.clock())
        if changed:
            self._fresh.losses += changed
            self._look_at_horizon()

    def _look_at_horizon(self) -> None:
        """A horizon that rises makes copies void; one that falls gives them back."""
        since, now = self.standing.known_since(self.clock()), self.clock()
        if since == self._since:
            return
        was, self._since = self._since, since
        self.turned()
        strict = ",".join(sorted(self.options.strict)) or "none"
        if since > was:
            log.error(
                "purges may be lost since=%.0f lost=%s: copies from before are %s for strict=%s, served else",
                since,
                ",".join(f"{loss.issuer}:{loss.epoch}" for loss in self.standing.horizon.open()),
                "void" if self.options.lost == "void" else "served",
                strict,
            )
            if self.options.lost == "void":
                self.renewal.begin(Cause.LOST, now)
        else:
            log.warning("purges are known again since=%.0f", since)
            if not since:
                self.renewal.end(Cause.LOST)

    def own_token(self) -> str:
        """As it is shown to feeds."""
        return self._tokens.own()

    def follow_again(self) -> None:
        """All feeds, from the beginning."""
        for one in self.followers:
            one.restart()

    def listed(self, runs: Mapping[str, tuple[str, float]]) -> None:
        """The servers of the list: each one's kind and the start of its process."""
        kinds = self.options.order_kinds
        self.orders.servers({name: run for name, (kind, run) in runs.items() if kind in kinds})

    # --- what is asked

    def oldest_ms(self, cls: str) -> float:
        """The oldest copy that may be accepted, in ms: nothing older than the retention can be vouched
        for."""
        oldest = self.standing.oldest_ms()
        if cls in self.options.strict:
            oldest = min(self.cut_off.oldest_ms(cls) or oldest, oldest)
            if self._since and self.options.lost == "void":
                oldest = min(oldest, max(self.clock() - self._since, 1.0))
        return oldest

    def admits(self, cls: str, thing: Thing, worth: float) -> float:
        """0: it may go on; else the moment to come back, in ms. worth: the part of what the best class
        earns."""
        if cls not in self.options.strict:
            return 0.0
        return self.renewal.admits(thing, worth, self.oldest_ms(cls), self.clock())

    def answered(self, cls: str, thing: Thing, dated_ms: float, in_time: bool) -> None:
        """An attempt has ended; dated_ms: of the copy that answered, 0: none did."""
        if cls in self.options.strict:
            self.renewal.answered(thing, dated_ms, in_time)

    def judge(self) -> None:
        """Whether the director is cut off, and what of the budget still binds. A feed counts while all that
        it named is known here."""
        now, was = self.clock(), self.cut_off.link
        self.cut_off.update(max((one.caught_ms for one in self.followers), default=0.0), now)
        link = self.cut_off.link
        if link is not was:
            if link is Link.CUT_OFF:
                self.renewal.begin(Cause.CUT_OFF, now)
            elif link is Link.RETURNING:
                self.renewal.begin(Cause.BACK, now)
        if link is not Link.CUT_OFF:
            self.renewal.end(Cause.CUT_OFF)
        self._look_at_horizon()  # it ends with the retention
        if self.renewal.quiet(now):
            self.renewal.end(Cause.LOST)
            if link is Link.FOLLOWS:
                self.renewal.end(Cause.BACK)

    @property
    def follows(self) -> bool:
        """Whether some feed has told all that it knows, lately."""
        return self.cut_off.link is not Link.CUT_OFF

    def lines(self) -> list[tuple[str, int]]:
        """For the operators' figures."""
        renewal = self.renewal
        return [
            ("purges_standing", len(self.standing)),
            ("purges_known_since_ms", int(self._since)),
            ("feeds_followed", sum(one.state == "follows" for one in self.followers)),
            ("renewals", renewal.renewed),
            ("renewals_refused", renewal.refused),
            ("renewals_bind", int(renewal.binds)),
            ("reseeded", self.reseeded),
        ]

    # --- background

    async def _look(self) -> None:
        looks = 0
        while True:
            await asyncio.sleep(LOOK_S)
            self.judge()
            for one, reseed in self._lacks:
                told = self._marks.get(one) if one.state == "follows" else None
                if reseed.due(self.standing.positions.vector(), told, self.clock()):
                    task = asyncio.create_task(self._seed(one, told or {}))
                    self._seeding.add(task)
                    task.add_done_callback(self._seeding.discard)
            looks += 1
            if looks % FORGET_EVERY == 0:
                self.standing.forget(self.clock())
                self.orders.compact(self.standing.beyond({}), len(self.standing))

    async def _keep(self) -> None:
        """Beside the looks: a disk or a feed that stands still must not keep the director from seeing that
        it is cut off."""
        while True:
            await asyncio.sleep(LOOK_S)
            try:
                await self._store()
            except (OSError, Broken) as error:  # what binds goes on binding; a restart asks the feeds again
                log.error("purges not stored: %s", error)
                self._log = None

    async def _seed(self, one: Subscriber, told: Vector) -> None:
        """Sends a feed what it lacks, and then how far that reaches."""
        vector = vector_text(self.standing.positions.vector())
        events = [Event(purges=batch) for batch in batches(self.standing.beyond(told))]
        events.append(Event(mark=vector, losses=self.standing.horizon.losses()))
        try:
            for event in events:
                body = encode_json(event)
                await fetch(
                    one.host,
                    one.port,
                    "POST",
                    "/events",
                    self._tokens.own(),
                    body,
                    {"Content-Type": "application/json"},
                )
        except CALL_ERRORS as error:
            log.warning("feed not told feed=%s:%d: %s %s", one.host, one.port, type(error).__name__, error)
            return
        sent = sum(len(event.purges) for event in events)
        self.reseeded += sent
        log.warning("feed lacked purges and was told feed=%s:%d purges=%d", one.host, one.port, sent)

    async def _store(self) -> None:
        fresh = self._fresh
        if self._log is None or not (fresh.purges or fresh.reached or fresh.losses):
            return
        self._fresh = _Stored()
        self._log.append(msgspec.msgpack.encode(fresh))
        await asyncio.to_thread(self._log.commit)
        self._records += len(fresh.purges) or 1
        if self._records >= SNAPSHOT_AFTER:
            payload = self.standing.snapshot()  # not in a thread: purges come in meanwhile
            await asyncio.to_thread(self._log.snapshot, payload)
            self._records = 0
