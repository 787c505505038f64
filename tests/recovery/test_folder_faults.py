"""A director's lasting folder while its disk takes nothing for a while, and when the wall clock was stepped between two
processes."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from conftest import members, settings
from disk_faults import FAULTS, UNSYNCED, fault, said_once

from gladelane.lab.simdisk import EVERY_OPERATION, Crash, Fault, Operation, SimDisk
from gladelane.recovery import state_store as state_store_module
from gladelane.recovery.key_log import KeyLog
from gladelane.recovery.options import Options
from gladelane.recovery.service import Recovery
from gladelane.recovery.state_store import StateStore
from gladelane.recovery.warm_start import document_age_ms
from gladelane.routing.events import ListKind, Members, Request
from gladelane.routing.idempotency import KeyWindows, is_past_window
from gladelane.routing.router import Router
from gladelane.storage.boot import BootMoment
from gladelane.storage.files import Disk, Folder

KEPT_MS = 10_000.0
WINDOW_MS = 6_000.0
HOUR_MS = 3_600_000.0


class Machine:
    """Clocks of one machine: what the wall shows, and how long ago it was started."""

    def __init__(self, wall_ms: float = 1.7e12, since_ms: float = 50_000.0, boot: str = "boot") -> None:
        self.wall_ms, self.since_ms, self.boot = wall_ms, since_ms, boot

    def clock(self) -> float:
        return self.wall_ms

    def moment(self) -> BootMoment:
        return BootMoment(self.boot, self.since_ms)

    def wait(self, ms: float) -> None:
        self.wall_ms += ms
        self.since_ms += ms

    def key_log(self, disk: Disk) -> KeyLog:
        return KeyLog(disk, self.clock, KEPT_MS, self.moment)

    def write(self, key_log: KeyLog, key: str) -> None:
        self.wait(100.0)
        key_log.write(key, self.wall_ms, "root")


@pytest.mark.parametrize("name", UNSYNCED)
def test_keys_that_could_not_be_stored_are_stored_once_the_disk_takes_them(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    machine, disk = Machine(), SimDisk()
    key_log = machine.key_log(disk)
    machine.write(key_log, "before")
    disk.fault = FAULTS[name]
    for key in ("during", "later"):
        machine.write(key_log, key)
    killed = machine.key_log(disk.after_kill())
    assert "before" in killed.found
    assert (
        killed.is_incomplete or key_log.would_lose_keys
    ), "who starts now, or who goes on, lets no new key in"
    disk.fault = None
    key_log.write_pending()
    assert not key_log.would_lose_keys
    again = machine.key_log(disk.after_kill())
    assert again.found.keys() == {"before", "during", "later"} and not again.is_incomplete
    assert said_once(caplog, "keys")


def test_a_folder_of_the_file_system_has_its_mark_from_the_first_start_on(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    machine, folder = Machine(), Folder(tmp_path)
    key_log = machine.key_log(folder)
    assert folder.names() == ["keys-0", "whole"]
    machine.write(key_log, "key")
    folder.close()
    assert "key" in machine.key_log(Folder(tmp_path)).found and not caplog.records


def test_a_fault_at_each_operation_and_a_kill_at_each_later_one_leave_no_key_that_nobody_knows_of() -> None:
    def play(disk: SimDisk, machine: Machine, tried: dict[str, float]) -> Iterator[KeyLog]:
        key_log = machine.key_log(disk)
        for n in range(12):
            machine.wait(2_500.0)  # so that files take turns
            if not key_log.would_lose_keys:
                tried[f"k{n}"] = machine.wall_ms
                key_log.write(f"k{n}", machine.wall_ms, "root")
            key_log.write_pending()
            yield key_log

    def operations(at: Fault | None) -> int:
        disk = SimDisk(fault=at)
        list(play(disk, Machine(), {}))
        return disk.operations

    points = 0
    for kinds in (EVERY_OPERATION, frozenset({Operation.APPEND, Operation.OPEN, Operation.TRUNCATE})):
        for first in range(1, operations(None) + 1):
            for span in (1, 4):
                at = Fault(errno.EIO, kinds, first, first + span - 1)
                for crash_at in range(first + 1, operations(at) + 1):
                    disk, machine, tried = SimDisk(crash_at, fault=at), Machine(), dict[str, float]()
                    blind = False
                    with suppress(Crash):
                        for key_log in play(disk, machine, tried):
                            blind = key_log.would_lose_keys
                    killed = machine.key_log(disk.after_kill())
                    live = {key for key, ran in tried.items() if machine.wall_ms - ran <= KEPT_MS}
                    live -= (
                        {list(tried)[-1]} if tried else set()
                    )  # it had not left yet where the kill came first
                    assert live <= killed.found.keys() or killed.is_incomplete or blind, (first, crash_at)
                    points += 1
    assert points > 500


def test_a_kill_while_a_start_writes_keys_anew_leaves_those_of_the_process_before() -> None:
    machine, disk = Machine(), SimDisk()
    machine.write(machine.key_log(disk), "key")
    for crash_at in range(1, 8):
        left = disk.after_kill()
        left.crash_at = crash_at
        with suppress(Crash):
            machine.key_log(left)
        assert "key" in machine.key_log(left.after_kill()).found, crash_at


@pytest.mark.parametrize("step_ms", [0.0, HOUR_MS, -HOUR_MS, 4_000.0, -4_000.0, 50.0])
def test_a_step_of_the_wall_clock_between_two_processes_moves_no_window(step_ms: float) -> None:
    machine, disk = Machine(), SimDisk()
    machine.write(machine.key_log(disk), "key")
    machine.wait(3_000.0)
    machine.wall_ms += step_ms
    (ran,) = machine.key_log(disk).found["key"]
    assert ran == (pytest.approx(machine.wall_ms - 3_000.0), "root")
    machine.wait(KEPT_MS + 1.0)
    assert not machine.key_log(disk).found


@pytest.mark.parametrize("step_ms", [0.0, HOUR_MS, -HOUR_MS, -4_000.0])
def test_after_another_start_of_the_machine_a_known_key_is_past_its_window_as_long_as_it_matters(
    step_ms: float,
) -> None:
    machine, disk = Machine(), SimDisk()
    machine.write(machine.key_log(disk), "key")
    other = Machine(machine.wall_ms + step_ms, 1_000.0, "other")
    keys = KeyWindows(KEPT_MS, 100)
    keys.take_over(other.key_log(disk).found)
    for later_ms in (0.0, 5_000.0, KEPT_MS):
        ran_ms, server = keys.first_attempt("key", other.wall_ms + later_ms)
        assert server == "root" and is_past_window([ran_ms], other.wall_ms + later_ms, WINDOW_MS, 0.0)
    assert keys.first_attempt("key", other.wall_ms + KEPT_MS + 1.0) == (0.0, "")


# --- what was learnt


def router(now_ms: float) -> Router:
    made = Router(settings(), 1)
    made.handle(now_ms, Members(ListKind.COMPLETE, members()))
    return made


def busy(now_ms: float) -> Router:
    made = router(now_ms)
    for number in range(20):
        made.handle(now_ms, Request(number + 1, "film", number % 4 + 1, now_ms + 5_000.0, size_kb=100.0))
    made.stores["c0"].ejected_until_ms = now_ms + 2_000.0
    return made


def state_store(path: Path, machine: Machine, routed: Router) -> StateStore:
    return StateStore(path, "n0", routed, machine.clock, 1_000.0, 60_000.0, machine.moment)


@pytest.mark.parametrize("step_ms", [0.0, HOUR_MS, -HOUR_MS, 4_000.0, -4_000.0])
def test_learnt_state_has_its_age_and_its_moments_whatever_the_wall_clock_shows(
    tmp_path: Path, step_ms: float
) -> None:
    machine = Machine()
    first = state_store(tmp_path, machine, busy(machine.wall_ms))
    asyncio.run(first.write())
    first.close()
    machine.wait(1_000.0)
    machine.wall_ms += step_ms
    fresh = router(machine.wall_ms)
    second = state_store(tmp_path, machine, fresh)
    told = second._stored
    assert told is not None and document_age_ms(told, machine.wall_ms, machine.moment()) == 1_000.0
    second.take_over(KeyWindows(KEPT_MS, 100))
    second.close()
    assert second.is_warm and len(fresh.objects) == 4
    assert fresh.stores["c0"].ejected_until_ms == pytest.approx(machine.wall_ms + 1_000.0)


def folders(disks: dict[str, SimDisk]) -> Any:
    return lambda path: disks.setdefault(Path(path).name, SimDisk())


@pytest.mark.parametrize("name", FAULTS)
def test_learnt_state_that_could_not_be_stored_is_stored_with_the_next_look(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    disks: dict[str, SimDisk] = {}
    monkeypatch.setattr(state_store_module, "Folder", folders(disks))
    machine = Machine()
    store = state_store(tmp_path, machine, busy(machine.wall_ms))
    asyncio.run(store.write())
    disks["learnt"].fault = FAULTS[name]
    for _ in range(3):
        machine.wait(1_000.0)
        asyncio.run(store.write())
    disks = {"learnt": disks["learnt"].after_kill()}
    monkeypatch.setattr(state_store_module, "Folder", folders(disks))
    killed = state_store(tmp_path, machine, router(machine.wall_ms))
    assert killed._stored is not None, "an older look is better than none"
    store._log._disk.fault = None  # type: ignore[attr-defined]
    machine.wait(1_000.0)
    asyncio.run(store.write())
    disks = {"learnt": store._log._disk.after_kill()}  # type: ignore[attr-defined]
    monkeypatch.setattr(state_store_module, "Folder", folders(disks))
    again = state_store(tmp_path, machine, router(machine.wall_ms))
    assert again._stored is not None and again._stored.written_ms == machine.wall_ms
    assert said_once(caplog, "warm start: learnt state")


# --- the careful answers


def test_a_start_whose_folder_lacks_keys_turns_new_ones_away_as_long_as_one_may_matter(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disks: dict[str, SimDisk] = {}
    monkeypatch.setattr(state_store_module, "Folder", folders(disks))
    machine, keys = Machine(), KeyWindows(KEPT_MS, 100)
    first = state_store(tmp_path, machine, router(machine.wall_ms))
    first.take_over(keys)
    disks["keys"].fault = fault(errno.ENOSPC, Operation.OPEN, Operation.APPEND)
    keys.may_have_run("unknown", machine.wall_ms, "root")
    assert not keys.is_full("other", machine.wall_ms), "a full disk turns nobody away: its mark is set"
    disks = {"keys": disks["keys"].after_kill()}
    monkeypatch.setattr(state_store_module, "Folder", folders(disks))
    kept_ms = 9_000.0  # of the settings
    again, later = state_store(tmp_path, machine, router(machine.wall_ms)), KeyWindows(KEPT_MS, 100)
    again.take_over(later)
    for _ in range(2):
        assert later.is_full("unknown", machine.wall_ms)
        machine.wait(kept_ms / 2)
        again.watch_keys()
    assert not later.is_full("unknown", machine.wall_ms)
    third = state_store(tmp_path, machine, router(machine.wall_ms))
    assert not third.keys.is_incomplete, "the mark is gone once nothing unknown matters"


def test_where_not_even_the_mark_can_be_set_new_keys_are_turned_away_until_the_disk_is_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disks: dict[str, SimDisk] = {}
    monkeypatch.setattr(state_store_module, "Folder", folders(disks))
    machine, keys = Machine(), KeyWindows(KEPT_MS, 100)
    store = state_store(tmp_path, machine, router(machine.wall_ms))
    store.take_over(keys)
    disks["keys"].fault = fault(errno.EIO)
    keys.may_have_run("first", machine.wall_ms, "root")
    assert keys.is_full("next", machine.wall_ms) and not keys.is_full("first", machine.wall_ms)
    disks["keys"].fault = None
    store.watch_keys()
    assert not keys.is_full("next", machine.wall_ms)
    assert "first" in machine.key_log(disks["keys"].after_kill()).found


class Director:
    """What `Recovery` asks of one."""

    def __init__(self, routed: Router) -> None:
        self.router, self.keys = routed, KeyWindows(KEPT_MS, 100)


def test_a_folder_that_cannot_be_read_at_the_start_is_opened_later_and_keys_of_both_are_known(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    machine = Machine()
    first = state_store(tmp_path, machine, router(machine.wall_ms))
    first.keys.write("earlier", machine.wall_ms, "root")
    first.close()

    def failing(self: Folder, name: str) -> bytes:
        raise OSError(errno.EIO, "Input/output error")

    director: Any = Director(router(machine.wall_ms))
    options = Options(dir=str(tmp_path))
    with monkeypatch.context() as broken:
        broken.setattr(Folder, "read", failing)
        recovery = Recovery(options, "n0", director, None, machine.clock, lambda: True)
    recovery.take_over()
    assert recovery.state_store is None and director.keys.is_full("new", machine.wall_ms)
    director.keys.may_have_run("handed over", machine.wall_ms, "root")
    recovery._open_late()
    assert recovery.state_store is not None and not director.keys.is_full("new", machine.wall_ms)
    assert director.keys.first_attempt("earlier", machine.wall_ms)[1] == "root"
    recovery.state_store.close()
    assert {"earlier", "handed over"} <= KeyLog(
        Folder(tmp_path / "keys"), machine.clock, KEPT_MS
    ).found.keys()
    assert said_once(caplog, "warm start: folder")
