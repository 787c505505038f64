"""Divides the file descriptors of a process between its parts, so that none of them starves another.

Pure: the limit and the number of descriptors that are open at the start are arguments. All counts are
numbers of descriptors.

What the process needs for itself (the event loop, its listeners, the discovery client's stream, files that
are open for a moment) does not shrink with the limit. Therefore it is set aside first, and clients and caches
share the rest.
"""

from __future__ import annotations

import msgspec

CLIENT_SHARE = 0.6  # clients that follow the protocol need a third at most; the rest is for other clients
UPSTREAM_SHARE = 0.25
LINGERING_SHARE = 0.1  # share of the clients' cap by which lingering connections may exceed it
EVENT_LOOP = 10  # uvloop on Linux: epoll, io_uring, two pipes, an eventfd, a signal socket pair, /dev/null
SERVING = 3  # the listener; the discovery client's stream, and a new one dialled while the old one closes
ADMIN = 5  # the admin endpoint's listener, three of its thread's event loop, and a hot restart's socket
PER_PURGE_SERVER = 3  # the stream of a purge log server, and meanwhile a report and a lease request there
#: Descriptors that are open for a moment: files of a hot restart, a module imported late, a socket that is
#: passed on. Also, a socket counts as free as soon as its close is requested, which is one iteration of the
#: event loop too early. With 8, accepting reached the limit in 5 of 78 runs with 120 clients that reconnect
#: at once.
TRANSIENT = 16
MIN_CALLERS, MAX_CALLERS = 6, 24  # at the admin endpoint: connections in use, and a few that send nothing
MIN_CLIENTS, MIN_UPSTREAM = 4, 2  # with fewer nothing could be served; a limit too small for them is exceeded


class Shares(msgspec.Struct, frozen=True):
    """The maximum number of descriptors that each part may have open."""

    clients: int  # lingering connections may exceed it by LINGERING_SHARE
    upstream: int
    callers: int  # of the admin endpoint


def share_descriptors(limit: int, inherited: int, purge_servers: int) -> Shares:
    """Divides the descriptors. `limit` is the limit of the whole process, `inherited` is how many are open
    when it starts, and `purge_servers` is the number of purge log servers that it subscribes to."""
    reserved = inherited + EVENT_LOOP + SERVING + ADMIN + TRANSIENT + PER_PURGE_SERVER * purge_servers
    clients_share = CLIENT_SHARE * (1.0 + LINGERING_SHARE)
    # both shares shrink in proportion if they and the process's own needs exceed the limit
    shareable = max(limit - reserved - MIN_CALLERS, 0)
    scale = min(1.0, shareable / (limit * (clients_share + UPSTREAM_SHARE))) if limit > 0 else 0.0
    clients = max(int(limit * CLIENT_SHARE * scale), MIN_CLIENTS)
    upstream = max(int(limit * UPSTREAM_SHARE * scale), MIN_UPSTREAM)
    remaining = limit - reserved - clients - max_lingering(clients) - upstream
    callers = min(max(remaining, MIN_CALLERS), MAX_CALLERS)
    return Shares(clients, upstream, callers)


def max_lingering(clients: int) -> int:
    """How many lingering connections may be open in addition to a cap of `clients`."""
    return max(int(clients * LINGERING_SHARE), 1)
