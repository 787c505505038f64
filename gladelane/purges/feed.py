"""A feed: takes purges over HTTP, answers once they are stored, and tells its followers. It decides nothing
about order or what stands; `order`, `standing` and `durable` do.

    POST /purges              {"scope": ..., "tags": {...}}, with Idempotency-Key: stored, and told to all
    GET  /follow?from=VECTOR  server-sent events: all that lacks, then what comes
    GET  /purges, /status     what stands; how the feed is
    GET  /explain?object=&class=&group=&part=

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
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from typing import NamedTuple
from urllib.parse import parse_qs, unquote

import h11
import msgspec

from ..durable import without_gc
from ..durable.files import Disk
from ..durable.log import Broken, Log, Policy, recover
from ..sse import encode_event
from .follow import Follower
from .http import Asked, Refused, answer, read_request
from .index import TooOdd
from .order import BadPurge, Purge, Stamps, Vector, check, read_vector, vector_text
from .scope import BadScope, Catalog, parse
from .standing import RETENTION_MS, Standing
from .tokens import Tokens
from .wire import A_BATCH, BEAT_S, MOST_BODY, Accepted, Event, Status, encode_json, encode_purge
from .wire import purge_decoder, submit_decoder

log = logging.getLogger(__name__)

REQUEST_S = 5.0  # for a whole request to come in
MOST_CONNECTIONS = 1024
MOST_WAITING = 10_000  # purges not stored yet
SNAPSHOT_AFTER = 20_000  # records in the log
UNSENT_BYTES = 1_000_000
BATCH_BYTES = 1_000_000  # of scopes in one event
FORGET_S = 60.0
TAIL = 10_000  # purges kept as they came; a follower further behind is served from what stands


class _Waiting(NamedTuple):
    """A purge to store, asked for here, with who waits for it, or told by a peer; or how far a peer has told
    all."""

    scope: str = ""
    key: str = ""
    done: asyncio.Future[Accepted] | None = None
    told: Purge | None = None
    reached: Vector | None = None


class Feed:
    def __init__(
        self, name: str, disk: Disk, tokens: Tokens, catalog: Callable[[], Catalog] = dict,
        sync: Policy = "always", retention_ms: float = RETENTION_MS,
        clock: Callable[[], float] = lambda: time.time() * 1000.0,
    ) -> None:
        """Recovers from the disk. Raises Damaged, InUse and OSError."""
        self.name, self.tokens, self.catalog, self.clock = name, tokens, catalog, clock
        self.log: Log
        self.log, found = recover(disk, sync)
        self.standing = Standing(retention_ms=retention_ms)
        now = clock()
        with without_gc():
            if found.snapshot is not None:
                self.standing.restore(found.snapshot, now)
            for record in found.records:
                self.standing.take(purge_decoder.decode(record), now)
        self.recovered = f"{len(self.standing)} purges, {len(found.records)} from the log"
        if found.cut:
            self.recovered += f", {found.cut} bytes cut at {found.cut_at}"
            log.warning("torn tail cut bytes=%d at=%s", found.cut, found.cut_at)
        self._records = len(found.records)
        self._by_key = {p.key: p for p in self.standing.beyond({}) if p.key and p.issuer == name}
        self._stamps = Stamps(name, self.standing.positions.vector(), self.standing.last_at_ms, now)
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
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> int:
        self._server = await asyncio.start_server(self._serve, host, port, ssl=tls, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        self._tasks += [asyncio.create_task(self._commit_all()), asyncio.create_task(self._forget_all())]
        log.info("feed ready name=%s listen=%s:%d epoch=%d recovered=%s",
                 self.name, host, self.port, self._stamps.epoch, self.recovered)
        return self.port

    def follow(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> Follower:
        """A peer: what it knows comes here too."""
        peer = Follower(
            host, port, self.tokens.own, self.standing.positions.vector, self._told, self._reached,
            self.clock, tls,
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
        self.log.close()

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
        for waiting in batch:
            if waiting.reached is not None:
                continue
            purge = waiting.told
            if purge is None:
                purge = self._stamps.next(waiting.scope, now, waiting.key)
                own += 1
            stored.append((waiting, purge))
            self.log.append(encode_purge(purge))
        try:
            await asyncio.to_thread(self.log.commit)
        except (OSError, Broken) as error:
            if isinstance(error, Broken):
                self._broken = str(error)  # the numbers may be on the disk: they are not given out again
            else:
                for _ in range(own):
                    self._stamps.take_back()
            self.log.drop()
            log.error("purges not stored: %s", error)
            self._fail(batch, Refused(507, f"not stored: {error}"))
            return
        for waiting, purge in stored:
            self._take(purge, now)
            if waiting.done is not None and not waiting.done.done():
                waiting.done.set_result(accepted(purge))
        for waiting in batch:
            if waiting.reached is not None:
                self.standing.positions.adopt(waiting.reached)
        self._records += len(stored)
        self._news.set()
        self._news = asyncio.Event()
        if self._records >= SNAPSHOT_AFTER:
            payload = await asyncio.to_thread(self.standing.snapshot)
            await asyncio.to_thread(self.log.snapshot, payload)
            self._records = 0

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
            if waiting.done is not None and not waiting.done.done():
                waiting.done.set_exception(error)

    async def _forget_all(self) -> None:
        while True:
            await asyncio.sleep(FORGET_S)
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
                    _, asked = await read_request(reader, MOST_BODY)
                    if len(self._open) > MOST_CONNECTIONS:
                        raise Refused(503, "too many connections")
                if not self.tokens.name_of(asked.headers.get("authorization", "")):
                    raise Refused(401, "expected a known token: Authorization: Bearer TOKEN")
                if (asked.method, asked.path) == ("GET", "/follow"):
                    await self._tell(writer, _from(asked))
                    return
                writer.write(answer(200, "application/json", await self._answer(asked)))
            except (BadScope, TooOdd, BadPurge, msgspec.MsgspecError, ValueError) as error:
                writer.write(answer(400, "text/plain", f"{error}\n".encode()))
            except Refused as error:
                writer.write(answer(error.status, "text/plain", f"{error}\n".encode()))
            except TimeoutError:
                writer.write(answer(408, "text/plain", b"the request did not end in time\n"))
            except h11.RemoteProtocolError as error:
                writer.write(answer(400, "text/plain", f"{error}\n".encode()))
            with suppress(TimeoutError):
                async with asyncio.timeout(REQUEST_S):
                    await writer.drain()
        except OSError:
            pass
        finally:
            self._open.discard(task)
            writer.close()

    async def _answer(self, asked: Asked) -> bytes:
        match asked.method, asked.path:
            case "POST", "/purges":
                wanted = submit_decoder.decode(asked.body)
                key = asked.headers.get("idempotency-key", "")
                if len(key) > 128 or not key.isprintable():
                    raise Refused(400, "Idempotency-Key; expected up to 128 printable characters")
                return encode_json(await self.submit(wanted.scope, key, wanted.tags))
            case "GET", "/purges":
                return encode_json(list(self.standing.beyond({})))
            case "GET", "/status":
                return encode_json(self.status())
            case "GET", "/explain":
                return encode_json(self.explain(asked.query))
        raise Refused(404, f"{asked.method} {asked.path}: no such thing here")

    def status(self) -> Status:
        gaps = [f"{g.issuer}:{g.epoch}={g.first}-{g.last}" for g in self.standing.positions.gaps()]
        return Status(
            self.name, self._stamps.epoch, len(self.standing), vector_text(self.standing.positions.vector()),
            gaps, self.followers, {f"{p.host}:{p.port}": p.state for p in self._peers}, not self._broken,
            self.recovered,
        )

    def explain(self, query: str) -> list[Purge]:
        """The purges that bind a request, newest first."""
        given = {name: values[0] for name, values in parse_qs(query).items()}
        object_ = int(given.get("object", "0"), 16)
        group, part = int(given.get("group", "-1")), int(given.get("part", "0"))
        found = [
            p for p in self.standing.beyond({})
            if parse(p.scope).covers(given.get("class", "?"), group, object_, part)
        ]
        return sorted(found, key=lambda p: -p.at_ms)

    async def _tell(self, writer: asyncio.StreamWriter, vector: dict[tuple[str, int], int]) -> None:
        """All that the follower lacks, then what comes, at the follower's pace."""
        writer.transport.set_write_buffer_limits(high=UNSENT_BYTES)
        writer.write(answer(200, "text/event-stream", None))
        self.followers += 1
        try:
            place = self._tail_from + len(self._tail)
            reached = self.standing.positions.vector()
            backlog = list(self.standing.beyond(vector))
            while True:
                for batch in batches(backlog):
                    await self._event(writer, Event(purges=batch))
                await self._event(writer, Event(mark=vector_text(reached)))
                news = self._news
                if place == self._tail_from + len(self._tail):
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


def _from(asked: Asked) -> dict[tuple[str, int], int]:
    given = [item.partition("=") for item in asked.query.split("&")]
    return read_vector(unquote(next((value for name, _, value in given if name == "from"), "")))


def accepted(purge: Purge, again: bool = False) -> Accepted:
    return Accepted(purge.issuer, purge.epoch, purge.seq, purge.at_ms, purge.scope, again)


def batches(purges: Iterable[Purge]) -> Iterator[list[Purge]]:
    """So many purges to an event, and so many bytes of scopes."""
    batch: list[Purge] = []
    size = 0
    for purge in purges:
        if batch and (len(batch) >= A_BATCH or size > BATCH_BYTES):
            yield batch
            batch, size = [], 0
        batch.append(purge)
        size += len(purge.scope)
    if batch:
        yield batch
