"""The socket at which clients arrive. Its owner says who has room; all others wait in the system's queue."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

log = logging.getLogger(__name__)

SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h; the socket module has no name for it
ACCEPT_AT_ONCE = 1100  # connections in one turn of the loop: more than the queue holds
BACKLOG = 512  # connections that the system holds until there is room for them
ROOM_S = 0.005  # how often room is looked for then


def open_listener(host: str, port: int, shared: bool) -> socket.socket:
    """`shared` only where a new version may come beside this one: elsewhere an address that is taken is a
    mistake, and is to stop the start. Raises OSError."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=BACKLOG, reuse_port=shared)


def steer_away(listener: socket.socket) -> None:
    """Has the system give newcomers to whoever listens here second, the new version (SO_REUSEPORT orders by
    age): what it puts into the queue of this one between the last accept and the close would be reset.
    Without a second one nothing changes."""
    import ctypes  # for this moment alone

    return_second = ctypes.create_string_buffer(struct.pack("=HBBI", 0x06, 0, 0, 1))  # BPF_RET | BPF_K, 1
    program = struct.pack("@HP", 1, ctypes.addressof(return_second))
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)


class Listener:
    """`has_room` is asked before each connection. `accepted` is given it in the same turn of the loop: a task
    that was cancelled in between would lose it."""

    def __init__(
        self,
        sock: socket.socket,
        shared: bool,
        has_room: Callable[[], bool],
        accepted: Callable[[socket.socket], None],
    ) -> None:
        self.sock = sock
        self._shared = shared
        self._has_room = has_room
        self._accepted = accepted
        self._closed = False
        sock.setblocking(False)
        self._accept_more()

    def steer_away(self) -> None:
        """Newcomers go to the process beside this one, where each has a queue of its own."""
        if self._shared:
            steer_away(self.sock)

    def accept_all(self) -> None:
        """As many as there is room for: a crowd that comes at once is served by and by."""
        for _ in range(ACCEPT_AT_ONCE):
            if not self._has_room():
                return self._accept_later()
            try:
                accepted, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:  # the client has gone already, or descriptors are out
                log.warning("accept failed: %s", error)
                return self._accept_later()
            self._accepted(accepted)

    def close(self) -> None:
        self._closed = True
        asyncio.get_running_loop().remove_reader(self.sock.fileno())
        self.sock.close()

    def _accept_more(self) -> None:
        if not self._closed:
            asyncio.get_running_loop().add_reader(self.sock.fileno(), self.accept_all)

    def _accept_later(self) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock.fileno())
        loop.call_later(ROOM_S, self._accept_more)
