"""Fake caches, parents and origins that speak the cache protocol on IPv4, IPv6 and Unix sockets.

Faults can be set for each address at any time, and every request is recorded with its address. The servers
are written from the description of the protocol, not with the code under test. Loopback only.
"""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple

from ..endpoints.address import Family, parse
from .fake_server_address import NO_LISTENER, UNIX_ONLY, Fault, ServedAddress
from .fake_server_connection import Connection, reset
from .free_ports import free_port

__all__ = ["NO_LISTENER", "UNIX_ONLY", "Answer", "FakeServer", "Fault", "Said", "Seen", "hit"]

LATE_S = 0.2


class Seen(NamedTuple):
    """A request as it arrived."""

    id: str
    fields: dict[str, str]
    body: bytes
    address: str
    at: float  # when its line was complete, in seconds of the loop
    # when these bytes were found to have arrived, read or not; as exact as the calls of `FakeServer.look`
    first_byte_s: float = 0.0
    last_byte_s: float = 0.0


Said = tuple[str, bytes] | None
Answer = Callable[[Seen], Said | Awaitable[Said]]


def hit(seen: Seen) -> tuple[str, bytes] | None:
    """The answer with a cached copy."""
    return "served digest=aa,dated=1,remark=h", b"\x00bytes of " + seen.fields["thing"].encode()


