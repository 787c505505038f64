"""The audit as a part of a control server: takes directors' reports, stores what is new before it answers,
hands it on to the other feeds, judges, and answers questions. Decisions stand in `ledger` and `straggle`.

    POST /reports, /handed, /fleet/expect
    GET  /fleet/marks                                 how far each start is stored here
    GET  /fleet/versions, /fleet/stragglers           as it is now
    GET  /fleet/audit?at=MS, ?director=N&from=MS&to=MS
    GET  /fleet/explain?director=N, /fleet/verify
"""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import msgspec

from ..control.group_commit import GroupCommit
from ..control.http import CALL_ERRORS, Refused, Request, fetch
from ..control.part import MAX_LARGE_BODY_BYTES, Route, StreamRoute
from ..control.positions import Vector
from ..durable import without_gc
from ..durable.files import Disk
from ..durable.log import Broken, Log, recover
from ..structures.backoff import Backoff
from .ledger import BadReport, Ledger, Row, Run
from .straggle import EXPECTED, Judge, Ladder
from .tenure import Stage
from .wire import (
    A_HANDING,
    Answer,
    Expect,
    Handed,
    Mark,
    Marks,
    Report,
    encode_json,
    expect_decoder,
    handed_decoder,
    marks_decoder,
    report_decoder,
)

log = logging.getLogger(__name__)

MOST_WAITING = 4_000  # reports not stored yet
A_BATCH = 500
SNAPSHOT_AFTER = 100_000
HAND_S = 0.2  # how often news goes to the other feeds
HEARD_MS = 5_000.0  # without a word of any other feed for so long this one is alone
FORGET_S = 60.0
TWINS_MS = 10_000.0  # for which two processes of one name may be an upgrade
MOST_ROWS = 20_000


class _Waiting(NamedTuple):
    reports: list[Report]
    expects: list[Expect]
    done: asyncio.Future[None]
    source: str  # the feed that handed them on, empty: a director or an operator


class _Record(msgspec.Struct, array_like=True):
    reports: list[Report] = []
    expects: list[Expect] = []


class _Peer:
    """Another feed: how far it has each start, and the starts that it has to be told of."""

    def __init__(self, host: str, port: int, tls: ssl.SSLContext | None) -> None:
        self.host, self.port, self.tls = host, port, tls
        self.name, self.epoch = "", 0
        self.upto: dict[Run, int] = {}
        self.dirty: dict[Run, None] = {}
        self.heard_ms = 0.0
        self.whole = False  # its marks were asked for since its start


