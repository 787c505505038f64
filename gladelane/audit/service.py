"""The audit on a director: records and reports its activity, and rejects requests that its view lease does
not permit.

`activity_recorder` records, `activity_log_writer` stores, `reporter` reports, and `stage_response` acts on
the verdicts. The decisions are made in `activity_log` and `view_lease`.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from ..net.director import Director
from ..purges.subscription import PurgeSubscription
from ..structures.backoff import Backoff
from ..supervision import Supervisor
from .activity_log_writer import ActivityLogWriter
from .activity_recorder import ActivityRecorder
from .options import AuditOptions
from .reporter import Reporter
from .stage_response import LaggingDrain, StageResponse
from .steady import steady_ms
from .unreported_run import unreported_runs
from .view_lease import ViewLease
from .view_source import ViewSource

log = logging.getLogger(__name__)

UPDATE_INTERVAL_S = 0.1  # between two checks of the lease
REPORT_TIMEOUT_S = 1.0
FIRST_LEASE_TIMEOUT_S = 3.0  # for how long startup waits for the first lease
FINAL_REPORT_TIMEOUT_S = 0.5
RETRY_AFTER_MS = (400.0, 1_200.0)  # bounds of the retry time that rejected clients are given
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0
REPORT_JITTER = (0.8, 1.2)  # bounds of the random factor on the time between reports
STARTS_PER_MS = 1_024  # a random low part distinguishes the numbers of two starts in the same ms


class AuditService:
    """The audit of one director, available as `Director.audit`."""

    def __init__(
        self,
        options: AuditOptions,
        name: str,
        director: Director,
        purges: PurgeSubscription,
        clock: Callable[[], float],
        drain: LaggingDrain,
        close_clients: Callable[[], None],
        reconnect_discovery: Callable[[], None],
    ) -> None:
        """`name` is the director's name; `clock` returns Unix ms. `close_clients` tells clients to
        disconnect, `reconnect_discovery` opens a new connection to the discovery server. Raises OSError for a
        permanent fault of the folder."""
        self._options = options
        self._strict_classes = purges.options.strict
        self._rng = random.Random()
        self.writer = ActivityLogWriter(options.dir)
        pages = self.writer.open()
        latest = max((page.start for page in pages), default=0)
        start = max(latest + 1, int(clock()) * STARTS_PER_MS + self._rng.randrange(STARTS_PER_MS))
        self.lease = ViewLease(options.alone, options.list_lease_ms)
        self._view_source = ViewSource(options, director, purges, clock)
        self._recorder = ActivityRecorder(options, name, start, director, self._view_source, clock)
        earlier_runs = unreported_runs(pages, name)
        self.reporter = Reporter(self._recorder, self.lease, director, purges, clock, earlier_runs)
        self._response = StageResponse(
            self.lease, purges, drain, close_clients, reconnect_discovery, clock, options.enforce
        )
        self._rejected = self._withheld = 0  # requests; attempts and answers
        self.supervisor = Supervisor()

    @staticmethod
    def steady_ms() -> float:
        """The clock of the view lease, in ms."""
        return steady_ms()

    def _permits(self, cls: str) -> bool:
        is_strict = cls in self._strict_classes
        return not self._options.enforce or self.lease.permits(is_strict, steady_ms())

    def retry_after_ms(self, cls: str) -> float:
        """0 if a request of this class is admitted; otherwise the time after which the client may retry."""
        if self._permits(cls):
            return 0.0
        self._rejected += 1
        return self._rng.uniform(*RETRY_AFTER_MS)

    def may_send(self, cls: str) -> bool:
        """Whether an attempt may send its first byte now."""
        if self._permits(cls):
            return True
        self._withheld += 1
        return False

    def may_answer(self, cls: str) -> bool:
        """Whether a response may be sent to the client now."""
        return cls not in self._strict_classes or self.may_send(cls)

    def record_attempt(self, cls: str) -> int:
        """Counts an attempt that is about to send its first byte. Returns the number of the current interval,
        which the attempt keeps."""
        return self._recorder.log.record_attempt(cls)

    def record_answer(self, cls: str, number: int) -> None:
        """Counts the response to a request, given by an attempt that was sent in interval `number`."""
        self._recorder.log.record_answer(cls, number)

    def refresh_view(self) -> None:
        """Must be called whenever anything that routing decisions depend on may have changed."""
        self._recorder.refresh_view()

    def reconfigure(self, operator_digest: str) -> None:
        """Applies the digest of a new operator's file."""
        self._view_source.operator = operator_digest
        self.refresh_view()

    async def start(self) -> None:
        """Starts to report, and waits up to FIRST_LEASE_TIMEOUT_S for the first lease, without which no
        request is permitted."""
        self.supervisor.start("audit reports", self._report_forever)
        try:
            async with asyncio.timeout(FIRST_LEASE_TIMEOUT_S):
                await self.reporter.lease_granted.wait()
        except TimeoutError:
            waited_ms, alone = FIRST_LEASE_TIMEOUT_S * 1000.0, self._options.alone
            log.error("audit: no control server granted a lease in ms=%.0f alone=%s", waited_ms, alone)  # noqa: TRY400  no server in time is no fault of this code
        self.supervisor.start("audit lease", self._update_forever)

    async def _report_forever(self) -> None:
        backoff = Backoff(self._rng, MIN_BACKOFF_S, MAX_BACKOFF_S)
        while True:
            was_answered = await self.reporter.report(REPORT_TIMEOUT_S)
            await self.write()
            wait_s = backoff.after(was_answered)
            if was_answered and not self.reporter.has_more:
                wait_s = self._options.report_ms / 1000.0 * self._rng.uniform(*REPORT_JITTER)
            await asyncio.sleep(wait_s)

    async def write(self) -> None:
        """Writes the activity log to its folder. If the folder could not be opened so far, tries that
        first."""
        activity_log = self._recorder.log
        pages = [page for page in self.writer.open() if page.start != activity_log.start]
        self.reporter.earlier_runs += unreported_runs(pages, activity_log.director)
        await self.writer.write(self._recorder, [run.page for run in self.reporter.earlier_runs])

    async def _update_forever(self) -> None:
        while True:
            self._response.update(steady_ms())
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def lines(self) -> list[tuple[str, int]]:
        """The audit's metrics for the admin endpoint."""
        activity_log = self._recorder.log
        return [
            ("audit_stage", int(self.lease.stage)),
            ("audit_tenure_ms", int(max(self.lease.expires_ms - steady_ms(), 0.0))),
            ("audit_span", activity_log.number),
            ("audit_spans_waiting", activity_log.number - 1 - activity_log.stored),
            ("audit_refused", self._rejected),
            ("audit_held_up", self._withheld),
            ("audit_void", self.lease.rejected_verdicts),
        ]

    async def close(self) -> None:
        """Stops the tasks, reports the last interval and releases the folder."""
        await self.supervisor.close()
        self.reporter.stop()
        self._recorder.stop()
        await self.write()
        await self.reporter.report(FINAL_REPORT_TIMEOUT_S)
        await self.write()
        await self.writer.close()
