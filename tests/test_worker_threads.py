"""Blocking calls in threads."""

from __future__ import annotations

import asyncio
import errno
import threading

import pytest
from harness import async_test

from gladelane.worker_threads import run_in_thread


@async_test
async def test_result_and_exception_of_a_call_reach_the_caller() -> None:
    assert await run_in_thread(divmod, 7, 2) == (3, 1)
    with pytest.raises(ZeroDivisionError):
        await run_in_thread(divmod, 7, 0)


@async_test
async def test_call_is_never_made_if_the_system_starts_no_thread() -> None:
    def refuse(thread: threading.Thread) -> None:
        raise RuntimeError("can't start new thread")

    calls: list[int] = []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(threading.Thread, "start", refuse)
        with pytest.raises(OSError, match="can't start new thread") as raised:
            await run_in_thread(calls.append, 1)
    assert raised.value.errno == errno.EAGAIN
    await run_in_thread(calls.append, 2)
    assert calls == [2]


@async_test
async def test_call_goes_on_after_its_caller_was_cancelled() -> None:
    may_end, calls = threading.Event(), []

    def call() -> None:
        may_end.wait(10.0)
        calls.append(None)

    task = asyncio.create_task(run_in_thread(call))
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    may_end.set()
    while not calls:
        await asyncio.sleep(0.005)
