"""Writes the activity log to its folder, and opens the folder as soon as it is available."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from pathlib import Path

import msgspec

from ..storage.files import FolderInUseError
from ..storage.outage import Outage, is_transient
from ..worker_threads import run_in_thread
from .activity_log import ActivityInterval
from .activity_log_store import ActivityLogStore, LogPage
from .activity_recorder import ActivityRecorder
from .steady import steady_ms

log = logging.getLogger(__name__)

REOPEN_AFTER_MS = 2_000.0


class ActivityLogWriter:
    """Writes the activity log of one director; does nothing if no folder is configured."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self.store: ActivityLogStore | None = None
        self.reopen_ms = 0.0  # earliest time of the next attempt to open the folder, by `steady_ms`
        self._outage = Outage(log, "audit: activity log folder")
        self._last_written = 0  # number of the last interval in the folder

    def open(self) -> list[LogPage]:
        """Opens the folder if an attempt is due, and returns the pages of earlier processes. If another
        process has the folder, as during an upgrade, or if the error is transient, a later call tries again.
        Raises OSError for permanent faults."""
        if not self._folder or self.store is not None or steady_ms() <= self.reopen_ms:
            return []
        try:
            self.store = ActivityLogStore(Path(self._folder))
        except FolderInUseError:
            log.info("audit: the activity log folder is in use by the previous process")
            self.reopen_ms = steady_ms() + REOPEN_AFTER_MS
            return []
        except OSError as error:
            if not is_transient(error):
                raise
            self._outage.report_failure(error)
            self.reopen_ms = steady_ms() + REOPEN_AFTER_MS
            return []
        self._outage.report_success()
        return self.store.recovered_pages

    async def write(self, recorder: ActivityRecorder, earlier: Iterable[LogPage]) -> None:
        """Writes a checkpoint and the intervals that are not in the folder yet, in a thread. `earlier` are
        the pages of earlier processes that must be kept."""
        if self.store is None:
            return
        activity_log = recorder.log
        intervals = activity_log.intervals()
        new_intervals = [interval for interval in intervals if interval.number > self._last_written]
        checkpoint = recorder.checkpoint()
        page = LogPage(
            director=activity_log.director,
            start=activity_log.start,
            intervals=new_intervals,
            views=recorder.views_of((*new_intervals, checkpoint)),
            open=checkpoint,
            lost=activity_log.lost,
            copied=activity_log.copied,
        )
        snapshot = None
        if self.store.needs_snapshot:
            snapshot = [*earlier, _complete_page(recorder, intervals, page)]
        try:
            is_written = await run_in_thread(self.store.write, page, snapshot)
        except OSError as error:
            self._outage.report_failure(error)
            return
        self._outage.report_success()
        if is_written:
            self._last_written = max(self._last_written, new_intervals[-1].number if new_intervals else 0)

    async def close(self) -> None:
        """Releases the folder."""
        if self.store is None:
            return
        try:
            await run_in_thread(self.store.close)
        except OSError:  # the system starts no thread
            self.store.close()


def _complete_page(recorder: ActivityRecorder, intervals: list[ActivityInterval], page: LogPage) -> LogPage:
    """The page with all intervals that are still in the log."""
    return msgspec.structs.replace(page, intervals=intervals, views=recorder.all_views())
