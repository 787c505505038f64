"""Encodes and decodes server-sent events (HTML standard, section 9.2). Pure."""

from __future__ import annotations

from collections.abc import Iterator

MAX_EVENT_BYTES = 4_000_000


class EventStream:
    """Decodes one stream of events from chunks of any size."""

    def __init__(self) -> None:
        self._buffer = b""
        self._data: list[str] = []
        self._size_bytes = 0  # of the lines in `_data`

    def feed(self, chunk: bytes) -> Iterator[str]:
        """Yields the data of each event that the chunk completes. Raises OSError if an event is too long."""
        self._buffer += chunk
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise OSError("event too long")
        *lines, self._buffer = self._buffer.split(b"\n")
        for raw in lines:
            line = raw.rstrip(b"\r").decode("utf-8", "replace")
            if not line and self._data:
                data, self._data, self._size_bytes = "\n".join(self._data), [], 0
                yield data
            elif line.startswith("data:"):
                self._size_bytes += len(raw)
                if self._size_bytes > MAX_EVENT_BYTES:  # an event of many short lines
                    raise OSError("event too long")
                self._data.append(line[5:].removeprefix(" "))


def encode_event(data: str) -> bytes:
    """Encodes one event, whose data must not contain a line break."""
    return f"data: {data}\n\n".encode()
