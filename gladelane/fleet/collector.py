"""The audit as a part of a control server: takes directors' reports, stores what is new before it answers,
judges, and answers questions. Decisions stand in `ledger` and `straggle`; `report_replication` hands on.

    POST /reports, /handed, /fleet/expect
    GET  /fleet/marks                                 how far each start is stored here
    GET  /fleet/versions, /fleet/stragglers           as it is now
    GET  /fleet/audit?at=MS, ?director=N&from=MS&to=MS
    GET  /fleet/explain?director=N, /fleet/verify
"""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Callable, Sequence
from contextlib import suppress
from typing import NamedTuple
from urllib.parse import parse_qs

import msgspec

from ..control.group_commit import GroupCommit
from ..control.http import Refused, Request
from ..control.part import MAX_LARGE_BODY_BYTES, Route, StreamRoute
from ..control.positions import Vector
from ..durable import without_gc
from ..durable.files import Disk
from ..durable.log import Broken, Log, recover
from .ledger import BadReport, Ledger, Row
from .replies import (
    AuditReply,
    ExpectReply,
    ExplainReply,
    ReplyHead,
    StragglersReply,
    VerifyReply,
    VersionsReply,
    Views,
)
from .report_replication import ReportPeer, ReportReplication
from .straggle import EXPECTED, Judge, Ladder
from .tenure import Stage
from .wire import (
    Answer,
    Expect,
    Handed,
    Mark,
    Marks,
    Report,
    encode_json,
    expect_decoder,
    handed_decoder,
    report_decoder,
)

log = logging.getLogger(__name__)

MAX_WAITING = 4_000  # reports not stored yet
MAX_BATCH = 500  # of them stored at once
SNAPSHOT_AFTER = 100_000  # records in the log
LOOK_S = 0.2  # how often it is seen whether other servers are heard
FORGET_S = 60.0
TWINS_MS = 10_000.0  # for which two processes of one name may be an upgrade
MAX_ROWS = 20_000  # of one answer


class _Waiting(NamedTuple):
    reports: list[Report]
    expects: list[Expect]
    done: asyncio.Future[None]
    source: str  # the feed that handed them on, empty: a director or an operator


class _Record(msgspec.Struct, array_like=True):
    reports: list[Report] = []
    expects: list[Expect] = []


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
        self.epoch = int(clock())
        self.ledger = Ledger(retention_ms)
        self.judge = Judge(ladder or Ladder(silent_ms=tenure_ms), clock())
        self._log, words, self._records = recovered(disk, self.ledger)
        for word in words:
            self.judge.told.expect(word)
        self._committer = GroupCommit(self._commit, self._commit_failed, MAX_WAITING, MAX_BATCH)
        self._replication = ReportReplication(
            name, self.epoch, self.ledger, self._expects, token, clock, self._place
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._failed = False
        self.taken = 0

    def hand_to(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> None:
        """Another feed. Before `start`."""
        self._replication.peers.append(ReportPeer(host, port, tls))
        self._place()

    def _place(self) -> None:
        """Each feed has its part of what may be held back; the first by name has the rest of a division."""
        others = [peer.name for peer in self._replication.peers]
        names, known = sorted([self.name, *others]), all(others)
        self.judge.feeds = len(names)
        self.judge.rank = names.index(self.name) if known else len(names) - 1

    def start(self) -> None:
        self._tasks = [asyncio.create_task(self._committer.run()), asyncio.create_task(self._look_all())]
        self._tasks += [asyncio.create_task(run) for run in self._replication.runs()]
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
        return encode_json(VerifyReply(*self._head(), self.ledger.verify()))

    async def _report(self, report: Report) -> Answer:
        now = self.clock()
        report.taken_ms, report.by = now, self.name
        self._check(report)
        if report.current:
            self.judge.heard(report.director, report.zone, report.view, now, report.start)
        await self._take([report], [], "")
        run = report.director, report.start
        stored = self.ledger.upto(run, report.first)
        others = self._replication.most_stored(run, stored)
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

    async def _expect(self, word: Expect, caller: str) -> ExpectReply:
        if word.part not in EXPECTED or any(len(text) > 64 for text in word.digests):
            raise Refused(400, f"part {word.part[:40]!r}; expected one of {', '.join(EXPECTED)}, and digests")
        word.since_ms, word.by = word.since_ms or self.clock(), caller
        await self._take([], [word], "")
        return ExpectReply(*self._head(), self._expects())

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
                self._apply(report, source)

    def _apply(self, report: Report, source: str) -> None:
        self.ledger.take(report)
        self._replication.taken(report, source)

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
                self._apply(report, waiting.source)
            self.taken += len(waiting.reports)
            if not waiting.done.done():
                waiting.done.set_result(None)
        self._records += len(batch)
        if self._records >= SNAPSHOT_AFTER:
            words = self._expects()
            payload = msgspec.msgpack.encode((self.ledger.snapshot(), words))
            await asyncio.to_thread(self._log.snapshot, payload)
            self._records = 0

    async def _look_all(self) -> None:
        looks = 0
        while True:
            await asyncio.sleep(LOOK_S)
            now, peers = self.clock(), self._replication.peers
            self.judge.alone = bool(peers) and len(self._replication.unheard()) == len(peers)
            looks += 1
            if looks % int(FORGET_S / LOOK_S) == 0:
                self.ledger.forget(now)
                self.judge.forget(now)

    # --- questions

    def _expects(self) -> list[Expect]:
        return list(self.judge.told.expects.values())

    def _head(self) -> ReplyHead:
        """Who answers, and what this server may lack."""
        lacks = [
            f"feed {peer.name or peer.host} at {peer.host}:{peer.port} is not heard"
            for peer in self._replication.unheard()
        ]
        lacks += [f"director {name}: two processes have this name" for name in self.ledger.twins(TWINS_MS)]
        if self._failed:
            lacks.append("this feed's disk takes nothing: reports are refused")
        return ReplyHead(self.name, self.epoch, self.clock(), lacks)

    def _audit(self, given: dict[str, str]) -> AuditReply:
        if "at" in given:
            rows = self.ledger.at(float(given["at"]))
        else:
            director = given.get("director", "")
            if director not in self.ledger.directors():
                raise Refused(404, f"director {director[:64]!r}: nobody has heard of it here")
            rows = self.ledger.of(director, float(given.get("from", 0.0)), float(given.get("to", 2**53)))
        cut = len(rows) > MAX_ROWS
        rows = rows[:MAX_ROWS]
        return AuditReply(*self._head(), rows, cut, self._views(rows))

    def _views(self, rows: list[Row]) -> Views:
        views = self.ledger.views
        return {row.view: msgspec.structs.asdict(views[row.view]) for row in rows if row.view in views}

    def _versions(self) -> VersionsReply:
        rows = self.ledger.latest()
        views = {
            row.view: msgspec.structs.asdict(self.ledger.view_of(row.director, row.start)) for row in rows
        }
        return VersionsReply(*self._head(), rows, views, self._expects())

    def _stragglers(self) -> StragglersReply:
        judge = self.judge
        return StragglersReply(*self._head(), judge.stragglers(self.clock()), judge.source, judge.held_back())

    def _explain(self, director: str) -> ExplainReply:
        try:
            explained = self.judge.explain(director, self.clock())
        except KeyError:
            raise Refused(404, f"director {director[:64]!r}: nobody has heard of it here") from None
        return ExplainReply(*self._head(), explained, self.judge.ladder, self.judge.source)


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
