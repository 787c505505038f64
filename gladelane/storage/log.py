"""A write-ahead log in segments, with snapshots: how to open one, and the names that its users need.

`log_format` describes the stored bytes, `write_ahead_log` the append path. Recovery reads the newest snapshot
and every record from its index on. If the last segment ends in bytes that are not a record, and no complete
record follows them, they were being written at the time of the crash: that tail is truncated, and
`RecoveredLog` says how much. All else that does not fit raises `CorruptLogError` with file and offset: a
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

SEGMENT_BYTES = 16_000_000  # from which size on a segment is followed by a new one


class RecoveredLog(NamedTuple):
    """What recovery found.

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
        self.segment = ""  # the one that takes the next record, if any
        self.unverified_bytes = 0
        self.truncated_bytes = 0
        self.truncated_at = ""
        self.removed: list[str] = []

    def read(self, name: str, is_last: bool) -> None:
        """Reads one segment. Raises CorruptLogError and OSError."""
        data = self._disk.read(name)
        if index_in_name(name) != self.next_index:
            raise CorruptLogError(
                name, 0, f"record {self.next_index} was expected to start here: a segment lacks"
            )
        if is_last and not has_valid_header(data):
            self._drop_without_header(name, data)
            return
        if decode_header(name, data, SEGMENT_MAGIC).first_index != self.next_index:
            raise CorruptLogError(name, INDEX_OFFSET, "the head's index is not the name's")
        end = HEADER_BYTES
        for record in iterate_records(name, data, self.next_index, is_last):
            end = record.end
            self.records.append(record.payload)
            self.next_index += 1
        if end < len(data):
            self._note_truncation(name, end, len(data))
        if is_last and (self._sync == "always" or self.truncated_bytes):
            self.unverified_bytes = end
        self.segment = name

    def _drop_without_header(self, name: str, data: bytes) -> None:
        """Removes a last segment whose header was being written at the time of the crash."""
        if find_record(data, 0, self.next_index) != NOT_FOUND:
            raise CorruptLogError(name, 0, "the head's checksum is wrong, but records stand behind it")
        self._note_truncation(name, 0, len(data))
        self.removed += _remove_if_possible(self._disk, [name])

    def _note_truncation(self, name: str, offset: int, size: int) -> None:
        self.truncated_bytes = size - offset
        self.truncated_at = f"{name}: byte {offset}"


def recover(
    disk: Disk, sync: SyncPolicy = "always", segment_bytes: int = SEGMENT_BYTES
) -> tuple[WriteAheadLog, RecoveredLog]:
    """Opens the log on a disk, or an empty one, and reads all that it holds.

    A segment of `segment_bytes` or more is followed by a new one. A torn tail is cut from its file at once,
    or before the next commit if the disk is not writable now. Raises CorruptLogError and OSError.
    """
    removed = _remove_if_possible(disk, [name for name in disk.names() if name.endswith(TEMPORARY_SUFFIX)])
    names = sorted(disk.names())
    snapshot = _read_newest_snapshot(disk, names)
    removed += _remove_covered(disk, snapshot, names)
    segments = [name for name in names if name.endswith(SEGMENT_SUFFIX)]
    later = [name for name in segments if index_in_name(name) >= snapshot.next_index]
    scan = _SegmentScan(disk, sync, snapshot.next_index)
    for name in later:
        scan.read(name, is_last=name == later[-1])
    removed += scan.removed
    if removed:
        with suppress(OSError):
            disk.sync_folder()
    log = WriteAheadLog(disk, scan.next_index, scan.segment, sync, segment_bytes, scan.unverified_bytes)
    with suppress(OSError):  # the next commit does it otherwise
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
        raise CorruptLogError(newest, INDEX_OFFSET, f"the head says index {header.first_index}")
    return _Snapshot(newest, header.first_index, header.payload)


def _remove_covered(disk: Disk, snapshot: _Snapshot, names: list[str]) -> list[str]:
    """Removes older files that a crash or a fault has left beside a snapshot; returns their names."""
    segments = [name for name in names if name.endswith(SEGMENT_SUFFIX)]
    older_segments = [name for name in segments if index_in_name(name) < snapshot.next_index]
    older_snapshots = [name for name in names if name.endswith(SNAPSHOT_SUFFIX) and name != snapshot.name]
    covered = [*older_segments, *older_snapshots]
    if not covered:
        return []
    try:  # that the snapshot can be read does not prove that it was synced
        replace_on_disk(disk, snapshot.name, disk.read(snapshot.name))
    except OSError:
        return []
    return _remove_if_possible(disk, covered)


def _remove_if_possible(disk: Disk, names: list[str]) -> list[str]:
    """Removes files and returns the names of those that could be; a later recovery tries the others again."""
    removed = []
    for name in names:
        with suppress(OSError):
            disk.remove(name)
            removed.append(name)
    return removed
