"""Requests that arrive while the director closes an idle client connection, for each reason to close it. A request is
either answered once and completely, or neither answered nor forwarded, so that the client may send it again."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from enum import Enum, auto

import pytest
from harness import REFUSED_ADDRESS, ScriptedCache, async_test, config, hit, running_director, wait_until
from raw_client import RawClient, encode_request, wait_for_server_connection

import gladelane.net.client_listener as listener_module
from gladelane.net.client_connection import ClientConnection
from gladelane.net.client_protocol import FrameType
from gladelane.server import Server


class CloseReason(Enum):
    """Why the director closes the connection."""

    IDLE = auto()  # it was idle for longer than clients keep a connection
    NEVER_USED = auto()  # its client has never sent a request
    DRAIN = auto()  # its client was asked to leave a while ago
    CONNECTION_LIMIT = auto()  # another client needs its place
    SHUTDOWN = auto()
    INVALID_FRAME = auto()  # its client sent a frame of an impossible length


class Arrival(Enum):
    """When the request arrives."""

    BEFORE = auto()  # it lies unread in the receive buffer when the connection is checked before the close
    DURING = auto()  # it arrives right after that check
    AFTER = auto()  # it arrives after the write side was shut down


def close_connection(node: Server, conn: ClientConnection, client: RawClient, reason: CloseReason) -> None:
    now = node.clock.now()
    match reason:
        case CloseReason.IDLE:
            conn.sweep(conn.last_active_ms + 4_300.0)
        case CloseReason.NEVER_USED:
            conn.sweep(conn.accepted_ms + 2_100.0)
        case CloseReason.DRAIN:
            node.client_listener.drain.request_drain(now)
            conn.goaway_ms = now - 400.0
            conn.sweep(now)
        case CloseReason.CONNECTION_LIMIT:
            conn.last_active_ms = now - 1_000.0
            node.client_listener.cap = 1
            node.client_listener._close_idle_connection()
        case CloseReason.SHUTDOWN:
            node.client_listener.stop_listening()
            conn.is_settled()  # the last check before the close, as in `ClientListener.close`
            conn.close_gracefully()
        case CloseReason.INVALID_FRAME:
            client.send(struct.pack(">I", 3))


@pytest.mark.parametrize("arrival", list(Arrival))
@pytest.mark.parametrize("reason", list(CloseReason))
def test_a_request_during_the_close_is_answered_completely_or_not_forwarded(
    reason: CloseReason, arrival: Arrival
) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(listener_module, "CLOSE_TIMEOUT_S", 1.0)
            async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
                node,
                other,
            ):
                raw = RawClient(node)
                conn = await wait_for_server_connection(node, raw)
                if reason is not CloseReason.NEVER_USED:
                    raw.send(encode_request(1))
                    await wait_until(lambda: len(cache.received) == 1 and not conn.open)
                request = bytes(encode_request(2, i=f"{2:016x}"))
                if arrival is Arrival.BEFORE and reason is not CloseReason.INVALID_FRAME:
                    raw.send(request)
                elif arrival is Arrival.DURING:
                    conn.has_unread_bytes = call_after_first(conn.has_unread_bytes, lambda: raw.send(request))  # type: ignore[method-assign]
                close_connection(node, conn, raw, reason)
                if arrival is Arrival.AFTER or reason is CloseReason.INVALID_FRAME:
                    await wait_until(lambda: conn.write_closed_ms or not conn.is_idle() or conn.open)
                    raw.send(request)
                await asyncio.sleep(0.05)
                conn.close_gracefully()  # the connection stays open if the director saw the request in time
                frames, end = await raw.receive_until_end()
                raw.sock.close()
                answers = [
                    payload for type_, stream, payload in frames if (type_, stream) == (FrameType.ANSWER, 2)
                ]
                assert end == "end of file" and len(answers) <= 1
                forwarded = [command for command in cache.received if command[0] == f"{2:016x}"]
                assert len(forwarded) == len(answers)
                assert all(payload[0] == 0 for payload in answers)
                if arrival is Arrival.BEFORE and reason not in (
                    CloseReason.SHUTDOWN,
                    CloseReason.INVALID_FRAME,
                ):
                    assert answers  # a connection with unread bytes is not idle
                elif arrival is Arrival.AFTER:
                    assert not answers
                other.writer.close()

    scenario()


def call_after_first(check: Callable[[], bool], action: Callable[[], None]) -> Callable[[], bool]:
    """Wraps `check` so that `action` is called right after its first call."""
    pending_actions = [action]

    def check_and_act() -> bool:
        result = check()
        if pending_actions:
            pending_actions.pop()()
        return result

    return check_and_act
