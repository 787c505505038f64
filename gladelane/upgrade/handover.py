"""The form of what an old process leaves to a new one, without I/O: a document in, bytes out, and back.

    magic:8 version:2 length:4 crc32c:4 payload       numbers big-endian, the payload is msgpack

A reader takes a document of its own version only: a new version may need what an older one did not know.
"""

from __future__ import annotations

import struct

import crc32c
import msgspec

from ..net.config import Notice
from .checks import Unusable, decoded, expect
from .learnt import Learnt

MAGIC = b"glhandov"
VERSION = 1
HEAD = struct.Struct(">8sHII")
LEARNT_MS = 10_000.0  # what was learnt longer ago is no guide


class Handover(msgspec.Struct, array_like=True):
    """Times are Unix ms."""

    name: str  # the director's, with its address
    written_ms: float
    out: dict[str, float] = {}  # caches that operators took out, since when
    back: dict[str, float] = {}  # and put back
    failed_ms: float = 0.0  # since when the director is emptied by an operator; 0: it is not
    rev: int = 0  # the board's, that the notices reach
    notices: list[Notice] = []  # purges that still bind, then the whole list
    keys: dict[str, list[tuple[float, str]]] = {}  # keyed requests that may have run: when, and where
    learnt: Learnt | None = None


_decoder: msgspec.msgpack.Decoder[Handover] = msgspec.msgpack.Decoder(Handover)


def encode(document: Handover) -> bytes:
    payload = msgspec.msgpack.encode(document)
    return HEAD.pack(MAGIC, VERSION, len(payload), crc32c.crc32c(payload)) + payload


def decode(data: bytes, name: str, now: float) -> Handover:
    """Raises Unusable. What was learnt too long ago is left out; orders hold however old they are."""
    if len(data) < HEAD.size:
        raise Unusable(f"ends at byte {len(data)}, in its head")
    magic, version, length, checksum = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise Unusable(f"byte 0: {magic!r} is no hand-over")
    expect("byte 8: version", version, VERSION)
    payload = data[HEAD.size :]
    if len(payload) != length:
        raise Unusable(f"ends at byte {len(data)}; expected {HEAD.size + length} bytes")
    if crc32c.crc32c(payload) != checksum:
        raise Unusable(f"byte {HEAD.size}: the checksum does not fit")
    document = decoded(_decoder, payload, f"byte {HEAD.size}")
    expect("of", document.name, name)
    if document.learnt is not None and not 0.0 <= now - document.written_ms <= LEARNT_MS:
        document.learnt = None
    return document
