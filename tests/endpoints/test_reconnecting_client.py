"""The reconnecting client of `benchmarks.addresses`: which requests it sends again, and which count as
lost."""

from __future__ import annotations

import asyncio

import pytest
from harness import async_test, wait_until

from benchmarks.addresses import clients
from benchmarks.addresses.clients import ReconnectingClient
from gladelane.net.client_protocol import FrameDecoder, FrameType, encode_fields, encode_frame

FIELDS = {"c": "film", "i": "0" * 16}


ANSWER, CLOSE, ANSWER_AND_CLOSE = "answer", "close", "answer and close"


class FakeDirector:
    """A director with one scripted reaction per connection; later connections answer all requests."""

    def __init__(self, *reactions: str) -> None:
        self._reactions = iter(reactions)
        self.requests = 0

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        decoder, reaction = FrameDecoder(), next(self._reactions, ANSWER)
        while data := await reader.read(65_536):
            for frame in decoder.feed(data):
                self.requests += 1
                if reaction != CLOSE:
                    writer.write(encode_frame(FrameType.ANSWER, frame.stream, b"\x00" + encode_fields({})))
            if reaction != ANSWER:
                break
        writer.close()


#: Times within which a close counts as having crossed a request: always or never, however slow the machine
#: is.
ALWAYS_S, NEVER_S = 60.0, 0.0


@pytest.mark.parametrize(("reactions", "crossing_s", "is_answered", "requests", "crossed"), [
    ([ANSWER], ALWAYS_S, True, 1, 0),
    ([CLOSE, ANSWER], ALWAYS_S, True, 2, 1),
    ([CLOSE, CLOSE, ANSWER], ALWAYS_S, False, 2, 1),
    ([CLOSE, ANSWER], NEVER_S, False, 1, 0),
])  # fmt: skip
def test_request_that_crosses_a_close_is_sent_again_once_and_others_are_lost(
    reactions: list[str],
    crossing_s: float,
    is_answered: bool,
    requests: int,
    crossed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "CROSSING_S", crossing_s)

    @async_test
    async def test() -> None:
        director = FakeDirector(*reactions)
        client = ReconnectingClient(await director.start())
        answer = await client.ask(FIELDS, b"", 5.0)
        assert (answer is not None, director.requests, client.crossed) == (is_answered, requests, crossed)
        await client.close()

    test()


@async_test
async def test_connection_closed_without_a_pending_request_is_replaced() -> None:
    director = FakeDirector(ANSWER_AND_CLOSE, ANSWER)
    client = ReconnectingClient(await director.start())
    assert await client.ask(FIELDS, b"", 5.0) is not None
    await wait_until(lambda: client.clients[0].ended)
    assert await client.ask(FIELDS, b"", 5.0) is not None
    assert (len(client.clients), client.crossed, director.requests) == (2, 0, 2)
    await client.close()
