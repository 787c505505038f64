"""Requests on a stream that was used before fail on that stream, and change nothing for the request before them."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from harness import (
    REFUSED_ADDRESS,
    Client,
    Command,
    ScriptedCache,
    async_test,
    config,
    hit,
    never_respond,
    running_director,
    wait_until,
)
from raw_client import CLIENT_GONE_FRAME, RawClient, encode_request

from gladelane.net.client_protocol import FrameType
from gladelane.net.client_requests import MAX_OPEN_REQUESTS
from gladelane.net.exchange import AnswerCode
from gladelane.server import Server

SERVED = (FrameType.ANSWER, 1, AnswerCode.SERVED)
FAILED = (FrameType.ANSWER, 1, AnswerCode.FAILED)
SHORT_MS = "300"  # how long the client of a cache that never responds waits


@asynccontextmanager
async def director_with(cache: ScriptedCache) -> AsyncIterator[tuple[Server, Client]]:
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as running:
        yield running


@async_test
async def test_a_request_on_the_stream_of_an_answered_one_fails_on_its_own_stream() -> None:
    """Guards against a request that gets only an error on stream 0, which belongs to no request."""
    cache = ScriptedCache(hit)
    async with director_with(cache) as (_, client):
        for expected in (SERVED, FAILED, FAILED):
            client.ask(1)
            assert (await client.next())[:3] == expected
        client.ask(2)
        assert (await client.next())[:3] == (FrameType.ANSWER, 2, AnswerCode.SERVED)
        assert len(cache.received) == 2


@async_test
async def test_a_request_on_the_stream_of_a_cancelled_one_fails_on_its_own_stream() -> None:
    """Guards against silence on a stream whose earlier request the client has given up."""
    cache = ScriptedCache(never_respond)
    async with director_with(cache) as (_, client):
        client.ask(1)
        await wait_until(lambda: cache.received)
        client.send(FrameType.GONE, 1)
        client.ask(1)
        assert (await client.next())[:3] == FAILED
        assert await client.receives_nothing()


@async_test
async def test_a_request_on_the_stream_of_an_open_one_fails_after_the_open_one_was_answered() -> None:
    """Guards against an error that the client takes for the answer of its first request, and against silence."""
    cache = ScriptedCache(never_respond)
    async with director_with(cache) as (_, client):
        client.ask(1, d=SHORT_MS)
        await wait_until(lambda: cache.received)
        client.ask(1)
        client.ask(1)
        client.ask(2, c="song")
        assert (await client.next())[:3] == (FrameType.ANSWER, 2, AnswerCode.FAILED)
        assert [(await client.next())[1] for _ in range(3)] == [1, 1, 1]
        assert await client.receives_nothing()
        assert len({id_ for id_, _, _ in cache.received}) == 1


@async_test
async def test_the_cancellation_of_a_stream_also_ends_the_requests_that_reused_it() -> None:
    """Guards against an answer on a stream for which nobody waits any more."""
    cache = ScriptedCache(never_respond)
    async with director_with(cache) as (_, client):
        client.ask(1, d=SHORT_MS)
        await wait_until(lambda: cache.received)
        client.ask(1)
        client.send(FrameType.GONE, 1)
        assert await client.receives_nothing(2 * int(SHORT_MS) / 1000.0)


@async_test
async def test_too_many_requests_on_an_open_stream_close_the_connection_after_the_open_answer() -> None:
    """The requests that wait behind an open one count against the limit of open requests."""
    cache = ScriptedCache(never_respond)
    async with director_with(cache) as (_, client):
        client.ask(1, d=SHORT_MS)
        await wait_until(lambda: cache.received)
        for _ in range(MAX_OPEN_REQUESTS):
            client.ask(1)
        received = [(await client.next())[1:3] for _ in range(MAX_OPEN_REQUESTS + 1)]
        assert received[0] == (0, AnswerCode.FAILED)
        assert received[1][0] == 1
        assert received[2:] == [(1, AnswerCode.FAILED)] * (MAX_OPEN_REQUESTS - 1)
        with pytest.raises(EOFError):
            await client.next()


@async_test
async def test_reused_streams_are_answered_to_a_client_that_has_shut_down_its_sending_side() -> None:
    """Such a client may still read, so that its open requests and those that reused their streams are answered."""
    cache = ScriptedCache(never_respond)
    async with director_with(cache) as (node, _):
        raw = RawClient(node)
        raw.send(encode_request(1) + encode_request(2))
        await wait_until(lambda: len(cache.received) == 2)
        raw.send(encode_request(1) + encode_request(2) + CLIENT_GONE_FRAME)
        raw.sock.shutdown(1)
        frames, end = await raw.receive_until_end()
        assert ([(stream, payload[0]) for _, stream, payload in frames], end) == (
            [(2, AnswerCode.FAILED), (2, AnswerCode.FAILED)],
            "end of file",
        )
        raw.sock.close()


@pytest.mark.parametrize("seed", range(4))
def test_each_request_of_any_mix_of_new_and_reused_streams_gets_one_answer_on_its_stream(seed: int) -> None:
    """Guards against a request without an answer, or with two, where numbers are used at random."""
    rng = random.Random(seed)

    def respond_sometimes(command: Command) -> tuple[str, bytes] | None:
        return hit(command) if rng.random() < 0.9 else None

    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(respond_sometimes)
        async with director_with(cache) as (_, client):
            asked, received = Counter[int](), Counter[int]()
            for number in range(600):
                stream = rng.randrange(1, number + 2)
                asked[stream] += 1
                client.ask(stream, d=SHORT_MS, i=f"{number:016x}")
                while asked.total() - received.total() >= MAX_OPEN_REQUESTS:
                    received[(await client.next())[1]] += 1
            while received.total() < asked.total():
                received[(await client.next())[1]] += 1
            assert received == asked
            assert await client.receives_nothing()

    scenario()
