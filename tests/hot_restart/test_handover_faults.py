"""The handover file while its folder cannot be written for some time, also while a new process starts."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
import threading
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from conftest import Driver
from disk_faults import has_one_outage_logged
from harness import async_test, settings_changes, wait_until
from test_keys_across_processes import Origin, Upgrade, upgrade, wait_past_window

from gladelane.admin.maintenance import MaintenanceRegister
from gladelane.admin.requests import AdminAction, AdminRequest
from gladelane.clock import Clock
from gladelane.hot_restart import coordinator, rendezvous_socket
from gladelane.hot_restart.handover import Handover, missing_requests, to_shared_time
from gladelane.hot_restart.handover_file import FILE_NAME, HandoverFile
from gladelane.hot_restart.learned_state import LearnedState, split_learned_state
from gladelane.lab.processes import START_S

NOW_MS = 1.7e12
NAME = "n0 a:1"


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("call", ["open", "replace"])
def test_a_failed_write_keeps_the_earlier_handover_and_a_later_write_succeeds(
    error: int, call: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def failing(*args: Any, **kwargs: Any) -> Any:
        raise OSError(error, os.strerror(error))

    file = HandoverFile(str(tmp_path))
    document = Handover(NAME, NOW_MS, {"c1": NOW_MS})
    assert file.write(document)
    later = msgspec.structs.replace(document, maintenance_started_ms={"c2": NOW_MS})
    with monkeypatch.context() as broken:
        broken.setattr(os, call, failing)
        assert not any(file.write(later) for _ in range(3))
    assert file.read(NAME) == document
    assert [path.name for path in tmp_path.iterdir()] == [FILE_NAME], "a partial file would only take space"
    assert file.write(later) and file.read(NAME) == later
    assert has_one_outage_logged(caplog, "upgrade: the hand-over")


@pytest.mark.parametrize(
    ("owner", "name", "error"),
    [
        (os, "replace", OSError(errno.EIO, "Input/output error")),
        (threading.Thread, "start", RuntimeError("can't start new thread")),
        (HandoverFile, "write", ValueError("an error of the program")),
    ],
    ids=["folder unwritable", "no thread", "unexpected error"],
)
def test_a_request_that_cannot_be_stored_is_stored_later(
    owner: Any, name: str, error: Exception, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def failing(*args: Any) -> None:
        raise error

    monkeypatch.setattr(coordinator, "WRITE_RETRY_S", 0.01)
    out: dict[str, float] = {}
    director: Any = SimpleNamespace(
        register=SimpleNamespace(out=out, back={}),
        rev=1,
        watch_events=list,
        keys=SimpleNamespace(snapshot=lambda now: {}),
        router=SimpleNamespace(cold=SimpleNamespace(parts=1)),
    )
    client_listener: Any = SimpleNamespace(
        cap=1, max_buffered_bytes=1.0, drain=SimpleNamespace(requested_ms=0.0)
    )
    pool: Any = SimpleNamespace(cap=1)

    clock = Clock(lambda: NOW_MS / 1000.0, lambda: 0.0, "a-boot")
    file = HandoverFile(str(tmp_path))

    async def run() -> None:
        process = coordinator.RestartCoordinator(
            str(tmp_path),
            NAME,
            clock,
            director,
            pool,
            client_listener,
            pool,
            settings_changes(clock),
            lambda: None,
        )
        with monkeypatch.context() as broken:
            broken.setattr(owner, name, failing)
            out["c1"] = NOW_MS
            attempted = process.share_admin_request(AdminRequest(AdminAction.MAINT, "c1"))
            await asyncio.sleep(0.05)
            assert file.read(NAME) is None and attempted.done()
        await asyncio.sleep(0.05)
        stored = file.read(NAME)
        assert stored is not None and stored.maintenance_started_ms == {"c1": NOW_MS}
        process.close()

    asyncio.run(run())


# --- a new process starts while the folder cannot be written


RETENTION_MS = 5000.0
NO_HANDOVER_STORED = "the former process stored no hand-over"
NOTHING_HANDED_OVER = "the former process handed nothing over"
MAX_UPGRADES = 3


class ProcessStub:
    """The coordinator of one process, with stubs of the components that it acts on."""

    def __init__(self, folder: Path, listener: socket.socket | None = None) -> None:
        self.clock = Clock(lambda: NOW_MS / 1000.0, lambda: 0.0, "a-boot")
        self.file = HandoverFile(str(folder))
        self.router = Driver().router
        self.register = MaintenanceRegister()
        self.received_requests: list[AdminRequest] = []
        self.refused_until_ms = 0.0
        self.learned_states: list[LearnedState | None] = []
        director: Any = SimpleNamespace(
            register=self.register,
            router=self.router,
            rev=1,
            watch_events=list,
            keys=SimpleNamespace(
                retention_ms=RETENTION_MS, snapshot=lambda now: {}, take_over=lambda keys: None
            ),
            reject_keys_until=self._reject_keys_until,
        )
        self.client_listener: Any = SimpleNamespace(
            cap=1, max_buffered_bytes=1.0, drain=SimpleNamespace(requested_ms=0.0), listener=listener
        )
        admin_handler: Any = SimpleNamespace(apply_from_peer=self.received_requests.append)
        pool: Any = SimpleNamespace(cap=1, shrink=lambda limit: None)
        self.coordinator = coordinator.RestartCoordinator(
            str(folder),
            NAME,
            self.clock,
            director,
            pool,
            self.client_listener,
            admin_handler,
            settings_changes(self.clock),
            lambda: None,
        )

    def _reject_keys_until(self, until_ms: float) -> None:
        self.refused_until_ms = until_ms

    @property
    def budgets(self) -> tuple[float, float, list[float]]:
        credits = [store.tokens.credit for store in self.router.stores.values()]
        return self.router.budgets.retries, self.router.budgets.hedges, credits

    async def connect(self, request_count: int) -> None:
        """Connects as a new process does, and waits until it has received that many requests."""
        listener = self.coordinator.connect()
        assert listener is not None
        listener.close()
        handover = self.coordinator._inherited_handover
        self.learned_states = [handover.learned_state if handover is not None else None]
        await wait_until(lambda: len(self.received_requests) >= request_count)
        self.coordinator.close()


def failing_for_handover(call: Callable[..., Any], error: int) -> Any:
    """Returns the same call, except that it fails for the temporary file of a handover."""

    def fail(path: Any, *args: Any, **kwargs: Any) -> Any:
        if f"{FILE_NAME}." in str(path):
            raise OSError(error, os.strerror(error))
        return call(path, *args, **kwargs)

    return fail


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("call", ["open", "replace"])
@pytest.mark.parametrize("has_earlier", [True, False])
def test_a_new_process_distrusts_an_outdated_or_missing_handover(
    error: int,
    call: str,
    has_earlier: bool,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The old process keeps its budgets, and sends the requests that are missing from the file."""

    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            old = ProcessStub(tmp_path, listener)
            if has_earlier:  # a handover of the last upgrade
                old.register.take_out("c2", NOW_MS)
                old.coordinator.hand_over()
            old.register.take_out("c1", NOW_MS)
            old.router.stores["c0"].tokens.credit = 80.0
            before = old.budgets
            old.coordinator.listen()
            new = ProcessStub(tmp_path)
            with monkeypatch.context() as broken:
                broken.setattr(os, call, failing_for_handover(getattr(os, call), error))
                await asyncio.to_thread(lambda: asyncio.run(new.connect(1)))
            old.coordinator.close()
            assert old.budgets == before
            assert new.received_requests == [AdminRequest(AdminAction.MAINT, "c1")]
            assert new.refused_until_ms == new.clock.now() + RETENTION_MS
            assert new.learned_states == [None], "the learned state in the file was given to another process"
            assert ("c2" in new.register.out) == has_earlier
            assert caplog.text.count("not stored: ") == caplog.text.count(NO_HANDOVER_STORED) == 1

    asyncio.run(run())


