"""Tasks and threads that are restarted after they have ended by themselves."""

from __future__ import annotations

import asyncio
import logging
import threading
from collections.abc import Awaitable, Callable

import pytest
from harness import async_test, wait_until

from gladelane.supervision import SupervisedThread, Supervisor


async def fail() -> None:
    raise RuntimeError("planted")


async def end() -> None:
    pass


async def await_a_cancelled_task() -> None:
    task = asyncio.create_task(asyncio.sleep(60.0))
    task.cancel()
    await task


@pytest.mark.parametrize(
    "first_run", [fail, end, await_a_cancelled_task], ids=["exception", "return", "cancelled inside"]
)
def test_task_that_ends_by_itself_is_logged_counted_and_restarted(
    first_run: Callable[[], Awaitable[None]], caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        runs = 0

        async def run() -> None:
            nonlocal runs
            runs += 1
            if runs <= 3:
                await first_run()
            else:
                await asyncio.sleep(60.0)

        supervisor = Supervisor()
        task = supervisor.start("planted task", run)
        await wait_until(lambda: runs == 4)
        assert supervisor.failures == 3 and not task.done()
        await supervisor.close()
        assert task.cancelled() and runs == 4

    asyncio.run(scenario())
    lines = [record for record in caplog.records if "task=planted task" in record.getMessage()]
    assert [line.levelno for line in lines] == [logging.ERROR] * 3
    assert all(bool(line.exc_info) == (first_run is not end) for line in lines)


@async_test
async def test_task_that_may_end_is_restarted_after_an_exception_only() -> None:
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1
        if runs == 1:
            raise RuntimeError("planted")

    supervisor = Supervisor()
    await asyncio.wait_for(supervisor.start("planted", run, may_end=True), 5.0)
    assert (runs, supervisor.failures) == (2, 1)


@async_test
async def test_cancelled_task_is_not_restarted() -> None:
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1
        await asyncio.sleep(60.0)

    supervisor = Supervisor()
    task = supervisor.start("planted", run)
    await wait_until(lambda: runs)
    task.cancel()
    await asyncio.wait([task])
    assert task.cancelled() and (runs, supervisor.failures) == (1, 0)


@pytest.mark.parametrize("raises", [True, False])
def test_thread_that_ends_by_itself_is_restarted_until_it_is_stopped(raises: bool) -> None:
    stopped, runs = threading.Event(), []

    def run() -> None:
        runs.append(threading.current_thread())
        if len(runs) > 2:
            stopped.wait(10.0)
        elif raises:
            raise RuntimeError("planted")

    thread = SupervisedThread("planted", run)
    thread.start()
    asyncio.run(wait_until(lambda: len(runs) == 3))
    thread.stop(stopped.set, 5.0)
    assert not runs[0].is_alive() and (len(runs), thread.failures) == (3, 2)
