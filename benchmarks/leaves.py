"""Clients that leave: how long after it an attempt for one still begins, by the place where it waited.

`python -m benchmarks.leaves [--quick]`: one director process on loopback, clients that close, reset, cancel
(type 18) or shut their write side at random moments while their request waits, and stand-ins for caches and
the origin. The director is held up (SIGSTOP) for a fraction of a second again and again, so that a leave lies
unread while timers, dials and late answers fall due. Each place is played with cancels allowed and without.

An attempt's beginning is when its first byte came to a server's machine, also where the server reads nothing
then. This process looks every few milliseconds: `over` began more than 0.1 s after its client's leave was
sent, even if it came right after the look before; `unclear` only if it came at the look that saw it. None is
passed over, and either breaks the rule. `whole_over`: its last byte came so late, and its first did not.
`unanswered`: who only shut its write side got no answer to what it had open. Exits with 1 if any but
`whole_over` is not 0.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import struct
import sys
import tempfile
from bisect import bisect_left
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import conclude
from benchmarks.example_site import example_config, list_entry, request_fields
from gladelane.endpoints.address import Family
from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.lab.fake_server import FakeServer, Fault, Said, Seen
from gladelane.lab.processes import Processes
from gladelane.net.client_protocol import FrameDecoder, Type, encode_fields, encode_frame

LIMIT_S = 0.1  # the operators': no attempt begins later after its client has left
CACHES = 6
CLIENTS = 24
BEAT_S = 0.002  # how exactly this process knows when it last looked for arrivals
STALL_S = (0.12, 0.35)  # of the director, each time
STALL_APART_S = (0.2, 0.6)
SETTLE_S = 1.5  # after the last leave: longer than a repeated SYN and any held-up attempt
DIAL_MS = 1500.0  # a dial that is dropped comes up with the system's second SYN, after 1 s
NARROW = 4096  # bytes that the system takes for a server that reads nothing
ANSWERED_S = 3.0  # for the answers to who shut its write side: its wait and 0.5 s
CLOSE, RESET, CANCEL, HALF_CLOSE = "close", "reset", "type 18", "half close"
READ, WRITE = "question-item", "answer-submit"


@dataclass(frozen=True)
class Place:
    """Where requests wait when their clients leave, and how it comes about."""

    name: str
    cls: str = READ
    waits_s: tuple[float, float] = (0.0, 0.3)  # from the request to the leave
    answers_s: tuple[float, float] = (0.02, 0.25)  # what a server takes
    refuses: float = 0.0  # share of answers that say 'it never ran': a further attempt follows
    body: int = 0
    late_dials: bool = False
    pauses: bool = False  # servers that read nothing for a while
    pieces: bool = False  # frames come in pieces
    flood: int = 0  # requests in one write, cancelled at its end
    answer_bytes: int = 3
    receive_buffer: int = (
        0  # of the client, which reads its answers after its leave only; 0: the system's usual
    )


PLACES = (
    Place("a full loop"),
    Place("late answers of a cache", refuses=0.7),
    Place("a timer", WRITE, answers_s=(0.0, 0.05), refuses=0.8, waits_s=(0.0, 0.8)),
    Place("a dial", WRITE, waits_s=(0.1, 1.3), late_dials=True),
    Place("unread bytes", body=24_000, pauses=True, waits_s=(0.0, 0.4)),
    Place("requests in pieces", refuses=0.5, pieces=True),
    Place("a flood", refuses=0.5, flood=8, body=24_000),
    Place("a second copy", answers_s=(0.4, 1.2), waits_s=(0.2, 1.2)),
    Place("answers nobody takes", refuses=0.5, flood=4, answer_bytes=200_000, receive_buffer=NARROW),
)


@dataclass
class Leaves:
    """What was seen at one place. Times are seconds of the loop."""

    wanted: int = 0
    left: dict[str, float] = field(default_factory=dict)  # by the request's id, when the leave had been sent
    beats: list[float] = field(default_factory=list)
    unanswered: int = 0
    are_complete: asyncio.Event = field(default_factory=asyncio.Event)  # once as many as wanted have left

    def note(self, ids: Iterable[str], at_s: float) -> None:
        """These requests have been left by now."""
        for id_ in ids:
            self.left.setdefault(id_, at_s)
        if len(self.left) >= self.wanted:
            self.are_complete.set()

    def count(self, standins: list[FakeServer], since: dict[str, int]) -> dict[str, Any]:
        """By the names of the report. `since`: how many attempts each server had seen before."""
        late: list[tuple[float, float]] = []  # after the leave: at the earliest, and as seen
        attempts = whole_over = 0
        for standin in standins:
            for seen in standin.seen[since[standin.name] :]:
                attempts += 1
                left = self.left.get(seen.id)
                if left is None:
                    continue
                if seen.first_byte_s > left:
                    late.append((self._earliest(seen.first_byte_s) - left, seen.first_byte_s - left))
                whole_over += seen.first_byte_s - left <= LIMIT_S < seen.last_byte_s - left
        return {
            "leaves": len(self.left),
            "attempts": attempts,
            "begun_after": len(late),
            "over": sum(earliest > LIMIT_S for earliest, _ in late),
            "unclear": sum(earliest <= LIMIT_S < seen for earliest, seen in late),
            "whole_over": whole_over,
            "unanswered": self.unanswered,
            "longest_ms": round(max((seen for _, seen in late), default=0.0) * 1000.0, 1),
        }

    def _earliest(self, at: float) -> float:
        """When this process looked the last time before."""
        place = bisect_left(self.beats, at)
        return self.beats[place - 1] if place else at


class Leaver:
    """A client that asks, waits a moment and leaves, again and again."""

    def __init__(self, port: int, place: Place, rng: random.Random, leaves: Leaves) -> None:
        self.port, self.place, self.rng, self.leaves = port, place, rng, leaves
        self._sock: socket.socket | None = None
        self._decoder = FrameDecoder()
        self._stream = 0
        self._open: dict[int, str] = {}

    async def run(self) -> None:
        """Until cancelled."""
        try:
            while True:
                with suppress(OSError):
                    await self._once()
        finally:
            self._end()

    async def _once(self) -> None:
        if self._sock is None or self._ended():
            await self._connect()
        frames = [self._request() for _ in range(max(self.place.flood, 1))]
        how = self.rng.choice((CLOSE, RESET, CANCEL, HALF_CLOSE))
        if self.place.flood and how == CANCEL:
            frames += self._cancels()
        await self._write(b"".join(frames))
        if self.place.flood and how == CANCEL:
            self._note()
        await asyncio.sleep(self.rng.uniform(*self.place.waits_s))
        if self._ended():
            self._end()
        elif how == CANCEL:
            await self._write(b"".join(self._cancels()))
            self._note()
        elif how == HALF_CLOSE:
            await self._half_close()
        else:
            self._end(reset=how == RESET)
            self._note()

    async def _half_close(self) -> None:
        """Sends nothing more, and waits for its answers."""
        assert self._sock is not None
        open_ = dict(self._open)
        self._sock.shutdown(socket.SHUT_WR)
        self._note()
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWERED_S):
                while data := await asyncio.get_running_loop().sock_recv(self._sock, 65_536):
                    for frame in self._decoder.feed(data):
                        if frame.type == Type.ANSWER:
                            open_.pop(frame.stream, None)
        self.leaves.unanswered += len(open_)
        self._end()

    async def _connect(self) -> None:
        self._end()
        self._sock = socket.socket()
        self._sock.setblocking(False)
        if self.place.receive_buffer:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.place.receive_buffer)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(self._sock, ("127.0.0.1", self.port))
        self._decoder, self._stream = FrameDecoder(), 0

    def _request(self) -> bytes:
        self._stream += 1
        id_ = f"{self.rng.getrandbits(64):016x}"
        self._open[self._stream] = id_
        fields = request_fields(self.place.cls, id_, 2500, f"{self.rng.randrange(200):016x}")
        if self.place.cls == WRITE:
            fields["k"] = id_ * 2
        return encode_frame(Type.REQUEST, self._stream, encode_fields(fields) + b"x" * self.place.body)

    def _cancels(self) -> list[bytes]:
        return [encode_frame(Type.GONE, stream) for stream in self._open]

    async def _write(self, data: bytes) -> None:
        assert self._sock is not None
        loop = asyncio.get_running_loop()
        while self.place.pieces and len(data) > 1:
            size = self.rng.randint(1, len(data))
            await loop.sock_sendall(self._sock, data[:size])
            data = data[size:]
            await asyncio.sleep(self.rng.uniform(0.0, 0.02))
        await loop.sock_sendall(self._sock, data)

    def _note(self) -> None:
        """All that is open has been left now."""
        self.leaves.note(self._open.values(), asyncio.get_running_loop().time())
        self._open.clear()

    def _ended(self) -> bool:
        """Takes what has come: what was answered is not left any more."""
        assert self._sock is not None
        try:
            while data := self._sock.recv(65_536):
                for frame in self._decoder.feed(data):
                    if frame.type == Type.ANSWER:
                        self._open.pop(frame.stream, None)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def _end(self, reset: bool = False) -> None:
        if self._sock is not None:
            if reset:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._sock.close()
            self._sock = None


class Fleet:
    """Caches, a parent and the origin, and a director in front of them."""

    def __init__(self, folder: Path, rng: random.Random) -> None:
        self.folder, self.rng = folder, rng
        self.place = PLACES[0]
        names = (*(f"cache-{n}" for n in range(CACHES)), "depot", "bank")
        self.standins = [FakeServer(name, self._answer) for name in names]
        self.addresses: dict[str, str] = {}
        self.board = FakeDiscovery()

    async def start(self, cancel: bool) -> Processes:
        """The director, once it serves. `cancel`: whether it may cancel attempts."""
        raw = example_config()
        raw["board"] = await self.board.start()
        raw["settings"]["limits"] |= {"cancel": cancel, "dial_timeout_ms": DIAL_MS}
        instances = []
        for standin in self.standins:
            address = self.addresses[standin.name] = await standin.listen(Family.V4, receive_buffer=NARROW)
            instances.append(list_entry(standin.name, address, 5, cell=0, startedAtMs=0))
        self.board.tell({"pool": {"generation": 1, "reset": True, "instances": instances}})
        raw["known"] = self.board.known()
        processes = Processes(self.folder, raw)
        await processes.start()
        await processes.serving()
        return processes

    async def _answer(self, _seen: Seen) -> Said:
        await asyncio.sleep(self.rng.uniform(*self.place.answers_s))
        if self.rng.random() < self.place.refuses:
            return self.rng.choice(("overload -", "not_here -")), b""
        return "served digest=d,dated=1,remark=h", b"\x00" + b"k" * self.place.answer_bytes

    async def trouble(self) -> None:
        """What the place has the servers do, all the while."""
        origin = self.standins[-1]
        while self.place.late_dials:
            await origin.set(self.addresses[origin.name], Fault.BLACK_HOLE)
            await asyncio.sleep(self.rng.uniform(0.5, 0.9))
            await origin.set(self.addresses[origin.name], Fault.NONE, drop=False)
            await asyncio.sleep(self.rng.uniform(0.4, 0.6))
        while self.place.pauses:
            halted = self.rng.sample(self.standins, 5)
            for standin in halted:
                standin.pause(self.addresses[standin.name])
            await asyncio.sleep(self.rng.uniform(0.15, 0.4))
            for standin in halted:
                standin.resume(self.addresses[standin.name])
            await asyncio.sleep(self.rng.uniform(0.1, 0.3))

    async def close(self) -> None:
        """Ends discovery and all servers."""
        await self.board.close()
        for standin in self.standins:
            await standin.close()


async def hold_up(process: asyncio.subprocess.Process, rng: random.Random) -> None:
    """Stops the director for a moment, again and again."""
    try:
        while True:
            await asyncio.sleep(rng.uniform(*STALL_APART_S))
            os.kill(process.pid, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(*STALL_S))
            os.kill(process.pid, signal.SIGCONT)
    finally:
        os.kill(process.pid, signal.SIGCONT)


async def beat(beats: list[float], standins: list[FakeServer]) -> None:
    """Looks for arrivals at all servers again and again, and notes when."""
    while True:
        for standin in standins:
            standin.look()
        beats.append(asyncio.get_running_loop().time())
        await asyncio.sleep(BEAT_S)


@asynccontextmanager
async def going(*tasks: Awaitable[None]) -> AsyncIterator[None]:
    """These tasks run meanwhile; one that failed raises at the end."""
    running = [asyncio.ensure_future(task) for task in tasks]
    try:
        yield
    finally:
        for task in running:
            task.cancel()
        for ended in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(ended, Exception):
                raise ended


async def play(
    place: Place, fleet: Fleet, director: Processes, most: int, told: Callable[[str], None]
) -> dict[str, Any]:
    """One place until it has been left so often."""
    rng, leaves = fleet.rng, Leaves(wanted=most)
    fleet.place = place
    since = {standin.name: len(standin.seen) for standin in fleet.standins}
    clients = [Leaver(director.port, place, rng, leaves) for _ in range(CLIENTS)]
    async with going(beat(leaves.beats, fleet.standins)):
        async with going(
            hold_up(director.all[0], rng), fleet.trouble(), *(client.run() for client in clients)
        ):
            await leaves.are_complete.wait()
        for standin in fleet.standins:
            standin.resume(fleet.addresses[standin.name])
            await standin.set(fleet.addresses[standin.name], Fault.NONE, drop=False)
        await asyncio.sleep(SETTLE_S)
    found = leaves.count(fleet.standins, since)
    told(f"{place.name}: {found}")
    return found


async def measure(quick: bool) -> dict[str, Any]:
    """All places, with cancels and without."""
    figures: dict[str, Any] = {}
    rng = random.Random(9)
    for cancel in (True, False):
        with tempfile.TemporaryDirectory(prefix="leaves") as folder:
            fleet = Fleet(Path(folder), rng)
            director = await fleet.start(cancel)
            try:
                for place in PLACES:
                    name = f"{place.name}, {'cancels' if cancel else 'no cancels'}"
                    figures[name] = await play(place, fleet, director, 40 if quick else 400, print)
            finally:
                await director.end()
                await fleet.close()
    return figures


def main() -> int:
    """The exit code."""
    places = uvloop.run(measure("--quick" in sys.argv[1:]))
    counted = ("leaves", "attempts", "begun_after", "over", "unclear", "whole_over", "unanswered")
    total = {key: sum(found[key] for found in places.values()) for key in counted}
    longest = max(found["longest_ms"] for found in places.values())
    broken = [
        f"{name}: {found[key]} {key}"
        for name, found in places.items()
        for key in ("over", "unclear", "unanswered")
        if found[key]
    ]
    return conclude({**total, "longest_ms": longest, "places": places}, broken)


if __name__ == "__main__":
    sys.exit(main())
