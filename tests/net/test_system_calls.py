"""System calls that fail below a running director: the cases of the matrix (`benchmarks.system_calls`) that once
broke a rule, and unit tests of the code that handles such failures."""

from __future__ import annotations

import asyncio
import errno
import socket
import sys
from pathlib import Path
from types import SimpleNamespace

import pytest
from harness import async_test

from benchmarks.system_calls import (
    FAULT_S,
    FRESH_DIRECTOR_RUNNERS,
    SITES,
    Case,
    Moment,
    run_on_serving_director,
)
from gladelane import sockets
from gladelane.endpoints.address import parse
from gladelane.endpoints.connect import Connect
from gladelane.endpoints.health import DialFailure
from gladelane.hot_restart.rendezvous_socket import LISTEN_RETRY_S, SOCKET_NAME
from gladelane.lab.call_faults import Scene
from gladelane.lab.preload.build import compile_library
from gladelane.lab.preload.syscalls import SHORT, Call, Fault, Scope
from gladelane.net import listener
from gladelane.net.connection_pool import SWEEP_MS, ConnectionPool
from gladelane.timer_wheel import TICK_MS, TimerWheel

START_ATTEMPTS = 5  # another process may take a director's port before the director listens there


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return compile_library("syscalls", tmp_path_factory.mktemp("preload"))


def make_case(site: str, error: int, moment: Moment) -> Case:
    return Case(next(known for known in SITES if known.name == site), error, moment)


#: Cases that failed once, by the fault that they revealed.
CASE_BY_FAULT = {
    "the connection was closed and its request was lost": make_case(
        "adoption of a client: setsockopt", errno.ENOBUFS, Moment.LOAD
    ),
    "a failed dial was noticed only when it timed out": make_case(
        "getsockopt of a dial", errno.ENOBUFS, Moment.LOAD
    ),
    "a sweep of the connection pool failed and was never scheduled again": make_case(
        "write to a store", errno.ECONNRESET, Moment.LOAD
    ),
    "a caller of the admin endpoint that disconnected was logged as an error": make_case(
        "read at the admin endpoint", errno.ECONNRESET, Moment.LOAD
    ),
    "the shutdown ended with an error": make_case("close", errno.EIO, Moment.SHUTDOWN),
    "the new version did not start": make_case("socket of an upgrade", errno.EMFILE, Moment.HAND_OVER),
    "the listening socket was not handed over": make_case("write of an upgrade", SHORT, Moment.HAND_OVER),
}


async def start_with_retries(scene: Scene) -> None:
    await scene.prepare()
    for _ in range(START_ATTEMPTS):
        if await scene.starts():
            return
        scene.director.ops.clear()
        scene.director.all.clear()
    raise RuntimeError("another process took the port in each attempt")


@pytest.mark.parametrize("fault", CASE_BY_FAULT)
def test_no_rule_is_broken_while_calls_fail_and_the_director_recovers(
    tmp_path: Path, library: Path, fault: str
) -> None:
    case = CASE_BY_FAULT[fault]

    async def scenario() -> None:
        scene = Scene(tmp_path, library)
        try:
            await start_with_retries(scene)
            run_fresh_case = FRESH_DIRECTOR_RUNNERS.get(case.moment)
            verdict, is_injected = await (
                run_fresh_case(scene, case)
                if run_fresh_case is not None
                else run_on_serving_director(scene, case, FAULT_S)
            )
            log = scene.director.log(-1)
        finally:
            await scene.close()
        assert verdict.broken() == []
        assert is_injected
        if case.moment is Moment.HAND_OVER and case.error == SHORT:
            assert "took over" in log and "gives nothing over" not in log

    asyncio.run(scenario())


def test_a_rendezvous_socket_that_could_not_be_opened_is_opened_later(tmp_path: Path, library: Path) -> None:
    """After one failed bind, the socket at which an upgrade finds the running process was missing for the whole
    life of that process."""

    async def scenario() -> None:
        scene = Scene(tmp_path, library)
        try:
            await scene.prepare()
            with scene.faults.injecting(Fault(Call.BIND, errno.ENOMEM, scope=Scope.UNIX, most=1)):
                await scene.start()
                assert not (tmp_path / SOCKET_NAME).exists()
            async with asyncio.timeout(LISTEN_RETRY_S + 5.0):
                while not (tmp_path / SOCKET_NAME).exists():
                    await asyncio.sleep(0.02)
        finally:
            await scene.close()

    asyncio.run(scenario())


