"""What the operating system knows of a connected socket and its stream does not show; no byte is taken."""

from __future__ import annotations

import errno
import fcntl
import socket
import struct
import termios
import time
from contextlib import suppress
from typing import NamedTuple

NO_SOCKET = (OSError, ValueError)  # ValueError: it is closed, and its descriptor is -1
SIOCOUTQNSD = 0x894B  # linux/sockios.h: bytes that the system has not sent yet; termios has no name for it
LAST_DATA = struct.Struct("=52xI")  # linux/tcp.h: tcpi_last_data_recv in struct tcp_info, in ms
MAX_PEEK_BYTES = 2_097_152  # more than all the requests that a client may have open
#: of the system's connection states (include/net/tcp_states.h), those in which the peer sends nothing more
PEER_ENDED = frozenset({7, 8, 9, 11})  # CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING


#: Errors of the system, not of the call: it may have free resources again in a moment.
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
OPEN_ATTEMPTS, OPEN_INTERVAL_S = 10, 0.05  # of a listening socket, at the start


class Unread(NamedTuple):
    """What the system holds: bytes, and whether the peer has ended the connection after them."""

    data: bytes
    ended: bool


def unread_bytes(sock: socket.socket) -> int:
    """How many bytes the system holds that the stream has not been given. A transport closes its socket as
    soon as an error ends the connection, before anybody hears of it: there is nothing in it then."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0\0\0\0"))[0])
    except NO_SOCKET:
        return 0


def unsent_bytes(sock: socket.socket) -> int:
    """How many bytes were given to the system and never sent: the peer takes none. What was sent and is not
    acknowledged yet does not count."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), SIOCOUTQNSD, b"\0\0\0\0"))[0])
    except NO_SOCKET:
        return 0


def has_unread(sock: socket.socket) -> bool:
    """Whether the system holds bytes that the stream has not been given."""
    return unread_bytes(sock) > 0


def has_ended(sock: socket.socket) -> bool:
    """Whether the peer has closed, or reset, and nothing it sent is unread: the stream hears of that a turn
    of the loop after the last bytes, when they may have been acted on."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def look_ahead(sock: socket.socket) -> Unread:
    """What the stream will be given, without taking it. One system call where nothing has come."""
    try:
        if not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
            return Unread(b"", True)
        most = min(unread_bytes(sock), MAX_PEEK_BYTES)
        data = sock.recv(most, socket.MSG_PEEK | socket.MSG_DONTWAIT) if most else b""
    except BlockingIOError:
        return Unread(b"", False)
    except OSError:
        return Unread(b"", True)
    return Unread(data, _peer_ended(sock))


def _peer_ended(sock: socket.socket) -> bool:
    """By the connection's state: an end behind unread bytes shows in no read."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in PEER_ENDED
    except (OSError, IndexError):
        return False


def last_data_ms(sock: socket.socket) -> float:
    """How long ago the peer's latest bytes came, by the system's own account; 0 where it keeps none."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA.size)
        return float(LAST_DATA.unpack(info)[0])
    except (*NO_SOCKET, struct.error):
        return 0.0


def reset(sock: socket.socket) -> None:
    """Has the close that follows throw away what was not sent, and reset the connection."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def open_listening(host: str, port: int, backlog: int, reuse_port: bool = False) -> socket.socket:
    """Opens a listening socket. Blocks for up to half a second while the system is out of resources, since a
    process can do nothing without it. Raises OSError, at once if the address is in use."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for attempts_left in reversed(range(OPEN_ATTEMPTS)):
        try:
            return socket.create_server((host, port), family=family, backlog=backlog, reuse_port=reuse_port)
        except OSError as error:
            if error.errno not in OUT_OF_RESOURCES or not attempts_left:
                raise
        time.sleep(OPEN_INTERVAL_S)
    raise AssertionError("the last attempt returns or raises")


def close_socket(sock: socket.socket) -> None:
    """Closes it whatever the system says: by close(2) the descriptor is gone also where the call fails."""
    with suppress(OSError):
        sock.close()


def shut_write_side(sock: socket.socket) -> None:
    """The peer reads an end of file after what it was sent; what it sends still comes, and resets nothing."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
