"""The client of the discovery service: one watch, server-sent events over HTTP, resumed after each break.

Errors never end it: a watch that fails, falls silent or sends what cannot be decoded is logged, and the next
one starts after a backoff at the last revision that was applied.
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
# The protocol sends a comment each second, and an event counts as known to every director 7 s after it was
# published, whether it arrived or not. A silence, a dial that times out, a request without a response and the
# backoffs between them add up to 6.0 s at most.
SILENT_S = 2.5  # a watch without a complete line for so long is given up
DIAL_S = 1.0
ANSWER_S = 1.2  # from the dial to the end of the response's headers
READ_BYTES = 65_536
LONG_BYTES = 1024  # so many bytes of an unfinished line count as progress: a long list is being received
BACKOFF_S, BACKOFF_MOST_S = 0.1, 0.4
#: Discovery may be slow: a watch that timed out while it received something doubles the next one's timeout,
#: up to these. The first stays within the 7 s above.
MAX_HEADER_TIMEOUT_S, MAX_LINE_TIMEOUT_S = 4.8, 20.0
UNREAD_S = (
    0.02  # to read what arrived while the process was stopped: its timers run before its sockets are read
)
APPLY_S = 0.005  # events are applied for so long at a time, so that a burst of them does not delay requests


class WatchTimeouts:
    """The timeouts of the next watch, in seconds: for the headers, and for each complete line after them."""

    def __init__(self) -> None:
        self.header_timeout_s, self.line_timeout_s = ANSWER_S, SILENT_S

    def extend_header_timeout(self) -> None:
        """Doubles it, up to MAX_HEADER_TIMEOUT_S."""
        self.header_timeout_s = min(self.header_timeout_s * 2, MAX_HEADER_TIMEOUT_S)

    def extend_line_timeout(self) -> None:
        """Doubles it, up to MAX_LINE_TIMEOUT_S."""
        self.line_timeout_s = min(self.line_timeout_s * 2, MAX_LINE_TIMEOUT_S)


@dataclass
class _Arrivals:
    """When a watch read its bytes, ms of the steady clock. What is read next was sent after `waited_ms`."""

    waited_ms: float
    unapplied_ms: float | None = None  # the same for what was read and is not applied yet
    has_slept: bool = False  # the process was stopped: what is read may be old, so a new watch is needed

    def add(self, now_ms: float) -> None:
        if now_ms - self.waited_ms > SILENT_S * 1000.0:
            self.has_slept = True
        elif not self.has_slept:
            self.unapplied_ms, self.waited_ms = self.waited_ms, now_ms

    def take_unapplied(self) -> float | None:
        unapplied_ms, self.unapplied_ms = self.unapplied_ms, None
        return unapplied_ms


class WatchProgress:
    """Progress of one watch, and when it times out. Times are seconds of the event loop's clock."""

    def __init__(self, timeouts: WatchTimeouts, now_s: float) -> None:
        self._timeouts = timeouts
        self._line_due_s = now_s + timeouts.header_timeout_s  # the headers, then the next complete line
        self._silent_due_s = self._line_due_s  # any byte
        self._is_answered = self._is_half_read = False
        self._fresh_bytes = 0  # since the last progress

    def due_s(self) -> float:
        """When the watch times out unless more arrives."""
        return min(self._line_due_s, self._silent_due_s)

    def read(self, now_s: float) -> None:
        """Bytes have been received."""
        if self._is_answered:
            self._is_half_read, self._silent_due_s = True, now_s + SILENT_S

    def answered(self, now_s: float) -> None:
        """The headers are complete."""
        self._is_answered, self._silent_due_s = True, now_s + SILENT_S
        self._record_progress(now_s)

    def record_body(self, part: bytes, now_s: float) -> None:
        """`part` of the body has been received."""
        self._fresh_bytes += len(part)
        if b"\n" in part or self._fresh_bytes >= LONG_BYTES:
            self._record_progress(now_s)

    def _record_progress(self, now_s: float) -> None:
        self._is_half_read, self._fresh_bytes = False, 0
        self._line_due_s = now_s + self._timeouts.line_timeout_s

    def ran_out(self) -> None:
        """The watch has timed out: where it was receiving something, the next one gets a longer timeout."""
        if not self._is_answered:
            self._timeouts.extend_header_timeout()
        elif self._is_half_read and self._line_due_s <= self._silent_due_s:
            self._timeouts.extend_line_timeout()


