"""The client of the discovery service: one watch, server-sent events over HTTP, resumed after each break.

A watch that is lost or times out is logged, and the next one starts after a backoff at the last revision
that was applied. An event that cannot be decoded is logged and skipped. Any other error ends
`DiscoveryClient.run`, which a supervisor has to call again.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import h11
import msgspec

from ..sse import EventStream
from ..structures.backoff import Backoff
from .events import WatchEvent, watch_event_decoder

log = logging.getLogger(__name__)

PATH = "/board/poll"
# The service sends a comment each second, and an event counts as known to every director 7 s after it was
# published, whether it arrived or not. A watch that times out, a connect that times out, a request without a
# response and the backoffs between them add up to at most 6.0 s.
IDLE_TIMEOUT_S = 2.5  # a watch that receives no complete line for this long is abandoned
CONNECT_TIMEOUT_S = 1.0
HEADER_TIMEOUT_S = 1.2  # from the established connection to the end of the response's headers
READ_BYTES = 65_536
PROGRESS_BYTES = 1024  # this much of an unfinished line counts as progress: a long list is being received
BACKOFF_START_S, BACKOFF_MAX_S = 0.1, 0.4
#: The discovery service may be slow: after a watch that timed out while it was receiving, the next watch gets
#: twice the timeout, up to these limits. The limit for the headers stays within the 7 s above.
MAX_HEADER_TIMEOUT_S, MAX_LINE_TIMEOUT_S = 4.8, 20.0
#: For reading what arrived while the process was stopped: the event loop runs its timers before it reads its
#: sockets.
BACKLOG_READ_S = 0.02
APPLY_SLICE_S = 0.005  # longest time to apply events without a pause, so that a burst does not delay requests


class WatchTimeouts:
    """The timeouts of the next watch, in seconds: for the headers, and for each complete line after them."""

    def __init__(self) -> None:
        self.header_timeout_s, self.line_timeout_s = HEADER_TIMEOUT_S, IDLE_TIMEOUT_S

    def extend_header_timeout(self) -> None:
        """Doubles it, up to MAX_HEADER_TIMEOUT_S."""
        self.header_timeout_s = min(self.header_timeout_s * 2, MAX_HEADER_TIMEOUT_S)

    def extend_line_timeout(self) -> None:
        """Doubles it, up to MAX_LINE_TIMEOUT_S."""
        self.line_timeout_s = min(self.line_timeout_s * 2, MAX_LINE_TIMEOUT_S)


@dataclass
class _Arrivals:
    """When a watch read its bytes, in ms of the steady clock. Bytes that are read next were sent after
    `sent_after_ms`."""

    sent_after_ms: float
    unapplied_ms: float | None = None  # `sent_after_ms` of the bytes that were read and are not applied yet
    was_suspended: bool = False  # the process was stopped: bytes may be old, so a new watch is needed

    def add(self, now_ms: float) -> None:
        """Records that bytes were read. A long gap since the last read means that the process was stopped."""
        if now_ms - self.sent_after_ms > IDLE_TIMEOUT_S * 1000.0:
            self.was_suspended = True
        elif not self.was_suspended:
            self.unapplied_ms, self.sent_after_ms = self.sent_after_ms, now_ms

    def take_unapplied(self) -> float | None:
        """Returns `unapplied_ms` and resets it."""
        unapplied_ms, self.unapplied_ms = self.unapplied_ms, None
        return unapplied_ms


class WatchProgress:
    """Progress of one watch, and when it times out. Times are seconds of the event loop's clock."""

    def __init__(self, timeouts: WatchTimeouts, now_s: float) -> None:
        self._timeouts = timeouts
        self._line_due_s = now_s + timeouts.header_timeout_s  # for the headers, then for each complete line
        self._idle_due_s = self._line_due_s  # for any byte
        self._has_headers = self._is_line_incomplete = False
        self._unfinished_bytes = 0  # received since the last progress

    def due_s(self) -> float:
        """When the watch times out unless more arrives."""
        return min(self._line_due_s, self._idle_due_s)

    def record_read(self, now_s: float) -> None:
        """Records that bytes have been received."""
        if self._has_headers:
            self._is_line_incomplete, self._idle_due_s = True, now_s + IDLE_TIMEOUT_S

    def record_headers(self, now_s: float) -> None:
        """Records that the headers are complete."""
        self._has_headers, self._idle_due_s = True, now_s + IDLE_TIMEOUT_S
        self._record_progress(now_s)

    def record_body(self, part: bytes, now_s: float) -> None:
        """Records that `part` of the body has been received."""
        self._unfinished_bytes += len(part)
        if b"\n" in part or self._unfinished_bytes >= PROGRESS_BYTES:
            self._record_progress(now_s)

    def _record_progress(self, now_s: float) -> None:
        self._is_line_incomplete, self._unfinished_bytes = False, 0
        self._line_due_s = now_s + self._timeouts.line_timeout_s

    def record_timeout(self) -> None:
        """Records that the watch has timed out. If it was receiving something, the next one gets a longer
        timeout."""
        if not self._has_headers:
            self._timeouts.extend_header_timeout()
        elif self._is_line_incomplete and self._line_due_s <= self._idle_due_s:
            self._timeouts.extend_line_timeout()


