"""The listening socket. While its owner has no capacity, new connections wait in the accept queue."""

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

SO_ATTACH_REUSEPORT_CBPF = 51  # from asm-generic/socket.h; Python's socket module has no constant for it
MAX_ACCEPTS_PER_TURN = 1100  # in one iteration of the event loop; more than the accept queue holds
BACKLOG = 512  # length of the accept queue
CAPACITY_POLL_S = 0.005  # interval between checks for capacity while there is none
#: Errors of accept() that concern one connection whose client has gone. Other connections wait behind it.
CLIENT_GONE_ERRORS = frozenset({errno.ECONNABORTED, errno.EPROTO})
MAX_CLIENT_GONE_ERRORS = 64  # such errors that are skipped in one iteration of the event loop
FINAL_ACCEPT_TRIES, FINAL_ACCEPT_INTERVAL_S = 10, 0.005  # before closing, while the system lacks resources


def open_listener(host: str, port: int, shared: bool) -> socket.socket:
    """Opens a listening socket. `shared` lets another process listen at the same address, for a hot restart;
    without it an address that is in use is an error. Raises OSError."""
    return open_listening_socket(host, port, BACKLOG, reuse_port=shared)


def redirect_new_connections(listener: socket.socket) -> None:
    """Has the system queue new connections for the second process that listens at this address, which is the
    new version, since SO_REUSEPORT orders the sockets by age. Otherwise connections that are queued here
    between the last accept and the close would be reset. Without a second process nothing changes."""
    try:
        import ctypes  # needed here only
    except (ImportError, OSError) as error:  # loading the module takes file descriptors
        log.warning("cannot redirect new connections to the new process: %s", error)
        return
    return_second = ctypes.create_string_buffer(struct.pack("=HBBI", 0x06, 0, 0, 1))  # BPF_RET | BPF_K, 1
    program = struct.pack("@HP", 1, ctypes.addressof(return_second))
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)


class StopReason(Enum):
    """Why no further connection is accepted in this iteration of the event loop."""

    DONE = auto()  # no connection is queued, or MAX_ACCEPTS_PER_TURN were accepted
    NO_CAPACITY = auto()
    FAILED = auto()


class Listener:
    """Accepts connections. `has_capacity` is called before each accept. `accepted` is called with each
    connection in the same iteration of the event loop, since a task that is cancelled between the two would
    lose the connection."""

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

    def redirect_new_connections(self) -> None:
        """Has the system queue new connections for another process, if the address is shared."""
        if self._shared:
            redirect_new_connections(self.sock)

    def accept_all(self) -> None:
        """Accepts as many queued connections as there is capacity for."""
        if self._accept_waiting() is not StopReason.DONE:
            self._accept_later()

    def accept_remaining(self) -> None:
        """Accepts all queued connections before the socket is closed, since closing it resets them. Blocks
        for up to 50 ms while the system lacks resources."""
        for _ in range(FINAL_ACCEPT_TRIES):
            if self._accept_waiting() is not StopReason.FAILED:
                return
            time.sleep(FINAL_ACCEPT_INTERVAL_S)

    def _accept_waiting(self) -> StopReason:
        client_gone_errors = 0
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._has_capacity():
                return StopReason.NO_CAPACITY
            try:
                accepted, _ = self.sock.accept()
            except BlockingIOError:
                return StopReason.DONE
            except OSError as error:  # the client has gone already, or there are no free descriptors
                log.warning("accept failed: %s", error)
                client_gone_errors += error.errno in CLIENT_GONE_ERRORS
                if error.errno in CLIENT_GONE_ERRORS and client_gone_errors < MAX_CLIENT_GONE_ERRORS:
                    continue
                return StopReason.FAILED
            self._accepted(accepted)
        return StopReason.DONE

    def close(self) -> None:
        """Stops listening. Connections that are still queued are reset."""
        self._closed = True
        asyncio.get_running_loop().remove_reader(self.sock.fileno())
        close_socket(self.sock)

    def _accept_more(self) -> None:
        if self._closed:
            return
        try:
            asyncio.get_running_loop().add_reader(self.sock.fileno(), self.accept_all)
        except Exception:  # without it no client would ever be accepted again
            log.exception("cannot wait for new connections, it is tried again")
            self._accept_later()

    def _accept_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock.fileno())
        loop.call_later(CAPACITY_POLL_S, self._accept_more)