class DiscoveryClient:
    """Follows the discovery service at `host:port`.

    `last_revision` returns the revision from which to resume; `apply_event` is called with each event, in
    order. Where `heard` is set it is called once what was read is applied, with the time by `steady` (ms)
    after which that was sent.
    """

    def __init__(
        self,
        host: str,
        port: int,
        last_revision: Callable[[], int],
        apply_event: Callable[[WatchEvent], None],
        rng: random.Random,
    ) -> None:
        self.heard: Callable[[float], None] | None = None
        self.steady: Callable[[], float] = lambda: 0.0
        self._host, self._port = host, port
        self._backoff = Backoff(rng, BACKOFF_S, BACKOFF_MOST_S)
        self._timeouts = WatchTimeouts()
        self._last_revision, self._apply_event = last_revision, apply_event

    async def run(self) -> None:
        """Keeps one watch open until cancelled."""
        while True:
            before = self._last_revision()
            try:
                await self._follow()
                log.info("discovery stream ended")
            except (OSError, h11.ProtocolError, TimeoutError) as error:
                log.warning("discovery stream lost: %s %s", type(error).__name__, error)
            except Exception:  # without a watch the director would go on with an old list
                log.exception("discovery watch failed")
            await asyncio.sleep(self._backoff.after(self._last_revision() > before))

    async def _follow(self) -> None:
        arrivals = _Arrivals(self.steady())
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(DIAL_S):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        try:
            http = h11.Connection(h11.CLIENT)
            writer.write(self._request(http))
            events = EventStream()
            progress = WatchProgress(self._timeouts, loop.time())
            while True:
                match http.next_event():
                    case h11.NEED_DATA:
                        self._report_heard(arrivals.take_unapplied())
                        http.receive_data(await self._receive(reader, progress, arrivals))
                    case h11.Response(status_code=status):
                        if status != 200:
                            raise OSError(f"status {status}")
                        progress.answered(loop.time())
                    case h11.Data(data=part):
                        await self._apply(events.feed(bytes(part)))
                        progress.record_body(bytes(part), loop.time())
                    case h11.EndOfMessage() | h11.ConnectionClosed():
                        self._report_heard(arrivals.take_unapplied())
                        return
        finally:
            writer.close()

    def _request(self, http: h11.Connection) -> bytes:
        """A request for all events after the last that was applied."""
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
        """The next bytes; empty at the end of the stream. Raises TimeoutError."""
        loop = asyncio.get_running_loop()
        due_s = loop.time() if arrivals.has_slept else progress.due_s()
        try:
            data = await self._read(reader, due_s)
        except TimeoutError:
            if not arrivals.has_slept:
                progress.ran_out()
            raise
        progress.read(loop.time())
        if data:
            arrivals.add(self.steady())
        return data

    async def _read(self, reader: asyncio.StreamReader, due_s: float) -> bytes:
        """Bytes received until `due_s`, or unread at that time. Raises TimeoutError if there are none."""
        try:
            async with asyncio.timeout_at(due_s):
                return await reader.read(READ_BYTES)
        except TimeoutError:
            async with asyncio.timeout(UNREAD_S):
                return await reader.read(READ_BYTES)

    def _report_heard(self, since: float | None) -> None:
        if since is not None and self.heard is not None:
            self.heard(since)

    async def _apply(self, events: Iterable[str]) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        for event in events:
            if loop.time() - began > APPLY_S:
                await asyncio.sleep(0)
                began = loop.time()
            self._decode_and_apply(event)

    def _decode_and_apply(self, data: str) -> None:
        try:
            self._apply_event(watch_event_decoder.decode(data))
        except msgspec.MsgspecError as error:
            log.error("bad event: %s; data=%.200s", error, data)  # noqa: TRY400  the data says more than a traceback