class DiscoveryClient:
    """Follows the discovery service at `host:port`.

    `last_revision` returns the revision from which to resume. `apply_event` is called with each event, in
    order. `on_received`, if it is set, is called each time all received bytes have been applied; its argument
    is a time by `steady_clock` (ms) after which the service sent those bytes.
    """

    def __init__(
        self,
        host: str,
        port: int,
        last_revision: Callable[[], int],
        apply_event: Callable[[WatchEvent], None],
        rng: random.Random,
    ) -> None:
        self.on_received: Callable[[float], None] | None = None
        self.steady_clock: Callable[[], float] = lambda: 0.0
        self._host, self._port = host, port
        self._backoff = Backoff(rng, BACKOFF_START_S, BACKOFF_MAX_S)
        self._timeouts = WatchTimeouts()
        self._last_revision, self._apply_event = last_revision, apply_event

    async def run(self) -> None:
        """Keeps one watch open until cancelled, from the last revision on."""
        while True:
            previous_revision = self._last_revision()
            try:
                await self._follow()
                log.info("discovery watch ended by the service")
            except (OSError, h11.ProtocolError, TimeoutError) as error:
                log.warning("discovery watch lost: %s %s", type(error).__name__, error)
            await asyncio.sleep(self._backoff.after(self._last_revision() > previous_revision))

    async def _follow(self) -> None:
        arrivals = _Arrivals(self.steady_clock())
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(self._encode_request(http))
            events = EventStream()
            progress = WatchProgress(self._timeouts, loop.time())
            while True:
                match http.next_event():
                    case h11.NEED_DATA:
                        self._report_received(arrivals.take_unapplied())
                        http.receive_data(await self._receive(reader, progress, arrivals))
                    case h11.Response(status_code=status):
                        if status != 200:
                            raise OSError(f"status {status}")
                        progress.record_headers(loop.time())
                    case h11.Data(data=part):
                        await self._apply(events.feed(bytes(part)))
                        progress.record_body(bytes(part), loop.time())
                    case h11.EndOfMessage() | h11.ConnectionClosed():
                        self._report_received(arrivals.take_unapplied())
                        return
        finally:
            writer.close()

    def _encode_request(self, http: h11.Connection) -> bytes:
        """Encodes the request for all events after the last one that was applied."""
        headers = [
            ("Host", f"{self._host}:{self._port}"),
            ("Accept", "text/event-stream"),
            ("Last-Event-ID", str(self._last_revision())),
        ]
        request = h11.Request(method="GET", target=PATH, headers=headers)
        return (http.send(request) or b"") + (http.send(h11.EndOfMessage()) or b"")

    async def _receive(
        self, reader: asyncio.StreamReader, progress: WatchProgress, arrivals: _Arrivals
    ) -> bytes:
        """Returns the next bytes, empty at the end of the stream. Raises TimeoutError."""
        loop = asyncio.get_running_loop()
        due_s = loop.time() if arrivals.was_suspended else progress.due_s()
        try:
            data = await self._read(reader, due_s)
        except TimeoutError:
            if not arrivals.was_suspended:
                progress.record_timeout()
            raise
        progress.record_read(loop.time())
        if data:
            arrivals.add(self.steady_clock())
        return data

    async def _read(self, reader: asyncio.StreamReader, due_s: float) -> bytes:
        """Returns bytes that arrive before `due_s`, or are still unread then. Raises TimeoutError if there
        are none."""
        try:
            async with asyncio.timeout_at(due_s):
                return await reader.read(READ_BYTES)
        except TimeoutError:
            async with asyncio.timeout(BACKLOG_READ_S):
                return await reader.read(READ_BYTES)

    def _report_received(self, sent_after_ms: float | None) -> None:
        if sent_after_ms is not None and self.on_received is not None:
            self.on_received(sent_after_ms)

    async def _apply(self, events: Iterable[str]) -> None:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for event in events:
            if loop.time() - started_s > APPLY_SLICE_S:
                await asyncio.sleep(0)
                started_s = loop.time()
            self._decode_and_apply(event)

    def _decode_and_apply(self, data: str) -> None:
        try:
            self._apply_event(watch_event_decoder.decode(data))
        except msgspec.MsgspecError as error:
            log.error("bad event: %s; data=%.200s", error, data)  # noqa: TRY400  the data says more than a traceback
