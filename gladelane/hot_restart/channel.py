"""Connections between the processes of one director.

They carry the old process's listening socket and, while both run, operators' requests and the outcomes of
attempts with idempotency keys. Any data other than a message of this version ends the connection: each
process then continues alone, and the new one listens with SO_REUSEPORT.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from dataclasses import dataclass, field
from typing import Protocol

from ..sockets import close_socket
from .decoding import HandoverError
from .messages import HELLO, HELLO_REPLY, Message, encode_message, hello_message, read_message
from .rendezvous_socket import READ_BYTES, NoReplyError, RendezvousSocket, request_listener

log = logging.getLogger(__name__)

MAX_PEERS = 4
#: Limit of the send buffer of one peer. It holds some 10,000 attempts with keys, as many as a director sends
#: in tens of seconds. A process that has read nothing for so long does not serve clients either.
MAX_UNSENT_BYTES = 1_000_000


@dataclass(frozen=True)
class Offer:
    """What an old process hands over to a new one."""

    listener: socket.socket
    #: Sent only to the new process, right after the listening socket.
    first_messages: tuple[Message, ...] = ()


class ChannelHandler(Protocol):
    """Handles the events of a channel."""

    def on_message(self, message: Message) -> None:
        """Handles an update from a peer."""

    def on_peers_changed(self) -> None:
        """Called when another process has started or ended."""

    def hand_over(self) -> Offer | None:
        """Returns the offer for a new process that asks for the listening socket; None if there is none."""


@dataclass(eq=False)
class Peer:
    """Another process of this director."""

    sock: socket.socket
    receive_buffer: bytearray = field(default_factory=bytearray)
    send_buffer: bytearray = field(default_factory=bytearray)
    is_established: bool = False  # one of the two processes has given the listening socket to the other
    is_successor: bool = False  # the peer started after this process
    reads_key_updates: bool = False  # the peer reads updates about idempotency keys
    reads_settings_updates: bool = False

    def establish(self, hello: Message) -> None:
        """Records that the listening socket was handed over, and what the peer reads by its `hello`."""
        self.is_established = True
        self.reads_key_updates = hello.reads_key_updates
        self.reads_settings_updates = hello.reads_settings_updates

    def reads(self, message: Message) -> bool:
        """Whether the peer reads this update. One that is not established reads none."""
        if message.is_about_key and not self.reads_key_updates:
            return False
        if message.is_about_settings and not self.reads_settings_updates:
            return False
        return self.is_established


class Channel:
    """This process's connections to the other processes. Not thread-safe: use it in one event loop."""

    def __init__(self, folder: str, name: str, handler: ChannelHandler) -> None:
        """`folder` is shared by the processes; `name` is the name of the director, with its address."""
        self._folder = folder
        self._name = name
        self._handler = handler
        self._rendezvous = RendezvousSocket(folder, self._accept)
        self._peers: list[Peer] = []
        #: Whether a predecessor may be running that did not hand over its listening socket to `connect`.
        self.is_predecessor_unresponsive = False

    @property
    def peer_count(self) -> int:
        """The number of other processes of this director that are running."""
        return sum(peer.is_established for peer in self._peers)

    def connect(self) -> socket.socket | None:
        """Connects to the process that is already running, and returns its listening socket, or None if there
        is no such process or it does not hand over its socket. Blocks, as `request_listener` does."""
        try:
            reply = request_listener(self._folder, self._name)
        except NoReplyError:
            self.is_predecessor_unresponsive = True
            return None
        if reply is None:
            return None
        peer = Peer(reply.sock, bytearray(reply.extra_data))
        peer.establish(reply.message)
        self._add_peer(peer)
        if reply.extra_data:  # the socket may never become readable again
            asyncio.get_running_loop().call_soon(self._read_lines, peer)
        return reply.listener

    def listen(self) -> None:
        """Lets newer processes connect to this one."""
        self._rendezvous.open()

    def broadcast(self, message: Message, source: Peer | None = None) -> None:
        """Sends a message to all peers except its source. On return the kernel has the message, so that a
        peer can read it even if this process is killed; only a peer that has fallen behind receives it
        later."""
        for peer in list(self._peers):
            if peer is not source and peer.reads(message):
                self._send(peer, encode_message(message))

    def close(self) -> None:
        """Ends all connections and stops listening."""
        self._rendezvous.close()
        for peer in self._peers:
            self._close_peer(peer)
        self._peers.clear()

    def _send(self, peer: Peer, data: bytes) -> None:
        was_idle = not peer.send_buffer
        peer.send_buffer += data
        if len(peer.send_buffer) > MAX_UNSENT_BYTES:
            self._drop(peer, "it reads nothing")
        elif was_idle:  # otherwise the event loop already waits until the socket is writable
            self._flush(peer)

    def _flush(self, peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        try:
            del peer.send_buffer[: peer.sock.send(peer.send_buffer)]
        except BlockingIOError:
            pass
        except OSError:  # the peer has ended; its earlier messages and the end of file are yet to be read
            peer.send_buffer.clear()
        if peer.send_buffer:
            loop.add_writer(peer.sock.fileno(), self._flush, peer)
        else:
            loop.remove_writer(peer.sock.fileno())

    def _accept(self, sock: socket.socket) -> None:
        if len(self._peers) >= MAX_PEERS:
            close_socket(sock)
            return
        self._add_peer(Peer(sock))

    def _add_peer(self, peer: Peer) -> None:
        peer.sock.setblocking(False)
        self._peers.append(peer)
        asyncio.get_running_loop().add_reader(peer.sock.fileno(), self._on_readable, peer)

    def _on_readable(self, peer: Peer) -> None:
        try:
            data = peer.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._drop(peer, "it has ended")
            return
        peer.receive_buffer += data
        self._read_lines(peer)

    def _read_lines(self, peer: Peer) -> None:
        *lines, partial_line = peer.receive_buffer.split(b"\n")
        peer.receive_buffer = partial_line
        try:
            for line in lines:
                self._handle(peer, read_message(bytes(line), self._name))
            if len(partial_line) > READ_BYTES:
                raise HandoverError("a line exceeds the size limit")
        except (HandoverError, OSError) as error:
            self._drop(peer, str(error))

    def _handle(self, peer: Peer, message: Message) -> None:
        """Handles one message. Raises HandoverError and OSError."""
        if message.kind == HELLO:
            self._hand_over_to(peer, message)
        elif peer.is_established:
            try:
                self._handler.on_message(message)
            except Exception:  # the messages behind it must be handled all the same
                log.exception("upgrade: failed to apply an update of the other process")
            # The processes form a chain: each is connected only to its predecessor and to its successors.
            self.broadcast(message, source=peer)

    def _hand_over_to(self, peer: Peer, hello: Message) -> None:
        """Sends the listening socket to a new process. Raises HandoverError and OSError."""
        offer = self._handler.hand_over()
        if offer is None:
            raise HandoverError("nothing to hand over: this process no longer listens")
        data = encode_message(hello_message(HELLO_REPLY, self._name))
        sent = socket.send_fds(peer.sock, [data], [offer.listener.fileno()])
        peer.is_successor = True
        peer.establish(hello)
        if sent < len(data):
            self._send(peer, data[sent:])
        for message in offer.first_messages:
            if peer.reads(message):
                self._send(peer, encode_message(message))
        log.info("upgrade: the new process has the listening socket")
        self._handler.on_peers_changed()

    def _drop(self, peer: Peer, reason: str) -> None:
        if peer not in self._peers:
            return
        log.info("upgrade: disconnected from the other process: %s", reason)
        self._peers.remove(peer)
        self._close_peer(peer)
        has_successor = any(other.is_successor for other in self._peers)
        if peer.is_successor and not has_successor and self._rendezvous.is_open:
            # The failed successor had replaced the socket's file: newer processes have to connect to this
            # process again.
            self._rendezvous.close()
            self._rendezvous.open()
        if peer.is_established:
            self._handler.on_peers_changed()

    def _close_peer(self, peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(peer.sock.fileno())
        loop.remove_writer(peer.sock.fileno())
        close_socket(peer.sock)
