"""System calls that fail below a real director: the cases of the matrix (`benchmarks.system_calls`) that broke
a rule, and the parts that stood in the way."""

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
from gladelane.net.connection_pool import ConnectionPool

START_TRIES = 5  # the ports of a director may be taken by others before it listens there


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return compile_library("syscalls", tmp_path_factory.mktemp("preload"))


def case(site: str, error: int, moment: Moment) -> Case:
    return Case(next(one for one in SITES if one.name == site), error, moment)


#: what the case broke before its mend
BROKE = {
    "the connection was closed and its request lost": case(
        "adoption of a client: setsockopt", errno.ENOBUFS, Moment.LOAD
    ),
    "the dial was told of nothing until its time was over": case(
        "getsockopt of a dial", errno.ENOBUFS, Moment.LOAD
    ),
    "a sweep of the pool failed and none came after it": case(
        "write to a store", errno.ECONNRESET, Moment.LOAD
    ),
    "a caller that had gone was logged as a fault": case(
        "read at the admin endpoint", errno.ECONNRESET, Moment.LOAD
    ),
    "the shutdown ended with an error": case("close", errno.EIO, Moment.SHUTDOWN),
    "the new version did not start": case("socket of an upgrade", errno.EMFILE, Moment.HAND_OVER),
    "the listening socket was not passed on": case("write of an upgrade", SHORT, Moment.HAND_OVER),
}


async def started(scene: Scene) -> None:
    await scene.prepare()
    for _ in range(START_TRIES):
        if await scene.starts():
            return
        scene.director.ops.clear()
        scene.director.all.clear()
    raise RuntimeError("no port stays free")


@pytest.mark.parametrize("broke", BROKE)
def test_no_rule_is_broken_while_calls_fail_and_all_is_normal_after(
    tmp_path: Path, library: Path, broke: str
) -> None:
    played = BROKE[broke]

    async def scene() -> None:
        made = Scene(tmp_path, library)
        try:
            await started(made)
            play = FRESH_DIRECTOR_RUNNERS.get(played.moment)
            verdict, is_injected = await (
                play(made, played) if play is not None else run_on_serving_director(made, played, FAULT_S)
            )
            log = made.director.log(-1)
        finally:
            await made.close()
        assert verdict.broken() == []
        assert is_injected
        if played.moment is Moment.HAND_OVER and played.error == SHORT:
            assert "took over" in log and "gives nothing over" not in log

    asyncio.run(scene())


def test_a_meeting_place_that_could_not_be_opened_is_opened_later(tmp_path: Path, library: Path) -> None:
    # an upgrade found nobody for as long as the process lived

    async def scene() -> None:
        made = Scene(tmp_path, library)
        try:
            await made.prepare()
            with made.faults.injecting(Fault(Call.BIND, errno.ENOMEM, scope=Scope.UNIX, most=1)):
                await made.start()
                assert not (tmp_path / SOCKET_NAME).exists()
            async with asyncio.timeout(LISTEN_RETRY_S + 5.0):
                while not (tmp_path / SOCKET_NAME).exists():
                    await asyncio.sleep(0.02)
        finally:
            await made.close()

    asyncio.run(scene())


