"""Stand-ins for caches, parents and the origin: the cache protocol on IPv4, IPv6 and Unix sockets at once,
with faults set by address at any time, and the books of what reached which server at which address.

They are servers written from the protocol's description. Loopback only.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum
from pathlib import Path
from typing import NamedTuple, cast

from ..endpoints.address import Address, Family, parse
from ..sockets import unread_bytes

LATE_S = 0.2
FILL_MOST = 64  # dials that a listener without a backlog must swallow at the most before it drops


class Fault(Enum):
    """What an address does to who dials it. The values are the words of reports."""

    NONE = "none"
    REFUSED = "refused"  # of a Unix socket: a stale file
    BLACK_HOLE = "black hole"  # packets are dropped; of a Unix socket: the backlog is full
    RESET_ON_ACCEPT = "reset on accept"
    CLOSED_ON_ACCEPT = "closed on accept"
    LATE = "accepted late"
    STALL = "takes bytes and stalls"
    CUT = "answer cut half way"
    CUT_SILENT = "answer stops half way"
    GARBLED = "garbled"
    FULL = "overload"
    RESET_ON_REQUEST = "reset on request"
    MISSING = "socket file missing"
    NOT_A_SOCKET = "not a socket"


UNIX_ONLY = frozenset({Fault.MISSING, Fault.NOT_A_SOCKET})
#: at these the dial fails, at the others a request may have been read
NO_LISTENER = frozenset({Fault.REFUSED, Fault.BLACK_HOLE, Fault.MISSING, Fault.NOT_A_SOCKET})


class Seen(NamedTuple):
    """One fetch as it arrived."""

    id: str
    fields: dict[str, str]
    body: bytes
    address: str
    at: float  # seconds of the loop, when its line had come
    lay_unread: bool = False  # its first byte had come while the server read nothing: `at` is too late


Said = tuple[str, bytes] | None
Answer = Callable[[Seen], Said | Awaitable[Said]]


def hit(seen: Seen) -> tuple[str, bytes] | None:
    """A copy that the store holds."""
    return "served digest=aa,dated=1,remark=h", b"\x00bytes of " + seen.fields["thing"].encode()


class _Peer:
    """One connection to a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.backlog = 0  # bytes that had come when reading was last resumed, and are not processed yet

    def pause(self) -> None:
        cast(asyncio.ReadTransport, self.writer.transport).pause_reading()

    def resume(self) -> None:
        if not self.writer.is_closing():
            held: bytearray = self.reader._buffer  # type: ignore[attr-defined]
            self.backlog = len(held) + unread_bytes(self.writer.get_extra_info("socket"))
            cast(asyncio.ReadTransport, self.writer.transport).resume_reading()


