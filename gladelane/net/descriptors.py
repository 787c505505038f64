"""Shares of a process's file descriptors: how many each part may hold, so that none of them starves another.

Pure: the limit and what is open at the start are arguments. Counts are descriptors throughout.

What the process needs for itself (the event loop, its listeners, the discovery client's stream, files that
are open for a moment) does not shrink with the limit. So it is set aside first; clients and caches share the
rest.
"""

from __future__ import annotations

import msgspec

CLIENT_SHARE = 0.6  # clients by the protocol hold a third at most; others find room beside them
UPSTREAM_SHARE = 0.25
LINGERING_SHARE = 0.1  # of the clients' cap: shut connections that may be held beside it
EVENT_LOOP = (
    10  # uvloop on Linux: epoll, its ring, two pipes, an eventfd, a socket pair for signals, /dev/null
)
SERVING = 3  # the listener; the discovery client's stream, and a new one dialled while the old one closes
ADMIN = 5  # the admin endpoint's listener, its thread's loop of three, and the meeting place of an upgrade
FEED = 3  # a feed's stream, and a report and a lease asked there meanwhile
# A socket counts as free from the order to close it and is closed a turn of the loop later, and files are
# open for a moment: the hand-over, a module imported late, a socket handed over. With 8, accepting met the
# limit in 5 of 78 runs beside 120 clients who come again at once.
IN_MOTION = 16
CALLERS_LEAST, CALLERS_MOST = 6, 24  # at the admin endpoint: a few that say nothing, and those who call
CLIENTS_LEAST, UPSTREAM_LEAST = 4, 2  # with less nothing is served; so tiny a limit is overrun then


class Shares(msgspec.Struct, frozen=True):
    """The most that each part may hold."""

    clients: int  # without those that linger beside, LINGERING_SHARE of it
    upstream: int
    callers: int


def share_descriptors(limit: int, inherited: int, feeds: int) -> Shares:
    """`limit` is the whole process's, `inherited` are open when it starts, `feeds` are the purge log servers
    that it follows."""
    own = inherited + EVENT_LOOP + SERVING + ADMIN + IN_MOTION + FEED * feeds
    held_by_clients = CLIENT_SHARE * (1.0 + LINGERING_SHARE)
    # both halves shrink alike where what the process needs for itself takes more than their shares leave
    room = max(limit - own - CALLERS_LEAST, 0)
    scale = min(1.0, room / (limit * (held_by_clients + UPSTREAM_SHARE))) if limit > 0 else 0.0
    clients = max(int(limit * CLIENT_SHARE * scale), CLIENTS_LEAST)
    upstream = max(int(limit * UPSTREAM_SHARE * scale), UPSTREAM_LEAST)
    rest = limit - own - clients - lingering_most(clients) - upstream
    callers = min(max(rest, CALLERS_LEAST), CALLERS_MOST)
    return Shares(clients, upstream, callers)


def lingering_most(clients: int) -> int:
    """Shut connections of clients that may be held beside a cap."""
    return max(int(clients * LINGERING_SHARE), 1)
