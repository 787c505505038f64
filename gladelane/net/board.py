"""The notice board: server-sent events over h11, resumed after each break."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

import h11
import msgspec

from ..sse import EventStream
from ..structures.backoff import Backoff
from .config import Notice, notice_decoder

log = logging.getLogger(__name__)

PATH = "/board/poll"
# By the protocol, for any customer: a comment comes each second, and whatever the board has to tell counts as
# told 7 s later, whether it arrived or not. A silence, a dial that never comes up, a call that is never
# answered and the waits between them add up to 6.0 s at the most.
SILENT_S = 2.5  # without a whole line for so long the board is taken for dead
DIAL_S = 1.0
ANSWER_S = 1.2  # from the dial: whole headers
LONG_BYTES = 1024  # at once of a line that has not ended: a long list is under way
BACKOFF_S, BACKOFF_MOST_S = 0.1, 0.4


class Board:
    def __init__(
        self,
        host: str,
        port: int,
        last: Callable[[], int],
        tell: Callable[[Notice], None],
        rng: random.Random,
    ) -> None:
        """heard: hears of each word, with a moment of `steady` (ms) from before which it was not said."""
        self.heard: Callable[[float], None] | None = None
        self.steady: Callable[[], float] = lambda: 0.0
        self._host, self._port = host, port
        self._backoff = Backoff(rng, BACKOFF_S, BACKOFF_MOST_S)
        self._last, self._tell = last, tell

    async def run(self) -> None:
        while True:
            before = self._last()
            try:
                await self._follow()
                log.info("board ended")
            except (OSError, h11.ProtocolError, TimeoutError) as error:
                log.warning("board lost: %s %s", type(error).__name__, error)
            except Exception:  # a director that no longer listens would go on by an old list
                log.exception("board failed")
            await asyncio.sleep(self._backoff.after(self._last() > before))

    async def _follow(self) -> None:
        waited = self.steady()  # what comes next was said after this
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(DIAL_S):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        try:
            http = h11.Connection(h11.CLIENT)
            headers = [
                ("Host", f"{self._host}:{self._port}"),
                ("Accept", "text/event-stream"),
                ("Last-Event-ID", str(self._last())),
            ]
            request = h11.Request(method="GET", target=PATH, headers=headers)
            writer.write(http.send(request) + http.send(h11.EndOfMessage()))
            events = EventStream()
            due = loop.time() + ANSWER_S  # until then something whole has to come: bytes are no life
            while True:
                match http.next_event():
                    case h11.NEED_DATA:
                        async with asyncio.timeout_at(due):
                            data = await reader.read(65_536)
                        http.receive_data(data)
                        if self.heard is not None and data:
                            now = self.steady()
                            if now - waited > SILENT_S * 1000.0:  # slept: what lay here may be old
                                raise TimeoutError("slept")
                            self.heard(waited)
                            waited = now
                    case h11.Response(status_code=status):
                        if status != 200:
                            raise OSError(f"status {status}")
                        due = loop.time() + SILENT_S
                    case h11.Data(data=part):
                        for event in events.feed(bytes(part)):
                            self._event(event)
                        if b"\n" in part or len(part) >= LONG_BYTES:
                            due = loop.time() + SILENT_S
                    case h11.EndOfMessage() | h11.ConnectionClosed():
                        return
        finally:
            writer.close()

    def _event(self, data: str) -> None:
        try:
            self._tell(notice_decoder.decode(data))
        except msgspec.MsgspecError as error:
            log.error("bad event: %s; data=%.200s", error, data)
