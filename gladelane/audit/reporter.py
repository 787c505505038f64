"""Reports a director's activity to one control server at a time, and takes the replies: the view lease and
the verdict. Decisions stand in `activity_log` and `view_lease`."""

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

ASSUMED_LEASE_MS = 3_000.0  # until a control server has said how long a lease is


class Reporter:
    """The reports of one director. `earlier_runs` are what its earlier processes left unreported."""

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
        self.has_more = False  # something is left to report at once
        self.granted = asyncio.Event()  # a first lease was granted
        self._servers = list(purges.options.servers)
        name_hash = blake2b(recorder.log.director.encode(), digest_size=4).hexdigest()
        self._server_index = int(name_hash, 16) % len(self._servers)
        self._is_stopping = False
        self._offset: ClockOffset | None = None
        self._offset_server = ""  # the control server to whose clock the offset belongs
        self._lease_ms = ASSUMED_LEASE_MS

    def stop(self) -> None:
        """The next report is the last one: it holds no checkpoint."""
        self.earlier_runs, self._is_stopping = [], True

    async def report(self, timeout_s: float) -> bool:
        """Sends one report to the current control server. Returns False if there was no answer; the next
        report goes to the next server then."""
        host, port = self._servers[self._server_index]
        asked_ms = steady_ms()  # before any part of the report is read
        earlier = self._next_earlier_run()
        report = self._next_report() if earlier is None else earlier.next_report(self._zone)
        report.view, report.sent_ms = self._recorder.view, self._clock()
        try:
            body, token = encode_json(report), self._purges.own_token()
            headers = {"Content-Type": "application/json"}
            answer = await fetch(host, port, "POST", "/reports", token, body, headers, within_s=timeout_s)
            reply = reply_decoder.decode(answer)
        except CALL_ERRORS as error:
            self._lease.note_unanswered(asked_ms, self._lease_ms)
            self._switch_server()
            reason = error_label(error)
            log.warning("audit: feed did not answer feed=%s:%d: %s %s", host, port, reason, error)
            return False
        if earlier is not None:
            self.has_more = True  # the running process is next, without a pause
            if earlier.acknowledge(reply):
                self.earlier_runs.pop(0)
            return True
        is_full = len(report.intervals) == MAX_REPORT_INTERVALS
        self.has_more = is_full and reply.stored >= report.intervals[-1].number
        self._take_reply(reply, report, asked_ms)
        return True

    @property
    def _zone(self) -> str:
        return self._director.settings.zone

    def _switch_server(self) -> None:
        self._server_index = (self._server_index + 1) % len(self._servers)

    def _take_reply(self, reply: ReportReply, report: Report, asked_ms: float) -> None:
        now_ms = self._clock()
        self._lease_ms = reply.lease_ms
        self._offset = ClockOffset(reply.now_ms - now_ms, reply.now_ms - report.sent_ms)
        self._offset_server = reply.server
        self._recorder.log.acknowledge(reply.stored, reply.copied)
        if not self._lease.apply_verdict(reply.verdict, report.view):
            log.warning("audit: verdict not believed feed=%s: %s", reply.server, reply.verdict.reason)
        self._lease.renew(asked_ms, reply.lease_ms)
        if self._lease.stage < Stage.QUARANTINED:
            self.granted.set()
        # another control server may have more to follow, or a disk that accepts writes
        if reply.verdict.stage is Stage.RESYNCING or not reply.stores:
            self._switch_server()
        self._recorder.drop_unused_views()

    def _next_earlier_run(self) -> UnreportedRun | None:
        """Earlier processes take turns with the running one, whose lease has to be renewed."""
        if self.earlier_runs and self.granted.is_set() and not self.has_more:
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
        report.views.pop(report.open.view, None)  # it goes along as the report's own view
        report.offset, report.clock = self._offset, self._offset_server
        report.stage = int(self._lease.stage)
        return report
