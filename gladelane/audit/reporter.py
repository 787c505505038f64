"""Reports a director's activity to one control server at a time, and applies the replies, which contain the
view lease and the verdict. The decisions are made in `activity_log` and `view_lease`."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from hashlib import blake2b

from ..control_plane.errors import error_label
from ..control_plane.http import CALL_ERRORS, fetch
from ..net.director import Director
from ..purges.subscription import PurgeSubscription
from .activity_recorder import ActivityRecorder
from .steady import steady_ms
from .unreported_run import UnreportedRun
from .view_lease import Stage, ViewLease
from .wire import MAX_REPORT_INTERVALS, ClockOffset, Report, ReportReply, encode_json, reply_decoder

log = logging.getLogger(__name__)

ASSUMED_LEASE_MS = 3_000.0  # assumed until the first reply tells the duration of a lease


class Reporter:
    """Sends the reports of one director. `earlier_runs` holds what its earlier processes have not
    reported."""

    def __init__(
        self,
        recorder: ActivityRecorder,
        lease: ViewLease,
        director: Director,
        purges: PurgeSubscription,
        clock: Callable[[], float],
        earlier_runs: list[UnreportedRun],
    ) -> None:
        """`purges` names the control servers and the token for calls. `clock` returns Unix ms."""
        self._recorder, self._lease, self._director = recorder, lease, director
        self._purges, self._clock = purges, clock
        self.earlier_runs = earlier_runs
        self.has_more = False  # the next report is due without a delay
        self.lease_granted = asyncio.Event()  # set once the first lease was granted
        self._servers = list(purges.options.servers)
        name_hash = blake2b(recorder.log.director.encode(), digest_size=4).hexdigest()
        self._server_index = int(name_hash, 16) % len(self._servers)
        self._is_stopping = False
        self._offset: ClockOffset | None = None
        self._offset_server = ""  # the control server whose clock `_offset` refers to
        self._lease_ms = ASSUMED_LEASE_MS

    def stop(self) -> None:
        """Makes the next report the last one, which has no checkpoint."""
        self.earlier_runs, self._is_stopping = [], True

    async def report(self, timeout_s: float) -> bool:
        """Sends one report to the current control server. Returns False if there was no reply; the next
        report then goes to the next server."""
        host, port = self._servers[self._server_index]
        requested_ms = steady_ms()  # before any part of the report is built
        earlier = self._next_earlier_run()
        report = self._next_report() if earlier is None else earlier.next_report(self._zone)
        report.view, report.sent_ms = self._recorder.view, self._clock()
        try:
            body, token = encode_json(report), self._purges.own_token()
            headers = {"Content-Type": "application/json"}
            answer = await fetch(host, port, "POST", "/reports", token, body, headers, within_s=timeout_s)
            reply = reply_decoder.decode(answer)
        except CALL_ERRORS as error:
            self._lease.record_unanswered(requested_ms, self._lease_ms)
            self._switch_server()
            reason = error_label(error)
            log.warning("audit: no reply to a report feed=%s:%d: %s %s", host, port, reason, error)
            return False
        if earlier is not None:
            self.has_more = True  # the next report, of the running process, follows without a delay
            if earlier.acknowledge(reply):
                self.earlier_runs.pop(0)
            return True
        is_full = len(report.intervals) == MAX_REPORT_INTERVALS
        self.has_more = is_full and reply.stored >= report.intervals[-1].number
        self._apply_reply(reply, report, requested_ms)
        return True

    @property
    def _zone(self) -> str:
        return self._director.settings.zone

    def _switch_server(self) -> None:
        self._server_index = (self._server_index + 1) % len(self._servers)

    def _apply_reply(self, reply: ReportReply, report: Report, requested_ms: float) -> None:
        now_ms = self._clock()
        self._lease_ms = reply.lease_ms
        self._offset = ClockOffset(reply.now_ms - now_ms, reply.now_ms - report.sent_ms)
        self._offset_server = reply.server
        self._recorder.log.acknowledge(reply.stored, reply.copied)
        if not self._lease.apply_verdict(reply.verdict, report.view):
            log.warning("audit: verdict rejected feed=%s: %s", reply.server, reply.verdict.reason)
        self._lease.renew(requested_ms, reply.lease_ms)
        if self._lease.stage < Stage.QUARANTINED:
            self.lease_granted.set()
        # another control server may be more up to date, or may have a disk that accepts writes
        if reply.verdict.stage is Stage.RESYNCING or not reply.stores:
            self._switch_server()
        self._recorder.drop_unused_views()

    def _next_earlier_run(self) -> UnreportedRun | None:
        """The earlier process that the next report is about, or None for the running process. They alternate,
        since the running process must renew its lease."""
        if self.earlier_runs and self.lease_granted.is_set() and not self.has_more:
            return self.earlier_runs[0]
        return None

    def _next_report(self) -> Report:
        """The next report of the running process, without `view` and `sent_ms`."""
        activity_log = self._recorder.log
        intervals = activity_log.unreported(MAX_REPORT_INTERVALS)
        report = Report(
            director=activity_log.director,
            start=activity_log.start,
            zone=self._zone,
            sent_ms=0.0,
            intervals=intervals,
            views=self._recorder.views_of(intervals),
            lost=activity_log.lost,
            first=activity_log.copied + 1,
        )
        if self._is_stopping:
            return report
        report.open = self._recorder.checkpoint()
        report.views.pop(report.open.view, None)  # sent as the report's own view
        report.offset, report.clock = self._offset, self._offset_server
        report.stage = int(self._lease.stage)
        return report