class FakeServer:
    """One server. `seen` has all requests in order; `counts` says how often an id arrived at an address."""

    def __init__(self, name: str, answer: Answer = hit) -> None:
        self.name = name
        self.answer = answer
        self.seen: list[Seen] = []
        self.counts: Counter[tuple[str, str]] = Counter()
        self.aborted: list[str] = []
        self.probed = 0
        self.drop: Callable[[str], None] | None = None  # called with each line of an order to remove copies
        self._tasks: set[asyncio.Task[None]] = set()
        self._places: dict[str, ServedAddress] = {}
        self._folder: tempfile.TemporaryDirectory[str] | None = None

    def times(self, id_: str) -> int:
        """How often an id arrived, at all addresses together."""
        return sum(count for (seen, _), count in self.counts.items() if seen == id_)

    def accepted(self, address: str) -> int:
        """The number of connections that an address has accepted so far."""
        return self._places[address].accepted

    def open(self, address: str) -> int:
        """The number of open connections at an address."""
        return len(self._places[address].open)

    async def listen(self, family: Family, host: str = "", receive_buffer: int = 0, port: int = 0) -> str:
        """Opens a further address on a free port or a new socket file; returns its text.

        No outgoing connection can take the port while a fault closes the listener.
        `receive_buffer`: bytes that the kernel accepts while the server does not read; 0: the default.
        `port`: one that the caller has reserved; 0: any."""
        if family is Family.UNIX:
            if self._folder is None:
                self._folder = tempfile.TemporaryDirectory(prefix="gl")
            address = parse(f"unix:{self._folder.name}/{self.name}-{len(self._places)}.sock")
        else:
            local = (host or "127.0.0.1") if family is Family.V4 else "::1"
            port = port or free_port(local)
            address = parse(f"{local}:{port}" if family is Family.V4 else f"[{local}]:{port}")
        place = self._places[address.text] = ServedAddress(address, receive_buffer)
        await self._listen(place)
        return address.text

    async def set(self, address: str, fault: Fault, drop: bool = True) -> None:
        """Sets the fault of an address from now on. With `drop` its open connections are reset too."""
        place = self._places[address]
        if fault in UNIX_ONLY and place.address.family is not Family.UNIX:
            raise ValueError(f"{fault.value} is for Unix sockets")
        was, place.fault = place.fault, fault
        if drop:
            for writer in list(place.open):
                reset(writer)
        if was in NO_LISTENER or fault in NO_LISTENER:
            await place.shut()
            await self._listen(place)

    def look(self) -> None:
        """Records how many bytes have arrived on each connection, read or not.

        `Seen.first_byte_s` and `Seen.last_byte_s` are as exact as these calls."""
        at = asyncio.get_running_loop().time()
        for place in self._places.values():
            for connection in place.open.values():
                connection.look(at)

    def pause(self, address: str) -> None:
        """Stops reading at an address; what arrives stays in the buffers of the kernel."""
        place = self._places[address]
        place.paused = True
        for connection in place.open.values():
            connection.pause()

    def resume(self, address: str) -> None:
        """Resumes reading at an address."""
        place = self._places[address]
        place.paused = False
        for connection in place.open.values():
            connection.resume()

    async def close(self) -> None:
        """Closes all addresses and connections."""
        for place in self._places.values():
            for writer in list(place.open):
                writer.close()
            await place.shut()
        if self._folder is not None:
            self._folder.cleanup()

    # --- connections

    async def _listen(self, place: ServedAddress) -> None:
        await place.listen(partial(self._serve, place))

    async def _serve(
        self, place: ServedAddress, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        place.accepted += 1
        connection = place.open[writer] = Connection(reader, writer)
        if place.paused:
            connection.pause()
        try:
            if place.fault is Fault.RESET_ON_ACCEPT:
                reset(writer)
                return
            if place.fault is Fault.CLOSED_ON_ACCEPT:
                return
            if place.fault is Fault.LATE:
                await asyncio.sleep(LATE_S)
            while line := await reader.readline():
                await self._handle_command(place, line, connection)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            place.open.pop(writer, None)
            writer.close()

    async def _handle_command(self, place: ServedAddress, line: bytes, connection: Connection) -> None:
        words = line.decode().split()
        first_byte_s = connection.came(connection.taken + 1)
        connection.taken += len(line)
        match words[0]:
            case "abort":
                self.aborted.append(words[1])
            case "alive":
                self.probed += 1
                if place.fault is not Fault.STALL:
                    connection.writer.write(f"{words[1]} green - 0\r\n\r\n".encode())
            case "drop":
                await self._drop_copies(place, words, connection)
            case _:
                seen = await self._read_request(place, words, connection, first_byte_s)
                self._handle_request(place, seen, connection.writer)

    async def _drop_copies(self, place: ServedAddress, words: list[str], connection: Connection) -> None:
        size = int(words[2]) + 2
        orders = (await connection.reader.readexactly(size))[:-2].decode()
        connection.taken += size
        if self.drop is None or place.fault is Fault.STALL:
            return
        for order in orders.splitlines():
            self.drop(order)
        connection.writer.write(f"{words[1]} dropped - 0\r\n\r\n".encode())

    async def _read_request(
        self, place: ServedAddress, words: list[str], connection: Connection, first_byte_s: float
    ) -> Seen:
        """Reads the body of a request and records the request."""
        at = asyncio.get_running_loop().time()
        body = (await connection.reader.readexactly(int(words[3]) + 2))[:-2]
        connection.taken += len(body) + 2
        last_byte_s = connection.came(connection.taken)
        connection.forget()
        fields = dict(pair.split("=", 1) for pair in words[2].split(","))
        seen = Seen(words[1], fields, body, place.address.text, at, first_byte_s, last_byte_s)
        self.seen.append(seen)
        self.counts[seen.id, seen.address] += 1
        return seen

    def _handle_request(self, place: ServedAddress, seen: Seen, writer: asyncio.StreamWriter) -> None:
        """Answers a request, or applies the fault of this address."""
        fault = place.fault
        if fault is Fault.RESET_ON_REQUEST:
            reset(writer)
        elif fault is Fault.GARBLED:
            writer.write(b"\xff what is this\r\n")
        elif fault is Fault.FULL:
            writer.write(f"{seen.id} overload - 0\r\n\r\n".encode())
        elif fault is not Fault.STALL:
            said = self.answer(seen)
            if said is None or isinstance(said, tuple):
                self._write_answer(seen, said, fault, writer)
            else:  # without blocking others on the connection
                task = asyncio.ensure_future(self._write_answer_later(seen, said, fault, writer))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _write_answer_later(
        self, seen: Seen, said: Awaitable[Said], fault: Fault, writer: asyncio.StreamWriter
    ) -> None:
        self._write_answer(seen, await said, fault, writer)

    def _write_answer(self, seen: Seen, said: Said, fault: Fault, writer: asyncio.StreamWriter) -> None:
        if said is None or writer.is_closing():
            return
        head, content = said
        answer = f"{seen.id} {head} {len(content)}\r\n".encode() + content + b"\r\n"
        writer.write(answer[: len(answer) // 2] if fault in (Fault.CUT, Fault.CUT_SILENT) else answer)
        if fault is Fault.CUT:
            writer.close()
