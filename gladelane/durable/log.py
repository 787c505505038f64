"""A write-ahead log in segments, with snapshots. One format, one recovery, for all who keep state.

    segment    FIRST.log   head, then records     FIRST: the index of its first record, 16 hex digits
    snapshot   NEXT.snap   head, payload          the state before record NEXT
    head       "GLWL" or "GLSN", version:2, index:8, length:8 (0 in segments), payload crc:4, head crc:4
    record     marker:2, length:4, index:8, payload crc:4, head crc:4, payload

Numbers are big-endian, checksums CRC-32C (RFC 3720, appendix B.4). A record's head has a checksum of its own,
so that a damaged length is not taken for the end.

Recovery: the newest snapshot, then every record from its index on. Where the last segment ends in something
that is no record, and no whole record stands behind it, that tail was being written at the crash: it is cut,
and `Recovery` says how much. Anything else that does not fit is `Damaged`, with file and byte: a record in
the middle, a segment that lacks, a snapshot whose checksum is wrong. Nothing is passed over in silence.

A failed `sync` leaves unknown what is on the disk, and asking again may say "yes" for pages that were
dropped; so the log is `Broken` from there on and its owner starts again from recovery.
"""

from __future__ import annotations

import struct
import threading
from collections.abc import Iterator
from contextlib import suppress
from typing import Literal, NamedTuple

from crc32c import crc32c

from .files import Disk

VERSION = 1
HEAD = struct.Struct(">4sHQQI")
RECORD = struct.Struct(">HIQI")
CRC = struct.Struct(">I")
HEAD_BYTES, RECORD_BYTES = HEAD.size + CRC.size, RECORD.size + CRC.size
MARKER = 0xA55A
SEGMENT, SNAPSHOT = b"GLWL", b"GLSN"
MOST_RECORD = 16_000_000
SEGMENT_BYTES = 16_000_000
Policy = Literal["always", "never"]


class Damaged(Exception):
    """Stored bytes that cannot be what was written. `name` and `at`: the file and the byte."""

    def __init__(self, name: str, at: int, why: str) -> None:
        super().__init__(f"{name}: byte {at}: {why}")
        self.name, self.at = name, at


class Broken(Exception):
    """A write or sync failed and it is unknown what is stored: the log takes nothing more."""


class Recovery(NamedTuple):
    """What was found. first: the index of the first of `records`; cut: bytes of a torn tail that were
    dropped, and where, empty if none."""

    snapshot: bytes | None
    first: int
    records: list[bytes]
    cut: int = 0
    cut_at: str = ""
    removed: tuple[str, ...] = ()  # files that a crash left behind half-made


def encode_head(kind: bytes, index: int, payload: bytes = b"") -> bytes:
    head = HEAD.pack(kind, VERSION, index, len(payload), crc32c(payload))
    return head + CRC.pack(crc32c(head)) + payload


def encode_record(index: int, payload: bytes) -> bytes:
    head = RECORD.pack(MARKER, len(payload), index, crc32c(payload))
    return head + CRC.pack(crc32c(head)) + payload


def decode_head(name: str, data: bytes, kind: bytes) -> tuple[int, bytes]:
    """The index and the payload. Raises Damaged."""
    if len(data) < HEAD_BYTES:
        raise Damaged(name, len(data), f"the head has {HEAD_BYTES} bytes")
    found, version, index, length, crc = HEAD.unpack_from(data)
    if CRC.unpack_from(data, HEAD.size)[0] != crc32c(data[: HEAD.size]):
        raise Damaged(name, 0, "the head's checksum is wrong")
    if found != kind:
        raise Damaged(name, 0, f"starts with {found!r}, expected {kind!r}")
    if version != VERSION:
        raise Damaged(name, 4, f"version {version}, expected {VERSION}")
    payload = data[HEAD_BYTES : HEAD_BYTES + length]
    if len(payload) != length or crc32c(payload) != crc:
        raise Damaged(name, HEAD_BYTES, "the payload's checksum is wrong")
    return index, payload


