"""What the system knows of a connected socket that its stream does not tell: looks that take no byte."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from contextlib import suppress
from typing import NamedTuple

SIOCOUTQNSD = 0x894B  # linux/sockios.h: bytes that the system has not sent yet; termios has no name for it
PEEK_MOST = 2_097_152  # bytes: more than all the requests that a client may have open
#: of the system's connection states (include/net/tcp_states.h), those in which the peer sends nothing more
PEER_ENDED = frozenset({7, 8, 9, 11})  # CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING


class Unread(NamedTuple):
    """What lies in the system: bytes, and whether the peer has ended the connection behind them."""

    data: bytes
    ended: bool


def unread_bytes(sock: socket.socket) -> int:
    """How many bytes the system holds that the stream has not been given."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0\0\0\0"))[0])
    except OSError:
        return 0


def unsent_bytes(sock: socket.socket) -> int:
    """How many bytes were given to the system and never sent: the peer takes none. What was sent and is not
    acknowledged yet does not count."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), SIOCOUTQNSD, b"\0\0\0\0"))[0])
    except OSError:
        return 0


def has_unread(sock: socket.socket) -> bool:
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
        most = min(unread_bytes(sock), PEEK_MOST)
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


def reset(sock: socket.socket) -> None:
    """Has the close that follows throw away what was not sent, and reset the connection."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def shut_write_side(sock: socket.socket) -> None:
    """The peer reads an end of file after what it was sent; what it sends still comes, and resets nothing."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
