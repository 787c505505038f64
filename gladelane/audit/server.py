"""The audit as a part of a control server: its routes and background tasks.

    POST /reports, /handed, /fleet/expect
    GET  /fleet/marks                                 how far each start is stored here
    GET  /fleet/versions, /fleet/stragglers           the current state
    GET  /fleet/audit?at=MS, ?director=N&from=MS&to=MS
    GET  /fleet/explain?director=N, /fleet/verify

`report_intake` accepts reports, `answers` answers queries, `report_replication` sends reports to the other
control servers. The decisions are made in `audit_store` and `lag_monitor`.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Callable, Sequence
from functools import partial
from urllib.parse import parse_qs

from ..control_plane.http import Request
from ..control_plane.part import MAX_LARGE_BODY_BYTES, Route, StreamRoute
from ..control_plane.positions import Vector
from ..storage.files import Disk
from ..supervision import Supervisor
from .answers import AuditAnswers
from .audit_store import DAY_MS, AuditStore
from .escalation import EscalationPolicy
from .lag_monitor import LagMonitor
from .report_intake import ReportIntake, ServerIdentity
from .report_log import ReportLog
from .report_replication import ReportPeer, ReportReplication
from .wire import (
    StoredPosition,
    StoredPositions,
    encode_json,
    expected_decoder,
    replicated_decoder,
    report_decoder,
)

log = logging.getLogger(__name__)

PEER_CHECK_S = 0.2  # between two checks whether other control servers answer
FORGET_S = 60.0  # between two removals of expired data
CHECKS_PER_FORGET = int(FORGET_S / PEER_CHECK_S)


class AuditServer:
    """The audit part of one control server."""

    def __init__(
        self,
        name: str,
        disk: Disk,
        token: Callable[[], str],
        clock: Callable[[], float],
        policy: EscalationPolicy | None = None,
        lease_ms: float = 3_000.0,
        retention_ms: float = 30 * DAY_MS,
    ) -> None:
        """Recovers from the disk. `clock` returns Unix ms, `token` the token for calls to peers. Raises
        CorruptLogError, FolderInUseError and OSError."""
        self._clock = clock
        self._identity = ServerIdentity(name, int(clock()))
        self.store = AuditStore(retention_ms)
        self.monitor = LagMonitor(policy or EscalationPolicy(silent_ms=lease_ms), clock())
        self.report_log = ReportLog(disk, self.store)
        for expected in self.report_log.expects:
            self.monitor.versions.expect(expected, clock())
        self._replication = ReportReplication(
            *self._identity, self.store, self.monitor.versions, token, clock, self._rank_servers
        )
        parts = self._identity, self.store, self.monitor, self.report_log, self._replication
        self.intake = ReportIntake(*parts, clock, lease_ms)
        self.answers = AuditAnswers(*parts, clock)
        self.supervisor = Supervisor()

    def add_peer(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> None:
        """Replicates to another control server. Must precede `start`."""
        self._replication.peers.append(ReportPeer(host, port, tls))
        self._rank_servers()

    def _rank_servers(self) -> None:
        """Divides the share of directors that may be restricted among the servers, which are ranked by name.
        A server that does not know all names yet ranks itself last, since the first ones get the
        remainder."""
        peer_names = [peer.name for peer in self._replication.peers]
        names = sorted([self._identity.name, *peer_names])
        self.monitor.server_count = len(names)
        self.monitor.rank = names.index(self._identity.name) if all(peer_names) else len(names) - 1

    def start(self) -> None:
        """Starts the background tasks: storing, replication, and checking the peers."""
        self.supervisor.start("storing reports", self.intake.run)
        self.supervisor.start("audit peers", self._watch_peers)
        for peer in self._replication.peers:
            run = partial(self._replication.run, peer)
            self.supervisor.start(f"audit replication to {peer.host}:{peer.port}", run)
        log.info(
            "audit ready name=%s directors=%d spans=%d",
            self._identity.name,
            len(self.store.starts),
            self.store.interval_count,
        )

    async def close(self) -> None:
        """Stops the tasks and releases the folder."""
        await self.supervisor.close()
        self.report_log.close()

    def reached(self, vector: Vector, low_watermark_ms: float) -> None:
        """Records that this control server has stored purges up to `vector`, and a low watermark."""
        now_ms = self._clock()
        self.monitor.versions.announce_purges(vector, now_ms)
        self.monitor.versions.announce_low_watermark(low_watermark_ms, now_ms)

    async def _watch_peers(self) -> None:
        checks = 0
        while True:
            await asyncio.sleep(PEER_CHECK_S)
            now_ms, peers = self._clock(), self._replication.peers
            self.monitor.is_isolated = bool(peers) and len(self._replication.silent_peers()) == len(peers)
            checks += 1
            if checks % CHECKS_PER_FORGET == 0:
                self.store.forget_expired(now_ms)
                self.monitor.forget_silent(now_ms)

    def routes(self) -> Sequence[Route]:
        """All routes of the audit."""
        return (
            Route("POST", "/reports", self._on_report, MAX_LARGE_BODY_BYTES),
            Route("POST", "/handed", self._on_replicated, MAX_LARGE_BODY_BYTES),
            Route("POST", "/fleet/expect", self._on_expect),
            Route("GET", "/fleet/marks", self._on_positions),
            Route("GET", "/fleet/audit", self._on_audit),
            Route("GET", "/fleet/versions", self._on_versions),
            Route("GET", "/fleet/stragglers", self._on_lagging),
            Route("GET", "/fleet/explain", self._on_explain),
            Route("GET", "/fleet/verify", self._on_verify),
        )

    def streams(self) -> Sequence[StreamRoute]:
        """The stream routes; the audit has none."""
        return ()

    async def _on_report(self, request: Request, _caller: str) -> bytes:
        return encode_json(await self.intake.handle_report(report_decoder.decode(request.body)))

    async def _on_replicated(self, request: Request, _caller: str) -> bytes:
        return encode_json(await self.intake.handle_replicated(replicated_decoder.decode(request.body)))

    async def _on_expect(self, request: Request, caller: str) -> bytes:
        await self.intake.handle_expected(expected_decoder.decode(request.body), caller)
        return encode_json(self.answers.expected())

    async def _on_positions(self, _request: Request, _caller: str) -> bytes:
        marks = [
            StoredPosition(*run_id, last_number) for run_id, last_number in self.store.positions().items()
        ]
        return encode_json(StoredPositions(*self._identity, marks, is_complete=True))

    async def _on_audit(self, request: Request, _caller: str) -> bytes:
        return encode_json(self.answers.audit(_parameters(request)))

    async def _on_versions(self, _request: Request, _caller: str) -> bytes:
        return encode_json(self.answers.versions())

    async def _on_lagging(self, _request: Request, _caller: str) -> bytes:
        return encode_json(self.answers.lagging())

    async def _on_explain(self, request: Request, _caller: str) -> bytes:
        return encode_json(self.answers.explain(_parameters(request).get("director", "")))

    async def _on_verify(self, _request: Request, _caller: str) -> bytes:
        return encode_json(self.answers.verify())


def _parameters(request: Request) -> dict[str, str]:
    return {name: values[0] for name, values in parse_qs(request.query).items()}
