"""Graceful shutdown of a director: lets clients leave, answers pending requests, and fails the rest in time.

All constants follow from the protocol's rules for SIGTERM: clients may still connect for up to 0.6 s after
it, and SIGKILL follows 0.7 s after the longest deadline, which is 3 s at most.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging

from .net.client_listener import ClientListener
from .net.director import Director

log = logging.getLogger("gladelane")

ACCEPT_PERIOD_S = 0.8  # after SIGTERM, during which new clients are still accepted
# Pending requests are awaited until DEADLINE_MARGIN_S after the longest deadline, and for at most MAX_DRAIN_S
# after SIGTERM. Flushing and closing after that still end before the SIGKILL.
DEADLINE_MARGIN_S, MAX_DRAIN_S = 0.4, 3.4
ACCEPT_QUEUE_DELAY_S = 0.02  # for connections that the system is about to put into the accept queue
FLUSH_TIMEOUT_S = 0.1  # after which the answers to clients that do not read are dropped
POLL_INTERVAL_S = 0.02


async def drain(director: Director, client_listener: ClientListener, has_peer: bool) -> None:
    """Stops accepting clients and answers pending requests; requests that are still pending at the end fail.

    With `has_peer`, another process of this director accepts new clients, including those in the accept queue
    of the listening socket."""
    started_s = asyncio.get_running_loop().time()
    client_listener.drain.shut_down()
    try:
        await _wait_for_clients(director, client_listener, has_peer, started_s)
    except Exception:  # the open requests must get an answer all the same
        log.exception("draining failed, all open requests are answered now")
    client_listener.is_closing = True
    director.fail_open_requests()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FLUSH_TIMEOUT_S):
            # polled, because no single event reports that all is sent
            while not client_listener.has_no_pending_requests():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)


async def _wait_for_clients(
    director: Director, client_listener: ClientListener, has_peer: bool, started_s: float
) -> None:
    """Lets clients leave, and waits until pending requests are answered or their deadlines have passed."""
    client_listener.send_goaway_to_all()
    if has_peer:
        client_listener.stop_listening(accept_queued=False)
    else:
        await _accept_last_clients(client_listener)
    longest_ms = max(spec.deadline_ms for spec in director.settings.classes.values())
    end_s = started_s + min(longest_ms / 1000.0 + DEADLINE_MARGIN_S, MAX_DRAIN_S)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(end_s):
            # polled, because no single event reports that all is drained
            while not _is_drained(director, client_listener, has_peer):  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)


async def _accept_last_clients(client_listener: ClientListener) -> None:
    """Accepts clients for ACCEPT_PERIOD_S longer, then those in the accept queue, and stops listening."""
    await asyncio.sleep(ACCEPT_PERIOD_S)
    with contextlib.suppress(OSError):  # it imports a module, which needs a free descriptor
        client_listener.redirect_new_connections()
    await asyncio.sleep(ACCEPT_QUEUE_DELAY_S)
    client_listener.stop_listening()


def _is_drained(director: Director, client_listener: ClientListener, has_peer: bool) -> bool:
    """Whether nothing is pending or unsent. With a peer process all clients must have left as well: there is
    enough time for them to leave by themselves, or to be closed once they are idle."""
    if director.has_pending() or not client_listener.has_no_pending_requests():
        return False
    return not (has_peer and client_listener.connections)
