"""Two processes of one director that started at different wall clocks, because of a step in between.

Windows of keyed requests and learned state have to be handed over regardless of the step.
"""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from harness import async_test, settings_changes, wait_until
from test_keys_across_processes import WINDOW_S, Origin, Upgrade, upgrade, wait_past_window

from gladelane.clock import Clock
from gladelane.hot_restart.coordinator import RestartCoordinator
from gladelane.hot_restart.messages import MAY_HAVE_RUN, NEVER_RAN, Message
from gladelane.lab.preload.clock import SteppedClock
from gladelane.lab.processes import START_S, Load
from gladelane.routing.idempotency import KeyWindows

HOUR_MS = 3_600_000.0


def set_up_clock(folder: Path, monkeypatch: pytest.MonkeyPatch) -> SteppedClock:
    clock = SteppedClock(folder)
    for name, value in clock.environment.items():
        monkeypatch.setenv(name, value)
    return clock


async def upgrade_after_step(processes: Upgrade, clock: SteppedClock, step_ms: float) -> None:
    """Steps the wall clock, then starts the second process."""
    clock.step(step_ms)
    async with asyncio.timeout(2 * START_S):
        await processes.director.start()
        await processes.director.serving()
        processes.clients.clear()  # the first connection was idle during the start and may be closed
        for number in range(2):
            await processes.connect(number)
    assert clock.readings  # the second process reads the stepped clock


async def check_no_attempt_past_window(
    processes: Upgrade, first_attempt_s: float, retry_process: int
) -> None:
    """Checks that a retry at another process is refused once the window of the first attempt has passed."""
    await wait_past_window(first_attempt_s)
    attempt_count = len(processes.origin.attempt_times_s)
    assert await processes.write(retry_process) in (1, 2)
    assert len(processes.origin.attempt_times_s) == attempt_count, processes.director.log(retry_process)


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS, 4000.0, -4000.0])
def test_a_key_window_is_handed_over_despite_a_clock_step(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_ms: float
) -> None:
    @async_test
    async def test() -> None:
        clock = set_up_clock(tmp_path, monkeypatch)
        async with upgrade(Origin(), 1) as processes:
            first_attempt_s = await processes.send_first_attempt(0, 300)
            await upgrade_after_step(processes, clock, step_ms)
            assert "learnt=1" in processes.director.log(1)
            await check_no_attempt_past_window(processes, first_attempt_s, 1)

    test()


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS])
@pytest.mark.parametrize(("first_process", "retry_process"), [(0, 1), (1, 0)])
def test_a_key_window_is_replicated_despite_a_clock_step(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first_process: int, retry_process: int, step_ms: float
) -> None:
    @async_test
    async def test() -> None:
        clock = set_up_clock(tmp_path, monkeypatch)
        async with upgrade(Origin(), 1) as processes:
            await upgrade_after_step(processes, clock, step_ms)
            clock.step(-step_ms)  # back again while both processes run
            first_attempt_s = await processes.send_first_attempt(first_process, 300)
            attempt_count = len(processes.origin.attempt_times_s)
            # A busy machine may refuse the first retries. None can be late, since none is sent past the
            # window.
            while (
                len(processes.origin.attempt_times_s) == attempt_count
                and time.monotonic() - first_attempt_s < WINDOW_S
            ):
                await processes.write(retry_process, 300)
            assert len(processes.origin.attempt_times_s) > attempt_count  # a retry within the window is sent
            await check_no_attempt_past_window(processes, first_attempt_s, retry_process)

    test()


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS])
def test_a_key_window_survives_the_kill_of_its_process_despite_a_clock_step(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_ms: float
) -> None:
    @async_test
    async def test() -> None:
        clock = set_up_clock(tmp_path, monkeypatch)
        async with upgrade(Origin(), 1) as processes:
            await upgrade_after_step(processes, clock, step_ms)
            first_attempt_s = await processes.send_first_attempt(0, 300)
            processes.director.all[0].send_signal(signal.SIGKILL)
            await processes.director.all[0].wait()
            await check_no_attempt_past_window(processes, first_attempt_s, 1)

    test()