def record_at(data: bytes, at: int) -> tuple[int, bytes] | None:
    """The whole record that starts at a byte: its index and payload; None: there is none."""
    if at + RECORD_BYTES > len(data):
        return None
    marker, length, index, crc = RECORD.unpack_from(data, at)
    if marker != MARKER or length > MOST_RECORD:
        return None
    if CRC.unpack_from(data, at + RECORD.size)[0] != crc32c(data[at : at + RECORD.size]):
        return None
    payload = data[at + RECORD_BYTES : at + RECORD_BYTES + length]
    return (index, payload) if len(payload) == length and crc32c(payload) == crc else None


def records_of(name: str, data: bytes, index: int, last: bool) -> Iterator[tuple[int, bytes]]:
    """Each record's end and payload. Stops before a torn tail of the last segment; raises Damaged for any
    other bytes that are no record."""
    at = HEAD_BYTES
    while at < len(data):
        record = record_at(data, at)
        if record is None:
            behind = whole_behind(data, at + 1, index)
            if last and behind < 0:
                return
            why = f"no record, but a whole one stands at byte {behind}" if behind >= 0 else "no record"
            raise Damaged(name, at, why)
        if record[0] != index:
            raise Damaged(name, at, f"record {record[0]} where {index} was expected")
        at += RECORD_BYTES + len(record[1])
        index += 1
        yield at, record[1]


def whole_behind(data: bytes, at: int, index: int) -> int:
    """Where a whole record of this index or a later one stands behind a byte, -1: nowhere."""
    mark = MARKER.to_bytes(2, "big")
    while (at := data.find(mark, at)) >= 0:
        record = record_at(data, at)
        if record is not None and record[0] >= index:
            return at
        at += 1
    return -1


class Log:
    """Opened by `recover`. `append` collects, `commit` makes durable; with the policy "never" the system
    decides when bytes reach the disk, which a crash of this process alone does not touch."""

    def __init__(self, disk: Disk, next_index: int, segment: str, sync: Policy, most: int) -> None:
        self._disk = disk
        self._next = next_index
        self._segment = segment  # empty: the next commit starts one
        self._sync = sync
        self._most = most
        self._waiting: list[bytes] = []
        self._broken = ""
        # a commit runs in a thread, and goes on there when its task is cancelled: an append, a second commit
        # or a close beside it would store one number twice, or write to a descriptor that is another's
        self._lock = threading.RLock()

    @property
    def next_index(self) -> int:
        """What the next record will be."""
        return self._next + len(self._waiting)

    def append(self, payload: bytes) -> int:
        """The record's index; it is stored with the next commit."""
        if len(payload) > MOST_RECORD:
            raise ValueError(f"a record of {len(payload)} bytes; expected {MOST_RECORD} at most")
        with self._lock:
            self._waiting.append(payload)
            return self.next_index - 1

    def commit(self) -> None:
        """All that was appended is stored when this returns. OSError: nothing of it is, and it may be tried
        again (a full disk); Broken: unknown."""
        with self._lock:
            self._commit()

    def _commit(self) -> None:
        if self._broken:
            raise Broken(self._broken)
        if not self._waiting:
            return
        if self._segment and self._disk.size(self._segment) >= self._most:
            if self._sync == "never":  # else a power cut could take an earlier segment and leave a later one
                self._disk.sync(self._segment)
            self._segment = ""
        self._start_segment()
        data = b"".join(encode_record(self._next + n, payload) for n, payload in enumerate(self._waiting))
        before = self._disk.size(self._segment)
        try:
            self._disk.append(self._segment, data)
        except OSError:
            self._undo(before)
            raise
        self._synced(self._segment)
        self._next += len(self._waiting)
        self._waiting = []

    def drop(self) -> None:
        """Forgets what was appended and could not be committed."""
        with self._lock:
            self._waiting = []

    def snapshot(self, payload: bytes) -> None:
        """The state after all that is committed. Older segments and snapshots go once it is stored."""
        with self._lock:
            self._snapshot(payload)

    def _snapshot(self, payload: bytes) -> None:
        self._commit()
        name, half = f"{self._next:016x}.snap", f"{self._next:016x}.snap.half"
        with suppress(FileNotFoundError):
            self._disk.remove(half)  # of an earlier try
        try:
            self._disk.append(half, encode_head(SNAPSHOT, self._next, payload))
            self._disk.sync(half)
        except OSError:
            with suppress(OSError):
                self._disk.remove(half)
            raise
        self._disk.replace(half, name)
        self._disk.sync_folder()
        self._segment = ""
        for old in self._disk.names():
            if old.endswith((".log", ".snap")) and old.partition(".")[0] < name[:16]:
                self._disk.remove(old)
        self._disk.sync_folder()

    def close(self) -> None:
        """Once what is being written is."""
        with self._lock:
            self._disk.close()

    def _start_segment(self) -> None:
        if self._segment:
            return
        name = f"{self._next:016x}.log"
        try:
            if name in self._disk.names():
                self._disk.truncate(name, 0)
            self._disk.append(name, encode_head(SEGMENT, self._next))
            self._disk.sync(name)
            self._disk.sync_folder()
        except OSError:
            with suppress(OSError):
                self._disk.remove(name)
            raise
        self._segment = name

    def _undo(self, size: int) -> None:
        try:
            self._disk.truncate(self._segment, size)
        except OSError as error:
            self._broken = f"a write failed and could not be taken back: {error}"
            raise Broken(self._broken) from error

    def _synced(self, name: str) -> None:
        if self._sync == "never":
            return
        try:
            self._disk.sync(name)
        except OSError as error:
            self._broken = f"a sync failed: {error}"
            raise Broken(self._broken) from error


