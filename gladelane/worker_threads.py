"""Blocking calls in threads, for callers in an event loop.

`asyncio.to_thread` queues a call before it knows whether a thread will execute it: if the system starts no
thread, it raises RuntimeError, and the call may still be executed much later. Here such a call fails with
OSError, like a failed write, and is never executed.
"""

from __future__ import annotations

import asyncio
import errno
import threading
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import ParamSpec, TypeVar

Arguments = ParamSpec("Arguments")
Result = TypeVar("Result")


async def run_in_thread(
    call: Callable[Arguments, Result], *args: Arguments.args, **kwargs: Arguments.kwargs
) -> Result:
    """Returns the result of a blocking call, made in a thread of its own.

    If the caller is cancelled, the call goes on, and the process waits for it before it ends. Raises what the
    call raises, and OSError if the system starts no thread."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[Result] = loop.create_future()

    def set_result(result: Result) -> None:
        if not done.done():
            done.set_result(result)

    def set_error(error: BaseException) -> None:
        if not done.done():
            done.set_exception(error)

    def run() -> None:
        try:
            report = partial(set_result, call(*args, **kwargs))
        except BaseException as error:
            report = partial(set_error, error)
        with suppress(RuntimeError):  # the event loop has been closed, and nobody waits
            loop.call_soon_threadsafe(report)

    try:
        threading.Thread(target=run).start()
    except RuntimeError as error:
        raise OSError(errno.EAGAIN, str(error)) from error
    return await done
