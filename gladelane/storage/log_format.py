"""Stored format of the write-ahead log: encoding, decoding and checksums. Pure.

    segment    FIRST.log   header, then records   FIRST: the index of its first record, 16 hex digits
    snapshot   NEXT.snap   header, payload        the state before record NEXT
    header     "GLWL" or "GLSN", version:2, index:8, length:8 (0 in segments), payload crc:4, header crc:4
    record     marker:2, length:4, index:8, payload crc:4, prefix crc:4, payload

Numbers are big-endian, checksums are CRC-32C (RFC 3720, appendix B.4). The fields before a record's payload
have a checksum of their own, so that a damaged length is not mistaken for the end of the log.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import NamedTuple

from ..structures.crc32c import crc32c

VERSION = 1
HEADER = struct.Struct(">4sHQQI")
RECORD_PREFIX = struct.Struct(">HIQI")
CRC = struct.Struct(">I")
HEADER_BYTES, RECORD_PREFIX_BYTES = HEADER.size + CRC.size, RECORD_PREFIX.size + CRC.size
VERSION_OFFSET, INDEX_OFFSET = 4, 6  # of header fields, for error messages
MARKER = 0xA55A
MARKER_BYTES = MARKER.to_bytes(2, "big")
SEGMENT_MAGIC, SNAPSHOT_MAGIC = b"GLWL", b"GLSN"
SEGMENT_SUFFIX, SNAPSHOT_SUFFIX = ".log", ".snap"
INDEX_DIGITS = 16  # hex digits of the index in a file name
MAX_RECORD_BYTES = 16_000_000
NOT_FOUND = -1


class CorruptLogError(Exception):
    """Stored bytes that the log cannot have written.

    `file_name` and `offset` (in bytes) locate them, `reason` says what is wrong with them.
    """

    def __init__(self, file_name: str, offset: int, reason: str) -> None:
        """Formats the message from the place and the reason."""
        super().__init__(f"{file_name}: byte {offset}: {reason}")
        self.file_name = file_name
        self.offset = offset
        self.reason = reason


class Header(NamedTuple):
    """A decoded file header and the payload behind it. `first_index` is the record index in the header."""

    first_index: int
    payload: bytes


class Record(NamedTuple):
    """A decoded record. `end` is the offset of the first byte after it."""

    record_index: int
    payload: bytes
    end: int


def segment_name(first_index: int) -> str:
    """The file name of a segment by the index of its first record."""
    return f"{first_index:0{INDEX_DIGITS}x}{SEGMENT_SUFFIX}"


def snapshot_name(next_index: int) -> str:
    """The file name of a snapshot by the index of the first record that it does not cover."""
    return f"{next_index:0{INDEX_DIGITS}x}{SNAPSHOT_SUFFIX}"


def index_in_name(name: str) -> int:
    """The index in the name of a segment or snapshot. Raises ValueError if it is not hexadecimal."""
    return int(name[:INDEX_DIGITS], 16)


def encode_header(magic: bytes, index: int, payload: bytes = b"") -> bytes:
    """A file header for the index, followed by the payload."""
    header = HEADER.pack(magic, VERSION, index, len(payload), crc32c(payload))
    return header + CRC.pack(crc32c(header)) + payload


def encode_record(index: int, payload: bytes) -> bytes:
    """The stored bytes of a complete record."""
    prefix = RECORD_PREFIX.pack(MARKER, len(payload), index, crc32c(payload))
    return prefix + CRC.pack(crc32c(prefix)) + payload


def has_valid_header(data: bytes) -> bool:
    """Whether a file starts with a complete header that has a correct checksum."""
    if len(data) < HEADER_BYTES:
        return False
    stored_crc: int = CRC.unpack_from(data, HEADER.size)[0]
    return stored_crc == crc32c(data[: HEADER.size])


def decode_header(name: str, data: bytes, magic: bytes) -> Header:
    """The header and payload of a file. `name` is the file's name for error messages. Raises
    CorruptLogError."""
    if len(data) < HEADER_BYTES:
        raise CorruptLogError(name, len(data), f"the file ends within its header of {HEADER_BYTES} bytes")
    magic_found, version, index, length, crc = HEADER.unpack_from(data)
    if not has_valid_header(data):
        raise CorruptLogError(name, 0, "the header's checksum is wrong")
    if magic_found != magic:
        raise CorruptLogError(name, 0, f"starts with {magic_found!r}, expected {magic!r}")
    if version != VERSION:
        raise CorruptLogError(name, VERSION_OFFSET, f"version {version}, expected {VERSION}")
    payload = data[HEADER_BYTES : HEADER_BYTES + length]
    if len(payload) != length or crc32c(payload) != crc:
        raise CorruptLogError(name, HEADER_BYTES, "the payload's checksum is wrong")
    return Header(index, payload)


def decode_record(data: bytes, offset: int) -> Record | None:
    """The complete record that starts at an offset, or None if no valid record starts there."""
    payload_start = offset + RECORD_PREFIX_BYTES
    if payload_start > len(data):
        return None
    marker, length, index, crc = RECORD_PREFIX.unpack_from(data, offset)
    if marker != MARKER or length > MAX_RECORD_BYTES:
        return None
    prefix_end = offset + RECORD_PREFIX.size
    if CRC.unpack_from(data, prefix_end)[0] != crc32c(data[offset:prefix_end]):
        return None
    payload = data[payload_start : payload_start + length]
    if len(payload) != length or crc32c(payload) != crc:
        return None
    return Record(index, payload, payload_start + length)


def iterate_records(name: str, data: bytes, first_index: int, is_last_segment: bool) -> Iterator[Record]:
    """All records of a segment, in order.

    Stops before a torn tail of the last segment. Raises CorruptLogError for any other bytes that are not the
    next record.
    """
    offset, index = HEADER_BYTES, first_index
    while offset < len(data):
        record = decode_record(data, offset)
        if record is None:
            later_offset = find_record(data, offset + 1, index)
            if is_last_segment and later_offset == NOT_FOUND:
                return
            detail = (
                "" if later_offset == NOT_FOUND else f", but a valid record follows at byte {later_offset}"
            )
            raise CorruptLogError(name, offset, f"no valid record{detail}")
        if record.record_index != index:
            raise CorruptLogError(name, offset, f"record {record.record_index} where {index} was expected")
        yield record
        offset = record.end
        index += 1


def find_record(data: bytes, start: int, min_index: int) -> int:
    """The offset of the first valid record at or after `start` whose index is at least `min_index`, or
    NOT_FOUND."""
    offset = start
    while (offset := data.find(MARKER_BYTES, offset)) != NOT_FOUND:
        record = decode_record(data, offset)
        if record is not None and record.record_index >= min_index:
            return offset
        offset += 1
    return NOT_FOUND
