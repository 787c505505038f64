"""Answers to clients that read slowly, whatever ends their connections.

The answers are written at once and wait in the system's buffers. The client goes on using its connection until
it has read that it is to leave (type 48), which waits behind the answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import struct
from enum import Enum, auto

import pytest
from harness import (
    REFUSED_ADDRESS,
    Command,
    ScriptedCache,
    async_test,
    config,
    hit,
    running_director,
    wait_until,
)
from raw_client import RawClient, encode_request, wait_for_server_connection

from gladelane import shutdown
from gladelane.admin.drain import DRAINED_MS
from gladelane.net.client_protocol import FrameDecoder, FrameType
from gladelane.net.delivery import STALLED_MS
from gladelane.net.exchange import AnswerCode
from gladelane.server import Server

PART_BYTES, PARTS = 240_000, 8
READ_BYTES_PER_S = 1_000_000.0
RECEIVE_BUFFER_BYTES = 65_536
READ_INTERVAL_S = 0.02
USE_INTERVAL_S = 0.1  # between two requests of a client that uses its connection
CANCEL_AFTER_S = 1.2
TAKE_BACK_AFTER_S = 0.5
CANCELLED_STREAM = PARTS


class Reason(Enum):
    """Why the director ends the connection."""

    DRAIN = auto()
    DRAIN_TAKEN_BACK = auto()
    DRAIN_BEFORE_A_CANCELLATION = auto()
    LAG_BEHIND_THE_FLEET = auto()
    SHUTDOWN_BEFORE_A_CANCELLATION = auto()
    UPGRADE = auto()
    UPGRADE_BEFORE_A_CANCELLATION = auto()
    INVALID_FRAME = auto()

    @property
    def is_before_a_cancellation(self) -> bool:
        return self.name.endswith("CANCELLATION")

    @property
    def lets_client_send(self) -> bool:
        """Whether the client goes on sending requests until it reads that it is to leave."""
        return self not in (Reason.SHUTDOWN_BEFORE_A_CANCELLATION, Reason.INVALID_FRAME)


def serve(command: Command) -> tuple[str, bytes] | None:
    if command[1]["nth"] == "7":
        return "served digest=aa,dated=1,remark=h", b"x" * PART_BYTES
    return hit(command)


class SlowClient:
    """A client that reads at a limited rate. `codes` has the answers by stream."""

    def __init__(self, node: Server, read_bytes_per_s: float = READ_BYTES_PER_S) -> None:
        self.raw = RawClient(node, RECEIVE_BUFFER_BYTES)
        self.codes: dict[int, list[AnswerCode]] = {}
        self.sent: set[int] = set()
        self.was_asked_to_leave = False
        self.end = ""
        self._read_bytes_per_s = read_bytes_per_s
        self._decoder = FrameDecoder()
        self._task = asyncio.create_task(self._read())

    def ask(self, stream: int, **fields: str) -> None:
        self.sent.add(stream)
        with contextlib.suppress(ConnectionError):
            self.raw.send(encode_request(stream, o=f"{stream:016x}", **fields))

    def cancel(self, stream: int) -> None:
        self.sent.discard(stream)
        with contextlib.suppress(ConnectionError):
            self.raw.send(struct.pack(">IBI", 5, FrameType.GONE, stream))

    async def use_until_asked_to_leave(self) -> None:
        stream = PARTS
        while not self.was_asked_to_leave and not self.end:
            stream += 1
            self.ask(stream, d="3000")
            await asyncio.sleep(USE_INTERVAL_S)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await loop.sock_recv(self.raw.sock, int(self._read_bytes_per_s * READ_INTERVAL_S)):
                for frame in self._decoder.feed(data):
                    if frame.type == FrameType.ANSWER:
                        self.codes.setdefault(frame.stream, []).append(AnswerCode(frame.payload[0]))
                    elif frame.type == FrameType.NO_MORE:
                        self.was_asked_to_leave = True
                await asyncio.sleep(len(data) / self._read_bytes_per_s)
            self.end = "end of file"
        except ConnectionError:
            self.end = "reset"

    def unanswered(self) -> set[int]:
        return {stream for stream in self.sent if len(self.codes.get(stream, [])) != 1}

    async def stop(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.raw.sock.close()


async def ask_for_parts(node: Server, client: SlowClient, cache: ScriptedCache) -> None:
    """Asks for large answers and waits until the director has written them."""
    node.director.router.stores["c0"].concurrency.limit = 64.0
    conn = await wait_for_server_connection(node, client.raw)
    for stream in range(1, PARTS + 1):
        client.ask(stream, chunk="7", m="1", d="6000")
    await wait_until(lambda: len(cache.received) == PARTS and not conn.open and not conn.unsent_bytes())


async def end_process(node: Server, has_peer: bool) -> None:
    await shutdown.drain(node.director, node.client_listener, has_peer)
    await node.client_listener.close()


async def end_connection(node: Server, client: SlowClient, reason: Reason) -> None:
    """Gives the reason for the end, and returns once the client has done its part."""
    listener, tasks = node.client_listener, list[asyncio.Task[None]]()
    match reason:
        case Reason.LAG_BEHIND_THE_FLEET:
            listener.drain.mark_lagging(node.clock.now())
            listener.send_goaway_to_all()
        case Reason.SHUTDOWN_BEFORE_A_CANCELLATION | Reason.UPGRADE | Reason.UPGRADE_BEFORE_A_CANCELLATION:
            has_peer = reason is not Reason.SHUTDOWN_BEFORE_A_CANCELLATION
            tasks.append(asyncio.create_task(end_process(node, has_peer)))
        case Reason.INVALID_FRAME:
            client.raw.send(struct.pack(">I", 3))
        case _:
            listener.drain.request_drain(node.clock.now())
            listener.send_goaway_to_all()
    if reason.lets_client_send:
        tasks.append(asyncio.create_task(client.use_until_asked_to_leave()))
    if reason is Reason.DRAIN_TAKEN_BACK:
        await asyncio.sleep(TAKE_BACK_AFTER_S)
        listener.drain.cancel_request()
    if reason.is_before_a_cancellation or reason is Reason.INVALID_FRAME:
        await asyncio.sleep(CANCEL_AFTER_S)
        client.cancel(CANCELLED_STREAM)
    await asyncio.gather(*tasks)


@pytest.mark.parametrize("reason", list(Reason))
def test_no_answer_to_a_slow_reader_is_destroyed_by_the_end_of_its_connection(reason: Reason) -> None:
    """A drain used to reset the connection while answers were unacknowledged, and so did each other end."""

    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(serve)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            client = SlowClient(node)
            await ask_for_parts(node, client, cache)
            started_ms = node.clock.now()
            await end_connection(node, client, reason)
            await wait_until(lambda: client.end, wait=2.0 * DRAINED_MS / 1000.0)
            assert (client.unanswered(), client.end) == (set(), "end of file")
            served = [stream for stream, codes in client.codes.items() if codes == [AnswerCode.SERVED]]
            assert set(range(1, PARTS)) <= set(served)
            assert node.clock.now() - started_ms < DRAINED_MS
            await client.stop()

    scenario()


def test_a_connection_whose_client_still_reads_does_not_count_as_idle() -> None:
    """The idle time used to count from when the system had taken the answers."""

    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(serve)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            client = SlowClient(node, read_bytes_per_s=300_000.0)
            await ask_for_parts(node, client, cache)
            await asyncio.sleep(5.2)  # it reads for 6.4 s
            client.ask(PARTS + 1)
            await wait_until(lambda: client.end or not client.unanswered())
            assert (client.unanswered(), client.end) == (set(), "")
            await client.stop()

    scenario()


@async_test
async def test_a_client_that_pauses_for_long_gets_the_answers_that_the_system_holds() -> None:
    """A client that reads nothing for STALLED_MS loses its connection, but no answer that was on its way."""
    cache = ScriptedCache(serve)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
        raw = RawClient(node, RECEIVE_BUFFER_BYTES)
        conn = await wait_for_server_connection(node, raw)
        for stream in range(1, 5):
            raw.send(encode_request(stream, chunk="7", m="1", d="6000", o=f"{stream:016x}"))
        await wait_until(lambda: len(cache.received) == 4 and not conn.open and not conn.unsent_bytes())
        now = node.clock.now()
        conn.sweep(now)
        conn.sweep(now + STALLED_MS + 1.0)
        await wait_until(lambda: conn not in node.client_listener.connections)
        frames, end = await raw.receive_until_end()
        served = [stream for type_, stream, payload in frames if len(payload) > PART_BYTES]
        assert (sorted(served), end) == ([1, 2, 3, 4], "end of file")
        raw.sock.close()
