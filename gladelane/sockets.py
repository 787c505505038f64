"""Queries the operating system for the state of a connected socket that its asyncio stream does not expose.

No function consumes received bytes.
"""

from __future__ import annotations

import errno
import fcntl
import socket
import struct
import termios
import time
from contextlib import suppress
from typing import NamedTuple

NO_SOCKET = (OSError, ValueError)  # ValueError: the socket is closed and its descriptor is -1
SIOCOUTQNSD = 0x894B  # linux/sockios.h: number of bytes not sent yet; termios has no name for it
LAST_DATA = struct.Struct("=52xI")  # linux/tcp.h: tcpi_last_data_recv in struct tcp_info, in ms
MAX_PEEK_BYTES = 2_097_152  # more than the size of all requests that a client may have open
#: the TCP states (include/net/tcp_states.h) in which the peer sends nothing more
PEER_ENDED = frozenset({7, 8, 9, 11})  # CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING


#: Errors that mean a temporary lack of resources rather than an invalid call.
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
OPEN_ATTEMPTS, OPEN_INTERVAL_S = 10, 0.05  # for opening a listening socket at the start


class Unread(NamedTuple):
    """Received bytes that were not read yet, and whether the peer has ended the connection after them."""

    data: bytes
    ended: bool


def unread_bytes(sock: socket.socket) -> int:
    """The number of received bytes that the stream has not read yet. It is 0 for a closed socket: a transport
    closes its socket as soon as an error ends the connection, before the protocol is notified."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0\0\0\0"))[0])
    except NO_SOCKET:
        return 0


def unsent_bytes(sock: socket.socket) -> int:
    """The number of bytes in the send buffer that were never sent, because the peer's window is full. Bytes
    that were sent and not acknowledged yet do not count."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), SIOCOUTQNSD, b"\0\0\0\0"))[0])
    except NO_SOCKET:
        return 0


def has_unread(sock: socket.socket) -> bool:
    """Whether there are received bytes that the stream has not read yet."""
    return unread_bytes(sock) > 0


def has_ended(sock: socket.socket) -> bool:
    """Whether the peer has closed or reset the connection and nothing it sent is unread. The stream reports
    this one iteration of the event loop after the last bytes, when these may have been processed already."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def look_ahead(sock: socket.socket) -> Unread:
    """The bytes that the stream will read next, without consuming them. If there are none, this takes a
    single system call."""
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
    """Whether the TCP state shows that the peer has ended the connection; a read does not show an end that
    follows unread bytes."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in PEER_ENDED
    except (OSError, IndexError):
        return False


def last_data_ms(sock: socket.socket) -> float:
    """The time since the peer's latest bytes arrived, from TCP_INFO; 0 if the system does not provide it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA.size)
        return float(LAST_DATA.unpack(info)[0])
    except (*NO_SOCKET, struct.error):
        return 0.0


def reset(sock: socket.socket) -> None:
    """Makes the following close discard unsent bytes and reset the connection."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def open_listening(host: str, port: int, backlog: int, reuse_port: bool = False) -> socket.socket:
    """Opens a listening socket. Blocks for up to half a second while the system is out of resources, because
    the process cannot work without the socket. Raises OSError, immediately if the address is in use."""
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
    """Closes a socket and ignores errors: according to close(2) the descriptor is released even if it
    fails."""
    with suppress(OSError):
        sock.close()


def shut_write_side(sock: socket.socket) -> None:
    """Closes the write side only: the peer reads an end of file after the last bytes, and what it sends is
    still received instead of causing a reset."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
