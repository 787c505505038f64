"""A purge log: takes purges, answers once they are stored, and tells its subscribers. It decides nothing
about order or what is in force; `order`, `active_purges`, `horizon` and `durable` do.

Logs that name one another follow one another: what one took reaches the subscribers of all, and one that
comes back gets from its peers what it missed, also of its own earlier epochs. Only the committer changes the
state, one batch at a time, and the batch's sync runs in a thread of its own; the loop goes on serving
subscribers meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Protocol

import msgspec

from ..control.group_commit import GroupCommit
from ..control.http import Refused
from ..control.positions import BadPosition, Vector, read_vector, vector_text
from ..control.replication import PeerReport, PendingReplication, Replication
from ..control.tokens import Tokens
from ..durable.files import Disk
from ..durable.log import Broken, Policy
from .active_purges import RETENTION_MS, ActivePurges
from .entries import LogEntry, LossUpdate, NewPurge, ReachedPosition, ReceivedPurge, fail
from .horizon import SEEN, Folder, Loss, Mark, Peer, behind, judged, vouched_by
from .markfile import MarkFile
from .order import BadPurge, Purge, Stamps, check
from .purge_store import OwnRecord, PurgeStore, encode_own
from .purge_stream import PurgeStream
from .scope import BadScope, Catalog, parse
from .subscriber import Subscriber
from .wire import MAX_BATCH, Accepted, Event, Status, encode_purge

log = logging.getLogger(__name__)

MAX_WAITING = 10_000  # entries not stored yet
FORGET_S = 60.0
SETTLE_S = 1.0  # for peers to make good what a start finds lost, before subscribers are told of it
COPY_S = 2.0  # for other logs to store a purge that is answered once they have


class StateListener(Protocol):
    """Hears what the log knows, at its start and after each change."""

    def reached(self, vector: Vector, horizon_ms: float) -> None: ...


class PurgeLog:
    def __init__(
        self,
        name: str,
        disk: Disk,
        tokens: Tokens,
        catalog: Callable[[], Catalog] = dict,
        sync: Policy = "always",
        retention_ms: float = RETENTION_MS,
        clock: Callable[[], float] = lambda: time.time() * 1000.0,
        first: bool = False,
        copies: int = 1,
        mark: MarkFile | None = None,
    ) -> None:
        """Recovers from the disk. first: an operator says that an empty folder is no loss; copies: how many
        logs must have stored a purge before it is answered. Raises Damaged, InUse, Foreign, BadMark and
        OSError."""
        self.name, self.tokens, self.catalog, self.clock = name, tokens, catalog, clock
        self.copies = copies
        self.active = ActivePurges(retention_ms=retention_ms)
        now = clock()
        self.store = PurgeStore(disk, sync, self.active, mark, now)
        self.settled = asyncio.Event()  # subscribers may be told what is lost
        self.stream = PurgeStream(self.active, name, copies)
        self.listeners: list[StateListener] = []
        self._committer: GroupCommit[LogEntry] = GroupCommit(
            self.commit, self._commit_failed, MAX_WAITING, MAX_BATCH
        )
        self._replication: Replication[Accepted] = Replication(copies)
        self._by_key = {p.key: p for p in self.active.beyond({}) if p.key and p.issuer == name}
        self._submitting: dict[str, asyncio.Future[Accepted]] = {}  # by key, while it is being stored
        self._peers: list[Subscriber] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._begin_epoch(first, now)

    def _begin_epoch(self, first: bool, now: float) -> None:
        """Judges what the folder held, and stores that a new start began."""
        had = self._recovered_vector = self.active.positions.vector()
        whose, latest = self.active.start
        folder = Folder(whose, latest, had, self.store.was_empty)
        lost = judged(self.name, folder, self.store.read_mark(), first)
        known = [*had, (self.name, latest)] if latest else had
        self._stamps = Stamps(self.name, known, self.active.last_at_ms, now)
        self.active.start = self.name, self._stamps.epoch
        if lost:
            self._lose(lost)
        own = OwnRecord(self.active.start, self.active.horizon.open(self.name))
        self.store.save_start(own, self._mark())

    @property
    def epoch(self) -> int:
        """Of this start."""
        return self._stamps.epoch

    def _mark(self) -> Mark:
        return Mark(self.name, self._stamps.epoch, self._stamps.seq)

    def start(self) -> None:
        self._tasks += [
            asyncio.create_task(self._committer.run()),
            asyncio.create_task(self._forget_all()),
            asyncio.create_task(self._settle()),
        ]
        self._tell_listeners()

    def follow(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> Subscriber:
        """A peer: what it knows comes here too."""
        place = f"{host}:{port}"
        peers = self._replication.peers
        peers[place] = PeerReport()

        def told_losses(event: Event) -> None:
            peers[place] = peers[place]._replace(name=event.name, copies=event.copies)
            self._join(event.losses)

        def told_mark(vector: Vector) -> None:
            peers[place] = peers[place]._replace(position=vector)
            self._reached(vector)
            self._close_losses()
            self._release()

        peer = Subscriber(
            host,
            port,
            self.tokens.own,
            self.active.positions.vector,
            self.receive,
            told_mark,
            self.clock,
            tls,
            told_losses,
            as_peer=True,
        )
        self._peers.append(peer)
        self._tasks.append(asyncio.create_task(peer.run()))
        return peer

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.store.close()

    # --- what may be lost

    def _lose(self, why: str, by: str = "") -> list[Loss]:
        now = self.clock()
        log.error("purges may be lost: %s", why)
        return self.active.horizon.tell([Loss(self.name, self._stamps.epoch, now, now, by)], now)

    async def _settle(self) -> None:
        """Subscribers wait while peers can show that nothing is missing: else each loss of one disk would
        void all copies for a moment."""
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S if self._replication.peers else 0.0):
                await self.settled.wait()
        self.settled.set()

    def _join(self, losses: list[Loss]) -> None:
        changed = self.active.horizon.tell(losses, self.clock())
        if changed:
            self._keep(changed)

    def _keep(self, losses: list[Loss], stored: asyncio.Future[None] | None = None) -> None:
        """They bind already; stored behind what waits, and told to all."""
        self._put(LossUpdate(losses, stored))
        self._tell_all()

    def _suspect(self, told: Iterable[tuple[tuple[str, int], int]], by: str = "") -> None:
        """Others know more of this log's own purges than its folder did: it is an older one."""
        own = (loss.epoch for loss in self.active.horizon.losses() if loss.issuer == self.name)
        why = behind(self.name, self._stamps.epoch, self._recovered_vector, told, max(own, default=0))
        if why:
            self._keep(self._lose(why, by))

    def _close_losses(self) -> None:
        horizon, positions = self.active.horizon, self.active.positions
        reports = self._replication.peers
        if horizon.open(self.name):
            peers = {
                place: Peer(
                    peer.position is not None and positions.reaches(peer.position),
                    peer.name,
                    peer.copies,
                    bool(horizon.open(peer.name)),
                )
                for place, peer in reports.items()
            }
            by = vouched_by(self.copies, peers)
            closed = horizon.tell(horizon.close_own(self.name, by), self.clock()) if by else []
            if closed:
                log.warning("nothing is lost: %s", by)
                self._keep(closed)
        heard_all = all(
            peer.position is not None and positions.reaches(peer.position) for peer in reports.values()
        )
        if not horizon.open(self.name) or heard_all:  # all that peers can say was said
            self.settled.set()

    async def vouch(self, since_ms: float, by: str) -> list[Loss]:
        """An operator's word, once it is stored. Raises Refused."""
        closed = self.active.horizon.close(since_ms, by)
        if not closed:
            raise Refused(409, "no loss is open that this would close")
        stored: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._keep(self.active.horizon.tell(closed, self.clock()), stored)
        log.warning("vouched by=%s since=%.0f", by, since_ms)
        await asyncio.shield(stored)
        return closed

    # --- taking purges

    async def submit(self, scope: str, key: str = "", tags: Catalog | None = None) -> Accepted:
        """Returns once it is stored. Raises BadScope, UnsupportedPattern, Refused."""
        if self.store.broken:
            raise Refused(503, f"this feed takes nothing more: {self.store.broken}")
        parsed = parse(scope, {**self.catalog(), **(tags or {})})
        self.active.index.check(parsed)
        canonical = parsed.text()
        if key and (known := self._by_key.get(key)) is not None:
            if known.scope != canonical:
                raise Refused(409, "this key was used for another scope")
            return accepted(known, again=True)
        if key and (submitting := self._submitting.get(key)) is not None:
            first = await asyncio.shield(submitting)
            if first.scope != canonical:
                raise Refused(409, "this key was used for another scope")
            return msgspec.structs.replace(first, again=True)
        done: asyncio.Future[Accepted] = asyncio.get_running_loop().create_future()
        try:
            self._committer.put(NewPurge(canonical, key, done))
        except asyncio.QueueFull:
            raise Refused(503, "too many purges wait to be stored; expected a later try") from None
        if key:
            self._submitting[key] = done
            done.add_done_callback(lambda _: self._submitting.pop(key, None))
        # shielded: a client that leaves must not undo what others with its key wait for
        return await asyncio.shield(done)

    def receive(self, purges: list[Purge]) -> None:
        """What a peer or a director tells. Raises OSError where too much waits."""
        self._suspect(((purge.issuer, purge.epoch), purge.seq) for purge in purges)
        for purge in purges:
            if self.active.positions.taken(purge.issuer, purge.epoch, purge.seq):
                continue
            try:  # before it is stored: a log must hold nothing that a start would choke on
                check(purge)
                parse(purge.scope)
            except (BadPurge, BadScope) as error:
                log.error("bad purge issuer=%.64s seq=%s: %s", purge.issuer, purge.seq, error)
                continue
            self._put(ReceivedPurge(purge))

    def receive_event(self, event: Event) -> None:
        """What a director knows and this log lacks. Raises BadPosition, BadPurge and Refused."""
        vector = read_vector(event.mark) if event.mark is not None else None
        before = len(self.active)
        try:
            self._join(event.losses)
            # logs that had stored these with us would have told them
            self._suspect((((p.issuer, p.epoch), p.seq) for p in event.purges), SEEN if self._peers else "")
            self.receive(event.purges)
            if vector is not None:
                self._reached(vector)
        except OSError as error:
            raise Refused(503, str(error)) from None
        log.info("told by a director purges=%d known=%d", len(event.purges), before)

    def _reached(self, vector: Vector) -> None:
        """Behind what was told before it, which is not stored yet."""
        self._suspect(vector.items())
        if not self.active.positions.reaches(vector):
            self._put(ReachedPosition(vector))

    def _put(self, entry: LogEntry) -> None:
        try:
            self._committer.put(entry)
        except asyncio.QueueFull:  # ends the stream to that peer; it is resumed from what was stored
            raise OSError("too many purges wait to be stored") from None

    # --- storing them

    async def commit(self, batch: list[LogEntry]) -> None:
        """Stores a batch, then it binds and is told. Who waits for it is answered."""
        now = self.clock()
        purges: list[tuple[LogEntry, Purge]] = []
        records: list[bytes] = []
        issued = 0
        for entry in batch:
            if isinstance(entry, LossUpdate):
                if entry.losses:
                    records.append(encode_own(OwnRecord(losses=entry.losses)))
                continue
            if isinstance(entry, ReachedPosition):
                continue
            if isinstance(entry, NewPurge):
                purge = self._stamps.next(entry.scope, now, entry.key)
                issued += 1
            else:
                purge = entry.purge
            purges.append((entry, purge))
            records.append(encode_purge(purge))
        losses = [loss for entry in batch if isinstance(entry, LossUpdate) for loss in entry.losses]
        try:
            await self.store.commit(records, losses, self._mark(), issued > 0)
        except Broken as error:  # the numbers may be on the disk: they are not given out again
            fail(batch, Refused(507, f"not stored: {error}"))
            return
        except OSError as error:
            for _ in range(issued):
                self._stamps.take_back()
            fail(batch, Refused(507, f"not stored: {error}"))
            return
        self._apply(batch, purges, now)
        await self.store.count(len(purges))

    def _apply(self, batch: list[LogEntry], purges: list[tuple[LogEntry, Purge]], now: float) -> None:
        """What was stored binds from here on."""
        until_s = asyncio.get_running_loop().time() + COPY_S
        for entry, purge in purges:
            self._take(purge, now)
            if isinstance(entry, NewPurge):
                stream = purge.issuer, purge.epoch
                self._replication.wait_for(
                    PendingReplication(stream, purge.seq, entry.accepted, accepted(purge), until_s)
                )
        for entry in batch:
            if isinstance(entry, ReachedPosition):
                self.active.positions.adopt(entry.vector)
            elif isinstance(entry, LossUpdate) and entry.stored is not None and not entry.stored.done():
                entry.stored.set_result(None)
        self._tell_all()
        self._release()
        self._close_losses()

    @staticmethod
    def _commit_failed(batch: list[LogEntry], error: Exception) -> None:
        log.error("feed could not store", exc_info=error)
        fail(batch, Refused(500, f"not stored: {error}"))

    def _take(self, purge: Purge, now: float) -> None:
        try:
            new = self.active.take(purge, now)
        except (BadPurge, BadPosition, BadScope) as error:
            log.error("bad purge issuer=%.64s seq=%s: %s", purge.issuer, purge.seq, error)
            return
        if not new:
            return
        if purge.key and purge.issuer == self.name:
            self._by_key[purge.key] = purge
        self.stream.append(purge)

    def _release(self) -> None:
        self._replication.release(asyncio.get_running_loop().time())

    def _tell_listeners(self) -> None:
        for listener in self.listeners:
            horizon = self.active.horizon.moment(self.clock(), self.active.retention_ms)
            listener.reached(self.active.positions.vector(), horizon)

    def _tell_all(self) -> None:
        self._tell_listeners()
        self.stream.wake()

    async def _forget_all(self) -> None:
        due = asyncio.get_running_loop().time() + FORGET_S
        while True:
            await asyncio.sleep(COPY_S / 4)
            self._release()
            if self.store.owes_start() and self._committer.is_empty() and not self.store.broken:
                self._put(LossUpdate([]))
            if asyncio.get_running_loop().time() < due:
                continue
            due += FORGET_S
            self.active.forget(self.clock())
            past = self.clock() - self.active.retention_ms
            self._by_key = {key: purge for key, purge in self._by_key.items() if purge.at_ms > past}

    # --- questions

    def status(self) -> Status:
        gaps = [f"{g.issuer}:{g.epoch}={g.first}-{g.last}" for g in self.active.positions.gaps()]
        return Status(
            self.name,
            self._stamps.epoch,
            len(self.active),
            vector_text(self.active.positions.vector()),
            gaps,
            self.stream.subscribers,
            {f"{p.host}:{p.port}": p.state for p in self._peers},
            not self.store.broken,
            self.store.recovered,
            self.active.known_since(self.clock()),
            self.active.horizon.losses(),
            self.copies,
        )


def accepted(purge: Purge, again: bool = False) -> Accepted:
    return Accepted(purge.issuer, purge.epoch, purge.seq, purge.at_ms, purge.scope, again)
