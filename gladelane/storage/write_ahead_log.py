"""The append path of the write-ahead log: group commits, segment rotation, snapshots and failed writes.

After a failed write or sync it is unknown which bytes of the last segment are on disk, and a repeated sync
may succeed although the kernel has dropped the unwritten pages. The log therefore rejects the failed commit.
Before the next commit it writes the committed part of that segment to a new file, which takes the old file's
name once it is synced. Recovery does the same, because an earlier process may have been killed between a
write and its sync. Until the next commit, a recovery may still find all or the first records of a rejected
commit.
"""

from __future__ import annotations

import threading
from contextlib import suppress
from typing import Literal

from .files import Disk, replace_on_disk, write_temporary
from .log_format import (
    INDEX_DIGITS,
    MAX_RECORD_BYTES,
    SEGMENT_MAGIC,
    SEGMENT_SUFFIX,
    SNAPSHOT_MAGIC,
    SNAPSHOT_SUFFIX,
    encode_header,
    encode_record,
    segment_name,
    snapshot_name,
)

#: "always": each commit is synced. "never": the operating system decides when bytes reach the disk, so a
#: power cut may lose committed records; a crash of this process alone does not.
SyncPolicy = Literal["always", "never"]


class WriteAheadLog:
    """An open log, created by `recover`: `append` buffers records, `commit` makes them durable.

    All methods may be called from any thread.
    """

    def __init__(
        self,
        disk: Disk,
        next_index: int,
        segment: str,
        sync: SyncPolicy,
        max_segment_bytes: int,
        unverified_bytes: int = 0,
    ) -> None:
        """Continues a recovered log.

        `next_index` is the index of the next record. `segment` names the file that takes this record; if it
        is empty, the next commit starts a new segment. A segment of `max_segment_bytes` or more is followed
        by a new one. `unverified_bytes` is the committed size of the segment if it has to be written again,
        else 0.
        """
        self._disk = disk
        self._next = next_index
        self._segment = segment
        self._sync = sync
        self._max_segment_bytes = max_segment_bytes
        self._uncommitted: list[bytes] = []
        self._unverified_bytes = unverified_bytes
        # A commit runs in a worker thread and continues there when its task is cancelled. Without the lock,
        # an append, a second commit or a close during that commit could store two records with the same
        # index, or write to a file descriptor that has been reused for another file.
        self._lock = threading.RLock()

    @property
    def next_index(self) -> int:
        """The index of the next record."""
        return self._next + len(self._uncommitted)

    def append(self, payload: bytes) -> int:
        """Buffers a record for the next commit; returns its index. Raises ValueError if it is too large."""
        if len(payload) > MAX_RECORD_BYTES:
            raise ValueError(f"a record of {len(payload)} bytes; expected {MAX_RECORD_BYTES} at most")
        with self._lock:
            self._uncommitted.append(payload)
            return self.next_index - 1

    def commit(self) -> None:
        """Stores all buffered records.

        If it raises OSError, none of the records may be considered stored. The caller may then commit again
        at any time, or call `discard_uncommitted`.
        """
        with self._lock:
            self._commit()

    def discard_uncommitted(self) -> None:
        """Discards records that were appended and could not be committed."""
        with self._lock:
            self._uncommitted = []

    def snapshot(self, payload: bytes) -> None:
        """Commits, stores `payload` as the state after all records, and removes the files that it replaces.

        If it raises OSError, the log is still complete and the older files may remain.
        """
        with self._lock:
            self._write_snapshot(payload)

    def rewrite_unverified(self) -> None:
        """Writes the current segment again if it is unknown which of its bytes are on disk. Raises
        OSError."""
        with self._lock:
            self._rewrite_unverified()

    def close(self) -> None:
        """Closes the disk, after waiting for a commit or snapshot that runs in another thread."""
        with self._lock:
            self._disk.close()

    def _commit(self) -> None:
        if not self._uncommitted:
            return
        self._rewrite_unverified()
        self._end_full_segment()
        self._start_segment()
        records = [encode_record(self._next + n, payload) for n, payload in enumerate(self._uncommitted)]
        committed_bytes = self._disk.size(self._segment)
        try:
            self._disk.append(self._segment, b"".join(records))
        except OSError:
            self._truncate_segment(committed_bytes)
            raise
        if self._sync == "always":
            self._sync_segment(committed_bytes)
        self._next += len(self._uncommitted)
        self._uncommitted = []

    def _write_snapshot(self, payload: bytes) -> None:
        self._rewrite_unverified()
        self._commit()
        name = snapshot_name(self._next)
        self._sync_before_next_file()
        temporary = write_temporary(self._disk, name, encode_header(SNAPSHOT_MAGIC, self._next, payload))
        self._disk.replace(temporary, name)
        # A recovery may skip the segments before the snapshot, so no further records may go into them.
        self._segment = ""
        self._disk.sync_folder()
        self._remove_files_before(name)
        self._disk.sync_folder()

    def _remove_files_before(self, snapshot: str) -> None:
        for name in self._disk.names():
            is_older = name.partition(".")[0] < snapshot[:INDEX_DIGITS]
            if name.endswith((SEGMENT_SUFFIX, SNAPSHOT_SUFFIX)) and is_older:
                self._disk.remove(name)

    def _rewrite_unverified(self) -> None:
        if self._unverified_bytes:
            committed = self._disk.read(self._segment)[: self._unverified_bytes]
            replace_on_disk(self._disk, self._segment, committed)
            self._unverified_bytes = 0

    def _end_full_segment(self) -> None:
        if self._segment and self._disk.size(self._segment) >= self._max_segment_bytes:
            self._sync_before_next_file()
            self._segment = ""

    def _sync_before_next_file(self) -> None:
        """Syncs the current segment if commits do not.

        Otherwise a power cut could lose the end of this segment but not the file after it.
        """
        if self._segment and self._sync == "never":
            self._sync_segment(self._disk.size(self._segment))

    def _start_segment(self) -> None:
        if self._segment:
            return
        name = segment_name(self._next)
        if name in self._disk.names():  # left by a failed attempt, so it has no committed record
            self._disk.remove(name)
        try:
            self._disk.append(name, encode_header(SEGMENT_MAGIC, self._next))
            self._disk.sync(name)
            self._disk.sync_folder()
        except OSError:
            with suppress(OSError):
                self._disk.remove(name)
            raise
        self._segment = name

    def _truncate_segment(self, committed_bytes: int) -> None:
        """Removes the bytes that a failed append left after the committed records."""
        try:
            self._disk.truncate(self._segment, committed_bytes)
        except OSError:
            self._unverified_bytes = committed_bytes

    def _sync_segment(self, committed_bytes: int) -> None:
        try:
            self._disk.sync(self._segment)
        except OSError:
            self._unverified_bytes = committed_bytes
            raise
