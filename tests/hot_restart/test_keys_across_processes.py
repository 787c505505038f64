"""A keyed request whose first attempt is sent by one process and whose retry reaches the other process.

The window of the first attempt applies to the retry, whichever process sent it and however that process
ended.
"""

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
from harness import CLASSES, Client, Command, ScriptedCache, async_test, config, hit, wait_until

from gladelane.hot_restart.channel import MAX_UNSENT_BYTES, Channel, Peer
from gladelane.hot_restart.messages import MAY_HAVE_RUN, NEVER_RAN, Message
from gladelane.lab.processes import START_S, Processes

WINDOW_S = CLASSES[1]["window_ms"] / 1000.0
KEY = "5eed" * 8
#: By the protocol, a client closes a connection after 4 s without a request, and the director after 4.2 s.
MAX_IDLE_S = 3.5


class Origin(ScriptedCache):
    """An origin that does not answer writes, or answers them with `write_answer`. Other requests are hits."""

    def __init__(self, write_answer: str = "") -> None:
        super().__init__(self._answer)
        self.write_answer = write_answer
        self.attempt_times_s: list[float] = []  # of KEY

    def _answer(self, command: Command) -> tuple[str, bytes] | None:
        if "replay" not in command[1]:
            return hit(command)
        self.attempt_times_s.append(time.monotonic())
        return (self.write_answer, b"") if self.write_answer else None


class Connection(NamedTuple):
    """A client and the time of its latest request, or slightly earlier."""

    client: Client
    used_s: float


class Upgrade:
    """The processes of one director, and a client connection to each of them."""

    def __init__(self, origin: Origin, director: Processes) -> None:
        self.origin, self.director = origin, director
        self.clients: dict[int, Connection] = {}  # by number of the process
        self._request_count = 0

    async def connect(self, number: int) -> None:
        """Connects a client to the process `number`. All processes accept from one queue, so the others are
        stopped meanwhile."""
        others = [
            process
            for other_number, process in enumerate(self.director.all)
            if other_number != number and process.returncode is None
        ]
        for process in others:
            process.send_signal(signal.SIGSTOP)
        try:
            client, code = await Client.connect(self.director.port), 1
            while code:  # a process whose event loop is late refuses requests
                used_s = time.monotonic()
                self._ask(client, c="film")
                code = (await client.next(START_S))[2]
        finally:
            for process in others:
                process.send_signal(signal.SIGCONT)
        self.clients[number] = Connection(client, used_s)

    async def _connection(self, number: int) -> Client:
        """Returns a connection to the process `number`. One that was idle for too long is replaced, because
        the process may be about to close it: on a busy machine, starts and waits take long."""
        if time.monotonic() - self.clients[number].used_s > MAX_IDLE_S:
            self.clients[number].client.writer.close()
            await self.connect(number)
        client = self.clients[number].client
        self.clients[number] = Connection(client, time.monotonic())
        return client

    def _ask(self, client: Client, **fields: str) -> None:
        self._request_count += 1
        client.ask(
            self._request_count,
            i=f"{self._request_count:016x}",
            o=f"{self._request_count:016x}",
            m="1",
            **fields,
        )

    async def write(self, number: int, wait_ms: int = 900) -> int:
        """Sends one write under KEY and returns the code of the answer."""
        client = await self._connection(number)
        self._ask(client, c="sheet", k=KEY, d=str(wait_ms))
        while (frame := await client.next())[0] != 17:
            pass
        return frame[2]

    async def send_first_attempt(self, number: int, wait_ms: int = 900) -> float:
        """Repeats a write until it reaches the origin, and returns the time of the first attempt there. A
        slow machine may refuse the earlier writes."""
        while not self.origin.attempt_times_s:
            await self.write(number, wait_ms)
        return self.origin.attempt_times_s[0]


@asynccontextmanager
async def upgrade(origin: Origin, processes: int = 2, has_parent: bool = True) -> AsyncIterator[Upgrade]:
    """Starts `processes` processes of one director in turn, and connects a client to each.

    With `has_parent` the endpoint list has a server that refuses all connections, and so counts as down once
    it was tried.
    """
    with tempfile.TemporaryDirectory() as folder:
        servers = {"c0": await ScriptedCache(hit).start(), "r0": await origin.start()}
        if has_parent:
            servers["p0"] = "127.0.0.1:1"
        director = Processes(Path(folder), json.loads(config(servers)))
        upgraded = Upgrade(origin, director)
        try:
            async with asyncio.timeout(processes * 2 * START_S):
                for number in range(processes):
                    await director.start()
                    await director.serving()
                    await upgraded.connect(number)
                yield upgraded
        finally:
            await director.end()


async def wait_past_window(first_attempt_s: float) -> None:
    await asyncio.sleep(max(first_attempt_s + WINDOW_S + 0.1 - time.monotonic(), 0.0))


