"""The reader of a connection: it holds no more than was asked for, and `peek` and `discard` keep the stream in order."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from gladelane.net.streams import READ_BYTES, Reader


class Transport:
    """Delivers bytes as a transport does: only while reading, and into the reader's buffer."""

    def __init__(self, reader: Reader, unread: bytes) -> None:
        self.reader, self.unread, self.is_reading = reader, unread, True
        reader.connection_made(self)  # type: ignore[arg-type]

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def is_closing(self) -> bool:
        return False

    def deliver(self) -> None:
        while self.is_reading and self.unread:
            buffer = self.reader.get_buffer(-1)
            size = min(len(buffer), len(self.unread))
            buffer[:size] = self.unread[:size]
            self.unread = self.unread[size:]
            self.reader.buffer_updated(size)


@given(st.lists(st.tuples(st.binary(max_size=20), st.integers(0, 25)), max_size=12))
def test_peek_returns_the_bytes_that_are_read_next(steps: list[tuple[bytes, int]]) -> None:
    async def scenario() -> None:
        reader, expected = Reader(1 << 16), b""
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


@given(st.binary(max_size=400), st.lists(st.tuples(st.integers(1, 40), st.integers(0, 60)), max_size=20))
def test_reader_holds_at_most_two_reads_and_loses_no_byte_that_is_not_discarded(
    data: bytes, steps: list[tuple[int, int]]
) -> None:
    async def scenario() -> None:
        reader, position, discarded = Reader(8), 0, list[int]()
        transport = Transport(reader, data)
        for read_bytes, discard_bytes in steps:
            transport.deliver()
            if position == len(data):
                break
            assert reader.buffered_bytes <= 2 * 40
            reading = asyncio.create_task(reader.read(read_bytes))
            await asyncio.sleep(0)
            transport.deliver()
            read = await reading
            assert 0 < len(read) <= read_bytes and read == data[position : position + len(read)]
            position += len(read)
            skipped = min(discard_bytes, len(data) - position)
            if skipped:
                reader.discard(skipped, lambda: discarded.append(1))
                transport.deliver()
                assert reader.discard_bytes == 0 and discarded.pop() == 1
                position += skipped
        assert not reader.buffered_bytes or reader.peek() == data[position : position + reader.buffered_bytes]

    asyncio.run(scenario())


def test_discarded_bytes_are_never_held() -> None:
    async def scenario() -> None:
        reader = Reader(1_000)
        transport = Transport(reader, b"x" * 3 * READ_BYTES + b"rest")
        reader.discard(3 * READ_BYTES, lambda: None)
        transport.deliver()
        assert reader.peek() == b"rest"

    asyncio.run(scenario())
