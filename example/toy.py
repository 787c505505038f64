"""A toy fleet on loopback: the cache, parent, origin and notice board that example/config.json names.

It speaks just enough of both protocols to try a director by hand. Objects are made up from their id.
"""

from __future__ import annotations

import asyncio
import contextlib
import time

CACHE, PARENT, ORIGIN, BOARD = 5001, 5002, 5003, 4222
kept: dict[str, bytes] = {}


def answer(name: str, fields: dict[str, str], body: bytes) -> tuple[str, bytes]:
    """What a store says: the cache fills its misses from the source it is given, the others hold all."""
    part = f"{fields['thing']}/{fields['nth']}"
    content = f"part {part}, {len(body)} bytes sent\n".encode()
    note = "h"
    if name == "cache":
        if part not in kept and "parent" not in fields:
            return "not_here -", b""
        note = "h" if part in kept else "f"
        if int(fields.get("shelf", 0)):
            kept[part] = content
    tag = f"{hash(content) & 0xFFFFFFFF:x}"
    found = f"digest={tag},dated={int(time.time() * 1000)},remark={note}"
    if fields.get("got") == tag:
        return f"still_good {found}", b""
    return f"served {found}", content


async def store(name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while words := (await reader.readline()).decode().split():
        if words[0] == "fetch":
            body = (await reader.readexactly(int(words[3]) + 2))[:-2]
            fields = dict(pair.split("=", 1) for pair in words[2].split(","))
            head, content = answer(name, fields, body)
            print(name, words[1], words[2], "->", head.rpartition(",")[2], flush=True)
            writer.write(f"{words[1]} {head} {len(content)}\r\n".encode() + content + b"\r\n")
    writer.close()


async def board(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
    while not writer.is_closing():
        writer.write(b": nothing new\n\n")
        await asyncio.sleep(1.0)


async def main() -> None:
    for name, port in (("cache", CACHE), ("parent", PARENT), ("origin", ORIGIN)):
        await asyncio.start_server(lambda r, w, name=name: store(name, r, w), "127.0.0.1", port)
    await asyncio.start_server(board, "127.0.0.1", BOARD)
    print("toy fleet is up; end it with Ctrl-C", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