class Collector:
    def __init__(
        self,
        name: str,
        disk: Disk,
        token: Callable[[], str],
        clock: Callable[[], float],
        ladder: Ladder | None = None,
        tenure_ms: float = 3_000.0,
        retention_ms: float = 30 * 86_400_000.0,
    ) -> None:
        """Recovers from the disk. Raises Damaged, InUse and OSError."""
        self.name, self.clock, self.tenure_ms = name, clock, tenure_ms
        self._token = token
        self.epoch = int(clock())
        self.ledger = Ledger(retention_ms)
        self.judge = Judge(ladder or Ladder(silent_ms=tenure_ms), clock())
        self._log, words, self._records = recovered(disk, self.ledger)
        for word in words:
            self.judge.told.expect(word)
        self._committer = GroupCommit(self._commit, self._commit_failed, MOST_WAITING, A_BATCH)
        self._peers: list[_Peer] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._failed = False
        self.taken = 0

    def hand_to(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> None:
        """Another feed. Before `start`."""
        self._peers.append(_Peer(host, port, tls))
        self._place()

    def _place(self) -> None:
        """Each feed has its part of what may be held back; the first by name has the rest of a division."""
        names = sorted([self.name, *(peer.name for peer in self._peers)])
        known = all(peer.name for peer in self._peers)
        self.judge.feeds = len(names)
        self.judge.rank = names.index(self.name) if known else len(names) - 1

    def start(self) -> None:
        self._tasks = [asyncio.create_task(self._committer.run()), asyncio.create_task(self._look_all())]
        self._tasks += [asyncio.create_task(self._hand_all(peer)) for peer in self._peers]
        log.info(
            "audit ready name=%s directors=%d spans=%d",
            self.name,
            len(self.ledger.directors()),
            self.ledger.spans,
        )

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._log.close()

    def reached(self, vector: Vector, horizon_ms: float) -> None:
        """What this feed has stored of purges and losses."""
        now = self.clock()
        self.judge.told.reached(vector, now)
        self.judge.told.horizon(horizon_ms, now)

    # --- taking

    def routes(self) -> Sequence[Route]:
        return (
            Route("POST", "/reports", self._on_report, MAX_LARGE_BODY_BYTES),
            Route("POST", "/handed", self._on_handed, MAX_LARGE_BODY_BYTES),
            Route("POST", "/fleet/expect", self._on_expect),
            Route("GET", "/fleet/marks", self._on_marks),
            Route("GET", "/fleet/audit", self._on_audit),
            Route("GET", "/fleet/versions", self._on_versions),
            Route("GET", "/fleet/stragglers", self._on_stragglers),
            Route("GET", "/fleet/explain", self._on_explain),
            Route("GET", "/fleet/verify", self._on_verify),
        )

    def streams(self) -> Sequence[StreamRoute]:
        return ()

    async def _on_report(self, request: Request, caller: str) -> bytes:
        return encode_json(await self._report(report_decoder.decode(request.body)))

    async def _on_handed(self, request: Request, caller: str) -> bytes:
        return encode_json(await self._handed(handed_decoder.decode(request.body)))

    async def _on_expect(self, request: Request, caller: str) -> bytes:
        return encode_json(await self._expect(expect_decoder.decode(request.body), caller))

    async def _on_marks(self, request: Request, caller: str) -> bytes:
        marks = [Mark(*run, upto) for run, upto in self.ledger.marks().items()]
        return encode_json(Marks(self.name, self.epoch, marks, whole=True))

    async def _on_audit(self, request: Request, caller: str) -> bytes:
        return encode_json(self._audit(_parameters(request)))

    async def _on_versions(self, request: Request, caller: str) -> bytes:
        return encode_json(self._versions())

    async def _on_stragglers(self, request: Request, caller: str) -> bytes:
        return encode_json(self._stragglers())

    async def _on_explain(self, request: Request, caller: str) -> bytes:
        return encode_json(self._explain(_parameters(request).get("director", "")))

    async def _on_verify(self, request: Request, caller: str) -> bytes:
        return encode_json(self._said(wrong=self.ledger.verify()))

    async def _report(self, report: Report) -> Answer:
        now = self.clock()
        report.taken_ms, report.by = now, self.name
        self._check(report)
        if report.current:
            self.judge.heard(report.director, report.zone, report.view, now, report.start)
        await self._take([report], [], "")
        run = report.director, report.start
        stored = self.ledger.upto(run, report.first)
        others = max((peer.upto.get(run, 0) for peer in self._peers), default=stored)
        answer = Answer(self.name, self.epoch, self.clock(), stored, min(stored, others), self.tenure_ms)
        if report.current and report.open is None:
            self.judge.left(report.director)
        elif report.current:
            was = Stage(min(report.stage, Stage.OUT))
            answer.verdict = self.judge.verdict(report.director, now)
            if answer.verdict.stage is not was and max(answer.verdict.stage, was) > Stage.TOLD:
                log.warning(
                    "straggler director=%s stage=%s was=%s: %s",
                    report.director,
                    answer.verdict.stage.name.lower(),
                    was.name.lower(),
                    answer.verdict.why,
                )
        return answer

    def _check(self, report: Report) -> None:
        try:
            self.ledger.check(report)
        except BadReport as error:
            raise Refused(400, str(error)) from None

    async def _handed(self, handed: Handed) -> Marks:
        for report in handed.reports:
            self._check(report)
            if report.current and report.taken_ms:
                stage = Stage(min(max(report.stage, 0), Stage.OUT))
                taken = min(report.taken_ms, self.clock())
                self.judge.heard(report.director, report.zone, report.view, taken, report.start, stage)
        await self._take(handed.reports, handed.expects, handed.feed)
        runs = {(report.director, report.start) for report in handed.reports}
        return Marks(self.name, self.epoch, [Mark(*run, self.ledger.upto(run)) for run in runs])

    async def _expect(self, word: Expect, caller: str) -> dict[str, Any]:
        if word.part not in EXPECTED or any(len(text) > 64 for text in word.digests):
            raise Refused(400, f"part {word.part[:40]!r}; expected one of {', '.join(EXPECTED)}, and digests")
        word.since_ms, word.by = word.since_ms or self.clock(), caller
        await self._take([], [word], "")
        return self._said(expects=list(self.judge.told.expects.values()))

    async def _take(self, reports: list[Report], expects: list[Expect], source: str) -> None:
        """Returns once what is new is stored. Raises Refused."""
        new = [report for report in reports if self.ledger.new_of(report)]
        told = self.judge.told.expects
        words = [word for word in expects if told.get(word.part) != word]
        if new or words:
            done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            try:
                self._committer.put(_Waiting(new, words, done, source))
            except asyncio.QueueFull:
                raise Refused(503, "too many reports wait to be stored") from None
            await asyncio.shield(done)
        for report in reports:
            if report not in new:  # only how far its open span has come
                self._in(report, source)

    def _in(self, report: Report, source: str) -> None:
        self.ledger.take(report)
        run = report.director, report.start
        for peer in self._peers:
            if peer.name != source or not source:
                peer.dirty[run] = None
            elif report.spans:
                last = report.spans[-1].number
                if report.spans[0].number <= peer.upto.get(run, 0) + 1:
                    peer.upto[run] = max(peer.upto.get(run, 0), last)

    def _commit_failed(self, batch: list[_Waiting], error: Exception) -> None:
        if not isinstance(error, OSError | Broken):
            log.error("audit: could not store", exc_info=error)
        elif not self._failed:
            log.error("audit: not stored: %s", error)
        self._failed = True
        self._log.drop()
        for waiting in batch:
            if not waiting.done.done():
                waiting.done.set_exception(Refused(507, f"not stored: {error}"))

    async def _commit(self, batch: list[_Waiting]) -> None:
        for waiting in batch:
            self._log.append(msgspec.msgpack.encode(_Record(waiting.reports, waiting.expects)))
        await asyncio.to_thread(self._log.commit)
        self._failed = False
        for waiting in batch:
            for word in waiting.expects:
                self.judge.told.expect(word)
            for report in waiting.reports:
                self._in(report, waiting.source)
            self.taken += len(waiting.reports)
            if not waiting.done.done():
                waiting.done.set_result(None)
        self._records += len(batch)
        if self._records >= SNAPSHOT_AFTER:
            words = list(self.judge.told.expects.values())
            payload = msgspec.msgpack.encode((self.ledger.snapshot(), words))
            await asyncio.to_thread(self._log.snapshot, payload)
            self._records = 0

    # --- other feeds

    async def _hand_all(self, peer: _Peer) -> None:
        backoff = Backoff(random.Random(), HAND_S, 1.0)
        while True:
            try:
                heard = await self._hand(peer)
            except CALL_ERRORS as error:
                if peer.whole:
                    log.warning(
                        "audit: feed did not take feed=%s:%d: %s %s",
                        peer.host,
                        peer.port,
                        type(error).__name__,
                        error,
                    )
                peer.whole = heard = False
            except Exception:
                log.exception("audit: handing on failed")
                heard = False
            await asyncio.sleep(HAND_S if heard else backoff.after(False))

    async def _hand(self, peer: _Peer) -> bool:
        """One message with what the other feed lacks; after each of its starts it is asked how far it is."""
        if not peer.whole:
            told = await fetch(peer.host, peer.port, "GET", "/fleet/marks", self._token(), tls=peer.tls)
            self._marked(peer, marks_decoder.decode(told))
            peer.dirty = dict.fromkeys(self.ledger.marks())
            peer.whole = True
        runs = list(peer.dirty)
        reports: list[Report] = []
        left = A_HANDING
        for run in runs:
            if left <= 0:
                break
            report = next(self.ledger.beyond_run(run, peer.upto.get(run, 0), left), None)
            if report is None or len(report.spans) < left:
                del peer.dirty[run]
            if report is not None:
                reports.append(report)
                left -= len(report.spans) + 1
        words = list(self.judge.told.expects.values())
        body = encode_json(Handed(self.name, self.epoch, reports, words))
        try:
            told = await fetch(
                peer.host,
                peer.port,
                "POST",
                "/handed",
                self._token(),
                body,
                {"Content-Type": "application/json"},
                tls=peer.tls,
            )
        except BaseException:
            peer.dirty.update(dict.fromkeys(runs))
            raise
        marks = marks_decoder.decode(told)
        if marks.epoch != peer.epoch:  # it has started since, and may have lost what it had
            peer.whole = False
        self._marked(peer, marks)
        return True

    def _marked(self, peer: _Peer, told: Marks) -> None:
        if told.whole:
            peer.upto = {}
        for mark in told.marks:
            peer.upto[mark.director, mark.start] = mark.upto
        peer.epoch, peer.heard_ms = told.epoch, self.clock()
        if peer.name != told.feed:
            peer.name = told.feed
            self._place()

    async def _look_all(self) -> None:
        looks = 0
        while True:
            await asyncio.sleep(HAND_S)
            now = self.clock()
            self.judge.alone = bool(self._peers) and all(
                now - peer.heard_ms > HEARD_MS for peer in self._peers
            )
            looks += 1
            if looks % int(FORGET_S / HAND_S) == 0:
                self.ledger.forget(now)
                self.judge.forget(now)

    # --- questions

    def _said(self, **answer: Any) -> dict[str, Any]:
        """With what this feed may lack."""
        now = self.clock()
        lacks = [
            f"feed {peer.name or peer.host} at {peer.host}:{peer.port} is not heard"
            for peer in self._peers
            if now - peer.heard_ms > HEARD_MS
        ]
        lacks += [f"director {name}: two processes have this name" for name in self.ledger.twins(TWINS_MS)]
        if self._failed:
            lacks.append("this feed's disk takes nothing: reports are refused")
        return {"feed": self.name, "epoch": self.epoch, "now_ms": now, "lacks": lacks, **answer}

    def _audit(self, given: dict[str, str]) -> dict[str, Any]:
        if "at" in given:
            rows = self.ledger.at(float(given["at"]))
        else:
            director = given.get("director", "")
            if director not in self.ledger.directors():
                raise Refused(404, f"director {director[:64]!r}: nobody has heard of it here")
            rows = self.ledger.of(director, float(given.get("from", 0.0)), float(given.get("to", 2**53)))
        cut = len(rows) > MOST_ROWS
        rows = rows[:MOST_ROWS]
        return self._said(rows=rows, cut=cut, views=self._views(rows))

    def _views(self, rows: list[Row]) -> dict[str, Any]:
        return {row.view: self._plain(row.view) for row in rows if row.view in self.ledger.views}

    def _plain(self, name: str) -> dict[str, Any]:
        view = self.ledger.views[name]
        return {field: getattr(view, field) for field in view.__struct_fields__}

    def _versions(self) -> dict[str, Any]:
        rows = self.ledger.latest()
        views = {
            row.view: {field: getattr(view, field) for field in view.__struct_fields__}
            for row in rows
            for view in [self.ledger.view_of(row.director, row.start)]
        }
        return self._said(rows=rows, views=views, expects=list(self.judge.told.expects.values()))

    def _stragglers(self) -> dict[str, Any]:
        return self._said(
            stragglers=self.judge.stragglers(self.clock()),
            source=self.judge.source,
            held_back=self.judge.held_back(),
        )

    def _explain(self, director: str) -> dict[str, Any]:
        try:
            told = self.judge.explain(director, self.clock())
        except KeyError:
            raise Refused(404, f"director {director[:64]!r}: nobody has heard of it here") from None
        return self._said(explained=told, ladder=self.judge.ladder, source=self.judge.source)


def _parameters(request: Request) -> dict[str, str]:
    return {name: values[0] for name, values in parse_qs(request.query).items()}


def recovered(disk: Disk, ledger: Ledger) -> tuple[Log, list[Expect], int]:
    """What a feed had stored, into an empty ledger: the log, operators' words, records in the log. Raises
    Damaged and OSError."""
    log, found = recover(disk)
    words: list[Expect] = []
    with without_gc():
        if found.snapshot is not None:
            payload, words = _snapshot_decoder.decode(found.snapshot)
            ledger.restore(payload)
        for data in found.records:
            record = _record_decoder.decode(data)
            words += record.expects
            for report in record.reports:
                with suppress(BadReport):
                    ledger.take(report)
    return log, words, len(found.records)


_snapshot_decoder: msgspec.msgpack.Decoder[tuple[bytes, list[Expect]]] = msgspec.msgpack.Decoder(
    tuple[bytes, list[Expect]]
)
_record_decoder: msgspec.msgpack.Decoder[_Record] = msgspec.msgpack.Decoder(_Record)
