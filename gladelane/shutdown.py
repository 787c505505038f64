"""Graceful shutdown of a director: clients leave, pending requests are answered, the rest fails in time.

Every constant is bound by the protocol's terms for SIGTERM: clients go on arriving for up to 0.6 s after it,
and SIGKILL comes 0.7 s beyond the longest deadline, of 3 s at most.
"""

from __future__ import annotations

import asyncio
import contextlib

from .net.client_listener import ClientListener
from .net.director import Director

LINGER_S = 0.8  # in which new clients are still accepted
# From SIGTERM: pending requests are waited for until this much beyond the longest deadline, and at most so
# long. With the time to flush and to close, it stays below the time of the SIGKILL.
LAST_S, LAST_MOST_S = 0.4, 3.4
STEER_S = 0.02  # for connects that the system was about to put into this process's queue
FLUSH_S = 0.1  # after which a client that reads nothing is left behind
POLL_S = 0.02


async def drain(director: Director, front: ClientListener, has_peer: bool) -> None:
    """Takes no more clients and answers what is pending; what is still pending at the end fails.

    With `has_peer` another process of this director takes the clients that arrive, also those in the queue of
    the listening socket."""
    started_s = asyncio.get_running_loop().time()
    front.drain.shut_down()
    front.send_goaway_to_all()
    if has_peer:
        front.stop_listening(queued=False)
    else:
        await _linger(front)
    longest_ms = max(spec.deadline_ms for spec in director.settings.classes.values())
    end_s = started_s + min(longest_ms / 1000.0 + LAST_S, LAST_MOST_S)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(end_s):
            while not _is_drained(director, front, has_peer):  # noqa: ASYNC110  many objects are waited for
                await asyncio.sleep(POLL_S)
    front.is_closing = True
    director.end_all()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FLUSH_S):
            while not front.quiet():  # noqa: ASYNC110  the same
                await asyncio.sleep(POLL_S)


async def _linger(front: ClientListener) -> None:
    """Accepts clients for a while longer, then all that the system has queued."""
    await asyncio.sleep(LINGER_S)
    with contextlib.suppress(OSError):  # a module is imported there, which takes a descriptor
        front.steer_away()
    await asyncio.sleep(STEER_S)
    front.stop_listening()


def _is_drained(director: Director, front: ClientListener, has_peer: bool) -> bool:
    """Beside another process there is no hurry: clients leave by themselves, or are closed once they are
    idle."""
    if director.has_pending() or not front.quiet():
        return False
    return not (has_peer and front.connections)