def test_a_new_process_applies_the_whole_handover_that_was_written_for_it(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            old, new = ProcessStub(tmp_path, listener), ProcessStub(tmp_path)
            old.register.take_out("c1", NOW_MS)
            old.coordinator.hand_over()  # an earlier handover
            before = old.budgets
            old.coordinator.listen()
            await asyncio.to_thread(lambda: asyncio.run(new.connect(0)))
            old.coordinator.close()
            assert old.budgets[0] == before[0] / 2.0
            assert (
                not new.received_requests and not new.refused_until_ms and new.register.out.keys() == {"c1"}
            )
            assert new.learned_states != [None] and NO_HANDOVER_STORED not in caplog.text

    asyncio.run(run())


def test_the_event_loop_does_not_wait_while_a_request_is_stored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A busy disk once blocked the event loop of a director for 300 ms while a request was written."""
    write_started, release, real_open = threading.Event(), threading.Event(), os.open

    def slow_open(path: Any, *args: Any, **kwargs: Any) -> int:
        if f"{FILE_NAME}." in str(path):
            write_started.set()
            assert release.wait(5.0)
        return real_open(path, *args, **kwargs)

    async def run() -> None:
        process = ProcessStub(tmp_path)
        monkeypatch.setattr(os, "open", slow_open)
        for store in ("c0", "c1"):  # the second request arrives while the first is being written
            process.register.take_out(store, NOW_MS)
            process.coordinator.share_admin_request(AdminRequest(AdminAction.MAINT, store))
            await wait_until(write_started.is_set)
        assert process.file.read(NAME) is None, "the event loop continues during the write"
        release.set()
        await wait_until(
            lambda: (stored := process.file.read(NAME)) is not None
            and len(stored.maintenance_started_ms) == 2
        )
        process.coordinator.close()

    asyncio.run(run())


def test_a_delayed_write_does_not_replace_a_later_handover(tmp_path: Path) -> None:
    file = HandoverFile(str(tmp_path))
    earlier, later = Handover(NAME, NOW_MS), Handover(NAME, NOW_MS, {"c1": NOW_MS})
    assert file.write_numbered(2, later) and file.write_numbered(1, earlier)
    assert file.read(NAME) == later
    assert file.write_numbered(3, earlier) and file.read(NAME) == earlier


def test_a_request_received_while_the_process_ends_is_stored(tmp_path: Path) -> None:
    async def run() -> None:
        process = ProcessStub(tmp_path)
        process.register.take_out("c1", NOW_MS)
        process.coordinator.share_admin_request(AdminRequest(AdminAction.MAINT, "c1"))
        process.coordinator.close()
        stored = process.file.read(NAME)
        assert stored is not None and stored.maintenance_started_ms.keys() == {"c1"}

    asyncio.run(run())


@pytest.mark.parametrize(
    ("stored", "maintenance_started_ms", "maintenance_ended_ms", "is_draining", "expected"),
    [
        (None, {}, {}, False, []),
        (None, {"a": 1.0}, {"b": 2.0}, True, ["maint b", "ready b", "maint a", "fail"]),
        (Handover(NAME, 1.0, {"a": 1.0}, {"b": 2.0}, 3.0), {"a": 1.0}, {"b": 2.0}, True, []),
        (Handover(NAME, 1.0, {"a": 1.0}), {}, {"a": 2.0}, False, ["maint a", "ready a"]),
        (Handover(NAME, 1.0, {}, {"a": 1.0}), {"a": 2.0}, {}, False, ["maint a"]),
        (Handover(NAME, 1.0, {}, {"a": 1.0}), {}, {"a": 2.0}, False, ["maint a", "ready a"]),
        (Handover(NAME, 1.0, draining_since_ms=1.0), {}, {}, False, ["ok"]),
    ],
)
def test_requests_that_are_missing_from_a_stored_handover(
    stored: Handover | None,
    maintenance_started_ms: dict[str, float],
    maintenance_ended_ms: dict[str, float],
    is_draining: bool,
    expected: list[str],
) -> None:
    missing = missing_requests(stored, maintenance_started_ms, maintenance_ended_ms, is_draining)
    assert [f"{request.action.value} {request.store}".strip() for request in missing] == expected


def lengthen_key_retention(processes: Upgrade) -> None:
    """Makes processes that start from now on refuse unknown keys for longer than any step of a test takes on
    a busy machine. With the usual settings they would accept such keys as new ones 5 s after the start, which
    is correct, because no client retries that late."""
    processes.director.raw["settings"]["classes"][1]["deadline_ms"] = 1000.0 * 10 * START_S


async def has_upgraded_without_handover(has_earlier: bool) -> bool:
    """Upgrades while the handover cannot be written, and checks that no retry is sent past its window.

    Returns false if a busy machine delayed the old process for longer than the new one waits for its reply.
    """
    origin = Origin()
    async with upgrade(origin, 1, has_parent=False) as processes:
        director = processes.director
        if has_earlier:  # a request is written at once
            assert (await director.call("POST", "/caches/r0/ready", 0))[0] == 200
        first_attempt_s = await processes.send_first_attempt(0, 300)
        # A folder of this name prevents the old process from opening its temporary file.
        (director.folder / f"{FILE_NAME}.{director.all[0].pid}").mkdir()
        assert (await director.call("POST", "/caches/c0/maint", 0))[0] == 200
        lengthen_key_retention(processes)
        await director.start()
        await director.serving()
        if NOTHING_HANDED_OVER in director.log(1):
            return False
        processes.clients.clear()
        for number in range(2):
            await processes.connect(number)
        await wait_past_window(first_attempt_s)
        attempt_count = len(origin.attempt_times_s)
        assert await processes.write(1) in (1, 2)
        assert len(origin.attempt_times_s) == attempt_count, director.log(1)
        assert (await director.figures(1))["hosts_down"] == 1
        assert director.log(0).count("hand-over not stored") == 1
        assert director.log(1).count(NO_HANDOVER_STORED) == 1
        return True


@pytest.mark.parametrize("has_earlier", [True, False])
def test_no_retry_is_sent_past_its_window_after_a_failed_handover_write(
    has_earlier: bool,
) -> None:
    """The old process sent the first attempt, and the new one gets no information about it."""

    @async_test
    async def test() -> None:
        for _ in range(MAX_UPGRADES):
            if await has_upgraded_without_handover(has_earlier):
                return
        raise AssertionError(f"the new process got no reply from the old one in {MAX_UPGRADES} upgrades")

    test()


@pytest.mark.parametrize("has_earlier", [True, False])
def test_no_retry_is_sent_past_its_window_after_an_unresponsive_old_process(
    has_earlier: bool,
) -> None:
    """The old process is stopped (SIGSTOP) while the new one connects. The fault was that the new process
    then accepted a key that the old one had tried as a new key."""

    @async_test
    async def test() -> None:
        origin = Origin()
        async with upgrade(origin, 1) as processes:
            director = processes.director
            if has_earlier:  # a handover from before the attempt
                assert (await director.call("POST", "/caches/r0/ready", 0))[0] == 200
            first_attempt_s = await processes.send_first_attempt(0, 300)
            director.all[0].send_signal(signal.SIGSTOP)
            lengthen_key_retention(processes)
            await director.start()
            await director.serving()
            director.all[0].kill()  # otherwise clients would also reach its listening socket
            await director.all[0].wait()
            await processes.connect(1)
            await wait_past_window(first_attempt_s)
            attempt_count = len(origin.attempt_times_s)
            assert await processes.write(1) in (1, 2)
            assert len(origin.attempt_times_s) == attempt_count, director.log(1)
            assert director.log(1).count(NOTHING_HANDED_OVER) == 1

    test()


@pytest.mark.parametrize("answer", [None, b"", b"nonsense\n"])
@pytest.mark.parametrize("has_earlier", [True, False])
def test_a_new_process_refuses_keys_if_the_old_one_hands_nothing_over(
    answer: bytes | None, has_earlier: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old process sends `answer` and closes the connection, or if it is None sends nothing and keeps it
    open."""
    monkeypatch.setattr(rendezvous_socket, "REPLY_TIMEOUT_S", 0.05 if answer is None else 5.0)
    new = ProcessStub(tmp_path)
    if has_earlier:
        earlier = Handover(NAME, NOW_MS, {"c2": NOW_MS}, learned_state=split_learned_state(new.router))
        assert new.file.write(to_shared_time(earlier, new.clock))

    def run_old_process(listener: socket.socket) -> None:
        with listener.accept()[0] as sock:
            sock.recv(4096)
            if answer is None:
                sock.recv(1)  # until the new process disconnects
            elif answer:
                sock.sendall(answer)

    async def run() -> None:
        assert new.coordinator.connect() is None
        assert new.refused_until_ms == new.clock.now() + RETENTION_MS
        assert ("c2" in new.register.out) == has_earlier
        inherited = new.coordinator._inherited_handover
        assert (
            inherited is None or inherited.learned_state is None
        ), "its budgets may have been given to another process"
        new.coordinator.close()

    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listener:
        listener.bind(str(tmp_path / rendezvous_socket.SOCKET_NAME))
        listener.listen(1)
        old_process = threading.Thread(target=run_old_process, args=(listener,))
        old_process.start()
        asyncio.run(run())
        old_process.join()


@pytest.mark.parametrize("has_stale_socket", [True, False])
def test_a_process_without_predecessor_refuses_no_key(tmp_path: Path, has_stale_socket: bool) -> None:
    if has_stale_socket:  # of a process that was killed
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listener:
            listener.bind(str(tmp_path / rendezvous_socket.SOCKET_NAME))
            listener.listen(1)

    async def run() -> None:
        new = ProcessStub(tmp_path)
        assert new.coordinator.connect() is None
        assert not new.refused_until_ms
        new.coordinator.close()

    asyncio.run(run())
