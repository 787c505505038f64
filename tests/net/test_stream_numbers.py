"""Stream numbers of client connections: each request is answered, whatever numbers and frames the client uses."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from harness import REFUSED_ADDRESS, Client, ScriptedCache, async_test, config, hit, running_director
from hypothesis import given
from hypothesis import strategies as st

from gladelane.net import stream_numbers
from gladelane.net.client_protocol import FrameType, encode_fields
from gladelane.net.exchange import AnswerCode
from gladelane.net.stream_numbers import MAX_RANGES, StreamNumbers

MAX_OPEN = 32  # requests of one connection, by the protocol
HIGHEST_STREAM = 2**32 - 1

streams = (
    st.integers(1, 200) | st.integers(HIGHEST_STREAM - 100, HIGHEST_STREAM) | st.integers(1, HIGHEST_STREAM)
)


@given(st.lists(streams, max_size=300))
def test_numbers_are_remembered_exactly_while_their_ranges_are_few(sequence: list[int]) -> None:
    numbers, used = StreamNumbers(), set[int]()
    for stream in sequence:
        assert numbers.use(stream) is (stream not in used)
        used.add(stream)
        assert numbers.range_count() == sum(number - 1 not in used for number in used)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("step", [1, 2, 3, 1000, -1, -2])
def test_a_new_number_is_never_taken_for_a_used_one_and_memory_is_bounded(seed: int, step: int) -> None:
    """Guards against numbers that count as used because a bound was reached: gaps of any size, and reordering."""
    rng = random.Random(seed)
    first = 1 if step > 0 else HIGHEST_STREAM
    in_order = [first + step * index for index in range(8 * MAX_RANGES)]
    order = sorted(range(len(in_order)), key=lambda index: index + rng.randrange(4 * MAX_OPEN))
    numbers = StreamNumbers()
    for index in order:
        assert numbers.use(in_order[index])
        assert not numbers.use(in_order[index])
        assert numbers.range_count() <= MAX_RANGES


def test_a_client_that_counts_up_by_one_needs_one_range() -> None:
    numbers = StreamNumbers()
    assert all(numbers.use(stream) for stream in range(1, 100_000))
    assert numbers.range_count() == 1
    assert not any(numbers.use(stream) for stream in range(1, 100_000))


@pytest.mark.parametrize("bound", [1, 2, 3])
@given(sequence=st.lists(st.integers(1, 30), max_size=60))
def test_no_new_number_is_refused_at_the_smallest_bounds(bound: int, sequence: list[int]) -> None:
    """The same as above, at the ends of the remembered ranges."""
    original, stream_numbers.MAX_RANGES = stream_numbers.MAX_RANGES, bound
    try:
        numbers, used = StreamNumbers(), set[int]()
        for stream in sequence:
            assert numbers.use(stream) or stream in used
            used.add(stream)
            assert numbers.range_count() <= bound
    finally:
        stream_numbers.MAX_RANGES = original


async def exchange_frames(
    client: Client, frames: list[tuple[FrameType, int]]
) -> Counter[tuple[int, int, int]]:
    """Sends frames, at most MAX_OPEN unanswered, and counts the answers by type, stream and code."""
    received: Counter[tuple[int, int, int]] = Counter()
    for sent, (type_, stream) in enumerate(frames):
        if type_ is FrameType.REQUEST:
            client.ask(stream)
        else:
            client.send(type_, stream, encode_fields({}))
        while sent + 1 - received.total() >= MAX_OPEN:
            received[(await client.next())[:3]] += 1
    while received.total() < len(frames):
        received[(await client.next())[:3]] += 1
    return received


@async_test
async def test_requests_are_answered_after_a_question_took_the_first_number() -> None:
    """The fault: one number that no request uses, and the connection answered no request after its 1,024th."""
    cache = ScriptedCache(hit)
    frames = [(FrameType.ASK_READY, 1), *((FrameType.REQUEST, stream) for stream in range(2, 1_302))]
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (_, client):
        received = await exchange_frames(client, frames)
        assert received.pop((FrameType.READY, 1, 0)) == 1
        assert received == {(FrameType.ANSWER, stream, AnswerCode.SERVED): 1 for stream in range(2, 1_302)}
        assert await client.receives_nothing()


@pytest.mark.parametrize("seed", range(4))
def test_each_frame_of_any_mix_of_requests_and_questions_is_answered_once(seed: int) -> None:
    """Guards against silence on an open connection: numbers left out, taken by questions, or out of order."""
    rng = random.Random(seed)
    stream, frames = 0, list[tuple[FrameType, int]]()
    for _ in range(1_600):
        stream += 1 if rng.random() < 0.5 else rng.choice((2, 3, 1_000, 100_000))
        frames.append((rng.choice((FrameType.REQUEST, FrameType.REQUEST, FrameType.ASK_READY)), stream))
    reach = rng.choice((1, 8, 64))
    order = sorted(range(len(frames)), key=lambda index: index + rng.randrange(reach))
    frames = [frames[index] for index in order]

    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            _,
            client,
        ):
            received = await exchange_frames(client, frames)
            assert received == {
                (FrameType.ANSWER if type_ is FrameType.REQUEST else FrameType.READY, stream, 0): 1
                for type_, stream in frames
            }
            assert await client.receives_nothing()

    scenario()


@pytest.mark.parametrize("reads", [1, 2])
def test_a_cancellation_ahead_of_a_request_does_not_cancel_it(reads: int) -> None:
    """The fault: a cancellation of an unused stream silenced a later request there, if both were read together."""

    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            _,
            client,
        ):
            client.send(FrameType.GONE, 7)
            if reads == 2:
                client.ask(6)
                assert (await client.next())[:3] == (FrameType.ANSWER, 6, AnswerCode.SERVED)
            client.ask(7)
            assert (await client.next())[:3] == (FrameType.ANSWER, 7, AnswerCode.SERVED)
            client.ask(8)
            client.send(FrameType.GONE, 8)
            assert await client.receives_nothing()

    scenario()
