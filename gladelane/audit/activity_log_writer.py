"""Writes the activity log to its folder, and opens the folder as soon as that is possible."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from pathlib import Path

import msgspec

from ..storage.files import FolderInUseError
from ..storage.outage import Outage, is_transient
from .activity_log import ActivityInterval
from .activity_log_store import ActivityLogStore, LogPage
from .activity_recorder import ActivityRecorder
from .steady import steady_ms

log = logging.getLogger(__name__)

REOPEN_AFTER_MS = 2_000.0


class ActivityLogWriter:
    """The folder of one director; without a folder it does nothing."""

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self.store: ActivityLogStore | None = None
        self.reopen_ms = 0.0  # when the folder may be opened again, by `steady_ms`
        self._outage = Outage(log, "audit: trail's folder")
        self._written = 0  # number of the last interval in the folder

    def open(self) -> list[LogPage]:
        """Opens the folder if that is due, and returns what earlier processes left there. A folder that is in
        use, as during an upgrade, or cannot be read for a while is tried again later. Raises OSError for
        faults that do not pass."""
        if not self._folder or self.store is not None or steady_ms() <= self.reopen_ms:
            return []
        try:
            self.store = ActivityLogStore(Path(self._folder))
        except FolderInUseError:
            log.info("audit: the process before this one has the trail's folder")
            self.reopen_ms = steady_ms() + REOPEN_AFTER_MS
            return []
        except OSError as error:
            if not is_transient(error):
                raise
            self._outage.report_failure(error)
            self.reopen_ms = steady_ms() + REOPEN_AFTER_MS
            return []
        self._outage.report_success()
        return self.store.left

    async def write(self, recorder: ActivityRecorder, earlier: Iterable[LogPage]) -> None:
        """Writes the intervals that are new and a checkpoint, in a thread. `earlier` are pages of earlier
        processes that must remain."""
        if self.store is None:
            return
        activity_log = recorder.log
        intervals = activity_log.intervals()
        new = [interval for interval in intervals if interval.number > self._written]
        checkpoint = recorder.checkpoint()
        page = LogPage(
            director=activity_log.director,
            start=activity_log.start,
            intervals=new,
            views=recorder.views_of((*new, checkpoint)),
            open=checkpoint,
            lost=activity_log.lost,
            copied=activity_log.copied,
        )
        snapshot = None
        if self.store.needs_snapshot:
            snapshot = [*earlier, _complete_page(recorder, intervals, page)]
        if await asyncio.to_thread(self.store.write, page, snapshot):
            self._written = max(self._written, new[-1].number if new else 0)

    async def close(self) -> None:
        """Releases the folder."""
        if self.store is not None:
            await asyncio.to_thread(self.store.close)


def _complete_page(recorder: ActivityRecorder, intervals: list[ActivityInterval], page: LogPage) -> LogPage:
    """The page with all intervals that are still here."""
    return msgspec.structs.replace(page, intervals=intervals, views=recorder.all_views())
