"""Replicates reports to the other control servers: a few times a second, each is sent what it lacks. Makes no
decisions."""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
from collections.abc import Callable

from ..control_plane.errors import error_label
from ..control_plane.http import CALL_ERRORS, fetch
from ..structures.backoff import Backoff
from .audit_store import AuditStore
from .fleet_versions import FleetVersions
from .wire import (
    MAX_REPLICATED_INTERVALS,
    ReplicatedReports,
    Report,
    RunId,
    StoredPositions,
    encode_json,
    positions_decoder,
)

log = logging.getLogger(__name__)

INTERVAL_S = 0.2  # between two messages to one server
MAX_BACKOFF_S = 1.0  # between attempts while a server does not answer
SILENT_MS = 5_000.0  # a server without an answer for this long counts as silent


class ReportPeer:
    """Another control server: how far it has stored each start, and which starts have changed here since."""

    def __init__(self, host: str, port: int, tls: ssl.SSLContext | None) -> None:
        self.host, self.port, self.tls = host, port, tls
        self.name, self.epoch = "", 0  # from its latest answer
        self.stored: dict[RunId, int] = {}
        self.changed_runs: dict[RunId, None] = {}  # a set in the order of the changes
        self.answered_ms = 0.0
        self.are_positions_known = False  # `stored` is what the peer reported since its latest start


class ReportReplication:
    """Replication to all peers. `peers` are added before `run` is called for each."""

    def __init__(
        self,
        name: str,
        epoch: int,
        store: AuditStore,
        versions: FleetVersions,
        token: Callable[[], str],
        clock: Callable[[], float],
        on_peer_named: Callable[[], None],
    ) -> None:
        """`name` and `epoch` identify this server. `token` returns the token for calls, `clock` Unix ms.
        `on_peer_named` is called when a peer's name becomes known or changes."""
        self.peers: list[ReportPeer] = []
        self._name, self._epoch, self._store, self._versions = name, epoch, store, versions
        self._token, self._clock, self._on_peer_named = token, clock, on_peer_named

    def silent_peers(self) -> list[ReportPeer]:
        """The peers that have not answered for longer than SILENT_MS."""
        now = self._clock()
        return [peer for peer in self.peers if now - peer.answered_ms > SILENT_MS]

    def max_stored_by_peers(self, run_id: RunId, default: int) -> int:
        """The highest number up to which any peer has stored a start; `default` if there is no peer."""
        return max((peer.stored.get(run_id, 0) for peer in self.peers), default=default)

    def record_stored(self, report: Report, source: str) -> None:
        """Records that a report was stored here. `source` is the peer that replicated it; empty if a director
        sent it."""
        run_id = report.run_id
        for peer in self.peers:
            if peer.name != source or not source:
                peer.changed_runs[run_id] = None
                continue
            known = peer.stored.get(run_id, 0)
            if report.intervals and report.intervals[0].number <= known + 1:
                peer.stored[run_id] = max(known, report.intervals[-1].number)

    async def run(self, peer: ReportPeer) -> None:
        """Replicates to one peer until cancelled."""
        backoff = Backoff(random.Random(), INTERVAL_S, MAX_BACKOFF_S)
        while True:
            has_answered = await self._attempt(peer)
            await asyncio.sleep(INTERVAL_S if has_answered else backoff.after(False))

    async def _attempt(self, peer: ReportPeer) -> bool:
        try:
            await self._replicate(peer)
        except CALL_ERRORS as error:
            if peer.are_positions_known:
                reason = error_label(error)
                log.warning(
                    "audit: replication failed feed=%s:%d: %s %s", peer.host, peer.port, reason, error
                )
            peer.are_positions_known = False
            return False
        return True

    async def _replicate(self, peer: ReportPeer) -> None:
        """Sends one message with what the peer lacks. If the peer has restarted, its positions are requested
        first."""
        if not peer.are_positions_known:
            answer = await fetch(peer.host, peer.port, "GET", "/fleet/marks", self._token(), tls=peer.tls)
            self._update(peer, positions_decoder.decode(answer))
            peer.changed_runs = dict.fromkeys(self._store.positions())
            peer.are_positions_known = True
        run_ids = list(peer.changed_runs)
        reports = self._missing_at(peer, run_ids)
        expects = list(self._versions.expects.values())
        message = ReplicatedReports(self._name, self._epoch, reports, expects, self._clock())
        try:
            positions = await self._send(peer, message)
        except BaseException:
            peer.changed_runs.update(dict.fromkeys(run_ids))
            raise
        if positions.epoch != peer.epoch:  # the peer has restarted and may have lost its data
            peer.are_positions_known = False
        self._update(peer, positions)

    def _missing_at(self, peer: ReportPeer, run_ids: list[RunId]) -> list[Report]:
        """Reports with what the peer lacks of `run_ids`, as far as one message can hold them. A start of
        which everything is included is no longer marked as changed."""
        reports: list[Report] = []
        capacity = MAX_REPLICATED_INTERVALS
        for run_id in run_ids:
            if capacity <= 0:
                break
            missing = self._store.missing_reports_of(run_id, peer.stored.get(run_id, 0), capacity)
            report = next(missing, None)
            if report is None or len(report.intervals) < capacity:
                del peer.changed_runs[run_id]
            if report is not None:
                reports.append(report)
                capacity -= len(report.intervals) + 1
        return reports

    async def _send(self, peer: ReportPeer, message: ReplicatedReports) -> StoredPositions:
        body, headers = encode_json(message), {"Content-Type": "application/json"}
        answer = await fetch(
            peer.host, peer.port, "POST", "/handed", self._token(), body, headers, tls=peer.tls
        )
        return positions_decoder.decode(answer)

    def _update(self, peer: ReportPeer, positions: StoredPositions) -> None:
        if positions.is_complete:
            peer.stored = {}
        for mark in positions.marks:
            peer.stored[RunId(mark.director, mark.start)] = mark.last_number
        peer.epoch, peer.answered_ms = positions.epoch, self._clock()
        if peer.name != positions.server:
            peer.name = positions.server
            self._on_peer_named()
