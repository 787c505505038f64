"""The handover document, in which an old process leaves its state to a new one. Pure.

    magic:8 version:2 length:4 crc32c:4 payload       numbers are big-endian, the payload is msgpack

A reader accepts documents of its own version only: a new version may need what an older one did not write.
Fields are stored by their position.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

import msgspec

from ..admin.requests import AdminAction, AdminRequest
from ..clock import Clock, SharedClock
from ..discovery.events import WatchEvent
from ..routing.idempotency import KeyAttempt
from ..structures.crc32c import crc32c
from .decoding import HandoverError, TruncatedError, decode_with, expect_equal
from .learned_state import LearnedState, shift_timestamps

MAGIC = b"glhandov"
VERSION = 1
HEADER = struct.Struct(">8sHII")
#: Learned state that is older is discarded, because it no longer describes the servers.
MAX_LEARNED_STATE_AGE_MS = 10_000.0
#: Upper bound of the rounding error when two processes compute the same point in time.
ROUNDING_MS = 1.0


class StoredSettings(msgspec.Struct, array_like=True):
    """Settings that bind the writer: `data` as `shared_settings` encodes them."""

    data: bytes
    until_ms: float  # 0: they are those of the file in use, and bind until the process ends


class Handover(msgspec.Struct, array_like=True):
    """The state that one process of a director passes to the next.

    In the file, times are dates as returned by the writer's `Clock.date`, which older versions read as Unix
    ms. `to_shared_time` and `to_local_time` convert between dates and times of a process's own clock.
    """

    name: str  # of the director, with its address
    written_ms: float
    maintenance_started_ms: dict[str, float] = {}  # by server, when operators took it out of service
    maintenance_ended_ms: dict[str, float] = {}  # by server, when operators put it back into service
    draining_since_ms: float = 0.0  # when an operator began to drain the director; 0: it is not drained
    rev: int = 0  # the discovery revision up to which `watch_events` are complete
    watch_events: list[WatchEvent] = []  # purges that are still in force, then the complete endpoint list
    keys: dict[str, list[KeyAttempt]] = {}  # keyed attempts that may have run
    learned_state: LearnedState | None = None
    boot_id: str = ""  # of the writer's machine; older versions write neither `boot_id` nor `zero_ms`
    zero_ms: float = 0.0  # the date at which the monotonic clock read 0
    binding_settings: list[StoredSettings] = []  # older versions do not write them

    @property
    def clock(self) -> SharedClock:
        """The clock that the dates in this document refer to."""
        return SharedClock(self.boot_id, self.zero_ms)


_decoder: msgspec.msgpack.Decoder[Handover] = msgspec.msgpack.Decoder(Handover)


def encode(document: Handover) -> bytes:
    """Returns the bytes of the file."""
    payload = msgspec.msgpack.encode(document)
    return HEADER.pack(MAGIC, VERSION, len(payload), crc32c(payload)) + payload


def decode(data: bytes, name: str) -> Handover:
    """Returns the document of the director `name`. Raises HandoverError for a file that is damaged, of
    another version or of another director."""
    if len(data) < HEADER.size:
        raise TruncatedError(len(data), ", in its head")
    magic, version, length, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise HandoverError(f"byte 0: {magic!r} is no hand-over")
    expect_equal("byte 8: version", version, VERSION)
    payload = data[HEADER.size :]
    if len(payload) != length:
        raise TruncatedError(len(data), f"; expected {HEADER.size + length} bytes")
    if crc32c(payload) != checksum:
        raise HandoverError(f"byte {HEADER.size}: the checksum does not fit")
    document = decode_with(_decoder, payload, f"byte {HEADER.size}")
    expect_equal("of", document.name, name)
    return document


def to_shared_time(document: Handover, clock: Clock) -> Handover:
    """Converts times of this process's clock to dates, as they are stored. The times in
    `maintenance_ended_ms` are dates already."""
    shared = clock.shared_clock()

    def date(local_ms: float) -> float:
        return float(clock.date(local_ms, shared))

    learned_state, now = document.learned_state, document.written_ms
    return msgspec.structs.replace(
        document,
        written_ms=date(now),
        maintenance_started_ms={
            server: date(since_ms) for server, since_ms in document.maintenance_started_ms.items()
        },
        draining_since_ms=date(document.draining_since_ms) if document.draining_since_ms else 0.0,
        keys={
            key: [KeyAttempt(date(attempt.at_ms), attempt.store) for attempt in attempts]
            for key, attempts in document.keys.items()
        },
        learned_state=shift_timestamps(learned_state, date(now) - now) if learned_state is not None else None,
        binding_settings=[
            StoredSettings(stored.data, date(stored.until_ms) if stored.until_ms else 0.0)
            for stored in document.binding_settings
        ],
        boot_id=shared.boot_id,
        zero_ms=shared.zero_ms,
    )


@dataclass(frozen=True)
class LocalHandover:
    """A handover document whose times are those of the reader's clock."""

    document: Handover
    has_valid_times: bool  # whether times could be converted; if not, those of keys and settings are dates