class _Place:
    """One address of a stand-in."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.fault = Fault.NONE
        self.server: asyncio.Server | None = None
        self.hole: list[socket.socket] = []
        self.open: dict[asyncio.StreamWriter, _Peer] = {}
        self.accepted = 0
        self.paused = False
        self.receive_buffer = 0


class Standin:
    """One server. `seen` has every fetch in order; `counts` how often an id arrived at an address."""

    def __init__(self, name: str, answer: Answer = hit) -> None:
        self.name = name
        self.answer = answer
        self.seen: list[Seen] = []
        self.counts: Counter[tuple[str, str]] = Counter()
        self.aborted: list[str] = []
        self.probed = 0
        self.drop: Callable[[str], None] | None = None  # takes orders to drop copies, a line each
        self._tasks: set[asyncio.Task[None]] = set()
        self._places: dict[str, _Place] = {}
        self._folder: tempfile.TemporaryDirectory[str] | None = None

    def times(self, id_: str) -> int:
        """How often an id arrived, over all addresses."""
        return sum(count for (seen, _), count in self.counts.items() if seen == id_)

    def accepted(self, address: str) -> int:
        return self._places[address].accepted

    def open(self, address: str) -> int:
        """Connections open at an address now."""
        return len(self._places[address].open)

    async def listen(self, family: Family, host: str = "", receive_buffer: int = 0) -> str:
        """Opens one more address on a free port or a new socket file, and gives its text. `receive_buffer`:
        bytes that the system takes while the server reads nothing; 0: the system's usual."""
        if family is Family.UNIX:
            if self._folder is None:
                self._folder = tempfile.TemporaryDirectory(prefix="gl")
            address = parse(f"unix:{self._folder.name}/{self.name}-{len(self._places)}.sock")
        else:
            kind, local = (
                (socket.AF_INET, host or "127.0.0.1") if family is Family.V4 else (socket.AF_INET6, "::1")
            )
            with socket.socket(kind, socket.SOCK_STREAM) as free:
                free.bind((local, 0))
                port = free.getsockname()[1]
            address = parse(f"{local}:{port}" if family is Family.V4 else f"[{local}]:{port}")
        place = self._places[address.text] = _Place(address)
        place.receive_buffer = receive_buffer
        await self._open(place)
        return address.text

    async def set(self, address: str, fault: Fault, drop: bool = True) -> None:
        """From now on; with `drop` what is connected there is reset too."""
        place = self._places[address]
        if fault in UNIX_ONLY and place.address.family is not Family.UNIX:
            raise ValueError(f"{fault.value} is for Unix sockets")
        was, place.fault = place.fault, fault
        if drop:
            for writer in list(place.open):
                _reset(writer)
        if was in NO_LISTENER or fault in NO_LISTENER:
            await self._shut(place)
            await self._open(place)

    def pause(self, address: str) -> None:
        """From now on nothing is read there; what comes waits with the system."""
        place = self._places[address]
        place.paused = True
        for peer in place.open.values():
            peer.pause()

    def resume(self, address: str) -> None:
        place = self._places[address]
        place.paused = False
        for peer in place.open.values():
            peer.resume()

    async def close(self) -> None:
        for place in self._places.values():
            for writer in list(place.open):
                writer.close()
            await self._shut(place)
        if self._folder is not None:
            self._folder.cleanup()

    # --- listeners

    async def _open(self, place: _Place) -> None:
        fault, path = place.fault, Path(place.address.host)
        if fault is Fault.MISSING:
            return
        if fault is Fault.NOT_A_SOCKET:
            path.write_text("no socket")
            return
        sock = self._bound(place.address)
        if place.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, place.receive_buffer)
        if fault is Fault.REFUSED:
            sock.close()  # a Unix socket's file stays behind: stale
            return
        if fault is Fault.BLACK_HOLE:
            await self._fill(place, sock)
            return
        sock.listen(512)
        start = asyncio.start_unix_server if place.address.family is Family.UNIX else asyncio.start_server
        place.server = await start(lambda r, w: self._serve(place, r, w), sock=sock)

    @staticmethod
    def _bound(address: Address) -> socket.socket:
        kind = {Family.V4: socket.AF_INET, Family.V6: socket.AF_INET6, Family.UNIX: socket.AF_UNIX}
        sock = socket.socket(kind[address.family], socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address.host if address.family is Family.UNIX else (address.host, address.port))
        return sock

    @staticmethod
    async def _fill(place: _Place, sock: socket.socket) -> None:
        """A listener that accepts nobody and whose backlog is full drops what comes, as a bad link does."""
        sock.listen(0)
        place.hole = [sock]
        for _ in range(FILL_MOST):
            filler = socket.socket(sock.family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            place.hole.append(filler)
            target = sock.getsockname()
            code = filler.connect_ex(target)
            if place.address.family is Family.UNIX and code:
                return
            await asyncio.sleep(0.005)
            try:
                filler.getpeername()
            except OSError:  # still on its way: the backlog is full
                return
        raise RuntimeError("the backlog never filled")

    @staticmethod
    async def _shut(place: _Place) -> None:
        if place.server is not None:
            place.server.close()
            place.server = None
            await asyncio.sleep(0)  # the loop closes a listener a turn later
        for sock in place.hole:
            sock.close()
        place.hole = []
        if place.address.family is Family.UNIX:
            with suppress(FileNotFoundError):
                os.unlink(place.address.host)

    # --- connections

    async def _serve(self, place: _Place, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        place.accepted += 1
        peer = place.open[writer] = _Peer(reader, writer)
        if place.paused:
            peer.pause()
        try:
            if place.fault is Fault.RESET_ON_ACCEPT:
                _reset(writer)
                return
            if place.fault is Fault.CLOSED_ON_ACCEPT:
                return
            if place.fault is Fault.LATE:
                await asyncio.sleep(LATE_S)
            while line := await reader.readline():
                await self._command(place, line, peer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            place.open.pop(writer, None)
            writer.close()

    async def _command(self, place: _Place, line: bytes, peer: _Peer) -> None:
        reader, writer = peer.reader, peer.writer
        words = line.decode().split()
        lay_unread = peer.backlog > 0
        peer.backlog = max(peer.backlog - len(line), 0)
        if words[0] == "abort":
            self.aborted.append(words[1])
            return
        if words[0] == "alive":
            self.probed += 1
            if place.fault is not Fault.STALL:
                writer.write(f"{words[1]} green - 0\r\n\r\n".encode())
            return
        if words[0] == "drop":
            orders = (await reader.readexactly(int(words[2]) + 2))[:-2].decode()
            if self.drop is not None and place.fault is not Fault.STALL:
                for order in orders.splitlines():
                    self.drop(order)
                writer.write(f"{words[1]} dropped - 0\r\n\r\n".encode())
            return
        at = asyncio.get_running_loop().time()
        body = (await reader.readexactly(int(words[3]) + 2))[:-2]
        peer.backlog = max(peer.backlog - len(body) - 2, 0)
        fields = dict(pair.split("=", 1) for pair in words[2].split(","))
        seen = Seen(words[1], fields, body, place.address.text, at, lay_unread)
        self.seen.append(seen)
        self.counts[seen.id, seen.address] += 1
        fault = place.fault
        if fault is Fault.RESET_ON_REQUEST:
            _reset(writer)
        elif fault is Fault.GARBLED:
            writer.write(b"\xff what is this\r\n")
        elif fault is Fault.FULL:
            writer.write(f"{seen.id} overload - 0\r\n\r\n".encode())
        elif fault is not Fault.STALL:
            said = self.answer(seen)
            if said is None or isinstance(said, tuple):
                self._say(seen, said, fault, writer)
            else:  # others on the connection do not wait for it
                task = asyncio.ensure_future(self._say_later(seen, said, fault, writer))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _say_later(
        self, seen: Seen, said: Awaitable[Said], fault: Fault, writer: asyncio.StreamWriter
    ) -> None:
        self._say(seen, await said, fault, writer)

    def _say(self, seen: Seen, said: Said, fault: Fault, writer: asyncio.StreamWriter) -> None:
        if said is None or writer.is_closing():
            return
        head, content = said
        whole = f"{seen.id} {head} {len(content)}\r\n".encode() + content + b"\r\n"
        writer.write(whole[: len(whole) // 2] if fault in (Fault.CUT, Fault.CUT_SILENT) else whole)
        if fault is Fault.CUT:
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection by a reset rather than a close; a Unix socket knows closes only."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError, ValueError):  # it may have ended just now
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
