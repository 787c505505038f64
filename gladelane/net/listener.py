"""The listening socket. While its owner has no capacity, new connections wait in the system's queue."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import struct
import time
from collections.abc import Callable
from contextlib import suppress
from enum import Enum, auto

from ..sockets import close_socket, open_listening_socket

log = logging.getLogger(__name__)

SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h; the socket module has no name for it
ACCEPT_AT_ONCE = 1100  # connections in one iteration of the loop: more than the queue has
BACKLOG = 512  # connections that the system queues
CAPACITY_POLL_S = 0.005  # between checks for capacity while there is none
#: Errors of accept that concern one connection, which has gone; others wait behind it.
GONE = frozenset({errno.ECONNABORTED, errno.EPROTO})
GONE_MOST = 64  # of these in one iteration of the loop
LAST_TRIES, LAST_APART_S = 10, 0.005  # of the last accept, while the system lacks resources


def open_listener(host: str, port: int, shared: bool) -> socket.socket:
    """A listening socket. `shared` lets another process listen at the same address, for a hot restart;
    without it an address in use is an error. Raises OSError."""
    return open_listening_socket(host, port, BACKLOG, reuse_port=shared)


def steer_away(listener: socket.socket) -> None:
    """Directs new connections to the second process that listens here, the new version (SO_REUSEPORT orders
    them by age): those queued here between the last accept and the close would be reset. Without a second
    process nothing changes."""
    try:
        import ctypes  # needed here only
    except (ImportError, OSError) as error:  # loading it takes descriptors
        log.warning("newcomers are not steered away: %s", error)
        return
    return_second = ctypes.create_string_buffer(struct.pack("=HBBI", 0x06, 0, 0, 1))  # BPF_RET | BPF_K, 1
    program = struct.pack("@HP", 1, ctypes.addressof(return_second))
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)


class Stopped(Enum):
    """Why no further connection is accepted in this iteration of the loop."""

    DONE = auto()  # none is queued, or enough were accepted
    NO_CAPACITY = auto()
    FAILED = auto()


class Listener:
    """Accepts connections. `has_capacity` is called before each, `accepted` with each in the same iteration
    of the loop: a task that was cancelled in between would lose it."""

    def __init__(
        self,
        sock: socket.socket,
        shared: bool,
        has_capacity: Callable[[], bool],
        accepted: Callable[[socket.socket], None],
    ) -> None:
        self.sock = sock
        self._shared = shared
        self._has_capacity = has_capacity
        self._accepted = accepted
        self._closed = False
        sock.setblocking(False)
        self._accept_more()

    def steer_away(self) -> None:
        """Directs new connections to another process, if each has a queue of its own."""
        if self._shared:
            steer_away(self.sock)

    def accept_all(self) -> None:
        """Accepts as many as there is capacity for."""
        if self._accept_waiting() is not Stopped.DONE:
            self._accept_later()

    def accept_last(self) -> None:
        """Accepts all that are queued, since the close resets the others. Blocks for up to 50 ms while the
        system lacks resources."""
        for _ in range(LAST_TRIES):
            if self._accept_waiting() is not Stopped.FAILED:
                return
            time.sleep(LAST_APART_S)

    def _accept_waiting(self) -> Stopped:
        gone = 0
        for _ in range(ACCEPT_AT_ONCE):
            if not self._has_capacity():
                return Stopped.NO_CAPACITY
            try:
                accepted, _ = self.sock.accept()
            except BlockingIOError:
                return Stopped.DONE
            except OSError as error:  # the client has gone already, or descriptors are out
                log.warning("accept failed: %s", error)
                gone += error.errno in GONE
                if error.errno in GONE and gone < GONE_MOST:
                    continue
                return Stopped.FAILED
            self._accepted(accepted)
        return Stopped.DONE

    def close(self) -> None:
        """Stops listening; connections still queued are reset."""
        self._closed = True
        asyncio.get_running_loop().remove_reader(self.sock.fileno())
        close_socket(self.sock)

    def _accept_more(self) -> None:
        if not self._closed:
            asyncio.get_running_loop().add_reader(self.sock.fileno(), self.accept_all)

    def _accept_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock.fileno())
        loop.call_later(CAPACITY_POLL_S, self._accept_more)
