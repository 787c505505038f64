"""One non-blocking connect to one address. It does I/O and decides nothing."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from ..sockets import close_socket
from .address import Address, Family
from .health import DialEnd

OUT_OF_SOCKETS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
#: Of connect: it goes on, and the socket becomes writable once it has connected or failed.
IN_PROGRESS = frozenset({errno.EINPROGRESS, errno.EINTR})
_SOCKET_FAMILIES = {Family.V4: socket.AF_INET, Family.V6: socket.AF_INET6, Family.UNIX: socket.AF_UNIX}


OnDone = Callable[[socket.socket | None, DialEnd | None], None]  # a connected socket, or how the dial ended


def _end_of(code: int) -> DialEnd:
    if code == errno.ECONNREFUSED:
        return DialEnd.REFUSED
    return DialEnd.NO_SOCKET if code in OUT_OF_SOCKETS else DialEnd.UNREACHABLE


class Connect:
    """One dial. `on_done` is called once, never from within the constructor, and not after `cancel`."""

    def __init__(self, address: Address, on_done: OnDone) -> None:
        self.loop = asyncio.get_running_loop()
        self.on_done = on_done
        self.sock: socket.socket | None = None
        self._is_watched = False
        self._soon: asyncio.Handle | None = None
        try:
            self.sock = _open_socket(address.family)
            code = self.sock.connect_ex(_sockaddr(address))
        except (OSError, ValueError) as error:  # no descriptor, no such zone, a family this host lacks
            code = getattr(error, "errno", None) or errno.EINVAL
        if code in IN_PROGRESS and self.sock is not None:
            self._is_watched = True
            self.loop.add_writer(self.sock.fileno(), self._on_writable)
        else:
            # EAGAIN of a Unix socket means a full backlog: waiting for it to be writable would end at once,
            # and as if it were connected
            self._soon = self.loop.call_soon(self._finish, code)

    def _on_writable(self) -> None:
        assert self.sock is not None
        self._unwatch()
        try:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:  # the system does not say how the dial ended: as if it had failed
            code = error.errno or errno.EINVAL
        self._finish(code)

    def _finish(self, code: int) -> None:
        """The dial has ended with an errno, 0: connected."""
        self._soon = None
        sock, self.sock = self.sock, None
        if code == 0 and sock is not None:
            self.on_done(sock, None)
            return
        if sock is not None:
            close_socket(sock)
        self.on_done(None, _end_of(code))

    def _unwatch(self) -> None:
        if self._is_watched and self.sock is not None:
            self.loop.remove_writer(self.sock.fileno())
        self._is_watched = False

    def cancel(self) -> None:
        """Closes the socket, unless it was handed over already."""
        if self._soon is not None:
            self._soon.cancel()
            self._soon = None
        self._unwatch()
        if self.sock is not None:
            close_socket(self.sock)
            self.sock = None


def _open_socket(family: Family) -> socket.socket:
    sock = socket.socket(_SOCKET_FAMILIES[family], socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    if family is not Family.UNIX:
        with suppress(OSError):  # small requests may then leave later, which is no reason not to dial
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _sockaddr(address: Address) -> Any:
    """The address as `socket.connect` takes it. Raises OSError if an IPv6 zone does not exist."""
    if address.family is Family.UNIX:
        return address.host
    if address.family is Family.V4:
        return address.host, address.port
    scope = address.scope
    scope_id = int(scope) if scope.isdecimal() else socket.if_nametoindex(scope) if scope else 0
    return address.host, address.port, 0, scope_id


def is_open(sock: socket.socket) -> bool:
    """Whether a connected socket has neither ended nor failed so far; takes no byte from it."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False
