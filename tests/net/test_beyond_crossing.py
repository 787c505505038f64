"""Requests that cross the end of a resting connection, whatever ends it: answered once and whole, or not at all
and then nowhere sent on, so that the client may send them again."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from enum import Enum, auto

import pytest
from harness import ScriptedCache, async_test, config, hit, running_director, wait_until
from raw_client import Raw, connected, request

import gladelane.net.client_listener as front_module
from gladelane.net.client_connection import ClientConnection
from gladelane.net.client_protocol import Type
from gladelane.server import Server

REFUSED = "127.0.0.1:1"


class Ending(Enum):
    IDLE = auto()  # it has rested for longer than clients let it
    NEVER_ASKED = auto()  # a newcomer that says nothing
    DRAIN = auto()  # it was told to go a while ago
    CAP = auto()  # another client needs the room
    SHUTDOWN = auto()
    ERROR = auto()  # a frame whose length cannot be


class Moment(Enum):
    BEFORE = auto()  # the request is in the system, unread, as the connection is looked at for the last time
    AT = auto()  # it comes right after that look
    AFTER = auto()  # it comes once the write side is shut


def end(node: Server, conn: ClientConnection, raw: Raw, ending: Ending) -> None:
    now = node.clock.now()
    match ending:
        case Ending.IDLE:
            conn.sweep(conn.active_ms + 4_300.0)
        case Ending.NEVER_ASKED:
            conn.sweep(conn.born_ms + 2_100.0)
        case Ending.DRAIN:
            node.client_listener.drain.fail(now)
            conn.goaway_ms = now - 400.0
            conn.sweep(now)
        case Ending.CAP:
            conn.active_ms = now - 1_000.0
            node.client_listener.cap = 1
            node.client_listener._spare_one()
        case Ending.SHUTDOWN:
            node.client_listener.stop_listening()
            conn.is_settled()  # the last look before the close, as `ClientListener.close` takes it
            conn.stop_taking()
        case Ending.ERROR:
            raw.send(struct.pack(">I", 3))


@pytest.mark.parametrize("moment", list(Moment))
@pytest.mark.parametrize("ending", list(Ending))
def test_a_request_that_crosses_the_end_is_answered_whole_or_not_sent_on(
    ending: Ending, moment: Moment
) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(hit)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(front_module, "CLOSE_S", 1.0)
            async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, other):
                raw = Raw(node)
                conn = await connected(node, raw)
                if ending is not Ending.NEVER_ASKED:
                    raw.send(request(1))
                    await wait_until(lambda: len(cache.received) == 1 and not conn.open)
                crossing = bytes(request(2, i=f"{2:016x}"))
                if moment is Moment.BEFORE and ending is not Ending.ERROR:
                    raw.send(crossing)
                elif moment is Moment.AT:
                    conn.unread = once(conn.unread, lambda: raw.send(crossing))  # type: ignore[method-assign]
                end(node, conn, raw, ending)
                if moment is Moment.AFTER or ending is Ending.ERROR:
                    await wait_until(lambda: conn.shut_ms or not conn.is_idle() or conn.open)
                    raw.send(crossing)
                await asyncio.sleep(0.05)
                conn.stop_taking()  # where it was not ended, since the request was seen
                frames, how = await raw.rest()
                raw.sock.close()
                answers = [
                    payload for type_, stream, payload in frames if (type_, stream) == (Type.ANSWER, 2)
                ]
                assert how == "end of file" and len(answers) <= 1
                sent_on = [command for command in cache.received if command[0] == f"{2:016x}"]
                assert len(sent_on) == len(answers)
                assert all(payload[0] == 0 for payload in answers)
                if moment is Moment.BEFORE and ending not in (Ending.SHUTDOWN, Ending.ERROR):
                    assert answers  # a connection on which something lies unread is not at rest
                elif moment is Moment.AFTER:
                    assert not answers
                other.writer.close()

    scene()


def once(look: Callable[[], bool], then: Callable[[], None]) -> Callable[[], bool]:
    """Looks, and then lets something come, the first time."""
    waits = [then]

    def looked() -> bool:
        seen = look()
        if waits:
            waits.pop()()
        return seen

    return looked