def recover(disk: Disk, sync: Policy = "always", segment_bytes: int = SEGMENT_BYTES) -> tuple[Log, Recovery]:
    """Opens what is there, or an empty log. Raises Damaged and OSError; a torn tail is cut from the file."""
    removed = [name for name in disk.names() if name.endswith(".half")]
    for name in removed:
        disk.remove(name)
    names = disk.names()
    snapshots = sorted(name for name in names if name.endswith(".snap"))
    snapshot, start = None, 0
    if snapshots:
        start, snapshot = decode_head(snapshots[-1], disk.read(snapshots[-1]), SNAPSHOT)
        if f"{start:016x}.snap" != snapshots[-1]:
            raise Damaged(snapshots[-1], 6, f"the head says index {start}")
    segments = sorted(name for name in names if name.endswith(".log"))
    older = [name for name in segments if int(name[:16], 16) < start]
    later = [name for name in segments if int(name[:16], 16) >= start]
    for name in (*older, *snapshots[:-1]):  # covered by the snapshot; a crash came before they were removed
        disk.remove(name)
        removed.append(name)
    records: list[bytes] = []
    index, segment, cut, cut_at = start, "", 0, ""
    for name in later:
        last = name == later[-1]
        data = disk.read(name)
        if int(name[:16], 16) != index:
            raise Damaged(name, 0, f"record {index} was expected to start here: a segment lacks")
        if last and len(data) < HEAD_BYTES or (last and not _head_is_whole(data)):
            if whole_behind(data, 0, index) >= 0:
                raise Damaged(name, 0, "the head's checksum is wrong, but records stand behind it")
            cut, cut_at = len(data), f"{name}: byte 0"
            disk.remove(name)
            removed.append(name)
            break
        if decode_head(name, data, SEGMENT)[0] != index:
            raise Damaged(name, 6, "the head's index is not the name's")
        end = HEAD_BYTES
        for at, payload in records_of(name, data, index, last):
            end = at
            records.append(payload)
            index += 1
        if end < len(data):
            cut, cut_at = len(data) - end, f"{name}: byte {end}"
            disk.truncate(name, end)
            disk.sync(name)
        segment = name
    if removed:
        disk.sync_folder()
    log = Log(disk, index, segment, sync, segment_bytes)
    return log, Recovery(snapshot, start, records, cut, cut_at, tuple(removed))


def _head_is_whole(data: bytes) -> bool:
    found: int = CRC.unpack_from(data, HEAD.size)[0]
    return found == crc32c(data[: HEAD.size])
