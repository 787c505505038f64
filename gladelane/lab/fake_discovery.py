"""A fake discovery server: numbered watch events, sent to all that follow, from where each left off."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

from ..sse import encode_event

COMMENT_S = 1.0


class FakeDiscovery:
    """`tell` adds an event. Every director counts from 1 at its start, so `known` is what to start one
    with."""

    def __init__(self) -> None:
        self.notices: list[dict[str, Any]] = []
        self._news = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listens on a free port, and gives HOST:PORT."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def tell(self, event: dict[str, Any]) -> None:
        """Adds an event, with the next revision, and sends it to all that follow."""
        self.notices.append({"rev": len(self.notices) + 1, **event})
        self._news.set()
        self._news = asyncio.Event()

    def known(self) -> dict[str, Any]:
        """What a platform file has under `known`: the events so far and the last revision."""
        return {"rev": len(self.notices), "notices": list(self.notices)}

    async def close(self) -> None:
        """Stops listening and breaks all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._open:
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last = int(head.partition("last-event-id:")[2].split()[0])
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n")
            while True:
                for event in self.notices[last:]:
                    writer.write(f"id: {event['rev']}\n".encode() + encode_event(json.dumps(event)))
                last = len(self.notices)
                writer.write(b": \n\n")
                await writer.drain()
                news = self._news
                with suppress(TimeoutError):
                    async with asyncio.timeout(COMMENT_S):
                        await news.wait()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, RuntimeError):  # uvloop: closed
            pass
        finally:
            self._open.discard(task)
            writer.close()