def test_a_listening_socket_is_asked_for_again_while_the_system_is_out_of_something(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    create, left = socket.create_server, [errno.ENOBUFS, errno.ENFILE]

    def fails_first(*args: object, **kwargs: object) -> socket.socket:
        if left:
            raise OSError(left.pop(), "for a moment")
        return create(*args, **kwargs)  # type: ignore[arg-type]

    monkeypatch.setattr(socket, "create_server", fails_first)
    monkeypatch.setattr(sockets, "OPEN_INTERVAL_S", 0.001)
    with sockets.open_listening_socket("127.0.0.1", 0, 8) as sock:
        assert sock.getsockname()[1] and not left
    left.extend([errno.ENFILE] * 100)
    with pytest.raises(OSError, match="for a moment"):
        sockets.open_listening_socket("127.0.0.1", 0, 8)


def test_an_address_that_is_taken_stops_the_start_at_once() -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken, pytest.raises(OSError) as raised:
        sockets.open_listening_socket("127.0.0.1", taken.getsockname()[1], 8)
    assert raised.value.errno == errno.EADDRINUSE


def test_a_socket_that_its_transport_has_closed_holds_nothing() -> None:
    # was a ValueError, in every look beside a transport that had met an error a turn before
    sock = socket.socket()
    sock.close()
    assert (sockets.unread_bytes(sock), sockets.unsent_bytes(sock)) == (0, 0)
    assert not sockets.has_unread(sock) and sockets.has_ended(sock)


def test_a_sweep_that_fails_is_not_the_last(monkeypatch: pytest.MonkeyPatch) -> None:
    planned: list[object] = []

    class Wheel:
        def schedule(self, due_ms: float, call: object) -> None:
            planned.append(call)

    class Failing:
        attempts = SimpleNamespace(answered_ms=0.0)

        def sweep(self, now: float, answered_ms: float) -> None:
            raise ValueError("closed")

    pool = ConnectionPool(None, 4, lambda: 0.0, Wheel(), None)  # type: ignore[arg-type]
    pool._pool["c0"] = [Failing()]  # type: ignore[list-item]
    planned.clear()
    with pytest.raises(ValueError, match="closed"):
        pool.sweep()
    assert planned == [pool.sweep]


@async_test
async def test_a_dial_that_a_signal_interrupts_goes_on() -> None:
    # it was given up as unreachable, and its address passed over
    with socket.create_server(("127.0.0.1", 0)) as server:
        ended: asyncio.Future[tuple[socket.socket | None, DialFailure | None]] = (
            asyncio.get_running_loop().create_future()
        )

        def connect_ex(self: socket.socket, address: tuple[str, int]) -> int:
            socket.socket.__base__.connect_ex(self, address)  # type: ignore[union-attr]
            return errno.EINTR

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(socket.socket, "connect_ex", connect_ex, raising=False)
            address = parse(f"127.0.0.1:{server.getsockname()[1]}")
            dial = Connect(address, lambda sock, end: ended.set_result((sock, end)))
        sock, end = await asyncio.wait_for(ended, 5.0)
        dial.cancel()
        assert sock is not None and end is None
        sock.close()


class LeavingFirst(socket.socket):
    """A listener of which the first calls of accept fail: their newcomers have gone."""

    failures = 2
    error = errno.ECONNABORTED

    def accept(self) -> tuple[socket.socket, object]:
        if self.failures:
            self.failures -= 1
            raise OSError(self.error, "for a moment")
        return super().accept()


@async_test
async def test_the_accept_before_the_close_outlasts_a_moment_without_descriptors() -> None:
    # the queue was reset with what clients had sent
    with LeavingFirst() as sock, socket.socket() as client:
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
async def test_a_newcomer_that_has_gone_holds_up_none_behind_it() -> None:
    # those behind it waited 5 ms, and at the stop, which accepts once more and closes, were reset
    with LeavingFirst() as sock, socket.socket() as one, socket.socket() as other:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        accepted: list[socket.socket] = []
        listening = listener.Listener(sock, False, lambda: True, accepted.append)
        for client in (one, other):
            client.connect(sock.getsockname())
        listening.accept_all()
        assert len(accepted) == 2
        listening.close()
        for taken in accepted:
            taken.close()


def test_the_stop_goes_on_where_newcomers_cannot_be_steered_away(monkeypatch: pytest.MonkeyPatch) -> None:
    # ctypes is loaded from files: out of descriptors that is an ImportError, and ended the shutdown
    monkeypatch.setitem(sys.modules, "ctypes", None)
    with socket.create_server(("127.0.0.1", 0)) as sock:
        listener.redirect_new_connections(sock)
