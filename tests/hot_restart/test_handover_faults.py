"""The hand-over file while its folder takes nothing for a while, also as a new process comes."""

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
from disk_faults import said_once
from harness import trial, until
from test_keys_across_processes import Origin, Upgrade, past_window, upgrade

from gladelane.admin.maintenance import MaintenanceRegister
from gladelane.admin.requests import AdminAction, AdminRequest
from gladelane.clock import Clock
from gladelane.hot_restart import coordinator, rendezvous_socket
from gladelane.hot_restart.handover import Handover, missing_requests, to_shared_time
from gladelane.hot_restart.handover_file import FILE_NAME, HandoverFile
from gladelane.hot_restart.learnt import Learnt, split_off
from gladelane.lab.processes import START_S

NOW_MS = 1.7e12
NAME = "n0 a:1"


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("call", ["open", "replace"])
def test_a_hand_over_that_cannot_be_written_leaves_the_one_before_and_is_written_once_it_can(
    error: int, call: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    def failing(*given: Any, **more: Any) -> Any:
        raise OSError(error, os.strerror(error))

    file = HandoverFile(str(tmp_path))
    document = Handover(NAME, NOW_MS, {"c1": NOW_MS})
    assert file.write(document)
    later = msgspec.structs.replace(document, out={"c2": NOW_MS})
    with monkeypatch.context() as broken:
        broken.setattr(os, call, failing)
        assert not any(file.write(later) for _ in range(3))
    assert file.read(NAME) == document
    assert [path.name for path in tmp_path.iterdir()] == [FILE_NAME], "a partial file would only take space"
    assert file.write(later) and file.read(NAME) == later
    assert said_once(caplog, "upgrade: the hand-over")


def test_an_order_given_while_the_folder_takes_nothing_is_in_the_hand_over_once_it_does(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def failing(*given: Any) -> None:
        raise OSError(errno.EIO, "Input/output error")

    monkeypatch.setattr(coordinator, "WRITE_RETRY_S", 0.01)
    out: dict[str, float] = {}
    director: Any = SimpleNamespace(
        register=SimpleNamespace(out=out, back={}),
        rev=1,
        watch_events=list,
        keys=SimpleNamespace(snapshot=lambda now: {}),
        router=SimpleNamespace(cold=SimpleNamespace(parts=1)),
    )
    front: Any = SimpleNamespace(cap=1, max_buffered_bytes=1.0, drain=SimpleNamespace(failed_ms=0.0))
    part: Any = SimpleNamespace(cap=1)

    clock = Clock(lambda: NOW_MS / 1000.0, lambda: 0.0, "a-boot")
    file = HandoverFile(str(tmp_path))

    async def scene() -> None:
        one = coordinator.RestartCoordinator(str(tmp_path), NAME, clock, director, part, front, part)
        with monkeypatch.context() as broken:
            broken.setattr(os, "replace", failing)
            out["c1"] = NOW_MS
            one.share_admin_request(AdminRequest(AdminAction.MAINT, "c1"))
            await asyncio.sleep(0.05)
            assert file.read(NAME) is None
        await asyncio.sleep(0.05)
        stored = file.read(NAME)
        assert stored is not None and stored.out == {"c1": NOW_MS}
        one.close()

    asyncio.run(scene())


# --- a new process comes while the folder takes nothing


RETENTION_MS = 5000.0
UNSTORED = "the former process stored no hand-over"
SILENT = "the former process gave nothing over"
MEETINGS = 3


class Side:
    """One process's part in a meeting, with what it would act on."""

    def __init__(self, folder: Path, listener: socket.socket | None = None) -> None:
        self.clock = Clock(lambda: NOW_MS / 1000.0, lambda: 0.0, "a-boot")
        self.file = HandoverFile(str(folder))
        self.router = Driver().router
        self.register = MaintenanceRegister()
        self.heard: list[AdminRequest] = []
        self.refused_until_ms = 0.0
        self.taken: list[Learnt | None] = []
        director: Any = SimpleNamespace(
            register=self.register,
            router=self.router,
            rev=1,
            watch_events=list,
            keys=SimpleNamespace(
                retention_ms=RETENTION_MS, snapshot=lambda now: {}, take_over=lambda keys: None
            ),
            refuse_keyed_until=self._refuse_keyed_until,
        )
        self.front: Any = SimpleNamespace(
            cap=1, max_buffered_bytes=1.0, drain=SimpleNamespace(failed_ms=0.0), listener=listener
        )
        admin_handler: Any = SimpleNamespace(apply_from_peer=self.heard.append)
        part: Any = SimpleNamespace(cap=1, shrink=lambda most: None)
        self.coordinator = coordinator.RestartCoordinator(
            str(folder), NAME, self.clock, director, part, self.front, admin_handler
        )

    def _refuse_keyed_until(self, until_ms: float) -> None:
        self.refused_until_ms = until_ms

    @property
    def budgets(self) -> tuple[float, float, list[float]]:
        left = [store.tokens.credit for store in self.router.stores.values()]
        return self.router.budgets.retries, self.router.budgets.hedges, left

    async def meet(self, orders: int) -> None:
        """As a new process does, until it has heard so many orders."""
        given = self.coordinator.connect()
        assert given is not None
        given.close()
        handed = self.coordinator._inherited
        self.taken = [handed.learnt if handed is not None else None]
        await until(lambda: len(self.heard) >= orders)
        self.coordinator.close()


def failing_for_hand_over(call: Callable[..., Any], error: int) -> Any:
    """The same call, but for what is about to become the hand-over."""

    def fail(path: Any, *given: Any, **more: Any) -> Any:
        if f"{FILE_NAME}." in str(path):
            raise OSError(error, os.strerror(error))
        return call(path, *given, **more)

    return fail


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("call", ["open", "replace"])
@pytest.mark.parametrize("has_earlier", [True, False])
def test_a_new_process_that_finds_no_hand_over_of_the_meeting_reads_with_care(
    error: int,
    call: str,
    has_earlier: bool,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The old one keeps its budgets and tells the orders that are not in the file."""

    async def scene() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            old = Side(tmp_path, listener)
            if has_earlier:  # the last upgrade's
                old.register.take_out("c2", NOW_MS)
                old.coordinator.hand_over()
            old.register.take_out("c1", NOW_MS)
            old.router.stores["c0"].tokens.credit = 80.0
            before = old.budgets
            old.coordinator.listen()
            new = Side(tmp_path)
            with monkeypatch.context() as broken:
                broken.setattr(os, call, failing_for_hand_over(getattr(os, call), error))
                await asyncio.to_thread(lambda: asyncio.run(new.meet(1)))
            old.coordinator.close()
            assert old.budgets == before
            assert new.heard == [AdminRequest(AdminAction.MAINT, "c1")]
            assert new.refused_until_ms == new.clock.now() + RETENTION_MS
            assert new.taken == [None], "what is in the file was given to another process"
            assert ("c2" in new.register.out) == has_earlier
            assert caplog.text.count("not stored: ") == caplog.text.count(UNSTORED) == 1

    asyncio.run(scene())


def test_a_new_process_that_finds_the_hand_over_of_the_meeting_takes_it_whole(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            old, new = Side(tmp_path, listener), Side(tmp_path)
            old.register.take_out("c1", NOW_MS)
            old.coordinator.hand_over()  # an earlier one
            before = old.budgets
            old.coordinator.listen()
            await asyncio.to_thread(lambda: asyncio.run(new.meet(0)))
            old.coordinator.close()
            assert old.budgets[0] == before[0] / 2.0
            assert not new.heard and not new.refused_until_ms and new.register.out.keys() == {"c1"}
            assert new.taken != [None] and UNSTORED not in caplog.text

    asyncio.run(scene())


def test_no_request_waits_for_an_order_to_be_stored(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A busy disk held up the loop of a director for 300 ms as an order was written."""
    written, release, opened = threading.Event(), threading.Event(), os.open

    def slow(path: Any, *given: Any, **more: Any) -> int:
        if f"{FILE_NAME}." in str(path):
            written.set()
            assert release.wait(5.0)
        return opened(path, *given, **more)

    async def scene() -> None:
        side = Side(tmp_path)
        monkeypatch.setattr(os, "open", slow)
        for store in ("c0", "c1"):  # the second comes while the first is being written
            side.register.take_out(store, NOW_MS)
            side.coordinator.share_admin_request(AdminRequest(AdminAction.MAINT, store))
            await until(written.is_set)
        assert side.file.read(NAME) is None, "the loop goes on while it is written"
        release.set()
        await until(lambda: (stored := side.file.read(NAME)) is not None and len(stored.out) == 2)
        side.coordinator.close()

    asyncio.run(scene())


def test_an_order_that_is_being_stored_does_not_replace_a_later_hand_over(tmp_path: Path) -> None:
    file = HandoverFile(str(tmp_path))
    earlier, later = Handover(NAME, NOW_MS), Handover(NAME, NOW_MS, {"c1": NOW_MS})
    assert file.write_numbered(2, later) and file.write_numbered(1, earlier)
    assert file.read(NAME) == later
    assert file.write_numbered(3, earlier) and file.read(NAME) == earlier


def test_an_order_given_as_the_process_ends_is_stored(tmp_path: Path) -> None:
    async def scene() -> None:
        side = Side(tmp_path)
        side.register.take_out("c1", NOW_MS)
        side.coordinator.share_admin_request(AdminRequest(AdminAction.MAINT, "c1"))
        side.coordinator.close()
        stored = side.file.read(NAME)
        assert stored is not None and stored.out.keys() == {"c1"}

    asyncio.run(scene())


@pytest.mark.parametrize(
    ("stored", "out", "back", "is_draining", "expected"),
    [
        (None, {}, {}, False, []),
        (None, {"a": 1.0}, {"b": 2.0}, True, ["maint b", "ready b", "maint a", "fail"]),
        (Handover(NAME, 1.0, {"a": 1.0}, {"b": 2.0}, 3.0), {"a": 1.0}, {"b": 2.0}, True, []),
        (Handover(NAME, 1.0, {"a": 1.0}), {}, {"a": 2.0}, False, ["maint a", "ready a"]),
        (Handover(NAME, 1.0, {}, {"a": 1.0}), {"a": 2.0}, {}, False, ["maint a"]),
        (Handover(NAME, 1.0, {}, {"a": 1.0}), {}, {"a": 2.0}, False, ["maint a", "ready a"]),
        (Handover(NAME, 1.0, failed_ms=1.0), {}, {}, False, ["ok"]),
    ],
)
def test_the_orders_that_a_stored_hand_over_lacks(
    stored: Handover | None,
    out: dict[str, float],
    back: dict[str, float],
    is_draining: bool,
    expected: list[str],
) -> None:
    lacking = missing_requests(stored, out, back, is_draining)
    assert [f"{call.action.value} {call.store}".strip() for call in lacking] == expected


def remember_for_long(made: Upgrade) -> None:
    """A process that starts from now on refuses keys that it may not know for longer than any step of a test
    takes on a busy machine. Usual settings would let it take them for new ones 5 s after its start, which is right:
    no client asks so late."""
    made.director.raw["settings"]["classes"][1]["deadline_ms"] = 1000.0 * 10 * START_S


async def is_met_without_a_hand_over(has_earlier: bool) -> bool:
    """False where a busy machine held the old process up for longer than a new one waits for it: they never met."""
    origin = Origin()
    async with upgrade(origin, 1, has_parent=False) as made:
        director = made.director
        if has_earlier:  # an order is written at once
            assert (await director.call("POST", "/caches/r0/ready", 0))[0] == 200
        tried = await made.first_try(0, 300)
        (director.folder / f"{FILE_NAME}.{director.all[0].pid}").mkdir()  # it cannot be opened
        assert (await director.call("POST", "/caches/c0/maint", 0))[0] == 200
        remember_for_long(made)
        await director.start()
        await director.serving()
        if SILENT in director.log(1):
            return False
        made.clients.clear()
        for number in range(2):
            await made.connect(number)
        await past_window(tried)
        arrived = len(origin.tries)
        assert await made.write(1) in (1, 2)
        assert len(origin.tries) == arrived, director.log(1)
        assert (await director.figures(1))["hosts_down"] == 1
        assert director.log(0).count("hand-over not stored") == 1
        assert director.log(1).count(UNSTORED) == 1
        return True


@pytest.mark.parametrize("has_earlier", [True, False])
def test_no_key_is_tried_past_its_window_after_a_hand_over_that_could_not_be_written(
    has_earlier: bool,
) -> None:
    """The first try left the old process; nothing tells the new one of it."""

    @trial
    async def test() -> None:
        for _ in range(MEETINGS):
            if await is_met_without_a_hand_over(has_earlier):
                return
        raise AssertionError(f"the two processes did not meet in {MEETINGS} trials")

    test()


@pytest.mark.parametrize("has_earlier", [True, False])
def test_no_key_is_tried_past_its_window_after_an_old_process_that_gave_nothing_over(
    has_earlier: bool,
) -> None:
    """It stands still as the new one asks it. The new one took the key of its try for a new key."""

    @trial
    async def test() -> None:
        origin = Origin()
        async with upgrade(origin, 1) as made:
            director = made.director
            if has_earlier:  # a hand-over of before the try
                assert (await director.call("POST", "/caches/r0/ready", 0))[0] == 200
            tried = await made.first_try(0, 300)
            director.all[0].send_signal(signal.SIGSTOP)
            remember_for_long(made)
            await director.start()
            await director.serving()
            director.all[0].kill()  # else clients would reach its own listening socket too
            await director.all[0].wait()
            await made.connect(1)
            await past_window(tried)
            arrived = len(origin.tries)
            assert await made.write(1) in (1, 2)
            assert len(origin.tries) == arrived, director.log(1)
            assert director.log(1).count(SILENT) == 1

    test()


@pytest.mark.parametrize("answer", [None, b"", b"nonsense\n"])
@pytest.mark.parametrize("has_earlier", [True, False])
def test_a_new_process_refuses_keys_after_an_old_one_that_gave_nothing_over(
    answer: bytes | None, has_earlier: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """`answer`: what it says before it hangs up; None where it says nothing and keeps the connection."""
    monkeypatch.setattr(rendezvous_socket, "REPLY_TIMEOUT_S", 0.05 if answer is None else 5.0)
    new = Side(tmp_path)
    if has_earlier:
        earlier = Handover(NAME, NOW_MS, {"c2": NOW_MS}, learnt=split_off(new.router))
        assert new.file.write(to_shared_time(earlier, new.clock))

    def old(listener: socket.socket) -> None:
        with listener.accept()[0] as sock:
            sock.recv(4096)
            if answer is None:
                sock.recv(1)  # until the new one leaves
            elif answer:
                sock.sendall(answer)

    async def scene() -> None:
        assert new.coordinator.connect() is None
        assert new.refused_until_ms == new.clock.now() + RETENTION_MS
        assert ("c2" in new.register.out) == has_earlier
        inherited = new.coordinator._inherited
        assert inherited is None or inherited.learnt is None, "its budgets may be another process's"
        new.coordinator.close()

    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listener:
        listener.bind(str(tmp_path / rendezvous_socket.SOCKET_NAME))
        listener.listen(1)
        answering = threading.Thread(target=old, args=(listener,))
        answering.start()
        asyncio.run(scene())
        answering.join()


@pytest.mark.parametrize("has_left_its_socket", [True, False])
def test_a_process_with_none_before_it_refuses_no_key(tmp_path: Path, has_left_its_socket: bool) -> None:
    if has_left_its_socket:  # it was killed
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as listener:
            listener.bind(str(tmp_path / rendezvous_socket.SOCKET_NAME))
            listener.listen(1)

    async def scene() -> None:
        new = Side(tmp_path)
        assert new.coordinator.connect() is None
        assert not new.refused_until_ms
        new.coordinator.close()

    asyncio.run(scene())
