"""Server-sent events without I/O (HTML standard, section 9.2): bytes in, the data of each event out."""

from __future__ import annotations

from collections.abc import Iterator

MAX_EVENT = 4_000_000


class EventStream:
    """Sans-I/O: bytes in, the data of each event out."""

    def __init__(self) -> None:
        self._held = b""
        self._data: list[str] = []
        self._size = 0  # of these

    def feed(self, chunk: bytes) -> Iterator[str]:
        self._held += chunk
        if len(self._held) > MAX_EVENT:
            raise OSError("event too long")
        *lines, self._held = self._held.split(b"\n")
        for raw in lines:
            line = raw.rstrip(b"\r").decode("utf-8", "replace")
            if not line and self._data:
                data, self._data, self._size = "\n".join(self._data), [], 0
                yield data
            elif line.startswith("data:"):
                self._size += len(raw)
                if self._size > MAX_EVENT:  # lines of an event that never ends
                    raise OSError("event too long")
                self._data.append(line[5:].removeprefix(" "))


def encode_event(data: str) -> bytes:
    """One event; data holds no line break."""
    return f"data: {data}\n\n".encode()
