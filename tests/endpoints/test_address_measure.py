"""The client of `benchmarks.addresses`: what counts as a lost request, and what the protocol lets clients do."""

from __future__ import annotations

import asyncio

import pytest
from harness import async_test, wait_until

from benchmarks.addresses import clients
from benchmarks.addresses.clients import ReconnectingClient
from gladelane.net.client_protocol import FrameDecoder, Type, encode_fields, encode_frame

FIELDS = {"c": "film", "i": "0" * 16}


ANSWER, CLOSE, ANSWER_AND_CLOSE = "answer", "close", "answer and close"


class Peer:
    """A director that does with the first request of each connection as it is told, and answers all others."""

    def __init__(self, *firsts: str) -> None:
        self._firsts = iter(firsts)
        self.requests = 0

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        decoder, what = FrameDecoder(), next(self._firsts, ANSWER)
        while data := await reader.read(65_536):
            for frame in decoder.feed(data):
                self.requests += 1
                if what != CLOSE:
                    writer.write(encode_frame(Type.ANSWER, frame.stream, b"\x00" + encode_fields({})))
            if what != ANSWER:
                break
        writer.close()


SOON_S, NEVER_S = 60.0, 0.0  # in which a close counts as crossing, whatever the machine's pace


@pytest.mark.parametrize(("firsts", "crossing_s", "answered", "requests", "crossed"), [
    ([ANSWER], SOON_S, True, 1, 0),
    ([CLOSE, ANSWER], SOON_S, True, 2, 1),
    ([CLOSE, CLOSE, ANSWER], SOON_S, False, 2, 1),
    ([CLOSE, ANSWER], NEVER_S, False, 1, 0),
])  # fmt: skip
def test_a_request_that_meets_a_close_is_asked_again_once_and_any_other_is_lost(
    firsts: list[str],
    crossing_s: float,
    answered: bool,
    requests: int,
    crossed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(clients, "CROSSING_S", crossing_s)

    @async_test
    async def test() -> None:
        peer = Peer(*firsts)
        asking = ReconnectingClient(await peer.start())
        got = await asking.ask(FIELDS, b"", 5.0)
        assert (got is not None, peer.requests, asking.crossed) == (answered, requests, crossed)
        await asking.close()

    test()


@async_test
async def test_a_connection_that_was_closed_while_nothing_was_open_is_replaced() -> None:
    peer = Peer(ANSWER_AND_CLOSE, ANSWER)
    asking = ReconnectingClient(await peer.start())
    assert await asking.ask(FIELDS, b"", 5.0) is not None
    await wait_until(lambda: asking.clients[0].ended)
    assert await asking.ask(FIELDS, b"", 5.0) is not None
    assert (len(asking.clients), asking.crossed, peer.requests) == (2, 0, 2)
    await asking.close()
