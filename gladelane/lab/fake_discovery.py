"""A fake discovery server: sends numbered watch events to all clients, from the last revision of each."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

from ..sse import encode_event

COMMENT_S = 1.0


class FakeDiscovery:
    """`tell` adds an event. Directors count revisions from 1, so one that starts later needs `known`."""

    def __init__(self) -> None:
        self.notices: list[dict[str, Any]] = []
        self._news = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.Task[None]] = set()

    async def start(self) -> str:
        """Listens on a free port; returns HOST:PORT."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def tell(self, event: dict[str, Any]) -> None:
        """Adds an event with the next revision and sends it to all clients."""
        self.notices.append({"rev": len(self.notices) + 1, **event})
        self._news.set()
        self._news = asyncio.Event()

    def known(self) -> dict[str, Any]:
        """The value of `known` in a configuration file: all events so far and the last revision."""
        return {"rev": len(self.notices), "notices": list(self.notices)}

    async def close(self) -> None:
        """Stops listening and resets all connections."""
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
