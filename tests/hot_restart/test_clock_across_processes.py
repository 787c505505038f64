"""Two processes of one director that started at different wall clocks, as a step between the starts makes
them: windows of keyed requests and what was learnt go over all the same."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from harness import trial, until
from test_keys_across_processes import WINDOW_S, Origin, Upgrade, past_window, upgrade

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


async def upgrade_after_step(made: Upgrade, clock: SteppedClock, step_ms: float) -> None:
    """Starts the second process once the wall clock was stepped."""
    clock.step(step_ms)
    async with asyncio.timeout(2 * START_S):
        await made.director.start()
        await made.director.serving()
        made.clients.clear()  # the first one has rested for as long as the start took: it may be closed
        for number in range(2):
            await made.connect(number)
    assert clock.readings  # the second process was started by the stepped clock


async def check_past_window(made: Upgrade, tried_s: float, then: int) -> None:
    await past_window(tried_s)
    arrived = len(made.origin.tries)
    assert await made.write(then) in (1, 2)
    assert len(made.origin.tries) == arrived, made.director.log(then)


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS, 4000.0, -4000.0])
def test_a_window_goes_over_in_the_hand_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_ms: float
) -> None:
    @trial
    async def test() -> None:
        clock = set_up_clock(tmp_path, monkeypatch)
        async with upgrade(Origin(), 1) as made:
            tried = await made.first_try(0, 300)
            await upgrade_after_step(made, clock, step_ms)
            assert "learnt=1" in made.director.log(1)
            await check_past_window(made, tried, 1)

    test()


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS])
@pytest.mark.parametrize(("first", "then"), [(0, 1), (1, 0)])
def test_a_window_is_replicated_while_both_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: int, then: int, step_ms: float
) -> None:
    @trial
    async def test() -> None:
        clock = set_up_clock(tmp_path, monkeypatch)
        async with upgrade(Origin(), 1) as made:
            await upgrade_after_step(made, clock, step_ms)
            clock.step(-step_ms)  # and back, while both run
            tried = await made.first_try(first, 300)
            arrived = len(made.origin.tries)
            # a busy machine may refuse the first ones; none is late, as none goes out past the window
            while len(made.origin.tries) == arrived and time.monotonic() - tried < WINDOW_S:
                await made.write(then, 300)
            assert len(made.origin.tries) > arrived  # within the window a repeat goes out
            await check_past_window(made, tried, then)

    test()


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS])
def test_a_window_goes_over_from_a_process_that_was_killed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step_ms: float
) -> None:
    @trial
    async def test() -> None:
        clock = set_up_clock(tmp_path, monkeypatch)
        async with upgrade(Origin(), 1) as made:
            await upgrade_after_step(made, clock, step_ms)
            tried = await made.first_try(0, 300)
            made.director.all[0].send_signal(signal.SIGKILL)
            await made.director.all[0].wait()
            await check_past_window(made, tried, 1)

    test()


def test_upgrades_under_load_and_steps_lose_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    @trial
    async def test() -> None:
        clock = set_up_clock(tmp_path, monkeypatch)
        async with upgrade(Origin(), 1) as made:
            director = made.director
            load = Load(director.port)
            for step_ms in (HOUR_MS, -HOUR_MS):
                clock.step(step_ms)
                await director.start()
                await director.serving()
                before = load.served
                clock.step(-2.0 * step_ms)
                director.all[-2].send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(director.all[-2].wait(), 6.0) == 0
                await until(lambda before=before: clock.readings and load.served > before, START_S)  # type: ignore[misc]
            await load.stop()
            assert not load.lost and load.refused <= load.served / 5, (load.lost, load.refused, load.served)

    test()


# --- one process's part, without the other


RETENTION_MS = 5000.0
LAG_MS = 30.0
BOOT = "a boot"


class Successor:
    """A process that receives messages of another one; its loop is `LAG_MS` behind."""

    def __init__(self, folder: Path) -> None:
        self.clock = Clock(lambda: 2_000_000.0, lambda: 70.0, BOOT)
        self.keys = KeyWindows(RETENTION_MS, 10)
        director: Any = SimpleNamespace(keys=self.keys, timers=SimpleNamespace(lag=lambda: LAG_MS))
        limits: Any = SimpleNamespace(cap=1, max_buffered_bytes=1.0)
        self.coordinator = RestartCoordinator(str(folder), "n0", self.clock, director, limits, limits, limits)

    def receive(self, operation: str, at_ms: float, boot_id: str = "", zero_ms: float = 0.0) -> None:
        message = Message(
            "order", operation=operation, store="r0", key="k", at_ms=at_ms, boot_id=boot_id, zero_ms=zero_ms
        )
        self.coordinator.on_message(message)

    def ran_ago_ms(self) -> float | None:
        """How long ago the key is taken to have run."""
        now = self.clock.now()
        first_ms, _ = self.keys.first_attempt("k", now)
        return now - first_ms if first_ms else None


@pytest.mark.parametrize("zero_ms", [0.0, HOUR_MS, 2e9])
def test_an_attempt_reported_from_this_boot_is_dated_here_and_can_be_revoked(
    tmp_path: Path, zero_ms: float
) -> None:
    successor = Successor(tmp_path)
    tried_ms = 69_900.0  # of the monotonic clock, which reads 70,000 now
    successor.receive(MAY_HAVE_RUN, zero_ms + tried_ms, BOOT, zero_ms)
    assert successor.ran_ago_ms() == pytest.approx(100.0, abs=0.01)
    successor.receive(NEVER_RAN, zero_ms + HOUR_MS + tried_ms, BOOT, zero_ms + HOUR_MS)  # stepped in between
    assert successor.ran_ago_ms() is None


@pytest.mark.parametrize("ahead_ms", [0.0, HOUR_MS, 4000.0, 10.0])
def test_an_attempt_reported_by_an_older_version_is_dated_no_later_than_it_can_have_been_sent(
    tmp_path: Path, ahead_ms: float
) -> None:
    """Its clock is ahead of this process's: believed, a repeat could go past the window."""
    successor = Successor(tmp_path)
    successor.receive(MAY_HAVE_RUN, successor.clock.now() - 5.0 + ahead_ms)
    ago_ms = successor.ran_ago_ms()
    assert ago_ms is not None and ago_ms >= LAG_MS - 0.01


def test_an_attempt_reported_by_an_older_version_can_be_revoked_where_its_clock_is_ours(
    tmp_path: Path,
) -> None:
    successor = Successor(tmp_path)
    tried_ms = successor.clock.now() - 40.0
    successor.receive(MAY_HAVE_RUN, tried_ms)
    assert successor.ran_ago_ms() == pytest.approx(40.0, abs=0.01)
    successor.receive(NEVER_RAN, tried_ms)
    assert successor.ran_ago_ms() is None
