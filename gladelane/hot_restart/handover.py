"""The handover document, which an old process leaves to a new one: fields, bytes and moments. Pure.

    magic:8 version:2 length:4 crc32c:4 payload       numbers big-endian, the payload is msgpack

A reader accepts documents of its own version only: a new version may need what an older one did not write.
Fields are stored by their position.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import crc32c
import msgspec

from ..admin.requests import AdminAction, AdminRequest
from ..clock import Clock, SharedClock
from ..discovery.events import WatchEvent
from ..routing.idempotency import KeyAttempt
from .decoding import HandoverError, TruncatedError, decode_with, expect_equal
from .learnt import Learnt, shift_moments

MAGIC = b"glhandov"
VERSION = 1
HEADER = struct.Struct(">8sHII")
#: Learnt state that is older is discarded: it no longer describes the servers.
MAX_LEARNT_AGE_MS = 10_000.0
#: Two processes compute the same moment with rounding errors below this.
ROUNDING_MS = 1.0


class Handover(msgspec.Struct, array_like=True):
    """What one process of a director passes to the next.

    In the file, moments are dates as the writer's `Clock.dated` gives them, which older versions read as Unix
    ms. `to_shared_time` and `to_local_time` convert between them and moments of a process's own timeline.
    """

    name: str  # the director's, with its address
    written_ms: float
    out: dict[str, float] = {}  # servers that operators took out of service, and when
    back: dict[str, float] = {}  # servers that operators put back, and when
    failed_ms: float = 0.0  # since when an operator drains the director; 0: nobody does
    rev: int = 0  # the revision of discovery up to which `notices` are complete
    notices: list[WatchEvent] = []  # purges that are still in force, then the complete endpoint list
    keys: dict[str, list[KeyAttempt]] = {}  # keyed attempts that may have run
    learnt: Learnt | None = None
    boot_id: str = ""  # of the writer's machine; older versions write neither this nor the next
    zero_ms: float = 0.0  # the date at which the monotonic clock read 0

    @property
    def clock(self) -> SharedClock:
        """The clock by which the moments are dated."""
        return SharedClock(self.boot_id, self.zero_ms)


_decoder: msgspec.msgpack.Decoder[Handover] = msgspec.msgpack.Decoder(Handover)


def encode(document: Handover) -> bytes:
    """The bytes of the file."""
    payload = msgspec.msgpack.encode(document)
    return HEADER.pack(MAGIC, VERSION, len(payload), crc32c.crc32c(payload)) + payload


def decode(data: bytes, name: str) -> Handover:
    """The document of the director `name`. Raises HandoverError for a file that is damaged, of another
    version or of another director."""
    if len(data) < HEADER.size:
        raise TruncatedError(len(data), ", in its head")
    magic, version, length, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise HandoverError(f"byte 0: {magic!r} is no hand-over")
    expect_equal("byte 8: version", version, VERSION)
    payload = data[HEADER.size :]
    if len(payload) != length:
        raise TruncatedError(len(data), f"; expected {HEADER.size + length} bytes")
    if crc32c.crc32c(payload) != checksum:
        raise HandoverError(f"byte {HEADER.size}: the checksum does not fit")
    document = decode_with(_decoder, payload, f"byte {HEADER.size}")
    expect_equal("of", document.name, name)
    return document


def to_shared_time(document: Handover, clock: Clock) -> Handover:
    """The document as it is stored: moments of this process's timeline become dates. `back` holds dates
    already."""
    shared = clock.shared()

    def dated(moment_ms: float) -> float:
        return float(clock.dated(moment_ms, shared))

    learnt, now = document.learnt, document.written_ms
    return msgspec.structs.replace(
        document,
        written_ms=dated(now),
        out={server: dated(since_ms) for server, since_ms in document.out.items()},
        failed_ms=dated(document.failed_ms) if document.failed_ms else 0.0,
        keys={
            key: [KeyAttempt(dated(one.at_ms), one.store) for one in attempts]
            for key, attempts in document.keys.items()
        },
        learnt=shift_moments(learnt, dated(now) - now) if learnt is not None else None,
        boot_id=shared.boot_id,
        zero_ms=shared.zero_ms,
    )


@dataclass(frozen=True)
class LocalHandover:
    """A handover document whose moments are of the reader's timeline."""

    document: Handover
    keys_are_dated: bool  # whether the moments of `document.keys` could be converted


def to_local_time(document: Handover, clock: Clock) -> LocalHandover:
    """Converts a stored document's dates to moments of this process's timeline.

    Learnt state that is too old, or whose moments cannot be converted, is left out; operators' requests hold
    however old they are. A document that claims to be written later than now was dated by another clock than
    it names, and counts as one that cannot be converted.
    """
    now, shift_ms = clock.now(), clock.shift_from(document.clock)
    if shift_ms is None or document.written_ms + shift_ms > now + ROUNDING_MS:
        return LocalHandover(_without_moments(document, now), keys_are_dated=False)
    age_ms = now - (document.written_ms + shift_ms)
    learnt = document.learnt if age_ms <= MAX_LEARNT_AGE_MS else None
    converted = msgspec.structs.replace(
        document,
        written_ms=document.written_ms + shift_ms,
        out={server: since_ms + shift_ms for server, since_ms in document.out.items()},
        failed_ms=document.failed_ms + shift_ms if document.failed_ms else 0.0,
        keys={
            key: [KeyAttempt(one.at_ms + shift_ms, one.store) for one in attempts]
            for key, attempts in document.keys.items()
        },
        learnt=shift_moments(learnt, shift_ms) if learnt is not None else None,
    )
    return LocalHandover(converted, keys_are_dated=True)


def _without_moments(document: Handover, now: float) -> Handover:
    """Dates operators' requests to now, and drops learnt state."""
    return msgspec.structs.replace(
        document,
        written_ms=now,
        out={server: now for server in document.out},
        failed_ms=now if document.failed_ms else 0.0,
        learnt=None,
    )


def missing_requests(
    stored: Handover | None, out: Mapping[str, float], back: Mapping[str, float], is_draining: bool
) -> Iterator[AdminRequest]:
    """The operators' requests that lead from the state in a stored document to the present one.

    `out` and `back` are as in `Handover`. A server that was put back is taken out first, since a request to
    put back a server that is not out has no effect.
    """
    stored = stored or Handover("", 0.0)
    for server, back_ms in back.items():
        if stored.back.get(server) != back_ms:
            yield AdminRequest(AdminAction.MAINT, server)
            yield AdminRequest(AdminAction.READY, server)
    for server in out:
        if server not in stored.out:
            yield AdminRequest(AdminAction.MAINT, server)
    if is_draining != bool(stored.failed_ms):
        yield AdminRequest(AdminAction.FAIL if is_draining else AdminAction.OK)
