"""Stores a director's activity log in a persistent folder, from which the next process reports what a killed
process had not reported. Makes no decisions.

Pages are written a few times a second, in a thread and without fsync. They survive the end of the process
but not a power failure, after which the audit answers *unknown*.
"""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec

from ..storage.compaction import LogCompaction
from ..storage.files import Disk, Folder, rename_damaged_folder
from ..storage.log import CorruptLogError, WriteAheadLog, recover
from ..storage.outage import Outage
from .activity_log import ActivityInterval, LostIntervals
from .view import View

log = logging.getLogger(__name__)

SNAPSHOT_AFTER = 2_000  # records in the log


class LogPage(msgspec.Struct, array_like=True):
    """A record of the log, or the state of one start in a snapshot: closed intervals with their views, and a
    checkpoint of the open interval. Enough control servers have all intervals up to `copied`. Fields are
    stored by their position."""

    director: str
    start: int
    intervals: list[ActivityInterval] = []
    views: dict[str, View] = {}
    open: ActivityInterval | None = None
    lost: list[LostIntervals] = []
    copied: int = 0


def join_pages(pages: list[LogPage]) -> list[LogPage]:
    """Merges pages, given in the order in which they were written, into one page per start, oldest start
    first. Intervals up to `copied` are left out."""
    joined: dict[int, LogPage] = {}
    for page in pages:
        total = joined.setdefault(page.start, LogPage(page.director, page.start))
        total.intervals += page.intervals
        total.views.update(page.views)
        total.open, total.lost = page.open or total.open, page.lost or total.lost
        total.copied = max(total.copied, page.copied)
    for page in joined.values():
        page.intervals = [interval for interval in page.intervals if interval.number > page.copied]
        last_closed = page.intervals[-1].number if page.intervals else page.copied
        if page.open is not None and page.open.number <= last_closed:
            page.open = None
    return [page for _, page in sorted(joined.items())]


class ActivityLogStore:
    """The persistent activity log of one director."""

    def __init__(self, path: Path) -> None:
        """Opens the folder. A folder with unreadable content is renamed and replaced. Raises FolderInUseError
        and OSError."""
        self.recovered_pages: list[LogPage] = []  # written by earlier processes, one per start
        try:
            self._open(Folder(path))
        except (CorruptLogError, msgspec.MsgspecError) as error:
            self._disk.close()
            renamed = rename_damaged_folder(path)
            log.warning("audit: damaged activity log renamed to %s: %s", renamed, error)
            self._open(Folder(path))
        self._outage = Outage(log, "audit: activity log")
        # recovered records need not count towards the threshold: the next snapshot replaces them as well
        snapshot_outage = Outage(log, "audit: snapshot of the activity log")
        self._compaction = LogCompaction(self._log, snapshot_outage, 0, SNAPSHOT_AFTER)

    def _open(self, disk: Disk) -> None:
        self._disk = disk
        self._log: WriteAheadLog
        try:
            self._log, found = recover(disk, "never")
        except OSError:
            disk.close()  # otherwise the next attempt to open would find the folder in use
            raise
        pages: list[LogPage] = []
        if found.snapshot is not None:
            pages += msgspec.msgpack.decode(found.snapshot, type=list[LogPage])
        pages += [msgspec.msgpack.decode(record, type=LogPage) for record in found.records]
        self.recovered_pages = join_pages(pages)

    @property
    def needs_snapshot(self) -> bool:
        """Whether the log is so long that the next write should include a snapshot."""
        return self._compaction.is_due

    def write(self, page: LogPage, snapshot: list[LogPage] | None) -> bool:
        """Writes a page, and then the snapshot if there is one, which must hold everything that is to be
        kept. Blocks, so call it in a thread. Returns whether the page was stored."""
        self._log.append(msgspec.msgpack.encode(page))
        try:
            self._log.commit()
        except OSError as error:
            self._log.discard_uncommitted()
            self._outage.report_failure(error)
            return False
        self._outage.report_success()
        self._compaction.add(1)
        if snapshot is not None:
            self._compaction.write_blocking(msgspec.msgpack.encode(snapshot))
        return True

    def close(self) -> None:
        """Releases the folder for the next process."""
        self._log.close()
