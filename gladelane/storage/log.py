"""Opens and recovers a write-ahead log of segments and snapshots, and exports the names that its users need.

`log_format` describes the stored bytes, `write_ahead_log` the append path. Recovery reads the newest snapshot
and every record from its index on. If the last segment ends in bytes that are not a record, and no complete
record follows them, they were being written at the time of the crash: that tail is truncated, and
`RecoveredLog` reports its size. Any other inconsistency raises `CorruptLogError` with file and offset: a
damaged record in the middle, a missing segment, a snapshot with a wrong checksum. No damage is skipped
silently.
"""

from __future__ import annotations

from contextlib import suppress
from typing import NamedTuple

from .files import TEMPORARY_SUFFIX, Disk, replace_on_disk
from .log_format import (
    HEADER_BYTES,
    INDEX_OFFSET,
    MAX_RECORD_BYTES,
    NOT_FOUND,
    SEGMENT_MAGIC,
    SEGMENT_SUFFIX,
    SNAPSHOT_MAGIC,
    SNAPSHOT_SUFFIX,
    CorruptLogError,
    decode_header,
    decode_record,
    encode_record,
    find_record,
    has_valid_header,
    index_in_name,
    iterate_records,
    snapshot_name,
)
from .write_ahead_log import SyncPolicy, WriteAheadLog

__all__ = [
    "HEADER_BYTES",
    "MAX_RECORD_BYTES",
    "SEGMENT_BYTES",
    "CorruptLogError",
    "RecoveredLog",
    "SyncPolicy",
    "WriteAheadLog",
    "decode_record",
    "encode_record",
    "recover",
]

SEGMENT_BYTES = 16_000_000  # a segment of at least this size is followed by a new one


class RecoveredLog(NamedTuple):
    """The content of a recovered log, and what recovery removed.

    `first_index` is the index of the first of `records`. `truncated_bytes` is the size of a torn tail that
    was dropped, and `truncated_at` its file and offset, empty if there was none. `removed_files` lists files
    that were incomplete or no longer needed.
    """

    snapshot: bytes | None
    first_index: int
    records: list[bytes]
    truncated_bytes: int = 0
    truncated_at: str = ""
    removed_files: tuple[str, ...] = ()


class _Snapshot(NamedTuple):
    """The newest snapshot; all fields are empty if there is none."""

    name: str = ""
    next_index: int = 0
    payload: bytes | None = None


class _SegmentScan:
    """Reads segments in order and collects their records."""

    def __init__(self, disk: Disk, sync: SyncPolicy, next_index: int) -> None:
        self._disk = disk
        self._sync = sync
        self.next_index = next_index
        self.records: list[bytes] = []
        self.segment = ""  # the file that takes the next record; empty if the next commit starts one
        self.unverified_bytes = 0
        self.truncated_bytes = 0
        self.truncated_at = ""
        self.removed: list[str] = []

    def read(self, name: str, is_last: bool) -> None:
        """Reads one segment. Raises CorruptLogError and OSError."""
        data = self._disk.read(name)
        if index_in_name(name) != self.next_index:
            raise CorruptLogError(
                name, 0, f"record {self.next_index} was expected to start here: a segment is missing"
            )
        if is_last and not has_valid_header(data):
            self._remove_segment_without_header(name, data)
            return
        if decode_header(name, data, SEGMENT_MAGIC).first_index != self.next_index:
            raise CorruptLogError(name, INDEX_OFFSET, "the index in the header differs from the file name's")
        end = HEADER_BYTES
        for record in iterate_records(name, data, self.next_index, is_last):
            end = record.end
            self.records.append(record.payload)
            self.next_index += 1
        if end < len(data):
            self._record_truncation(name, end, len(data))
        if is_last and (self._sync == "always" or self.truncated_bytes):
            self.unverified_bytes = end
        self.segment = name

    def _remove_segment_without_header(self, name: str, data: bytes) -> None:
        """Removes a last segment whose header was being written at the time of the crash."""
        if find_record(data, 0, self.next_index) != NOT_FOUND:
            raise CorruptLogError(name, 0, "the header's checksum is wrong, but records follow it")
        self._record_truncation(name, 0, len(data))
        self.removed += _remove_if_possible(self._disk, [name])

    def _record_truncation(self, name: str, offset: int, size: int) -> None:
        self.truncated_bytes = size - offset
        self.truncated_at = f"{name}: byte {offset}"


def recover(
    disk: Disk, sync: SyncPolicy = "always", segment_bytes: int = SEGMENT_BYTES
) -> tuple[WriteAheadLog, RecoveredLog]:
    """Opens the log on a disk and reads its complete content; a disk without files gives an empty log.

    A segment of `segment_bytes` or more is followed by a new one. A torn tail is cut from its file at once,
    or before the next commit if the disk is not writable now. Raises CorruptLogError and OSError.
    """
    removed = _remove_if_possible(disk, [name for name in disk.names() if name.endswith(TEMPORARY_SUFFIX)])
    names = sorted(disk.names())
    snapshot = _read_newest_snapshot(disk, names)
    removed += _remove_files_before_snapshot(disk, snapshot, names)
    segments = [name for name in names if name.endswith(SEGMENT_SUFFIX)]
    segments_to_read = [name for name in segments if index_in_name(name) >= snapshot.next_index]
    scan = _SegmentScan(disk, sync, snapshot.next_index)
    for name in segments_to_read:
        scan.read(name, is_last=name == segments_to_read[-1])
    removed += scan.removed
    if removed:
        with suppress(OSError):
            disk.sync_folder()
    log = WriteAheadLog(disk, scan.next_index, scan.segment, sync, segment_bytes, scan.unverified_bytes)
    with suppress(OSError):  # the next commit tries it again
        log.rewrite_unverified()
    return log, RecoveredLog(
        snapshot.payload,
        snapshot.next_index,
        scan.records,
        scan.truncated_bytes,
        scan.truncated_at,
        tuple(removed),
    )


def _read_newest_snapshot(disk: Disk, names: list[str]) -> _Snapshot:
    snapshots = [name for name in names if name.endswith(SNAPSHOT_SUFFIX)]
    if not snapshots:
        return _Snapshot()
    newest = snapshots[-1]
    header = decode_header(newest, disk.read(newest), SNAPSHOT_MAGIC)
    if snapshot_name(header.first_index) != newest:
        raise CorruptLogError(newest, INDEX_OFFSET, f"the header has index {header.first_index}")
    return _Snapshot(newest, header.first_index, header.payload)


def _remove_files_before_snapshot(disk: Disk, snapshot: _Snapshot, names: list[str]) -> list[str]:
    """Removes files that a snapshot replaces but a crash or fault has left behind; returns their names."""
    segments = [name for name in names if name.endswith(SEGMENT_SUFFIX)]
    older_segments = [name for name in segments if index_in_name(name) < snapshot.next_index]
    older_snapshots = [name for name in names if name.endswith(SNAPSHOT_SUFFIX) and name != snapshot.name]
    obsolete = [*older_segments, *older_snapshots]
    if not obsolete:
        return []
    try:  # a readable snapshot may still be unsynced: store it again before removing older files
        replace_on_disk(disk, snapshot.name, disk.read(snapshot.name))
    except OSError:
        return []
    return _remove_if_possible(disk, obsolete)


def _remove_if_possible(disk: Disk, names: list[str]) -> list[str]:
    """Removes files and returns the names of the removed ones; a later recovery tries the others again."""
    removed = []
    for name in names:
        with suppress(OSError):
            disk.remove(name)
            removed.append(name)
    return removed
