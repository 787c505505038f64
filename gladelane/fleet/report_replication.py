"""Hands reports on to the other servers: what each of them lacks, a few times a second. Decides nothing."""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
from collections.abc import Callable, Coroutine
from typing import Any

from ..control.http import CALL_ERRORS, fetch
from ..structures.backoff import Backoff
from .ledger import Ledger, Run
from .wire import A_HANDING, Expect, Handed, Marks, Report, encode_json, marks_decoder

log = logging.getLogger(__name__)

INTERVAL_S = 0.2  # between two messages to one server
MAX_BACKOFF_S = 1.0  # between tries while it does not answer
HEARD_MS = 5_000.0  # without an answer for so long a server is not heard


class ReportPeer:
    """Another server: up to where it has each start's spans, and the starts that it has to be told of."""

    def __init__(self, host: str, port: int, tls: ssl.SSLContext | None) -> None:
        self.host, self.port, self.tls = host, port, tls
        self.name, self.epoch = "", 0
        self.stored: dict[Run, int] = {}
        self.changed: dict[Run, None] = {}
        self.heard_ms = 0.0
        self.asked = False  # its marks were asked for since its start


class ReportReplication:
    """expects: operators' words as they are known now; named: hears that a peer has said its name."""

    def __init__(
        self,
        name: str,
        epoch: int,
        ledger: Ledger,
        expects: Callable[[], list[Expect]],
        token: Callable[[], str],
        clock: Callable[[], float],
        named: Callable[[], None],
    ) -> None:
        self.peers: list[ReportPeer] = []
        self._name, self._epoch, self._ledger, self._expects = name, epoch, ledger, expects
        self._token, self._clock, self._named = token, clock, named

    def runs(self) -> list[Coroutine[Any, Any, None]]:
        """One for each peer, to be run as tasks."""
        return [self._run(peer) for peer in self.peers]

    def unheard(self) -> list[ReportPeer]:
        now = self._clock()
        return [peer for peer in self.peers if now - peer.heard_ms > HEARD_MS]

    def most_stored(self, run: Run, default: int) -> int:
        """Up to where the furthest peer has a start's spans; default: where there is no peer."""
        return max((peer.stored.get(run, 0) for peer in self.peers), default=default)

    def taken(self, report: Report, source: str) -> None:
        """A report was taken here; source: the peer that handed it on, empty: a director."""
        run = report.director, report.start
        for peer in self.peers:
            if peer.name != source or not source:
                peer.changed[run] = None
            elif report.spans and report.spans[0].number <= peer.stored.get(run, 0) + 1:
                peer.stored[run] = max(peer.stored.get(run, 0), report.spans[-1].number)

    async def _run(self, peer: ReportPeer) -> None:
        backoff = Backoff(random.Random(), INTERVAL_S, MAX_BACKOFF_S)
        while True:
            try:
                await self._hand_on(peer)
                heard = True
            except CALL_ERRORS as error:
                if peer.asked:
                    why = type(error).__name__
                    log.warning(
                        "audit: feed did not take feed=%s:%d: %s %s", peer.host, peer.port, why, error
                    )
                peer.asked = heard = False
            except Exception:
                log.exception("audit: handing on failed")
                heard = False
            await asyncio.sleep(INTERVAL_S if heard else backoff.after(False))

    async def _hand_on(self, peer: ReportPeer) -> None:
        """One message with what the peer lacks; after each of its starts it is asked how far it is."""
        if not peer.asked:
            answer = await fetch(peer.host, peer.port, "GET", "/fleet/marks", self._token(), tls=peer.tls)
            self._learn(peer, marks_decoder.decode(answer))
            peer.changed = dict.fromkeys(self._ledger.marks())
            peer.asked = True
        runs = list(peer.changed)
        message = Handed(self._name, self._epoch, self._lacking(peer, runs), self._expects())
        try:
            marks = await self._send(peer, message)
        except BaseException:
            peer.changed.update(dict.fromkeys(runs))
            raise
        if marks.epoch != peer.epoch:  # it has started since, and may have lost what it had
            peer.asked = False
        self._learn(peer, marks)

    def _lacking(self, peer: ReportPeer, runs: list[Run]) -> list[Report]:
        """What one message holds of it; starts that it tells whole are no longer marked as changed."""
        reports: list[Report] = []
        room = A_HANDING
        for run in runs:
            if room <= 0:
                break
            report = next(self._ledger.beyond_run(run, peer.stored.get(run, 0), room), None)
            if report is None or len(report.spans) < room:
                del peer.changed[run]
            if report is not None:
                reports.append(report)
                room -= len(report.spans) + 1
        return reports

    async def _send(self, peer: ReportPeer, message: Handed) -> Marks:
        body, headers = encode_json(message), {"Content-Type": "application/json"}
        answer = await fetch(
            peer.host, peer.port, "POST", "/handed", self._token(), body, headers, tls=peer.tls
        )
        return marks_decoder.decode(answer)

    def _learn(self, peer: ReportPeer, marks: Marks) -> None:
        if marks.whole:
            peer.stored = {}
        for mark in marks.marks:
            peer.stored[mark.director, mark.start] = mark.upto
        peer.epoch, peer.heard_ms = marks.epoch, self._clock()
        if peer.name != marks.feed:
            peer.name = marks.feed
            self._named()