def to_local_time(document: Handover, clock: Clock) -> LocalHandover:
    """Converts a stored document's dates to times of this process's clock.

    Learned state that is too old, or whose times cannot be converted, is left out. Operators' requests stay
    in force however old they are. A document that appears to be written in the future was dated by another
    clock than the one it names, so its times cannot be converted either.
    """
    now, shift_ms = clock.now(), clock.shift_from(document.clock)
    if shift_ms is None or document.written_ms + shift_ms > now + ROUNDING_MS:
        return LocalHandover(_with_requests_dated_now(document, now), has_valid_times=False)
    age_ms = now - (document.written_ms + shift_ms)
    learned_state = document.learned_state if age_ms <= MAX_LEARNED_STATE_AGE_MS else None
    converted = msgspec.structs.replace(
        document,
        written_ms=document.written_ms + shift_ms,
        maintenance_started_ms={
            server: since_ms + shift_ms for server, since_ms in document.maintenance_started_ms.items()
        },
        draining_since_ms=document.draining_since_ms + shift_ms if document.draining_since_ms else 0.0,
        keys={
            key: [KeyAttempt(attempt.at_ms + shift_ms, attempt.store) for attempt in attempts]
            for key, attempts in document.keys.items()
        },
        learned_state=shift_timestamps(learned_state, shift_ms) if learned_state is not None else None,
        binding_settings=[
            StoredSettings(stored.data, stored.until_ms + shift_ms if stored.until_ms else 0.0)
            for stored in document.binding_settings
        ],
    )
    return LocalHandover(converted, has_valid_times=True)


def _with_requests_dated_now(document: Handover, now: float) -> Handover:
    """Returns the document with operators' requests dated `now` and without learned state."""
    return msgspec.structs.replace(
        document,
        written_ms=now,
        maintenance_started_ms={server: now for server in document.maintenance_started_ms},
        draining_since_ms=now if document.draining_since_ms else 0.0,
        learned_state=None,
    )


def missing_requests(
    stored: Handover | None,
    maintenance_started_ms: Mapping[str, float],
    maintenance_ended_ms: Mapping[str, float],
    is_draining: bool,
) -> Iterator[AdminRequest]:
    """Yields the operators' requests that lead from the state in a stored document to the present state.

    `maintenance_started_ms` and `maintenance_ended_ms` are as in `Handover`. A server that was put back into
    service is taken out first, since a request to put back a server that is in service has no effect.
    """
    stored = stored or Handover("", 0.0)
    for server, ended_ms in maintenance_ended_ms.items():
        if stored.maintenance_ended_ms.get(server) != ended_ms:
            yield AdminRequest(AdminAction.MAINT, server)
            yield AdminRequest(AdminAction.READY, server)
    for server in maintenance_started_ms:
        if server not in stored.maintenance_started_ms:
            yield AdminRequest(AdminAction.MAINT, server)
    if is_draining != bool(stored.draining_since_ms):
        yield AdminRequest(AdminAction.FAIL if is_draining else AdminAction.OK)
