"""Graceful shutdown of a director: clients leave, pending requests are answered, and the others fail in time.

All constants follow from the protocol's rules for SIGTERM: clients may still connect for up to 0.6 s after
it, and SIGKILL follows 0.7 s after the longest deadline, which is 3 s at most.
"""

from __future__ import annotations

import asyncio
import contextlib

from .net.client_listener import ClientListener
from .net.director import Director

LINGER_S = 0.8  # for which new clients are still accepted
# Pending requests are awaited until LAST_S after the longest deadline, and for at most LAST_MOST_S after
# SIGTERM. Together with flushing and closing this ends before the SIGKILL.
LAST_S, LAST_MOST_S = 0.4, 3.4
STEER_S = 0.02  # for connections that the system is about to put into this process's accept queue
FLUSH_S = 0.1  # after which clients that do not read their answers are abandoned
POLL_S = 0.02


async def drain(director: Director, front: ClientListener, has_peer: bool) -> None:
    """Stops accepting clients and answers pending requests; those still pending at the end fail.

    With `has_peer`, another process of this director accepts new clients, including those in the accept queue
    of the listening socket."""
    started_s = asyncio.get_running_loop().time()
    front.drain.shut_down()
    front.send_goaway_to_all()
    if has_peer:
        front.stop_listening(accept_queued=False)
    else:
        await _linger(front)
    longest_ms = max(spec.deadline_ms for spec in director.settings.classes.values())
    end_s = started_s + min(longest_ms / 1000.0 + LAST_S, LAST_MOST_S)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(end_s):
            while not _is_drained(director, front, has_peer):  # noqa: ASYNC110  many sources
                await asyncio.sleep(POLL_S)
    front.is_closing = True
    director.fail_open_requests()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FLUSH_S):
            while not front.has_no_pending_requests():  # noqa: ASYNC110  the same
                await asyncio.sleep(POLL_S)


async def _linger(front: ClientListener) -> None:
    """Accepts clients for LINGER_S longer, then those in the accept queue, and stops listening."""
    await asyncio.sleep(LINGER_S)
    with contextlib.suppress(OSError):  # an import in it needs a free descriptor
        front.redirect_new_connections()
    await asyncio.sleep(STEER_S)
    front.stop_listening()


def _is_drained(director: Director, front: ClientListener, has_peer: bool) -> bool:
    """Whether nothing is pending or unsent. With a peer process the clients must also have left: there is
    time for them to leave by themselves, or to be closed once they are idle."""
    if director.has_pending() or not front.has_no_pending_requests():
        return False
    return not (has_peer and front.connections)
