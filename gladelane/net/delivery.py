"""How far a client has read what was written to it, as far as the director can know. Pure.

The system tells how many bytes the client's system has not acknowledged. Acknowledged bytes are safe from a
reset, but they may wait in the client's receive buffer, and nothing tells when the client reads them there.
Until a client has read that it is to leave (type 48) it goes on writing requests. So a pace is assumed at
which it reads. All times are ms of the caller's clock.
"""

from __future__ import annotations

#: The pace at which a client is assumed to read. The operators know of slow clients that read up to 1 MB/s;
#: this leaves room for slower ones.
ASSUMED_READ_BYTES_PER_MS = 200.0
#: The largest receive buffer that Linux grows to by default: no more acknowledged bytes are unread.
MAX_RECEIVE_BUFFER_BYTES = 6_291_456
STALLED_MS = 10_000.0  # a client that reads no byte of its answers for this long is disconnected
#: A client that makes progress, but reads what it has outstanding at a lower pace, is disconnected.
MIN_READ_BYTES_PER_MS = 20.0
#: A client that reads at once may acknowledge bytes this late, and has no more unacknowledged until then: its
#: system delays acknowledgements, for two segments at most (64 KB each on loopback).
MAX_ACK_DELAY_MS = 100.0
MAX_DELAYED_BYTES = 131_072


class Delivery:
    """The delivery of the bytes that were written to one client.

    Attributes: unacknowledged, the bytes that the client's system had not acknowledged when it was last
    measured; read_by_ms, the time by which the client has presumably read everything; progress_ms, when a
    client with unacknowledged bytes last made progress."""

    __slots__ = (
        "_acknowledged_bytes",
        "_is_measured",
        "_target_bytes",
        "_target_ms",
        "_target_since_ms",
        "_written_bytes",
        "progress_ms",
        "read_by_ms",
        "unacknowledged",
    )

    def __init__(self) -> None:
        self.unacknowledged = 0
        self.read_by_ms = 0.0
        self.progress_ms = 0.0
        self._is_measured = True  # since the latest write
        self._written_bytes = 0
        self._acknowledged_bytes = 0
        self._target_bytes = 0  # count of acknowledged bytes that is to be reached by `_target_ms`
        self._target_since_ms = self._target_ms = 0.0

    @property
    def is_complete(self) -> bool:
        """Whether everything is known to be acknowledged, so that nothing is to be measured."""
        return self._is_measured and not self.unacknowledged

    def add_written(self, size: int, now: float) -> None:
        """Records that `size` bytes were written."""
        self._written_bytes += size
        self._is_measured = False
        self.read_by_ms = max(self.read_by_ms, now) + size / ASSUMED_READ_BYTES_PER_MS

    def update(self, unacknowledged: int, now: float) -> None:
        """Records how many of the written bytes are unacknowledged at `now`."""
        is_new_backlog = not self.unacknowledged
        acknowledged = self._written_bytes - unacknowledged
        if is_new_backlog or acknowledged > self._acknowledged_bytes:
            self.progress_ms = now
        if is_new_backlog or acknowledged >= self._target_bytes:
            self._target_bytes = self._written_bytes
            self._target_since_ms = now
            self._target_ms = now + STALLED_MS + unacknowledged / MIN_READ_BYTES_PER_MS
        self._is_measured = True
        self.unacknowledged, self._acknowledged_bytes = unacknowledged, acknowledged
        self._limit_read_by(now)

    def _limit_read_by(self, now: float) -> None:
        """Limits the assumption to what may be unread: everything that is unacknowledged, and a full receive
        buffer at most beyond that."""
        most = self.unacknowledged + MAX_RECEIVE_BUFFER_BYTES
        self.read_by_ms = min(self.read_by_ms, now + most / ASSUMED_READ_BYTES_PER_MS)
        if self.unacknowledged:
            least_ms = self.unacknowledged / ASSUMED_READ_BYTES_PER_MS
            self.read_by_ms = max(self.read_by_ms, now + least_ms)

    def has_backlog(self, now: float) -> bool:
        """Whether unacknowledged bytes wait for the client to read, and are not just on their way."""
        if not self.unacknowledged:
            return False
        return self.unacknowledged > MAX_DELAYED_BYTES or now - self._target_since_ms >= MAX_ACK_DELAY_MS

    def has_been_read(self, now: float) -> bool:
        """Whether the client has presumably read everything."""
        return not self.unacknowledged and now >= self.read_by_ms

    def is_stalled(self, now: float, limit_ms: float = STALLED_MS) -> bool:
        """Whether the client has read nothing for `limit_ms`, or all in all too slowly."""
        if not self.unacknowledged:
            return False
        return now - self.progress_ms > limit_ms or now > self._target_ms
