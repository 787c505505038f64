"""The admin endpoint on real sockets: answered while the serving loop stands still, and beside callers who say nothing."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import contextmanager, suppress

import pytest
from harness import async_test

import gladelane.admin.endpoint as endpoint_module
from gladelane.admin.endpoint import MAX_CONNECTIONS, AdminEndpoint
from gladelane.admin.requests import AdminAction, AdminRequest, AdminResponse


class RecordingHandler:
    def __init__(self) -> None:
        self.bound: list[AdminRequest] = []
        self.applied: list[AdminRequest] = []
        self.stored: Future[None] | None = None

    def accept(self, request: AdminRequest) -> AdminResponse | None:
        self.bound.append(request)
        return AdminResponse(200, "at once\n") if request.action is AdminAction.HEALTH else None

    def complete(self, request: AdminRequest) -> AdminResponse:
        self.applied.append(request)
        if request.store == "fault":
            raise RuntimeError("planted")
        if request.store == "unstored":
            self.stored = Future()
        return AdminResponse(200, "applied\n")

    def respond_late(self, request: AdminRequest) -> AdminResponse:
        return AdminResponse(202, "bound\n")


@contextmanager
def opened(
    handler: RecordingHandler, max_connections: int = MAX_CONNECTIONS
) -> Iterator[tuple[AdminEndpoint, int]]:
    endpoint = AdminEndpoint(handler, asyncio.get_running_loop(), max_connections)
    try:
        yield endpoint, endpoint.open("127.0.0.1", 0)
    finally:
        endpoint.close()


def ask(port: int, text: bytes, wait: float = 3.0) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=wait) as caller:
        caller.sendall(text)
        answer = b""
        while data := caller.recv(4096):
            answer += data
        return answer


def http(method: str, target: str) -> bytes:
    return f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode()


async def status(port: int, text: bytes, wait: float = 10.0) -> int:
    return int((await asyncio.to_thread(ask, port, text, wait)).split()[1])


@async_test
async def test_one_call_a_connection_is_applied_and_answered() -> None:
    handler = RecordingHandler()
    with opened(handler) as (_, port):
        whole = await asyncio.to_thread(
            ask, port, http("POST", "/caches/a%20b/maint") + http("POST", "/caches/c/maint")
        )
        assert (
            whole.startswith(b"HTTP/1.1 200")
            and whole.endswith(b"applied\n")
            and b"onnection: close" in whole
        )
        assert handler.applied == handler.bound == [AdminRequest(AdminAction.MAINT, "a b")]
        assert (
            await status(port, http("GET", "/nowhere")) == 404
            and await status(port, http("POST", "/stats")) == 405
        )
        assert await status(port, b"nonsense\r\n\r\n") == 400
        assert await status(port, b"GET /stats HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20_000) in (413, 431)
        assert await status(port, http("POST", "/caches/fault/maint")) == 500
        assert await status(port, http("GET", "/healthcheck")) == 200  # and it goes on


@async_test
async def test_a_yes_waits_until_the_call_is_stored_but_no_longer_than_it_is_owed() -> None:
    handler = RecordingHandler()
    with opened(handler) as (_, port):
        asked = asyncio.create_task(status(port, http("POST", "/caches/unstored/maint")))
        while not handler.applied:
            await asyncio.sleep(0.005)
        assert not asked.done()
        assert await asked == 202, "in force, and answered in time"


@async_test
async def test_while_the_serving_loop_stands_still_a_call_is_bound_and_answered() -> None:
    handler = RecordingHandler()
    with opened(handler) as (_, port):
        caller = asyncio.get_running_loop().run_in_executor(
            None, lambda: (ask(port, http("POST", "/caches/a/maint")), time.monotonic())
        )
        stood = time.monotonic()
        time.sleep(1.5)  # the serving loop
        until = time.monotonic()
        answer, answered = await caller
        assert answer.startswith(b"HTTP/1.1 202") and stood < answered < until
        await asyncio.sleep(0)
        assert handler.applied == [AdminRequest(AdminAction.MAINT, "a")]  # carried out once the loop goes on


@async_test
async def test_callers_without_a_whole_call_give_way_oldest_first() -> None:
    with opened(RecordingHandler()) as (endpoint, port):
        held = [socket.create_connection(("127.0.0.1", port)) for _ in range(MAX_CONNECTIONS * 2)]
        for caller in held:
            caller.sendall(b"GET /healthcheck HT")
        assert await status(port, http("GET", "/healthcheck")) == 200
        held[0].settimeout(1.0)
        with pytest.raises((ConnectionResetError, IndexError)):  # cut off without an answer
            held[0].recv(10)[0]
        assert len(endpoint._connections) <= MAX_CONNECTIONS
        for caller in held:
            caller.close()


@async_test
async def test_callers_who_come_again_at_once_end_no_call_that_lies_unread() -> None:
    # each newcomer ended one held caller at once: of 97 calls beside ten of them 57 were cut off unanswered
    with pytest.MonkeyPatch.context() as patch, opened(RecordingHandler(), max_connections=2) as (_, port):
        patch.setattr(
            endpoint_module, "MIN_AGE_S", 0.3
        )  # a test machine may stall between a dial and its call
        over = asyncio.Event()

        async def again() -> None:
            while not over.is_set():
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /he")
                with suppress(OSError):
                    await reader.read()
                writer.close()

        beside = [asyncio.create_task(again()) for _ in range(4)]
        await asyncio.sleep(0.2)
        answers = [await status(port, http("GET", "/healthcheck")) for _ in range(4)]
        over.set()
        await asyncio.gather(*beside)
        assert answers == [200] * 4
