"""Runs the tasks and threads that have to live as long as their owner, and restarts those that end.

A task that ends by an exception which nobody reads leaves its work undone without any sign. Each such end is
therefore logged with its traceback and counted, and followed by a restart after a backoff. What is restarted
must read its state anew.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import random
import threading
import time
from collections.abc import Awaitable, Callable

from .structures.backoff import Backoff

log = logging.getLogger(__name__)

MIN_BACKOFF_S, MAX_BACKOFF_S = 0.02, 1.0  # before a restart
STABLE_S = 5.0  # after a run of at least this long, the backoff starts again at its minimum


class Supervisor:
    """The tasks of one owner, in one event loop. Attributes: failures, the number of ends that were followed
    by a restart."""

    def __init__(self, failures: int = 0) -> None:
        self.failures = failures
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, name: str, run: Callable[[], Awaitable[None]], may_end: bool = False
    ) -> asyncio.Task[None]:
        """Runs `run()` until the returned task is cancelled, and again whenever it has ended. With `may_end`
        it is not run again once it has returned."""
        task = asyncio.get_running_loop().create_task(self._keep_running(name, run, may_end), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancels all tasks and waits for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_running(self, name: str, run: Callable[[], Awaitable[None]], may_end: bool) -> None:
        loop, backoff = asyncio.get_running_loop(), Backoff(random.Random(), MIN_BACKOFF_S, MAX_BACKOFF_S)
        while True:
            started_s = loop.time()
            try:
                await run()
            except asyncio.CancelledError:
                if _is_being_cancelled():
                    raise
                log.exception("task failed, it is restarted task=%s", name)  # it awaited a cancelled task
            except Exception:
                log.exception("task failed, it is restarted task=%s", name)
            else:
                if may_end:
                    return
                log.error("task returned, it is restarted task=%s", name)
            self.failures += 1
            await asyncio.sleep(backoff.after(loop.time() - started_s >= STABLE_S))


def _is_being_cancelled() -> bool:
    """Whether the current task itself was cancelled, and not only something that it awaits."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


class SupervisedThread:
    """A daemon thread that calls `run` until it is stopped, and again whenever `run` has ended before.

    Attributes: is_stopping, which `run` has to check once it can be interrupted; failures, as of
    `Supervisor`."""

    def __init__(self, name: str, run: Callable[[], None]) -> None:
        self.failures = 0
        self._run = run
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._keep_running, name=name, daemon=True)

    @property
    def is_stopping(self) -> bool:
        """Whether `run` has to return."""
        return self._stopping.is_set()

    def start(self) -> None:
        """Starts the thread. Raises OSError if the system starts no thread."""
        try:
            self._thread.start()
        except RuntimeError as error:
            raise OSError(errno.EAGAIN, str(error)) from error

    def stop(self, interrupt: Callable[[], None], timeout_s: float) -> None:
        """Ends the thread and waits for its end. `interrupt` has to make `run` return."""
        self._stopping.set()
        if self._thread.is_alive():
            interrupt()
            self._thread.join(timeout_s)

    def _keep_running(self) -> None:
        backoff = Backoff(random.Random(), MIN_BACKOFF_S, MAX_BACKOFF_S)
        while not self.is_stopping:
            started_s = time.monotonic()
            try:
                self._run()
            except Exception:
                log.exception("thread failed, it is restarted thread=%s", self._thread.name)
            else:
                if self.is_stopping:
                    return
                log.error("thread returned, it is restarted thread=%s", self._thread.name)
            self.failures += 1
            self._stopping.wait(backoff.after(time.monotonic() - started_s >= STABLE_S))
