"""A feed: takes purges over HTTP, answers once they are stored, and tells its followers. It decides nothing
about order or what stands; `order`, `standing` and `durable` do.

    POST /purges              {"scope": ..., "tags": {...}}, with Idempotency-Key: stored, and told to all
    GET  /follow?from=VECTOR  server-sent events: all that lacks, then what comes; with &peer=1 from a feed
    GET  /purges, /status     what stands; how the feed is
    GET  /explain?object=&class=&group=&part=
    POST /events              from a director that knows what this feed lacks: the events of the stream
    POST /vouch               an operator's word on what was lost (`horizon`)
    /reports, /handed, /fleet/...   the audit, where it is on (`fleet.collector`)
    /leases, /leases/numbers        leases, where this feed is a keeper (`ownership.desk`)

Feeds that name one another follow one another: what one took reaches the followers of all, and one that comes
back gets from its peers what it missed, also of its own earlier epochs. Only the committer changes the state,
one batch at a time, and the batch's sync runs in a thread of its own; the loop goes on serving followers
meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
import time
from collections import deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qs, unquote

import h11
import msgspec

from ..control.http import Refused, Request, encode_response, read_request
from ..control.tokens import Tokens
from ..durable import without_gc
from ..durable.files import Disk
from ..durable.log import Broken, Log, Policy, recover
from ..sse import encode_event
from .follow import Follower
from .horizon import SEEN, Folder, Loss, Mark, Peer, behind, judged, vouched_by
from .index import TooOdd
from .markfile import MarkFile
from .order import BadPurge, Purge, Stamps, Vector, check, read_vector, vector_text
from .scope import BadScope, Catalog, parse
from .standing import RETENTION_MS, Standing
from .wire import (
    A_BATCH,
    BEAT_S,
    MOST_BODY,
    MOST_EVENT,
    Accepted,
    Event,
    Status,
    batches,
    encode_json,
    encode_purge,
    event_decoder,
    purge_decoder,
    submit_decoder,
    vouch_decoder,
)

if TYPE_CHECKING:
    from ..fleet.collector import Collector
    from ..ownership.desk import Desk

log = logging.getLogger(__name__)

REQUEST_S = 5.0  # for a whole request to come in
MOST_CONNECTIONS = 1024
MOST_WAITING = 10_000  # purges not stored yet
SNAPSHOT_AFTER = 20_000  # records in the log
UNSENT_BYTES = 1_000_000
FORGET_S = 60.0
SETTLE_S = 1.0  # for peers to make good what a start finds lost, before followers are told of it
COPY_S = 2.0  # for other feeds to store a purge that is answered once they have
LARGE = ("/events", "/reports", "/handed", "/leases")  # bodies of up to MOST_EVENT bytes
OWN = b"\xc1"  # before a record that is no purge; msgpack never begins so
TAIL = 10_000  # purges kept as they came; a follower further behind is served from what stands


class _Waiting(NamedTuple):
    """A purge to store, asked for here, with who waits for it, or told by a peer; or how far a peer has told
    all; or a record of our own."""

    scope: str = ""
    key: str = ""
    done: asyncio.Future[Accepted] | None = None
    told: Purge | None = None
    reached: Vector | None = None
    own: _Own | None = None
    saved: asyncio.Future[None] | None = None


class _Own(msgspec.Struct, array_like=True):
    """A record beside the purges: whose folder it is, with the epoch of a start, and losses as they became
    known."""

    start: tuple[str, int] = ("", 0)
    losses: list[Loss] = []


class _Owed(NamedTuple):
    """A purge that is stored here and waits for other feeds to have it."""

    purge: Purge
    done: asyncio.Future[Accepted]
    until: float  # s of the loop


class Feed:
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
        feeds must have stored a purge before it is answered. Raises Damaged, InUse, Foreign, BadMark and
        OSError."""
        self.name, self.tokens, self.catalog, self.clock = name, tokens, catalog, clock
        self.log: Log
        self.log, found = recover(disk, sync)
        self.standing = Standing(retention_ms=retention_ms)
        now = clock()
        with without_gc():
            if found.snapshot is not None:
                self.standing.restore(found.snapshot, now)
            for record in found.records:
                self._replay(record, now)
        self.recovered = f"{len(self.standing)} purges, {len(found.records)} from the log"
        if found.cut:
            self.recovered += f", {found.cut} bytes cut at {found.cut_at}"
            log.warning("torn tail cut bytes=%d at=%s", found.cut, found.cut_at)
        self._records = len(found.records)
        self._by_key = {p.key: p for p in self.standing.beyond({}) if p.key and p.issuer == name}
        had = self._had = self.standing.positions.vector()
        whose, latest = self.standing.start
        folder = Folder(whose, latest, had, found.snapshot is None and not found.records)
        self.copies, self._mark = copies, mark
        lost = judged(name, folder, mark.read() if mark is not None else None, first)
        known = [*had, (name, latest)] if latest else had
        self._stamps = Stamps(name, known, self.standing.last_at_ms, now)
        self.standing.start = name, self._stamps.epoch
        self._queue: asyncio.Queue[_Waiting] = asyncio.Queue(MOST_WAITING)
        self._asked: dict[str, asyncio.Future[Accepted]] = {}  # by key, while it is being stored
        self._tail: list[Purge] = []
        self._tail_from = 0
        self._news = asyncio.Event()
        self._broken = ""
        self.followers = 0
        self._open: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._peers: list[Follower] = []
        self._peer_told: dict[str, tuple[Vector | None, str, int]] = {}  # by place: mark, name, copies
        self._owed: deque[_Owed] = deque()
        self._settled = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.keeper: Desk | None = None  # of leases, likewise
        self.audit: Collector | None = None  # of what directors report, where an option asks for it
        self.port = 0
        if lost:
            self._lose(lost)
        self._unsaved = _Own(self.standing.start, self.standing.horizon.open(name))
        self._save_own()

    def _replay(self, record: bytes, now: float) -> None:
        if record.startswith(OWN):
            own: _Own = msgspec.msgpack.decode(record[len(OWN) :], type=_Own)
            self.standing.horizon.tell(own.losses, now)
            if own.start[0]:
                self.standing.start = own.start
        else:
            self.standing.take(purge_decoder.decode(record), now)

    def _save_own(self) -> None:
        """The start's record. A disk that is full now takes it with the first purge that it takes."""
        self.log.append(OWN + msgspec.msgpack.encode(self._unsaved))
        try:
            self.log.commit()
            self._move_mark()
        except (OSError, Broken) as error:
            self.log.drop()
            self._broken = str(error) if isinstance(error, Broken) else ""
            log.error("start not stored: %s", error)
        else:
            self._unsaved = _Own()

    def _move_mark(self) -> None:
        """Behind what the folder holds, before anyone is answered."""
        if self._mark is None:
            return
        try:
            self._mark.write(Mark(self.name, self._stamps.epoch, self._stamps.seq))
        except OSError as error:  # an older mark is true as well, and shows a little less
            log.error("mark not stored path=%s: %s", self._mark.path, error)

    def _lose(self, why: str, by: str = "") -> list[Loss]:
        now = self.clock()
        log.error("purges may be lost: %s", why)
        return self.standing.horizon.tell([Loss(self.name, self._stamps.epoch, now, now, by)], now)

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> int:
        self._server = await asyncio.start_server(self._serve, host, port, ssl=tls, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks += [
            asyncio.create_task(self._commit_all()),
            asyncio.create_task(self._forget_all()),
            asyncio.create_task(self._settle()),
        ]
        if self.keeper is not None:
            self.keeper.start()
        if self.audit is not None:
            self.audit.start()
            self._tell_audit()
        log.info(
            "feed ready name=%s listen=%s:%d epoch=%d recovered=%s",
            self.name,
            host,
            self.port,
            self._stamps.epoch,
            self.recovered,
        )
        return self.port

    def follow(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> Follower:
        """A peer: what it knows comes here too."""
        place = f"{host}:{port}"
        self._peer_told[place] = None, "", 1

        def said(event: Event) -> None:
            mark, _, _ = self._peer_told[place]
            self._peer_told[place] = mark, event.name, event.copies
            self._join(event.losses)

        def marked(vector: Vector) -> None:
            _, name, copies = self._peer_told[place]
            self._peer_told[place] = vector, name, copies
            self._reached(vector)
            self._close_losses()
            self._release()

        peer = Follower(
            host,
            port,
            self.tokens.own,
            self.standing.positions.vector,
            self._told,
            marked,
            self.clock,
            tls,
            said,
            peer=True,
        )
        self._peers.append(peer)
        self._tasks.append(asyncio.create_task(peer.run()))
        return peer

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in (*self._tasks, *self._open):
            task.cancel()
        await asyncio.gather(*self._tasks, *self._open, return_exceptions=True)
        if self.keeper is not None:
            await self.keeper.close()
        if self.audit is not None:
            await self.audit.close()
        self.log.close()

    # --- what may be lost

    async def _settle(self) -> None:
        """Followers wait while peers can show that nothing is missing: else each loss of one disk would void
        all copies for a moment."""
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S if self._peers or self._peer_told else 0.0):
                await self._settled.wait()
        self._settled.set()

    def _join(self, losses: list[Loss]) -> None:
        changed = self.standing.horizon.tell(losses, self.clock())
        if changed:
            self._keep(changed)

    def _keep(self, losses: list[Loss], saved: asyncio.Future[None] | None = None) -> None:
        """They bind already; stored behind what waits, and told to all."""
        self._put(_Waiting(own=_Own(losses=losses), saved=saved))
        self._tell_now()

    def _suspect(self, told: Iterable[tuple[tuple[str, int], int]], by: str = "") -> None:
        """Others know more of this feed's own purges than its folder did: it is an older one."""
        own = (loss.epoch for loss in self.standing.horizon.losses() if loss.issuer == self.name)
        why = behind(self.name, self._stamps.epoch, self._had, told, max(own, default=0))
        if why:
            self._keep(self._lose(why, by))

    def _close_losses(self) -> None:
        horizon, positions = self.standing.horizon, self.standing.positions
        if horizon.open(self.name):
            peers = {
                place: Peer(
                    mark is not None and positions.reaches(mark), name, copies, bool(horizon.open(name))
                )
                for place, (mark, name, copies) in self._peer_told.items()
            }
            by = vouched_by(self.copies, peers)
            closed = horizon.tell(horizon.close_own(self.name, by), self.clock()) if by else []
            if closed:
                log.warning("nothing is lost: %s", by)
                self._keep(closed)
        heard = all(mark is not None and positions.reaches(mark) for mark, _, _ in self._peer_told.values())
        if not horizon.open(self.name) or heard:  # all that peers can say was said
            self._settled.set()

    async def vouch(self, since_ms: float, by: str) -> list[Loss]:
        """An operator's word, once it is stored. Raises Refused."""
        closed = self.standing.horizon.close(since_ms, by)
        if not closed:
            raise Refused(409, "no loss is open that this would close")
        saved: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._keep(self.standing.horizon.tell(closed, self.clock()), saved)
        log.warning("vouched by=%s since=%.0f", by, since_ms)
        await asyncio.shield(saved)
        return closed

    def _release(self) -> None:
        """Answers for what enough feeds have stored, or for what waited too long."""
        now = asyncio.get_running_loop().time()
        left: deque[_Owed] = deque()
        for owed in self._owed:
            stream = owed.purge.issuer, owed.purge.epoch
            marks = [mark for mark, _, _ in self._peer_told.values() if mark is not None]
            have = sum(mark.get(stream, 0) >= owed.purge.seq for mark in marks)
            if owed.done.done():
                continue
            if 1 + have >= self.copies:
                owed.done.set_result(accepted(owed.purge))
            elif now >= owed.until:
                where = f"in force and stored here, but not at {self.copies} feeds yet"
                owed.done.set_exception(Refused(503, f"{where}; ask again with the same key"))
            else:
                left.append(owed)
        self._owed = left

    # --- taking purges

    async def submit(self, scope: str, key: str = "", tags: Catalog | None = None) -> Accepted:
        """Returns once it is stored. Raises BadScope, TooOdd, Refused."""
        if self._broken:
            raise Refused(503, f"this feed takes nothing more: {self._broken}")
        parsed = parse(scope, {**self.catalog(), **(tags or {})})
        self.standing.index.check(parsed)
        canonical = parsed.text()
        if key and (known := self._by_key.get(key)) is not None:
            if known.scope != canonical:
                raise Refused(409, "this key was used for another scope")
            return accepted(known, again=True)
        if key and (asked := self._asked.get(key)) is not None:
            first = await asyncio.shield(asked)
            if first.scope != canonical:
                raise Refused(409, "this key was used for another scope")
            return msgspec.structs.replace(first, again=True)
        done: asyncio.Future[Accepted] = asyncio.get_running_loop().create_future()
        try:
            self._queue.put_nowait(_Waiting(canonical, key, done))
        except asyncio.QueueFull:
            raise Refused(503, "too many purges wait to be stored; expected a later try") from None
        if key:
            self._asked[key] = done
            done.add_done_callback(lambda _: self._asked.pop(key, None))
        # shielded: a client that leaves must not undo what others with its key wait for
        return await asyncio.shield(done)

    def _told(self, purges: list[Purge]) -> None:
        self._suspect(((purge.issuer, purge.epoch), purge.seq) for purge in purges)
        for purge in purges:
            if self.standing.positions.taken(purge.issuer, purge.epoch, purge.seq):
                continue
            try:  # before it is stored: a log must hold nothing that a start would choke on
                check(purge)
                parse(purge.scope)
            except (BadPurge, BadScope) as error:
                log.error("bad purge issuer=%.64s seq=%s: %s", purge.issuer, purge.seq, error)
                continue
            self._put(_Waiting(told=purge))

    def _reached(self, vector: Vector) -> None:
        """Behind what was told before it, which is not stored yet."""
        self._suspect(vector.items())
        if not self.standing.positions.reaches(vector):
            self._put(_Waiting(reached=vector))

    def _put(self, waiting: _Waiting) -> None:
        try:
            self._queue.put_nowait(waiting)
        except asyncio.QueueFull:  # ends the stream to that peer; it is resumed from what was stored
            raise OSError("too many purges wait to be stored") from None

    async def _commit_all(self) -> None:
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < A_BATCH:
                batch.append(self._queue.get_nowait())
            try:
                await self._commit(batch)
            except Exception as error:
                log.exception("feed could not store")
                self._fail(batch, Refused(500, f"not stored: {error}"))

    async def _commit(self, batch: list[_Waiting]) -> None:
        now = self.clock()
        stored: list[tuple[_Waiting, Purge]] = []
        own = 0
        if self._unsaved.start[0]:
            self.log.append(OWN + msgspec.msgpack.encode(self._unsaved))
        for waiting in batch:
            if waiting.own is not None and waiting.own.losses:
                self.log.append(OWN + msgspec.msgpack.encode(waiting.own))
            if waiting.reached is not None or waiting.own is not None:
                continue
            purge = waiting.told
            if purge is None:
                purge = self._stamps.next(waiting.scope, now, waiting.key)
                own += 1
            stored.append((waiting, purge))
            self.log.append(encode_purge(purge))
        try:
            await asyncio.to_thread(self._store, own > 0)
        except (OSError, Broken) as error:
            if isinstance(error, Broken):
                self._broken = str(error)  # the numbers may be on the disk: they are not given out again
            else:
                for _ in range(own):
                    self._stamps.take_back()
            self.log.drop()
            log.error("purges not stored: %s", error)
            losses = [*self._unsaved.losses, *(loss for w in batch if w.own for loss in w.own.losses)]
            if losses:  # they bind, and are stored with the next commit
                self._unsaved = _Own(self.standing.start, losses)
            self._fail(batch, Refused(507, f"not stored: {error}"))
            return
        until = asyncio.get_running_loop().time() + COPY_S
        for waiting, purge in stored:
            self._take(purge, now)
            if waiting.done is not None:
                self._owed.append(_Owed(purge, waiting.done, until))
        for waiting in batch:
            if waiting.reached is not None:
                self.standing.positions.adopt(waiting.reached)
            if waiting.saved is not None and not waiting.saved.done():
                waiting.saved.set_result(None)
        self._records += len(stored)
        self._tell_now()
        self._release()
        self._close_losses()
        if self._records >= SNAPSHOT_AFTER:
            payload = await asyncio.to_thread(self.standing.snapshot)
            await asyncio.to_thread(self.log.snapshot, payload)
            self._records = 0

    def _store(self, moves: bool) -> None:
        """In a thread of its own."""
        self.log.commit()
        if moves or self._unsaved.start[0]:
            self._move_mark()
        self._unsaved = _Own()

    def _tell_audit(self) -> None:
        if self.audit is not None:
            horizon = self.standing.horizon.moment(self.clock(), self.standing.retention_ms)
            self.audit.reached(self.standing.positions.vector(), horizon)

    def _tell_now(self) -> None:
        self._tell_audit()
        self._news.set()
        self._news = asyncio.Event()

    def _take(self, purge: Purge, now: float) -> None:
        try:
            new = self.standing.take(purge, now)
        except (BadPurge, BadScope) as error:
            log.error("bad purge issuer=%.64s seq=%s: %s", purge.issuer, purge.seq, error)
            return
        if not new:
            return
        if purge.key and purge.issuer == self.name:
            self._by_key[purge.key] = purge
        self._tail.append(purge)
        if len(self._tail) > 2 * TAIL:
            del self._tail[:TAIL]
            self._tail_from += TAIL

    @staticmethod
    def _fail(batch: list[_Waiting], error: Refused) -> None:
        for waiting in batch:
            for one in (waiting.done, waiting.saved):
                if one is not None and not one.done():
                    one.set_exception(error)

    async def _forget_all(self) -> None:
        due = asyncio.get_running_loop().time() + FORGET_S
        while True:
            await asyncio.sleep(COPY_S / 4)
            self._release()
            if self._unsaved.start[0] and self._queue.empty() and not self._broken:
                self._put(_Waiting(own=_Own()))
            if asyncio.get_running_loop().time() < due:
                continue
            due += FORGET_S
            self.standing.forget(self.clock())
            past = self.clock() - self.standing.retention_ms
            self._by_key = {key: purge for key, purge in self._by_key.items() if purge.at_ms > past}

    # --- connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        try:
            try:
                async with asyncio.timeout(REQUEST_S):
                    asked = await read_request(reader, MOST_EVENT)
                    if len(asked.body) > MOST_BODY and asked.path not in LARGE:
                        raise Refused(413, f"a body of more than {MOST_BODY} bytes")
                    if len(self._open) > MOST_CONNECTIONS:
                        raise Refused(503, "too many connections")
                caller = self.tokens.name_of(asked.headers.get("authorization", ""))
                if not caller:
                    raise Refused(401, "expected a known token: Authorization: Bearer TOKEN")
                if (asked.method, asked.path) == ("GET", "/follow"):
                    if "peer=1" not in asked.query.split("&"):
                        await self._settled.wait()
                    await self._tell(writer, _from(asked))
                    return
                writer.write(encode_response(200, "application/json", await self._answer(asked, caller)))
            except (BadScope, TooOdd, BadPurge, msgspec.MsgspecError, ValueError) as error:
                writer.write(encode_response(400, "text/plain", f"{error}\n".encode()))
            except Refused as error:
                writer.write(encode_response(error.status, "text/plain", f"{error}\n".encode()))
            except TimeoutError:
                writer.write(encode_response(408, "text/plain", b"the request did not end in time\n"))
            except h11.RemoteProtocolError as error:
                writer.write(encode_response(400, "text/plain", f"{error}\n".encode()))
            with suppress(TimeoutError):
                async with asyncio.timeout(REQUEST_S):
                    await writer.drain()
        except OSError:
            pass
        finally:
            self._open.discard(task)
            writer.close()

    async def _answer(self, asked: Request, caller: str) -> bytes:
        match asked.method, asked.path:
            case "POST", "/purges":
                wanted = submit_decoder.decode(asked.body)
                key = asked.headers.get("idempotency-key", "")
                if len(key) > 128 or not key.isprintable():
                    raise Refused(400, "Idempotency-Key; expected up to 128 printable characters")
                return encode_json(await self.submit(wanted.scope, key, wanted.tags))
            case "POST", "/events":
                return self._hear(event_decoder.decode(asked.body))
            case "POST", "/vouch":
                word = vouch_decoder.decode(asked.body)
                by = f"{caller}: {word.why}" if word.why else caller
                if not 0.0 <= word.since_ms < 2**53 or len(by) > 256 or not by.isprintable():
                    raise Refused(400, "since_ms, why; expected Unix ms or 0, and 200 printable characters")
                return encode_json(await self.vouch(word.since_ms, by))
            case "GET", "/purges":
                return encode_json(list(self.standing.beyond({})))
            case "GET", "/status":
                return encode_json(self.status())
            case "GET", "/explain":
                return encode_json(self.explain(asked.query))
        if self.keeper is not None and asked.path.startswith("/leases"):
            return await self.keeper.answer(asked)
        if self.audit is not None:
            return await self.audit.answer(asked, caller)
        raise Refused(404, f"{asked.method} {asked.path}: no such thing here")

    def _hear(self, event: Event) -> bytes:
        """What a director knows and this feed lacks."""
        vector = read_vector(event.mark) if event.mark is not None else None
        before = len(self.standing)
        try:
            self._join(event.losses)
            # feeds that had stored these with us would have told them
            self._suspect((((p.issuer, p.epoch), p.seq) for p in event.purges), SEEN if self._peers else "")
            self._told(event.purges)
            if vector is not None:
                self._reached(vector)
        except OSError as error:
            raise Refused(503, str(error)) from None
        log.info("told by a director purges=%d known=%d", len(event.purges), before)
        return b"{}"

    def status(self) -> Status:
        gaps = [f"{g.issuer}:{g.epoch}={g.first}-{g.last}" for g in self.standing.positions.gaps()]
        return Status(
            self.name,
            self._stamps.epoch,
            len(self.standing),
            vector_text(self.standing.positions.vector()),
            gaps,
            self.followers,
            {f"{p.host}:{p.port}": p.state for p in self._peers},
            not self._broken,
            self.recovered,
            self.standing.known_since(self.clock()),
            self.standing.horizon.losses(),
            self.copies,
        )

    def explain(self, query: str) -> list[Purge]:
        """The purges that bind a request, newest first."""
        given = {name: values[0] for name, values in parse_qs(query).items()}
        object_ = int(given.get("object", "0"), 16)
        group, part = int(given.get("group", "-1")), int(given.get("part", "0"))
        found = [
            p
            for p in self.standing.beyond({})
            if parse(p.scope).covers(given.get("class", "?"), group, object_, part)
        ]
        return sorted(found, key=lambda p: -p.at_ms)

    async def _tell(self, writer: asyncio.StreamWriter, vector: dict[tuple[str, int], int]) -> None:
        """All that the follower lacks, then what comes, at the follower's pace."""
        writer.transport.set_write_buffer_limits(high=UNSENT_BYTES)
        writer.write(encode_response(200, "text/event-stream", None))
        self.followers += 1
        told = -1  # the version of the horizon that it was told
        try:
            place = self._tail_from + len(self._tail)
            reached = self.standing.positions.vector()
            backlog = list(self.standing.beyond(vector))
            while True:
                for batch in batches(backlog):
                    await self._event(writer, Event(purges=batch))
                mark = Event(mark=vector_text(reached))
                if told != self.standing.horizon.version:
                    told = self.standing.horizon.version
                    losses = self.standing.horizon.losses()
                    mark = Event(mark=mark.mark, losses=losses, name=self.name, copies=self.copies)
                await self._event(writer, mark)
                news = self._news
                if place == self._tail_from + len(self._tail) and told == self.standing.horizon.version:
                    with suppress(TimeoutError):
                        async with asyncio.timeout(BEAT_S):
                            await news.wait()
                if place >= self._tail_from:
                    backlog = self._tail[place - self._tail_from :]
                else:  # slower than the feed by more than the tail
                    backlog = list(self.standing.beyond(reached))
                place = self._tail_from + len(self._tail)
                reached = self.standing.positions.vector()
        finally:
            self.followers -= 1

    @staticmethod
    async def _event(writer: asyncio.StreamWriter, event: Event) -> None:
        writer.write(encode_event(encode_json(event).decode()))
        await writer.drain()


def _from(asked: Request) -> dict[tuple[str, int], int]:
    given = [item.partition("=") for item in asked.query.split("&")]
    return read_vector(unquote(next((value for name, _, value in given if name == "from"), "")))


def accepted(purge: Purge, again: bool = False) -> Accepted:
    return Accepted(purge.issuer, purge.epoch, purge.seq, purge.at_ms, purge.scope, again)
