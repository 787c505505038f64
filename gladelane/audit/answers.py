"""Answers the audit queries that commands send to a control server. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ..control_plane.http import HttpStatusError
from . import audit_queries
from .audit_store import AuditStore
from .lag_monitor import LagMonitor
from .records import AuditRow
from .replies import (
    AuditReply,
    ExpectReply,
    ExplainReply,
    LaggingReply,
    ReplyHead,
    VerifyReply,
    VersionsReply,
    Views,
)
from .report_intake import ServerIdentity
from .report_log import ReportLog
from .report_replication import ReportReplication
from .verification import find_inconsistencies
from .wire import ExpectedDigests

UPGRADE_MS = 10_000.0  # two processes of one name may overlap for this long in an upgrade
MAX_ROWS = 20_000  # in one answer
END_OF_TIME_MS = float(2**53)


class AuditAnswers:
    """Answers the queries to one control server. All times are ms of its clock."""

    def __init__(
        self,
        identity: ServerIdentity,
        store: AuditStore,
        monitor: LagMonitor,
        report_log: ReportLog,
        replication: ReportReplication,
        clock: Callable[[], float],
    ) -> None:
        self._identity, self._store, self._monitor = identity, store, monitor
        self._report_log, self._replication, self._clock = report_log, replication, clock

    def audit(self, parameters: Mapping[str, str]) -> AuditReply:
        """What all directors did `at` a time, or what one `director` did `from` one time `to` another. Raises
        ValueError for a malformed time and HttpStatusError for an unknown director."""
        if "at" in parameters:
            rows = audit_queries.rows_at(self._store, float(parameters["at"]))
        else:
            director = parameters.get("director", "")
            if director not in self._store.starts:
                raise _unknown_director(director)
            from_ms = float(parameters.get("from", 0.0))
            to_ms = float(parameters.get("to", END_OF_TIME_MS))
            rows = audit_queries.rows_between(self._store, director, from_ms, to_ms)
        is_truncated = len(rows) > MAX_ROWS
        rows = rows[:MAX_ROWS]
        return AuditReply(*self._head(), rows, is_truncated, self._views_of(rows))

    def versions(self) -> VersionsReply:
        """The view that each director acts on now."""
        rows = audit_queries.latest_rows(self._store)
        views: Views = {}
        for row in rows:
            view = audit_queries.view_of(self._store, row.director, row.start)
            views[row.view] = view.answer_fields()
        return VersionsReply(*self._head(), rows, views, self._expects())

    def lagging(self) -> LaggingReply:
        """The directors that lag behind the fleet."""
        monitor = self._monitor
        directors = monitor.lagging_directors(self._clock())
        return LaggingReply(*self._head(), directors, monitor.lacked_by_majority, monitor.restricted_count())

    def explain(self, director: str) -> ExplainReply:
        """The state of one director. Raises HttpStatusError for an unknown one."""
        try:
            status = self._monitor.status(director, self._clock())
        except KeyError:
            raise _unknown_director(director) from None
        return ExplainReply(*self._head(), status, self._monitor.policy, self._monitor.lacked_by_majority)

    def expected(self) -> ExpectReply:
        """The digests that operators expect."""
        return ExpectReply(*self._head(), self._expects())

    def verify(self) -> VerifyReply:
        """The inconsistencies found in the stored reports."""
        return VerifyReply(*self._head(), find_inconsistencies(self._store))

    def _head(self) -> ReplyHead:
        lacks = [
            f"feed {peer.name or peer.host} at {peer.host}:{peer.port} is not heard"
            for peer in self._replication.silent_peers()
        ]
        for name in audit_queries.directors_running_twice(self._store, UPGRADE_MS):
            lacks.append(f"director {name}: two processes have this name")
        if self._report_log.outage.is_ongoing:
            lacks.append("this feed's disk takes nothing: what is reported is not stored")
        return ReplyHead(*self._identity, self._clock(), lacks)

    def _expects(self) -> list[ExpectedDigests]:
        return list(self._monitor.versions.expects.values())

    def _views_of(self, rows: list[AuditRow]) -> Views:
        views = self._store.views
        return {row.view: views[row.view].answer_fields() for row in rows if row.view in views}


def _unknown_director(director: str) -> HttpStatusError:
    return HttpStatusError(404, f"director {director[:64]!r}: nobody has heard of it here")
