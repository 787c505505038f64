"""A keyed request whose first try left one process and whose retry reaches the other: the retry counts from
the first try's window, whichever of the two came first and however the first one ended."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

import pytest
from channel_handler import RecordingHandler
from harness import CLASSES, Cache, Client, Command, config, hit, trial, until

from gladelane.hot_restart.channel import MAX_UNSENT_BYTES, Channel, Peer
from gladelane.hot_restart.messages import MAY_HAVE_RUN, NEVER_RAN, Message
from gladelane.lab.processes import START_S, Processes

WINDOW_S = CLASSES[1]["window_ms"] / 1000.0
KEY = "5eed" * 8
#: a client leaves a connection that had no request for 4 s, by the protocol; the director closes one after
#: 4.2 s
REST_S = 3.5


class Origin(Cache):
    """Takes writes and never answers them, or turns them away before they run; all else is a hit."""

    def __init__(self, write: str = "") -> None:
        super().__init__(self._answer)
        self.write = write
        self.tries: list[float] = []  # of KEY, s

    def _answer(self, command: Command) -> tuple[str, bytes] | None:
        if "replay" not in command[1]:
            return hit(command)
        self.tries.append(time.monotonic())
        return (self.write, b"") if self.write else None


class Connection(NamedTuple):
    """used_s: when its latest request was sent, not later."""

    client: Client
    used_s: float


class Upgrade:
    """Two processes, and a connection of a client to each."""

    def __init__(self, origin: Origin, director: Processes) -> None:
        self.origin, self.director = origin, director
        self.clients: dict[int, Connection] = {}  # by process
        self._asked = 0

    async def connect(self, number: int) -> None:
        """All accept from one queue: the others stand still until the process of that number has a client."""
        others = [
            process
            for n, process in enumerate(self.director.all)
            if n != number and process.returncode is None
        ]
        for process in others:
            process.send_signal(signal.SIGSTOP)
        try:
            client, code = await Client.to(self.director.port), 1
            while code:  # until it is served: a process that is behind refuses
                used_s = time.monotonic()
                self._ask(client, c="film")
                code = (await client.next(START_S))[2]
        finally:
            for process in others:
                process.send_signal(signal.SIGCONT)
        self.clients[number] = Connection(client, used_s)

    async def _connection(self, number: int) -> Client:
        """To that process, and not rested for so long that a request could meet its close: starts of
        processes and waits for windows take what the machine needs."""
        if time.monotonic() - self.clients[number].used_s > REST_S:
            self.clients[number].client.writer.close()
            await self.connect(number)
        client = self.clients[number].client
        self.clients[number] = Connection(client, time.monotonic())
        return client

    def _ask(self, client: Client, **fields: str) -> None:
        self._asked += 1
        client.ask(self._asked, i=f"{self._asked:016x}", o=f"{self._asked:016x}", m="1", **fields)

    async def write(self, number: int, wait_ms: int = 900) -> int:
        """The answer's code to one write under KEY."""
        client = await self._connection(number)
        self._ask(client, c="sheet", k=KEY, d=str(wait_ms))
        while (frame := await client.next())[0] != 17:
            pass
        return frame[2]

    async def first_try(self, number: int, wait_ms: int = 900) -> float:
        """When it had arrived at the origin. A request that a slow machine refuses is asked again."""
        while not self.origin.tries:
            await self.write(number, wait_ms)
        return self.origin.tries[0]


@asynccontextmanager
async def upgrade(origin: Origin, processes: int = 2, has_parent: bool = True) -> AsyncIterator[Upgrade]:
    """`has_parent`: a server is listed that refuses all connections, and so counts as down once it was
    tried."""
    with tempfile.TemporaryDirectory() as folder:
        servers = {"c0": await Cache(hit).start(), "r0": await origin.start()}
        if has_parent:
            servers["p0"] = "127.0.0.1:1"
        director = Processes(Path(folder), json.loads(config(servers)))
        made = Upgrade(origin, director)
        try:
            async with asyncio.timeout(processes * 2 * START_S):
                for number in range(processes):
                    await director.start()
                    await director.serving()
                    await made.connect(number)
                yield made
        finally:
            await director.end()


async def past_window(first: float) -> None:
    await asyncio.sleep(max(first + WINDOW_S + 0.1 - time.monotonic(), 0.0))