@pytest.mark.parametrize("end", ["both run", "the first exits", "the first is killed"])
@pytest.mark.parametrize(("first_process", "retry_process"), [(0, 1), (1, 0)])
def test_no_retry_is_sent_past_the_window_of_a_first_attempt_at_the_other_process(
    first_process: int, retry_process: int, end: str
) -> None:
    @async_test
    async def test() -> None:
        origin = Origin()
        async with upgrade(origin) as processes:
            first_attempt_s = await processes.send_first_attempt(first_process)
            signal_number = {"the first exits": signal.SIGTERM, "the first is killed": signal.SIGKILL}.get(
                end
            )
            if signal_number is not None:
                processes.director.all[first_process].send_signal(signal_number)
                await processes.director.all[first_process].wait()
            await wait_past_window(first_attempt_s)
            attempt_count = len(origin.attempt_times_s)
            assert await processes.write(retry_process) in (1, 2)
            assert len(origin.attempt_times_s) == attempt_count, processes.director.log(retry_process)

    test()


@async_test
async def test_a_retry_within_the_window_is_sent_and_does_not_extend_the_window() -> None:
    origin = Origin()
    async with upgrade(origin) as processes:
        first_attempt_s = await processes.send_first_attempt(0, 300)
        attempt_count = len(origin.attempt_times_s)
        while (
            len(origin.attempt_times_s) == attempt_count and time.monotonic() - first_attempt_s < WINDOW_S / 2
        ):
            await processes.write(1, 300)
        await wait_past_window(first_attempt_s)
        attempt_count = len(origin.attempt_times_s)
        assert await processes.write(1) in (1, 2) and await processes.write(0) in (1, 2)
        assert len(origin.attempt_times_s) == attempt_count


@async_test
async def test_a_first_attempt_is_known_after_two_upgrades() -> None:
    origin = Origin()
    async with upgrade(origin, 3) as processes:
        await wait_past_window(await processes.send_first_attempt(0))
        attempt_count = len(origin.attempt_times_s)
        assert await processes.write(2) in (1, 2) and len(origin.attempt_times_s) == attempt_count


# --- the channel alone


@asynccontextmanager
async def two_channels(received: list[Message]) -> AsyncIterator[tuple[Channel, Channel]]:
    """Connects the channels of an old and a new process; `received` collects the messages of the new one."""
    with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as listening_socket:
        old = Channel(folder, "n0", RecordingHandler(listener=listening_socket))
        new = Channel(folder, "n0", RecordingHandler(received))
        old.listen()
        loop = asyncio.get_running_loop()
        # `connect` blocks, so it runs in a thread while the old process answers from this loop
        add_peer, new_peers = new._add_peer, list[Peer]()
        new._add_peer = new_peers.append  # type: ignore[method-assign]
        listener = await loop.run_in_executor(None, new.connect)
        assert listener is not None
        listener.close()
        add_peer(new_peers[0])
        try:
            yield old, new
        finally:
            old.close()
            new.close()


def key_update(number: int, operation: str = MAY_HAVE_RUN) -> Message:
    return Message("order", operation=operation, store="r0", key=f"{number:032x}", at_ms=float(number))


@async_test
async def test_messages_that_a_peer_has_not_read_yet_arrive_in_order() -> None:
    received: list[Message] = []
    async with two_channels(received) as (old, _):
        sent = [key_update(number) for number in range(3000)]  # more than the kernel buffers
        for message in sent:
            old.broadcast(message)
        await wait_until(lambda: len(received) == len(sent))
        assert received == sent and old.peer_count == 1


@async_test
async def test_an_update_that_cannot_be_applied_holds_back_none_behind_it() -> None:
    received: list[Message] = []
    async with two_channels(received) as (old, new):
        receive = new._handler.on_message

        def receive_with_error(message: Message) -> None:
            receive(message)
            if len(received) == 2:
                raise RuntimeError("planted")

        new._handler.on_message = receive_with_error  # type: ignore[method-assign]
        for number in range(4):
            old.broadcast(key_update(number))
        await wait_until(lambda: len(received) == 4)
        assert new.peer_count == 1


@async_test
async def test_a_peer_that_reads_nothing_is_disconnected_but_receives_earlier_messages() -> None:
    received: list[Message] = []
    async with two_channels(received) as (old, new):
        number = 0
        while old.peer_count and number * 100 < 2 * MAX_UNSENT_BYTES:  # a message is longer than 100 bytes
            old.broadcast(key_update(number))
            number += 1
        assert old.peer_count == 0
        await wait_until(lambda: new.peer_count == 0)
        assert received and received == [key_update(number) for number in range(len(received))]


@async_test
async def test_messages_sent_before_a_close_are_received_even_after_a_failed_write() -> None:
    received: list[Message] = []
    async with two_channels(received) as (old, new):
        old.broadcast(key_update(1))
        old.broadcast(key_update(1, NEVER_RAN))
        old.close()
        new.broadcast(key_update(2))  # the peer has closed the socket
        await wait_until(lambda: new.peer_count == 0)
        assert received == [key_update(1), key_update(1, NEVER_RAN)]


@async_test
async def test_a_process_of_an_older_version_receives_no_key_updates() -> None:
    received: list[Message] = []
    async with two_channels(received) as (old, _):
        for peer in old._peers:
            peer.reads_key_updates = False  # as after a HELLO of an older version
        request = Message("order", operation="maint", store="c0")
        old.broadcast(key_update(1))
        old.broadcast(request)
        await wait_until(lambda: received)
        assert received == [request]
