"""Shares of a process's file descriptors: how many each part may have, so that none starves another.

Pure: the limit and what is open at the start are arguments. Counts are descriptors throughout.

What the process needs for itself (the event loop, its listeners, the discovery client's stream, files that
are open for a moment) does not shrink with the limit. So it is set aside first; clients and caches share the
rest.
"""

from __future__ import annotations

import msgspec

CLIENT_SHARE = 0.6  # clients by the protocol take a third at most; the rest is for others
UPSTREAM_SHARE = 0.25
LINGERING_SHARE = 0.1  # of the clients' cap: shut connections that may be open beside it
EVENT_LOOP = (
    10  # uvloop on Linux: epoll, its ring, two pipes, an eventfd, a socket pair for signals, /dev/null
)
SERVING = 3  # the listener; the discovery client's stream, and a new one dialled while the old one closes
ADMIN = 5  # the admin endpoint's listener, its thread's loop of three, and the meeting place of an upgrade
PER_PURGE_SERVER = 3  # the stream of a purge log server; a report and a lease request there meanwhile
# A socket counts as free as soon as its close is requested, which is one iteration of the loop too early, and
# files are open for a moment: the handover, a module imported late, a socket handed over. With 8, accepting
# reached the limit in 5 of 78 runs with 120 clients that reconnect at once.
IN_MOTION = 16
CALLERS_LEAST, CALLERS_MOST = 6, 24  # at the admin endpoint: a few that say nothing, and those who call
CLIENTS_LEAST, UPSTREAM_LEAST = 4, 2  # with less nothing is served; so tiny a limit is overrun then


class Shares(msgspec.Struct, frozen=True):
    """The most that each part may have open."""

    clients: int  # without those that linger beside, LINGERING_SHARE of it
    upstream: int
    callers: int


def share_descriptors(limit: int, inherited: int, purge_servers: int) -> Shares:
    """`limit` is the whole process's, `inherited` are open when it starts, `purge_servers` are the purge
    log servers that it subscribes to."""
    own = inherited + EVENT_LOOP + SERVING + ADMIN + IN_MOTION + PER_PURGE_SERVER * purge_servers
    clients_share = CLIENT_SHARE * (1.0 + LINGERING_SHARE)
    # both halves shrink alike where what the process needs for itself takes more than their shares leave
    shareable = max(limit - own - CALLERS_LEAST, 0)
    scale = min(1.0, shareable / (limit * (clients_share + UPSTREAM_SHARE))) if limit > 0 else 0.0
    clients = max(int(limit * CLIENT_SHARE * scale), CLIENTS_LEAST)
    upstream = max(int(limit * UPSTREAM_SHARE * scale), UPSTREAM_LEAST)
    rest = limit - own - clients - lingering_most(clients) - upstream
    callers = min(max(rest, CALLERS_LEAST), CALLERS_MOST)
    return Shares(clients, upstream, callers)


def lingering_most(clients: int) -> int:
    """Shut connections of clients that may be open beside a cap."""
    return max(int(clients * LINGERING_SHARE), 1)
