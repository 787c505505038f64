"""Reports what an earlier process of this director stored but did not report, part by part. No I/O, no
clock."""

from __future__ import annotations

from collections.abc import Iterable

from .activity_log import ActivityInterval
from .activity_log_store import LogPage
from .wire import MAX_REPORT_INTERVALS, Report, ReportReply

# reports in a row without progress, while waiting for a second control server to store all intervals
MAX_ATTEMPTS = 60


class UnreportedRun:
    """The unreported intervals of one earlier start, kept until two control servers have stored them."""

    def __init__(self, page: LogPage, intervals: list[ActivityInterval]) -> None:
        """`intervals` are those of the page, at least one."""
        self.page = page
        self._intervals = intervals
        self._stored = intervals[0].number - 1
        self._attempts = 0

    def next_report(self, zone: str) -> Report:
        """The report with the next part. Once a server has stored all intervals, it repeats the last one."""
        waiting = [interval for interval in self._intervals if interval.number > self._stored]
        return Report(
            director=self.page.director,
            start=self.page.start,
            zone=zone,
            sent_ms=0.0,
            intervals=waiting[:MAX_REPORT_INTERVALS] or self._intervals[-1:],
            views=self.page.views,
            lost=self.page.lost,
            current=False,
            first=self._intervals[0].number,
        )

    def acknowledge(self, reply: ReportReply) -> bool:
        """Applies the reply to a report. Returns True if nothing is left to report, or after MAX_ATTEMPTS
        without progress, since a server that lost the earlier intervals never confirms that two servers have
        all of them."""
        self._attempts = 0 if reply.stored > self._stored else self._attempts + 1
        self._stored = max(self._stored, reply.stored)
        last = self._intervals[-1].number
        return reply.copied >= last or (reply.stored >= last and self._attempts >= MAX_ATTEMPTS)


def unreported_runs(pages: Iterable[LogPage], director: str) -> list[UnreportedRun]:
    """The starts of one director whose pages hold unreported intervals. The last interval of a killed process
    is its checkpoint."""
    found = []
    for page in pages:
        intervals = [*page.intervals, page.open] if page.open is not None else list(page.intervals)
        if page.director == director and intervals:
            found.append(UnreportedRun(page, intervals))
    return found
