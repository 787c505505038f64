"""Leases as a part of a control server, which is a keeper. Numbers and progress are stored before an answer
leaves; leases are not, a start sits them out. Decisions stand in `keeper`."""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from ..control.http import CALL_ERRORS, Refused, Request, fetch
from ..control.part import MAX_LARGE_BODY_BYTES, Route, StreamRoute
from ..durable.files import Disk
from ..durable.log import Broken, Log, recover
from .keeper import Keeper
from .wire import (
    MOST_ASKS,
    MOST_PROGRESS,
    Asks,
    Numbers,
    Owned,
    Owners,
    Replies,
    asks_decoder,
    encode_json,
    numbers_decoder,
)

log = logging.getLogger(__name__)

ANSWER_S = 1.0  # for another keeper to say what it has seen
RETRY_S = 0.2  # between rounds of asking the other keepers
SNAPSHOT_AFTER = 20_000  # records in the log
MAX_NAME_CHARS = 128  # of a work and of a holder


class _NumberRecord(msgspec.Struct, array_like=True):
    """A record: a number, and the progress under it."""

    work: str
    number: int
    progress: str = ""


class _Peer(NamedTuple):
    host: str
    port: int
    tls: ssl.SSLContext | None


class LeasePart:
    """steady: ms that do not step."""

    def __init__(
        self,
        name: str,
        disk: Disk,
        token: Callable[[], str],
        steady: Callable[[], float],
        longest_ms: float,
        peers: list[tuple[str, int]],
        tls: ssl.SSLContext | None = None,
        first: bool = False,
        clock_ms: float = 0.0,
    ) -> None:
        """Recovers from the disk. first: an operator says that an empty folder is no loss; clock_ms: Unix.
        Raises Damaged, InUse and OSError."""
        self._token, self._steady = token, steady
        self._log: Log
        self._log, found = recover(disk)
        seen: list[_NumberRecord] = []
        if found.snapshot is not None:
            seen += msgspec.msgpack.decode(found.snapshot, type=list[_NumberRecord])
        seen += [msgspec.msgpack.decode(record, type=_NumberRecord) for record in found.records]
        self._records = len(found.records)
        numbers: dict[str, int] = {}
        self.progress: dict[str, tuple[int, str]] = {}
        for one in seen:
            numbers[one.work] = max(numbers.get(one.work, 0), one.number)
            self._learn(one.work, one.number, one.progress)
        lost_ms = 0.0 if first or found.snapshot is not None or found.records else clock_ms
        if lost_ms:
            log.error("keeper: the folder is empty, and nobody said that this is the first start")
        self.keeper = Keeper(name, len(peers) + 1, longest_ms, steady(), numbers, lost_ms)
        self._since: dict[str, tuple[int, float]] = {}
        self._peers = [_Peer(host, port, tls) for host, port in peers]
        self._heard: set[_Peer] = set()
        self._storing = asyncio.Lock()
        self._task: asyncio.Task[None] | None = None

    def _learn(self, work: str, number: int, progress: str) -> None:
        if progress and number >= self.progress.get(work, (0, ""))[0]:
            self.progress[work] = number, progress

    def start(self) -> None:
        self._task = asyncio.create_task(self._learn_all())

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._log.close()

    async def _learn_all(self) -> None:
        """From the other keepers, once after the start: what this one's disk may have lost."""
        while len(self._heard) < len(self._peers):
            for peer in self._peers:
                if peer not in self._heard and await self._learn_from(peer):
                    self._heard.add(peer)
            await asyncio.sleep(RETRY_S)
        log.info("keeper has heard all others works=%d", len(self.keeper.numbers))

    async def _learn_from(self, peer: _Peer) -> bool:
        """Whether the keeper answered."""
        call = fetch(
            peer.host, peer.port, "GET", "/leases/numbers", self._token(), tls=peer.tls, within_s=ANSWER_S
        )
        try:
            answer = numbers_decoder.decode(await call)
        except CALL_ERRORS as error:
            log.debug("keeper not heard feed=%s:%d: %s", peer.host, peer.port, error)
            return False
        self.keeper.learn(answer.keeper, answer.numbers)
        for work, (number, progress) in answer.progress.items():
            self._learn(work, number, progress)
        return True

    def routes(self) -> Sequence[Route]:
        return (
            Route("POST", "/leases", self._on_ask, MAX_LARGE_BODY_BYTES),
            Route("GET", "/leases/numbers", self._on_numbers),
            Route("GET", "/leases", self._on_owners),
        )

    def streams(self) -> Sequence[StreamRoute]:
        return ()

    async def _on_ask(self, request: Request, caller: str) -> bytes:
        return encode_json(await self._ask(asks_decoder.decode(request.body)))

    async def _on_numbers(self, request: Request, caller: str) -> bytes:
        return encode_json(Numbers(self.keeper.name, self.keeper.numbers, self.progress))

    async def _on_owners(self, request: Request, caller: str) -> bytes:
        ready = self.keeper.ready(self._steady())
        return encode_json(Owners(self.keeper.name, ready, self.owners()))

    async def _ask(self, asks: Asks) -> Replies:
        if len(asks.asks) > MOST_ASKS or any(len(text) > MOST_PROGRESS for text in asks.progress.values()):
            raise Refused(400, f"expected up to {MOST_ASKS} asks, and {MOST_PROGRESS} characters of progress")
        now = self._steady()
        replies, fresh = [], []
        for ask in asks.asks:
            if (
                not 0 < len(ask.work) <= MAX_NAME_CHARS
                or not 0 < len(ask.holder) <= MAX_NAME_CHARS
                or ask.number < 0
            ):
                raise Refused(400, "work, holder, number; expected two short names and a number from 0")
            reply, changed = self.keeper.ask(ask, now)
            replies.append(reply)
            if changed:
                log.info("lease granted work=%s holder=%s number=%d", ask.work, ask.holder, ask.number)
                self._since[ask.work] = ask.number, now
                fresh.append(_NumberRecord(ask.work, ask.number))
            progress = asks.progress.get(ask.work, "")
            if reply.granted and progress and self.progress.get(ask.work, (0, ""))[1] != progress:
                self.progress[ask.work] = ask.number, progress
                fresh.append(_NumberRecord(ask.work, ask.number, progress))
        if fresh:
            await self._store(fresh)
        granted = {ask.work for ask, reply in zip(asks.asks, replies, strict=True) if reply.granted}
        left_behind = {work: self.progress[work][1] for work in granted if work in self.progress}
        return Replies(replies, left_behind)

    async def _store(self, fresh: list[_NumberRecord]) -> None:
        async with self._storing:
            for one in fresh:
                self._log.append(msgspec.msgpack.encode(one))
            try:
                await asyncio.to_thread(self._log.commit)
                self._records += len(fresh)
                if self._records >= SNAPSHOT_AFTER:
                    whole = [_NumberRecord(work, number) for work, number in self.keeper.numbers.items()]
                    whole += [
                        _NumberRecord(work, number, text) for work, (number, text) in self.progress.items()
                    ]
                    await asyncio.to_thread(self._log.snapshot, msgspec.msgpack.encode(whole))
                    self._records = 0
            except (OSError, Broken) as error:
                self._log.drop()
                log.error("keeper: numbers not stored: %s", error)
                raise Refused(507, f"not stored: {error}") from None

    def _snapshot(self) -> bytes:
        records = [_NumberRecord(work, number) for work, number in self.keeper.numbers.items()]
        records += [_NumberRecord(work, number, text) for work, (number, text) in self.progress.items()]
        return msgspec.msgpack.encode(records)

    def owners(self) -> list[Owned]:
        now = self._steady()
        found = []
        for work in sorted(self.keeper.numbers):
            running = self.keeper.running(work, now)
            number, since = self._since.get(work, (0, now))
            found.append(
                Owned(
                    work,
                    self.keeper.numbers[work],
                    running.holder if running else "",
                    running.until_ms - now if running else 0.0,
                    now - since if running and running.number == number else 0.0,
                )
            )
        return found


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_CHARS
