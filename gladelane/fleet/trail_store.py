"""A director's trail in its lasting folder: what a killed process had not told, for the next one to tell.
Written a few times a second, in a thread, unsynced: that outlives the process, not a power cut, after which
the audit says *unknown*. Decides nothing."""

from __future__ import annotations

import logging
from pathlib import Path

import msgspec

from ..durable.files import Disk, Folder, set_aside
from ..durable.log import Broken, Damaged, Log, recover
from .trail import Lost, Span
from .view import View

log = logging.getLogger(__name__)

SNAPSHOT_AFTER = 2_000  # records


class Page(msgspec.Struct, array_like=True):
    """A record, or a whole snapshot: closed spans with their views, and how far the open one had come.
    copied: enough feeds have all up to there."""

    director: str
    start: int
    spans: list[Span] = []
    views: dict[str, View] = {}
    open: Span | None = None
    lost: list[Lost] = []
    copied: int = 0


def joined(pages: list[Page]) -> list[Page]:
    """One page a start, oldest first, without what feeds have."""
    found: dict[int, Page] = {}
    for page in pages:
        whole = found.setdefault(page.start, Page(page.director, page.start))
        whole.spans += page.spans
        whole.views.update(page.views)
        whole.open, whole.lost = page.open or whole.open, page.lost or whole.lost
        whole.copied = max(whole.copied, page.copied)
    for page in found.values():
        page.spans = [span for span in page.spans if span.number > page.copied]
        closed = page.spans[-1].number if page.spans else page.copied
        if page.open is not None and page.open.number <= closed:
            page.open = None
    return [page for _, page in sorted(found.items())]


class TrailStore:
    def __init__(self, path: Path) -> None:
        """Opens the folder; one whose content cannot be read is set aside. Raises OSError."""
        self.left: list[Page] = []  # by processes before this one
        try:
            self._open(Folder(path))
        except (Damaged, msgspec.MsgspecError) as error:
            self._disk.close()
            aside = set_aside(path)
            log.warning("audit: trail set aside as %s: %s", aside, error)
            self._open(Folder(path))
        self._records = 0
        self._failed = False

    def _open(self, disk: Disk) -> None:
        self._disk = disk
        self._log: Log
        self._log, found = recover(disk, "never")
        pages: list[Page] = []
        if found.snapshot is not None:
            pages += msgspec.msgpack.decode(found.snapshot, type=list[Page])
        pages += [msgspec.msgpack.decode(record, type=Page) for record in found.records]
        self.left = joined(pages)

    def write(self, page: Page, whole: list[Page] | None) -> bool:
        """In a thread. whole: all that has to be kept, for a snapshot once there are many records. Whether
        it is stored."""
        try:
            self._log.append(msgspec.msgpack.encode(page))
            self._log.commit()
            self._records += 1
            if whole is not None:
                self._log.snapshot(msgspec.msgpack.encode(whole))
                self._records = 0
        except (OSError, Broken) as error:
            self._log.drop()
            if not self._failed:
                log.error("audit: trail not stored: %s", error)
            self._failed = True
            return False
        self._failed = False
        return True

    @property
    def full(self) -> bool:
        return self._records >= SNAPSHOT_AFTER

    def close(self) -> None:
        self._log.close()