@pytest.mark.parametrize("how", ["both run", "the first leaves", "the first is killed"])
@pytest.mark.parametrize(("first", "then"), [(0, 1), (1, 0)])
def test_a_key_is_not_tried_past_the_window_of_its_first_try_at_the_other(
    first: int, then: int, how: str
) -> None:
    @trial
    async def test() -> None:
        origin = Origin()
        async with upgrade(origin) as made:
            tried = await made.first_try(first)
            number = {"the first leaves": signal.SIGTERM, "the first is killed": signal.SIGKILL}.get(how)
            if number is not None:
                made.director.all[first].send_signal(number)
                await made.director.all[first].wait()
            await past_window(tried)
            arrived = len(origin.tries)
            assert await made.write(then) in (1, 2)
            assert len(origin.tries) == arrived, made.director.log(then)

    test()


@trial
async def test_a_repeat_within_the_window_goes_out_and_counts_from_the_first() -> None:
    origin = Origin()
    async with upgrade(origin) as made:
        tried = await made.first_try(0, 300)
        arrived = len(origin.tries)
        while len(origin.tries) == arrived and time.monotonic() - tried < WINDOW_S / 2:
            await made.write(1, 300)
        await past_window(tried)
        arrived = len(origin.tries)
        assert await made.write(1) in (1, 2) and await made.write(0) in (1, 2)
        assert len(origin.tries) == arrived


@trial
async def test_a_first_try_is_known_two_upgrades_on() -> None:
    origin = Origin()
    async with upgrade(origin, 3) as made:
        await past_window(await made.first_try(0))
        arrived = len(origin.tries)
        assert await made.write(2) in (1, 2) and len(origin.tries) == arrived


# --- the channel alone


@asynccontextmanager
async def two_channels(heard: list[Message]) -> AsyncIterator[tuple[Channel, Channel]]:
    """An old process's and a new one's; `heard` is what the new one was told."""
    with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as given:
        old = Channel(folder, "n0", RecordingHandler(listener=given))
        new = Channel(folder, "n0", RecordingHandler(heard))
        old.listen()
        loop = asyncio.get_running_loop()
        # it blocks, as a new process may, while the old one answers from this loop
        add, met = new._add_peer, list[Peer]()
        new._add_peer = met.append  # type: ignore[method-assign]
        listener = await loop.run_in_executor(None, new.connect)
        assert listener is not None
        listener.close()
        add(met[0])
        try:
            yield old, new
        finally:
            old.close()
            new.close()


def keyed(number: int, operation: str = MAY_HAVE_RUN) -> Message:
    return Message("order", operation=operation, store="r0", key=f"{number:032x}", at_ms=float(number))


@trial
async def test_what_a_peer_has_not_read_yet_waits_for_it_in_order() -> None:
    heard: list[Message] = []
    async with two_channels(heard) as (old, _):
        sent = [keyed(n) for n in range(3000)]  # more than the system holds for a peer
        for message in sent:
            old.broadcast(message)
        await until(lambda: len(heard) == len(sent))
        assert heard == sent and old.peer_count == 1


@trial
async def test_a_peer_that_reads_nothing_for_long_is_left_and_still_has_what_it_was_sent() -> None:
    heard: list[Message] = []
    async with two_channels(heard) as (old, new):
        number = 0
        while old.peer_count and number * 100 < 2 * MAX_UNSENT_BYTES:  # a message has over 100 bytes
            old.broadcast(keyed(number))
            number += 1
        assert old.peer_count == 0
        await until(lambda: new.peer_count == 0)
        assert heard and heard == [keyed(n) for n in range(len(heard))]


@trial
async def test_what_was_sent_before_the_end_is_heard_also_by_who_writes_first() -> None:
    heard: list[Message] = []
    async with two_channels(heard) as (old, new):
        old.broadcast(keyed(1))
        old.broadcast(keyed(1, NEVER_RAN))
        old.close()
        new.broadcast(keyed(2))  # into a socket that has ended
        await until(lambda: new.peer_count == 0)
        assert heard == [keyed(1), keyed(1, NEVER_RAN)]


@trial
async def test_a_process_of_an_older_version_hears_of_orders_alone() -> None:
    heard: list[Message] = []
    async with two_channels(heard) as (old, _):
        for peer in old._peers:
            peer.reads_key_updates = False  # as its hello says that has no such word
        order = Message("order", operation="maint", store="c0")
        old.broadcast(keyed(1))
        old.broadcast(order)
        await until(lambda: heard)
        assert heard == [order]