def test_upgrades_during_clock_steps_lose_no_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    @async_test
    async def test() -> None:
        clock = set_up_clock(tmp_path, monkeypatch)
        async with upgrade(Origin(), 1) as processes:
            director = processes.director
            load = Load(director.port)
            for step_ms in (HOUR_MS, -HOUR_MS):
                clock.step(step_ms)
                await director.start()
                await director.serving()
                before = load.served
                clock.step(-2.0 * step_ms)
                director.all[-2].send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(director.all[-2].wait(), 6.0) == 0
                await wait_until(lambda before=before: clock.readings and load.served > before, START_S)  # type: ignore[misc]
            await load.stop()
            assert not load.lost and load.refused <= load.served / 5, (load.lost, load.refused, load.served)

    test()


# --- one process alone, which receives messages of another one


RETENTION_MS = 5000.0
LAG_MS = 30.0
BOOT = "a boot"


class Successor:
    """A process that receives messages of another one, and whose event loop lags by `LAG_MS`."""

    def __init__(self, folder: Path) -> None:
        self.clock = Clock(lambda: 2_000_000.0, lambda: 70.0, BOOT)
        self.keys = KeyWindows(RETENTION_MS, 10)
        director: Any = SimpleNamespace(keys=self.keys, timers=SimpleNamespace(lag=lambda: LAG_MS))
        limits: Any = SimpleNamespace(cap=1, max_buffered_bytes=1.0)
        self.coordinator = RestartCoordinator(
            str(folder),
            "n0",
            self.clock,
            director,
            limits,
            limits,
            limits,
            settings_changes(self.clock),
            lambda: None,
        )

    def receive(self, operation: str, at_ms: float, boot_id: str = "", zero_ms: float = 0.0) -> None:
        message = Message(
            "order", operation=operation, store="r0", key="k", at_ms=at_ms, boot_id=boot_id, zero_ms=zero_ms
        )
        self.coordinator.on_message(message)

    def first_attempt_age_ms(self) -> float | None:
        """Returns the age of the first attempt of the key, or None if no attempt is known."""
        now = self.clock.now()
        first_ms, _ = self.keys.first_attempt("k", now)
        return now - first_ms if first_ms else None


@pytest.mark.parametrize("zero_ms", [0.0, HOUR_MS, 2e9])
def test_an_attempt_reported_from_the_same_boot_gets_its_local_time_and_can_be_revoked(
    tmp_path: Path, zero_ms: float
) -> None:
    successor = Successor(tmp_path)
    attempt_ms = 69_900.0  # of the monotonic clock, which reads 70,000 now
    successor.receive(MAY_HAVE_RUN, zero_ms + attempt_ms, BOOT, zero_ms)
    assert successor.first_attempt_age_ms() == pytest.approx(100.0, abs=0.01)
    successor.receive(
        NEVER_RAN, zero_ms + HOUR_MS + attempt_ms, BOOT, zero_ms + HOUR_MS
    )  # after a clock step
    assert successor.first_attempt_age_ms() is None


@pytest.mark.parametrize("ahead_ms", [0.0, HOUR_MS, 4000.0, 10.0])
def test_an_attempt_reported_by_an_older_version_is_dated_no_later_than_it_was_sent(
    tmp_path: Path, ahead_ms: float
) -> None:
    """The older version's clock is ahead of this process's. An attempt dated in the future would extend its
    window, so that a retry could be sent too late."""
    successor = Successor(tmp_path)
    successor.receive(MAY_HAVE_RUN, successor.clock.now() - 5.0 + ahead_ms)
    age_ms = successor.first_attempt_age_ms()
    assert age_ms is not None and age_ms >= LAG_MS - 0.01


def test_an_attempt_reported_by_an_older_version_with_an_equal_clock_can_be_revoked(
    tmp_path: Path,
) -> None:
    successor = Successor(tmp_path)
    attempt_ms = successor.clock.now() - 40.0
    successor.receive(MAY_HAVE_RUN, attempt_ms)
    assert successor.first_attempt_age_ms() == pytest.approx(40.0, abs=0.01)
    successor.receive(NEVER_RAN, attempt_ms)
    assert successor.first_attempt_age_ms() is None
