"""Operations on sockets that asyncio streams do not offer: querying the state of a connection, resetting it,
opening listening sockets.

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

CLOSED_SOCKET_ERRORS = (OSError, ValueError)  # ValueError: the socket is closed and its descriptor is -1
SIOCOUTQNSD = 0x894B  # linux/sockios.h: the number of bytes not sent yet; termios lacks this constant
TCP_INFO_LAST_DATA = struct.Struct("=52xI")  # linux/tcp.h: tcpi_last_data_recv in struct tcp_info, in ms
MAX_PEEK_BYTES = 2_097_152  # more than the size of all requests that a client may have open
#: The TCP states (include/net/tcp_states.h) in which the peer sends nothing more.
PEER_ENDED_STATES = frozenset({7, 8, 9, 11})  # CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING
#: Errors that mean a temporary lack of resources rather than an invalid call.
OUT_OF_RESOURCES_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
OPEN_ATTEMPTS, OPEN_INTERVAL_S = 10, 0.05  # for opening a listening socket at the start


class Unread(NamedTuple):
    """Received bytes that were not read yet, and whether the peer has ended the connection behind them."""

    data: bytes
    ended: bool


def unread_bytes(sock: socket.socket) -> int:
    """The number of received bytes that the stream has not read yet. It is 0 for a closed socket: a transport
    closes its socket as soon as an error ends the connection, before the protocol is notified."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0\0\0\0"))[0])
    except CLOSED_SOCKET_ERRORS:
        return 0


def unsent_bytes(sock: socket.socket) -> int:
    """The number of bytes in the send buffer that were never sent, because the peer's window is full. Bytes
    that were sent and not acknowledged yet do not count."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), SIOCOUTQNSD, b"\0\0\0\0"))[0])
    except CLOSED_SOCKET_ERRORS:
        return 0


def unacknowledged_bytes(sock: socket.socket) -> int:
    """The number of bytes in the send buffer that the peer's system has not acknowledged, sent or not. Bytes
    that it has acknowledged are not lost by a reset of the connection, whether the peer has read them or
    not. 0 if the system does not tell."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0"))[0])
    except CLOSED_SOCKET_ERRORS:
        return 0


def has_unread(sock: socket.socket) -> bool:
    """Whether there are received bytes that the stream has not read yet."""
    return unread_bytes(sock) > 0


def has_ended(sock: socket.socket) -> bool:
    """Whether the peer has closed or reset the connection and nothing that it sent is unread. The stream
    reports the end one iteration of the event loop later than the last bytes, which may have been processed
    by then."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def peek_unread(sock: socket.socket) -> Unread:
    """Returns the bytes that the stream will read next, without consuming them. If there are none, this takes
    a single system call."""
    try:
        if not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
            return Unread(b"", True)
        max_bytes = min(unread_bytes(sock), MAX_PEEK_BYTES)
        data = sock.recv(max_bytes, socket.MSG_PEEK | socket.MSG_DONTWAIT) if max_bytes else b""
    except BlockingIOError:
        return Unread(b"", False)
    except OSError:
        return Unread(b"", True)
    return Unread(data, _peer_ended(sock))


def _peer_ended(sock: socket.socket) -> bool:
    """Whether the TCP state shows that the peer has ended the connection; a read does not show an end that
    follows unread bytes."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in PEER_ENDED_STATES
    except (OSError, IndexError):
        return False


def ms_since_last_data(sock: socket.socket) -> float:
    """The time since the peer's latest bytes arrived, from TCP_INFO; 0 if the system does not provide it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA.size)
        return float(TCP_INFO_LAST_DATA.unpack(info)[0])
    except (*CLOSED_SOCKET_ERRORS, struct.error):
        return 0.0


def reset(sock: socket.socket) -> None:
    """Sets SO_LINGER so that closing the socket discards unsent bytes and resets the connection."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def open_listening_socket(host: str, port: int, backlog: int, reuse_port: bool = False) -> socket.socket:
    """Opens a listening socket. Blocks for up to half a second while the system is out of resources, because
    the process cannot work without the socket. Raises OSError, immediately if the address is in use."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for attempts_left in reversed(range(OPEN_ATTEMPTS)):
        try:
            return socket.create_server((host, port), family=family, backlog=backlog, reuse_port=reuse_port)
        except OSError as error:
            if error.errno not in OUT_OF_RESOURCES_ERRNOS or not attempts_left:
                raise
        time.sleep(OPEN_INTERVAL_S)
    raise AssertionError("the last attempt returns or raises")


def close_socket(sock: socket.socket) -> None:
    """Closes a socket and ignores errors: according to close(2), the descriptor is released even if the call
    fails."""
    with suppress(OSError):
        sock.close()


def shut_write_side(sock: socket.socket) -> None:
    """Closes the write side only: the peer reads an end of file after the last bytes, and what it sends is
    still received instead of causing a reset."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
