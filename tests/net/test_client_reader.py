"""The reader of a client's connection: `peek` returns the buffered bytes without consuming them."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from gladelane.net.streams import ClientReader


@given(st.lists(st.tuples(st.binary(max_size=20), st.integers(0, 25)), max_size=12))
def test_peek_returns_the_bytes_that_are_read_next(steps: list[tuple[bytes, int]]) -> None:
    async def scenario() -> None:
        reader, expected = ClientReader(1 << 16), b""
        for data, count in steps:
            if data:
                reader.feed_data(data)
            expected += data
            assert reader.peek() == expected and reader.buffered_bytes == len(expected)
            if count and expected:
                read = await reader.read(count)
                assert read == expected[:count]
                expected = expected[count:]
        assert reader.peek() == expected and reader.received_bytes == sum(len(data) for data, _ in steps)

    asyncio.run(scenario())
