"""The Unix socket in the processes' shared folder, through which a new process connects to the old one.

The first process creates it, and each later process replaces it by its own.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

from ..sockets import close_socket
from .decoding import HandoverError
from .messages import HELLO, HELLO_REPLY, Message, encode_message, hello_message, read_message

log = logging.getLogger(__name__)

SOCKET_NAME = "gladelane.sock"
SOCKET_MODE = 0o600
BACKLOG = 4
READ_BYTES = 65_536
#: Timeout of each step in which the old process replies; a new process has 6 s to start.
REPLY_TIMEOUT_S = 1.5
#: Delay before another attempt to create the socket.
LISTEN_RETRY_S = 2.0


@dataclass(frozen=True)
class Reply:
    """The old process's reply to a new one."""

    sock: socket.socket  # the connection between the two
    listener: socket.socket  # on which the director accepts clients
    message: Message
    extra_data: bytes  # the beginning of later messages, which was read together with the reply


class NoReplyError(Exception):
    """An old process may be running but did not hand over its socket. The reason has been logged."""


def request_listener(folder: str, name: str) -> Reply | None:
    """Asks the running process of the director `name` for its listening socket.

    Returns None if there is no such process. Raises NoReplyError if that process does not hand over its
    socket. Blocks for up to REPLY_TIMEOUT_S in each step, since a process that starts has nothing else to do
    yet.
    """
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError as error:
        log.warning("upgrade: cannot create a socket to the old process: %s", error)
        raise NoReplyError from error
    try:
        sock.settimeout(REPLY_TIMEOUT_S)
        with _short_path(folder) as path:
            sock.connect(path)
        sock.sendall(encode_message(hello_message(HELLO, name)))
        return _receive_reply(sock, name)
    except (FileNotFoundError, ConnectionRefusedError):
        close_socket(sock)
        return None  # no process is running, as at a usual start
    except (OSError, HandoverError) as error:
        log.warning("upgrade: the old process gives nothing over: %s", error)
        close_socket(sock)
        raise NoReplyError from error


def _receive_reply(sock: socket.socket, name: str) -> Reply:
    """Receives the reply to HELLO. Raises OSError and HandoverError."""
    data, descriptors, _, _ = socket.recv_fds(sock, READ_BYTES, 1)
    try:
        while data and b"\n" not in data and (more := sock.recv(READ_BYTES)):
            data += more
        line, line_break, extra_data = data.partition(b"\n")
        if not line_break or not descriptors:
            raise HandoverError("no listening socket was received")
        message = read_message(line, name)
        if message.kind != HELLO_REPLY:
            raise HandoverError("no listening socket was received")
        listener = socket.socket(fileno=descriptors[0])
    except BaseException:
        for descriptor in descriptors:
            os.close(descriptor)
        raise
    return Reply(sock, listener, message, extra_data)


class RendezvousSocket:
    """This process's socket, to which newer processes connect."""

    def __init__(self, folder: str, on_connect: Callable[[socket.socket], None]) -> None:
        """`on_connect` receives each accepted connection."""
        self._folder = folder
        self._on_connect = on_connect
        self._listener: socket.socket | None = None
        self._retry: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Whether new processes can find this one."""
        return self._listener is not None

    def open(self) -> None:
        """Creates the socket, and replaces that of an older process. A failure is logged, and creation is
        tried again; until it succeeds a new process listens with SO_REUSEPORT and starts without any
        state."""
        listener: socket.socket | None = None
        try:
            listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            self._bind(listener)
        except OSError as error:
            log.warning("upgrade: cannot create the rendezvous socket in %s: %s", self._folder, error)
            if listener is not None:
                close_socket(listener)
            self._retry = asyncio.get_running_loop().call_later(LISTEN_RETRY_S, self._open_unless_taken)
            return
        listener.setblocking(False)
        self._listener = listener
        asyncio.get_running_loop().add_reader(listener.fileno(), self._accept)

    def close(self) -> None:
        """Stops listening and retrying. The file stays, because it may belong to a newer process."""
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.fileno())
            close_socket(self._listener)
            self._listener = None

    def _bind(self, listener: socket.socket) -> None:
        """Binds the listener under a temporary name and moves it into place. Raises OSError."""
        with (
            _short_path(self._folder, f".{os.getpid()}") as temporary,
            _short_path(self._folder) as path,
        ):
            with suppress(FileNotFoundError):
                os.unlink(temporary)
            listener.bind(temporary)
            os.chmod(temporary, SOCKET_MODE)
            listener.listen(BACKLOG)
            os.replace(temporary, path)

    def _open_unless_taken(self) -> None:
        """Opens the socket unless a newer process has created its own in the meantime: still newer processes
        have to connect to that one."""
        with suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.setblocking(False)
            with _short_path(self._folder) as path:
                probe.connect(path)
            return
        self.open()

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        self._on_connect(sock)


@contextmanager
def _short_path(folder: str, suffix: str = "") -> Iterator[str]:
    """Yields the socket's path through a descriptor of the folder: the address of a Unix socket has at most
    107 bytes, and the path of the folder itself may be longer. Raises OSError."""
    descriptor = os.open(folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield str(Path(f"/proc/self/fd/{descriptor}") / (SOCKET_NAME + suffix))
    finally:
        os.close(descriptor)
