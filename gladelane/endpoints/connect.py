"""One non-blocking connect to one address. This module does I/O and makes no decisions."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from ..sockets import close_socket
from .address import Address, Family
from .health import DialFailure

OUT_OF_SOCKETS_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
#: Results of connect(2) while it continues: the socket becomes writable once it has connected or failed.
IN_PROGRESS_ERRNOS = frozenset({errno.EINPROGRESS, errno.EINTR})
_SOCKET_FAMILIES = {Family.V4: socket.AF_INET, Family.V6: socket.AF_INET6, Family.UNIX: socket.AF_UNIX}


OnDone = Callable[[socket.socket | None, DialFailure | None], None]  # a connected socket or a failure


def _dial_failure(code: int) -> DialFailure:
    if code == errno.ECONNREFUSED:
        return DialFailure.REFUSED
    return DialFailure.NO_SOCKET if code in OUT_OF_SOCKETS_ERRNOS else DialFailure.UNREACHABLE


class Connect:
    """One dial. `on_done` is called once, but not by the constructor and not after `cancel`."""

    def __init__(self, address: Address, on_done: OnDone) -> None:
        self.loop = asyncio.get_running_loop()
        self.on_done = on_done
        self.sock: socket.socket | None = None
        self._is_watched = False
        self._finish_handle: asyncio.Handle | None = None
        try:
            self.sock = _open_socket(address.family)
            code = self.sock.connect_ex(_sockaddr(address))
        except (OSError, ValueError) as error:  # no descriptor left, unknown zone, or unsupported family
            code = getattr(error, "errno", None) or errno.EINVAL
        if code in IN_PROGRESS_ERRNOS and self.sock is not None:
            self._is_watched = True
            self.loop.add_writer(self.sock.fileno(), self._on_writable)
        else:
            # EAGAIN of a Unix socket means that the backlog is full. This socket would be writable at once,
            # as if it were connected, so the code is reported instead of waiting.
            self._finish_handle = self.loop.call_soon(self._finish, code)

    def _on_writable(self) -> None:
        assert self.sock is not None
        self._unwatch()
        try:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:  # the result is unknown: treated as a failure
            code = error.errno or errno.EINVAL
        self._finish(code)

    def _finish(self, code: int) -> None:
        """Reports the end of the dial with an errno, or 0 if it has connected."""
        self._finish_handle = None
        sock, self.sock = self.sock, None
        if code == 0 and sock is not None:
            self.on_done(sock, None)
            return
        if sock is not None:
            close_socket(sock)
        self.on_done(None, _dial_failure(code))

    def _unwatch(self) -> None:
        if self._is_watched and self.sock is not None:
            self.loop.remove_writer(self.sock.fileno())
        self._is_watched = False

    def cancel(self) -> None:
        """Ends the dial and closes its socket, unless it was passed to `on_done` already."""
        if self._finish_handle is not None:
            self._finish_handle.cancel()
            self._finish_handle = None
        self._unwatch()
        if self.sock is not None:
            close_socket(self.sock)
            self.sock = None


def _open_socket(family: Family) -> socket.socket:
    sock = socket.socket(_SOCKET_FAMILIES[family], socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    if family is not Family.UNIX:
        with suppress(OSError):  # without it, small requests may be delayed, but the dial is still useful
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def _sockaddr(address: Address) -> Any:
    """Returns an address as `socket.connect` expects it. Raises OSError if the IPv6 zone does not exist."""
    if address.family is Family.UNIX:
        return address.host
    if address.family is Family.V4:
        return address.host, address.port
    scope = address.scope
    scope_id = int(scope) if scope.isdecimal() else socket.if_nametoindex(scope) if scope else 0
    return address.host, address.port, 0, scope_id


def is_open(sock: socket.socket) -> bool:
    """Whether a connected socket was neither closed by the peer nor has failed. Reads no byte from it."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False