def test_opening_a_listening_socket_is_retried_while_the_system_lacks_a_resource(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    create_server, remaining_errors = socket.create_server, [errno.ENOBUFS, errno.ENFILE]

    def fail_first_calls(*args: object, **kwargs: object) -> socket.socket:
        if remaining_errors:
            raise OSError(remaining_errors.pop(), "for a moment")
        return create_server(*args, **kwargs)  # type: ignore[arg-type]

    monkeypatch.setattr(socket, "create_server", fail_first_calls)
    monkeypatch.setattr(sockets, "OPEN_INTERVAL_S", 0.001)
    with sockets.open_listening_socket("127.0.0.1", 0, 8) as sock:
        assert sock.getsockname()[1] and not remaining_errors
    remaining_errors.extend([errno.ENFILE] * 100)
    with pytest.raises(OSError, match="for a moment"):
        sockets.open_listening_socket("127.0.0.1", 0, 8)


def test_opening_a_listening_socket_at_an_address_in_use_fails_at_once() -> None:
    with socket.create_server(("127.0.0.1", 0)) as occupied, pytest.raises(OSError) as raised:
        sockets.open_listening_socket("127.0.0.1", occupied.getsockname()[1], 8)
    assert raised.value.errno == errno.EADDRINUSE


def test_a_socket_closed_by_its_transport_has_no_unread_or_unsent_bytes() -> None:
    """Reading them used to raise ValueError when the transport had closed its socket, after an error, one
    iteration of the event loop earlier."""
    sock = socket.socket()
    sock.close()
    assert (sockets.unread_bytes(sock), sockets.unsent_bytes(sock)) == (0, 0)
    assert not sockets.has_unread(sock) and sockets.has_ended(sock)


def test_a_failed_sweep_of_the_pool_ends_its_connection_and_is_scheduled_again() -> None:
    swept, failed = [], []

    class Failing:
        attempts = SimpleNamespace(answered_ms=0.0)
        peer = "c0"

        def sweep(self, now: float, answered_ms: float) -> None:
            swept.append(now)
            raise ValueError("closed")

        def fail(self) -> None:
            failed.append(self)

    now_ms = 1_000.0
    timers = TimerWheel(lambda: now_ms)
    pool = ConnectionPool(None, 4, lambda: now_ms, timers, None, None)  # type: ignore[arg-type]
    pool._pool["c0"] = [Failing(), Failing()]  # type: ignore[list-item]
    for _ in range(3):
        now_ms += SWEEP_MS + TICK_MS
        timers.advance()
    assert len(swept) == len(failed) == 6


@async_test
async def test_a_dial_interrupted_by_a_signal_continues() -> None:
    """The dial used to fail as unreachable, and its address was skipped."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        dial_result: asyncio.Future[tuple[socket.socket | None, DialFailure | None]] = (
            asyncio.get_running_loop().create_future()
        )

        def connect_ex(self: socket.socket, address: tuple[str, int]) -> int:
            socket.socket.__base__.connect_ex(self, address)  # type: ignore[union-attr]
            return errno.EINTR

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(socket.socket, "connect_ex", connect_ex, raising=False)
            address = parse(f"127.0.0.1:{server.getsockname()[1]}")
            dial = Connect(address, lambda sock, end: dial_result.set_result((sock, end)))
        sock, end = await asyncio.wait_for(dial_result, 5.0)
        dial.cancel()
        assert sock is not None and end is None
        sock.close()


class FailingAccepts(socket.socket):
    """A listening socket whose first accept calls fail, by default as if the clients had disconnected."""

    remaining_failures = 2
    error = errno.ECONNABORTED

    def accept(self) -> tuple[socket.socket, object]:
        if self.remaining_failures:
            self.remaining_failures -= 1
            raise OSError(self.error, "for a moment")
        return super().accept()


@async_test
async def test_the_last_accept_before_the_close_is_retried_when_descriptors_run_out_briefly() -> None:
    """When the last accept ran out of descriptors, closing the listening socket reset the connections that were
    still in the accept queue, together with the requests that they had sent."""
    with FailingAccepts() as sock, socket.socket() as client:
        sock.error = errno.ENFILE
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        accepted: list[socket.socket] = []
        listening = listener.Listener(sock, False, lambda: True, accepted.append)
        client.connect(sock.getsockname())
        listening.accept_remaining()
        listening.close()
        assert len(accepted) == 1
        accepted[0].close()


@async_test
async def test_an_aborted_connection_in_the_accept_queue_does_not_delay_the_next_one() -> None:
    """Connections behind an aborted one waited 5 ms, and at the shutdown, which accepts once more and then closes
    the socket, they were reset."""
    with FailingAccepts() as sock, socket.socket() as first_client, socket.socket() as second_client:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        accepted: list[socket.socket] = []
        listening = listener.Listener(sock, False, lambda: True, accepted.append)
        for client in (first_client, second_client):
            client.connect(sock.getsockname())
        listening.accept_all()
        assert len(accepted) == 2
        listening.close()
        for accepted_sock in accepted:
            accepted_sock.close()


def test_the_shutdown_continues_when_new_connections_cannot_be_steered_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """ctypes is loaded from files, so without free descriptors its import raises ImportError, which ended the
    shutdown."""
    monkeypatch.setitem(sys.modules, "ctypes", None)
    with socket.create_server(("127.0.0.1", 0)) as sock:
        listener.redirect_new_connections(sock)
