"""The call sites of a director that are made to fail: the call, the part, the errors and the moments."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from enum import Enum

from gladelane.lab.preload.syscalls import SHORT, Call, Scope


class Moment(Enum):
    """When a fault is active."""

    LOAD = "load"
    IDLE = "idle"
    START = "start"
    SHUTDOWN = "shutdown"
    HAND_OVER = "hand-over"


class Port(Enum):
    """Which port a fault is bound to."""

    ANY = "any"
    CLIENTS = "clients"
    ADMIN = "admin endpoint"
    DISCOVERY = "discovery"


@dataclass(frozen=True)
class Site:
    """A system call that one part of the director makes."""

    name: str
    call: Call
    errnos: tuple[int, ...]
    moments: tuple[Moment, ...] = (Moment.LOAD,)
    scope: Scope = Scope.TCP
    port: Port = Port.ANY
    breaks_clients: bool = False  # its errors, except EINTR and SHORT, end connections of clients


LOAD_AND_SHUTDOWN = (Moment.LOAD, Moment.SHUTDOWN)
OUT_OF_RESOURCES = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
BROKEN_CONNECTION = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
TRANSIENT = (errno.EINTR, SHORT)
SITES = (
    Site(
        "accept of a client",
        Call.ACCEPT,
        (errno.ECONNABORTED, *OUT_OF_RESOURCES, errno.EPROTO, errno.EINTR),
        (Moment.LOAD, Moment.IDLE),
        port=Port.CLIENTS,
    ),
    Site(
        "accept at the stop",
        Call.ACCEPT,
        (errno.ECONNABORTED, errno.ENFILE),
        (Moment.SHUTDOWN,),
        port=Port.CLIENTS,
    ),
    Site(
        "accept of a client in an upgrade",
        Call.ACCEPT,
        (errno.ECONNABORTED, errno.ENFILE),
        (Moment.HAND_OVER,),
        port=Port.CLIENTS,
    ),
    Site(
        "read from a store in an upgrade",
        Call.READ,
        (errno.ECONNRESET,),
        (Moment.HAND_OVER,),
        Scope.CONNECTED,
    ),
    Site("connect at the start", Call.CONNECT, (errno.EADDRNOTAVAIL,), (Moment.START,)),
    Site(
        "adoption of a client: setsockopt",
        Call.SETSOCKOPT,
        (errno.ENOBUFS, errno.ENOMEM, errno.EINVAL),
        scope=Scope.ACCEPTED,
        port=Port.CLIENTS,
    ),
    Site(
        "adoption of a client: getsockname",
        Call.GETSOCKNAME,
        (errno.ENOBUFS,),
        scope=Scope.ACCEPTED,
        port=Port.CLIENTS,
    ),
    Site(
        "read from a client",
        Call.READ,
        (*BROKEN_CONNECTION, *TRANSIENT),
        (Moment.LOAD,),
        Scope.ACCEPTED,
        Port.CLIENTS,
        breaks_clients=True,
    ),
    Site(
        "write to a client",
        Call.WRITE,
        (errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT, errno.ENOBUFS, *TRANSIENT),
        (Moment.LOAD,),
        Scope.ACCEPTED,
        Port.CLIENTS,
        breaks_clients=True,
    ),
    Site("socket", Call.SOCKET, OUT_OF_RESOURCES, (Moment.LOAD, Moment.IDLE)),
    Site(
        "connect",
        Call.CONNECT,
        (
            errno.EADDRNOTAVAIL,
            errno.ENETUNREACH,
            errno.EINTR,
            errno.ETIMEDOUT,
            errno.EHOSTUNREACH,
            errno.ECONNREFUSED,
        ),
        (Moment.LOAD, Moment.IDLE),
    ),
    Site("setsockopt", Call.SETSOCKOPT, (errno.ENOBUFS, errno.EINVAL)),
    Site("getsockopt of a dial", Call.GETSOCKOPT, (errno.ENOBUFS, errno.EINVAL), scope=Scope.CONNECTED),
    Site(
        "read from a store", Call.READ, (*BROKEN_CONNECTION, *TRANSIENT), LOAD_AND_SHUTDOWN, Scope.CONNECTED
    ),
    Site(
        "write to a store",
        Call.WRITE,
        (errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT, errno.ENOBUFS, *TRANSIENT),
        LOAD_AND_SHUTDOWN,
        Scope.CONNECTED,
    ),
    Site(
        "connect to discovery",
        Call.CONNECT,
        (errno.EADDRNOTAVAIL, errno.ECONNREFUSED),
        (Moment.IDLE,),
        port=Port.DISCOVERY,
    ),
    Site(
        "read from discovery",
        Call.READ,
        (*BROKEN_CONNECTION, *TRANSIENT),
        (Moment.IDLE,),
        Scope.CONNECTED,
        Port.DISCOVERY,
    ),
    Site(
        "write to discovery",
        Call.WRITE,
        (errno.EPIPE, errno.ENOBUFS, SHORT),
        (Moment.IDLE,),
        Scope.CONNECTED,
        Port.DISCOVERY,
    ),
    Site(
        "accept at the admin endpoint",
        Call.ACCEPT,
        (errno.ECONNABORTED, *OUT_OF_RESOURCES, errno.EPROTO),
        port=Port.ADMIN,
    ),
    Site(
        "read at the admin endpoint",
        Call.READ,
        (errno.ECONNRESET, *TRANSIENT),
        scope=Scope.ACCEPTED,
        port=Port.ADMIN,
    ),
    Site(
        "write at the admin endpoint",
        Call.WRITE,
        (errno.EPIPE, *TRANSIENT),
        scope=Scope.ACCEPTED,
        port=Port.ADMIN,
    ),
    Site("wait", Call.WAIT, (errno.EINTR,), (*LOAD_AND_SHUTDOWN, Moment.IDLE), Scope.ANY),
    Site("close", Call.CLOSE, (errno.EINTR, errno.EIO), LOAD_AND_SHUTDOWN),
    Site("socket at the start", Call.SOCKET, (errno.ENFILE, errno.ENOBUFS), (Moment.START,)),
    Site("bind at the start", Call.BIND, (errno.EADDRINUSE, errno.ENOMEM), (Moment.START,)),
    Site("listen at the start", Call.LISTEN, (errno.EADDRINUSE,), (Moment.START,)),
    Site("setsockopt at the start", Call.SETSOCKOPT, (errno.ENOBUFS,), (Moment.START,)),
    Site("getsockname at the start", Call.GETSOCKNAME, (errno.ENOBUFS,), (Moment.START,)),
    Site(
        "socket of an upgrade",
        Call.SOCKET,
        (errno.EMFILE, errno.ENOBUFS),
        (Moment.START, Moment.HAND_OVER),
        Scope.UNIX,
    ),
    Site(
        "bind of an upgrade",
        Call.BIND,
        (errno.EADDRINUSE,),
        (Moment.START, Moment.HAND_OVER),
        Scope.UNIX,
    ),
    Site(
        "connect of an upgrade",
        Call.CONNECT,
        (errno.EAGAIN, errno.ECONNREFUSED),
        (Moment.HAND_OVER,),
        Scope.UNIX,
    ),
    Site(
        "accept of an upgrade",
        Call.ACCEPT,
        (errno.ECONNABORTED, errno.EMFILE),
        (Moment.HAND_OVER,),
        Scope.UNIX,
    ),
    Site(
        "read of an upgrade",
        Call.READ,
        (errno.ECONNRESET, SHORT),
        (Moment.HAND_OVER,),
        Scope.UNIX_PEER,
    ),
    Site(
        "write of an upgrade",
        Call.WRITE,
        (errno.EPIPE, errno.ENOBUFS, SHORT),
        (Moment.HAND_OVER,),
        Scope.UNIX_PEER,
    ),
    Site("open of a file", Call.OPEN, (errno.ENFILE,), (Moment.SHUTDOWN,), Scope.FILE),
)
