"""A toy fleet on loopback: the cache, parent, origin and discovery server of example/config.json.

It implements as much of the cache and discovery protocols as is needed to try a director by hand. The content
of a part is generated from its name.
"""

from __future__ import annotations

import asyncio
import contextlib
import time

CACHE_PORT, PARENT_PORT, ORIGIN_PORT, DISCOVERY_PORT = 5001, 5002, 5003, 4222
cached_parts: dict[str, bytes] = {}


def respond(name: str, fields: dict[str, str], body: bytes) -> tuple[str, bytes]:
    """Returns a store's response line and content. The cache fills its misses if the request names a parent;
    parent and origin have all objects."""
    part = f"{fields['thing']}/{fields['nth']}"
    content = f"part {part}, {len(body)} bytes sent\n".encode()
    remark = "h"
    if name == "cache":
        if part not in cached_parts and "parent" not in fields:
            return "not_here -", b""
        remark = "h" if part in cached_parts else "f"
        if int(fields.get("shelf", 0)):
            cached_parts[part] = content
    digest = f"{hash(content) & 0xFFFFFFFF:x}"
    metadata = f"digest={digest},dated={int(time.time() * 1000)},remark={remark}"
    if fields.get("got") == digest:
        return f"still_good {metadata}", b""
    return f"served {metadata}", content


async def serve_store(name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while tokens := (await reader.readline()).decode().split():
        if tokens[0] == "fetch":
            body = (await reader.readexactly(int(tokens[3]) + 2))[:-2]
            fields = dict(pair.split("=", 1) for pair in tokens[2].split(","))
            head, content = respond(name, fields, body)
            print(name, tokens[1], tokens[2], "->", head.rpartition(",")[2], flush=True)
            writer.write(f"{tokens[1]} {head} {len(content)}\r\n".encode() + content + b"\r\n")
    writer.close()


async def serve_discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
    while not writer.is_closing():
        writer.write(b": nothing new\n\n")
        await asyncio.sleep(1.0)


async def main() -> None:
    for name, port in (("cache", CACHE_PORT), ("parent", PARENT_PORT), ("origin", ORIGIN_PORT)):
        await asyncio.start_server(lambda r, w, name=name: serve_store(name, r, w), "127.0.0.1", port)
    await asyncio.start_server(serve_discovery, "127.0.0.1", DISCOVERY_PORT)
    print("toy fleet is up; end it with Ctrl-C", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
