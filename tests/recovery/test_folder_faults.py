"""A director's durable folder under transient disk faults, and after steps of the wall clock between two
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
from disk_faults import FAULTS, UNSYNCED_LOG_FAULTS, fault, has_one_outage_logged

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
from gladelane.storage.boot import BootTimestamp
from gladelane.storage.files import Disk, Folder

RETENTION_MS = 10_000.0
WINDOW_MS = 6_000.0
HOUR_MS = 3_600_000.0


class Machine:
    """The clocks of one machine: wall clock and time since the boot."""

    def __init__(self, wall_ms: float = 1.7e12, since_boot_ms: float = 50_000.0, boot: str = "boot") -> None:
        self.wall_ms, self.since_boot_ms, self.boot = wall_ms, since_boot_ms, boot

    def wall_clock(self) -> float:
        return self.wall_ms

    def boot_clock(self) -> BootTimestamp:
        return BootTimestamp(self.boot, self.since_boot_ms)

    def wait(self, ms: float) -> None:
        self.wall_ms += ms
        self.since_boot_ms += ms

    def key_log(self, disk: Disk) -> KeyLog:
        return KeyLog(disk, self.wall_clock, RETENTION_MS, self.boot_clock)

    def write(self, key_log: KeyLog, key: str) -> None:
        self.wait(100.0)
        key_log.write(key, self.wall_ms, "root")


@pytest.mark.parametrize("name", UNSYNCED_LOG_FAULTS)
def test_keys_are_stored_once_a_transient_disk_fault_ends(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    machine, disk = Machine(), SimDisk()
    key_log = machine.key_log(disk)
    machine.write(key_log, "before")
    disk.fault = FAULTS[name]
    for key in ("during", "later"):
        machine.write(key_log, key)
    killed = machine.key_log(disk.after_kill())
    assert "before" in killed.recovered_attempts
    assert (
        killed.is_incomplete or key_log.would_lose_keys
    ), "either the next process or the running one must reject new keys"
    disk.fault = None
    key_log.write_pending()
    assert not key_log.would_lose_keys
    restarted = machine.key_log(disk.after_kill())
    assert (
        restarted.recovered_attempts.keys() == {"before", "during", "later"} and not restarted.is_incomplete
    )
    assert has_one_outage_logged(caplog, "idempotency keys")


def test_a_folder_in_the_file_system_has_its_marker_from_the_first_start_on(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    machine, folder = Machine(), Folder(tmp_path)
    key_log = machine.key_log(folder)
    assert folder.names() == ["keys-0", "whole"]
    machine.write(key_log, "key")
    folder.close()
    assert "key" in machine.key_log(Folder(tmp_path)).recovered_attempts and not caplog.records


def test_no_key_is_lost_unnoticed_by_a_fault_at_each_operation_and_a_kill_at_each_later_one() -> None:
    def run(disk: SimDisk, machine: Machine, attempts: dict[str, float]) -> Iterator[KeyLog]:
        key_log = machine.key_log(disk)
        for n in range(12):
            machine.wait(2_500.0)  # so that both files are used
            if not key_log.would_lose_keys:
                attempts[f"k{n}"] = machine.wall_ms
                key_log.write(f"k{n}", machine.wall_ms, "root")
            key_log.write_pending()
            yield key_log

    def count_operations(fault_range: Fault | None) -> int:
        disk = SimDisk(fault=fault_range)
        list(run(disk, Machine(), {}))
        return disk.operations

    points = 0
    for failing in (EVERY_OPERATION, frozenset({Operation.APPEND, Operation.OPEN, Operation.TRUNCATE})):
        for first in range(1, count_operations(None) + 1):
            for fault_count in (1, 4):
                fault_range = Fault(errno.EIO, failing, first, first + fault_count - 1)
                for crash_at in range(first + 1, count_operations(fault_range) + 1):
                    disk, machine, attempts = (
                        SimDisk(crash_at, fault=fault_range),
                        Machine(),
                        dict[str, float](),
                    )
                    would_lose_keys = False
                    with suppress(Crash):
                        for key_log in run(disk, machine, attempts):
                            would_lose_keys = key_log.would_lose_keys
                    killed = machine.key_log(disk.after_kill())
                    live = {
                        key for key, ran_ms in attempts.items() if machine.wall_ms - ran_ms <= RETENTION_MS
                    }
                    live -= (
                        {list(attempts)[-1]} if attempts else set()
                    )  # the kill may have come before this attempt was sent
                    assert (
                        live <= killed.recovered_attempts.keys() or killed.is_incomplete or would_lose_keys
                    ), (
                        first,
                        crash_at,
                    )
                    points += 1
    assert points > 500


def test_keys_of_the_previous_process_survive_a_kill_while_a_start_rewrites_them() -> None:
    machine, disk = Machine(), SimDisk()
    machine.write(machine.key_log(disk), "key")
    for crash_at in range(1, 8):
        disk_after_kill = disk.after_kill()
        disk_after_kill.crash_at = crash_at
        with suppress(Crash):
            machine.key_log(disk_after_kill)
        assert "key" in machine.key_log(disk_after_kill.after_kill()).recovered_attempts, crash_at


@pytest.mark.parametrize("step_ms", [0.0, HOUR_MS, -HOUR_MS, 4_000.0, -4_000.0, 50.0])
def test_a_step_of_the_wall_clock_between_two_processes_shifts_no_window(step_ms: float) -> None:
    machine, disk = Machine(), SimDisk()
    machine.write(machine.key_log(disk), "key")
    machine.wait(3_000.0)
    machine.wall_ms += step_ms
    (attempt,) = machine.key_log(disk).recovered_attempts["key"]
    assert attempt == (pytest.approx(machine.wall_ms - 3_000.0), "root")
    machine.wait(RETENTION_MS + 1.0)
    assert not machine.key_log(disk).recovered_attempts


@pytest.mark.parametrize("step_ms", [0.0, HOUR_MS, -HOUR_MS, -4_000.0])
def test_after_a_reboot_a_known_key_is_past_its_window_for_the_full_retention(
    step_ms: float,
) -> None:
    machine, disk = Machine(), SimDisk()
    machine.write(machine.key_log(disk), "key")
    rebooted = Machine(machine.wall_ms + step_ms, 1_000.0, "other")
    keys = KeyWindows(RETENTION_MS, 100)
    keys.take_over(rebooted.key_log(disk).recovered_attempts)
    for later_ms in (0.0, 5_000.0, RETENTION_MS):
        ran_ms, server = keys.first_attempt("key", rebooted.wall_ms + later_ms)
        assert server == "root" and is_past_window([ran_ms], rebooted.wall_ms + later_ms, WINDOW_MS, 0.0)
    assert keys.first_attempt("key", rebooted.wall_ms + RETENTION_MS + 1.0) == (0.0, "")


def test_a_kill_forgets_no_key_of_settings_that_came_after_the_start(tmp_path: Path) -> None:
    """The retention was that of the start, so with settings without keys then each key displaced those before."""
    machine, count = Machine(), 5
    without_keys = settings(
        classes=[{"name": "film", "effect": "safe", "aim_ms": 600.0, "deadline_ms": 5_000.0, "worth": 2.0}]
    )
    store = open_state_store(tmp_path, machine, Router(without_keys, 1))
    windows = KeyWindows(0.0, 100)
    store.restore(windows)
    windows.retention_ms = RETENTION_MS  # as `Director.retune` extends it
    for number in range(count):
        machine.wait(100.0)
        windows.may_have_run(f"key {number}", machine.wall_ms, "root")
    store.close()
    restarted = open_state_store(tmp_path, machine, make_router(machine.wall_ms))
    assert set(restarted.keys.recovered_attempts) == {f"key {number}" for number in range(count)}
    restarted.close()


# --- learned state


def make_router(now_ms: float) -> Router:
    router = Router(settings(), 1)
    router.handle(now_ms, Members(ListKind.COMPLETE, members()))
    return router


def make_busy_router(now_ms: float) -> Router:
    router = make_router(now_ms)
    for number in range(20):
        router.handle(now_ms, Request(number + 1, "film", number % 4 + 1, now_ms + 5_000.0, size_kb=100.0))
    router.stores["c0"].ejected_until_ms = now_ms + 2_000.0
    return router


def open_state_store(path: Path, machine: Machine, router: Router) -> StateStore:
    return StateStore(path, "n0", router, machine.wall_clock, 1_000.0, 60_000.0, machine.boot_clock)


@pytest.mark.parametrize("step_ms", [0.0, HOUR_MS, -HOUR_MS, 4_000.0, -4_000.0])
def test_age_and_timestamps_of_learned_state_are_right_after_a_step_of_the_wall_clock(
    tmp_path: Path, step_ms: float
) -> None:
    machine = Machine()
    first = open_state_store(tmp_path, machine, make_busy_router(machine.wall_ms))
    asyncio.run(first.write())
    first.close()
    machine.wait(1_000.0)
    machine.wall_ms += step_ms
    fresh = make_router(machine.wall_ms)
    second = open_state_store(tmp_path, machine, fresh)
    document = second._found_document
    assert (
        document is not None and document_age_ms(document, machine.wall_ms, machine.boot_clock()) == 1_000.0
    )
    second.restore(KeyWindows(RETENTION_MS, 100))
    second.close()
    assert second.is_warm and len(fresh.objects) == 4
    assert fresh.stores["c0"].ejected_until_ms == pytest.approx(machine.wall_ms + 1_000.0)


def folder_on(disks: dict[str, SimDisk]) -> Any:
    """A replacement for `Folder` that opens the simulated disk with the folder's name."""
    return lambda path: disks.setdefault(Path(path).name, SimDisk())


@pytest.mark.parametrize("name", FAULTS)
def test_learned_state_is_stored_by_the_next_write_after_a_disk_fault_ends(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    disks: dict[str, SimDisk] = {}
    monkeypatch.setattr(state_store_module, "Folder", folder_on(disks))
    machine = Machine()
    store = open_state_store(tmp_path, machine, make_busy_router(machine.wall_ms))
    asyncio.run(store.write())
    disks["learnt"].fault = FAULTS[name]
    for _ in range(3):
        machine.wait(1_000.0)
        asyncio.run(store.write())
    disks = {"learnt": disks["learnt"].after_kill()}
    monkeypatch.setattr(state_store_module, "Folder", folder_on(disks))
    killed = open_state_store(tmp_path, machine, make_router(machine.wall_ms))
    assert killed._found_document is not None, "the last snapshot before the fault must be kept"
    store._log._disk.fault = None  # type: ignore[attr-defined]
    machine.wait(1_000.0)
    asyncio.run(store.write())
    disks = {"learnt": store._log._disk.after_kill()}  # type: ignore[attr-defined]
    monkeypatch.setattr(state_store_module, "Folder", folder_on(disks))
    restarted = open_state_store(tmp_path, machine, make_router(machine.wall_ms))
    assert restarted._found_document is not None and restarted._found_document.written_ms == machine.wall_ms
    assert has_one_outage_logged(caplog, "warm start: learned state")


# --- rejection of new keys while used keys may be unknown


def test_a_start_with_an_incomplete_folder_rejects_new_keys_for_the_retention(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disks: dict[str, SimDisk] = {}
    monkeypatch.setattr(state_store_module, "Folder", folder_on(disks))
    machine, keys = Machine(), KeyWindows(RETENTION_MS, 100)
    first = open_state_store(tmp_path, machine, make_router(machine.wall_ms))
    first.restore(keys)
    disks["keys"].fault = fault(errno.ENOSPC, Operation.OPEN, Operation.APPEND)
    keys.may_have_run("unknown", machine.wall_ms, "root")
    assert not keys.is_full(["other"], machine.wall_ms), "the marker is set, so a full disk rejects no key"
    disks = {"keys": disks["keys"].after_kill()}
    monkeypatch.setattr(state_store_module, "Folder", folder_on(disks))
    settings_retention_ms = 9_000.0  # by the windows of the classes in the settings
    second, new_keys = (
        open_state_store(tmp_path, machine, make_router(machine.wall_ms)),
        KeyWindows(RETENTION_MS, 100),
    )
    second.restore(new_keys)
    for _ in range(2):
        assert new_keys.is_full(["unknown"], machine.wall_ms)
        machine.wait(settings_retention_ms / 2)
        second.watch_keys()
    assert not new_keys.is_full(["unknown"], machine.wall_ms)
    third = open_state_store(tmp_path, machine, make_router(machine.wall_ms))
    assert not third.keys.is_incomplete, "the marker must be cleared once no unknown key matters"


def test_new_keys_are_rejected_until_the_disk_recovers_if_the_marker_cannot_be_set(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disks: dict[str, SimDisk] = {}
    monkeypatch.setattr(state_store_module, "Folder", folder_on(disks))
    machine, keys = Machine(), KeyWindows(RETENTION_MS, 100)
    store = open_state_store(tmp_path, machine, make_router(machine.wall_ms))
    store.restore(keys)
    disks["keys"].fault = fault(errno.EIO)
    keys.may_have_run("first", machine.wall_ms, "root")
    assert keys.is_full(["next"], machine.wall_ms) and not keys.is_full(["first"], machine.wall_ms)
    disks["keys"].fault = None
    store.watch_keys()
    assert not keys.is_full(["next"], machine.wall_ms)
    assert "first" in machine.key_log(disks["keys"].after_kill()).recovered_attempts


class FakeDirector:
    """The attributes of a director that `Recovery` uses."""

    def __init__(self, router: Router) -> None:
        self.router, self.keys = router, KeyWindows(RETENTION_MS, 100)


def test_a_folder_unreadable_at_the_start_is_opened_later_with_old_and_new_keys(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    machine = Machine()
    first = open_state_store(tmp_path, machine, make_router(machine.wall_ms))
    first.keys.write("earlier", machine.wall_ms, "root")
    first.close()

    def failing(self: Folder, name: str) -> bytes:
        raise OSError(errno.EIO, "Input/output error")

    director: Any = FakeDirector(make_router(machine.wall_ms))
    options = Options(dir=str(tmp_path))
    with monkeypatch.context() as patched:
        patched.setattr(Folder, "read", failing)
        recovery = Recovery(options, "n0", director, None, machine.wall_clock, lambda: True)
    recovery.restore()
    assert recovery.state_store is None and director.keys.is_full(["new"], machine.wall_ms)
    director.keys.may_have_run("handed over", machine.wall_ms, "root")
    recovery._open_late()
    assert recovery.state_store is not None and not director.keys.is_full(["new"], machine.wall_ms)
    assert director.keys.first_attempt("earlier", machine.wall_ms)[1] == "root"
    recovery.state_store.close()
    assert {"earlier", "handed over"} <= KeyLog(
        Folder(tmp_path / "keys"), machine.wall_clock, RETENTION_MS
    ).recovered_attempts.keys()
    assert has_one_outage_logged(caplog, "warm start: state and keys")
