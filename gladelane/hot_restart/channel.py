"""Connections between the processes of one director. The old process's listening socket passes over them, and
while both run, operators' requests and what became of attempts with idempotency keys.

Anything but a message of this version ends the connection: each process continues alone, and the new one
listens by SO_REUSEPORT.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from dataclasses import dataclass, field
from typing import Protocol

from ..sockets import close_socket
from .decoding import HandoverError
from .messages import HELLO, HERE, Message, encode_message, read_message
from .rendezvous_socket import READ_BYTES, NoReplyError, RendezvousSocket, request_listener

log = logging.getLogger(__name__)

MAX_PEERS = 4
#: Bytes that wait for one peer: some 10,000 attempts with keys, as many as a director sends in tens of
#: seconds. A process that has read nothing for so long does not serve either.
MAX_UNSENT_BYTES = 1_000_000


@dataclass(frozen=True)
class Offer:
    """What a new process is given."""

    listener: socket.socket
    #: Sent to the new process alone, right after the listening socket.
    first_messages: tuple[Message, ...] = ()


class ChannelHandler(Protocol):
    """The owner of a channel, which acts on what happens there."""

    def on_message(self, message: Message) -> None:
        """A peer sent an order."""

    def on_peers_changed(self) -> None:
        """Another process has started or ended."""

    def hand_over(self) -> Offer | None:
        """A new process asks for the listening socket; None where there is none to give."""


@dataclass(eq=False)
class Peer:
    """Another process of this director."""

    sock: socket.socket
    received: bytearray = field(default_factory=bytearray)
    unsent: bytearray = field(default_factory=bytearray)
    is_established: bool = False  # one of the two has given the listening socket to the other
    is_successor: bool = False  # it started after this process
    reads_keys: bool = False  # it reads orders about idempotency keys


class Channel:
    """This process's connections to the others. Use it in one event loop."""

    def __init__(self, folder: str, name: str, handler: ChannelHandler) -> None:
        """`folder` is shared by the processes; `name` is the director's, with its address."""
        self._folder = folder
        self._name = name
        self._handler = handler
        self._rendezvous = RendezvousSocket(folder, self._accept)
        self._peers: list[Peer] = []
        #: Whether a predecessor may run that gave nothing over to `connect`.
        self.is_predecessor_silent = False

    @property
    def peer_count(self) -> int:
        """How many other processes of this director run."""
        return sum(peer.is_established for peer in self._peers)

    def connect(self) -> socket.socket | None:
        """Connects to the process that runs already, and returns its listening socket; None where there is no
        such process or it gives none. Blocks, as `request_listener` does."""
        try:
            reply = request_listener(self._folder, self._name)
        except NoReplyError:
            self.is_predecessor_silent = True
            return None
        if reply is None:
            return None
        peer = Peer(reply.sock, bytearray(reply.rest), is_established=True, reads_keys=reply.here.keys)
        self._add_peer(peer)
        if reply.rest:  # the socket may never become readable again
            asyncio.get_running_loop().call_soon(self._read_lines, peer)
        return reply.listener

    def listen(self) -> None:
        """Lets newer processes find this one."""
        self._rendezvous.open()

    def broadcast(self, message: Message, source: Peer | None = None) -> None:
        """Sends a message to all peers but its source. On return the kernel has it, so that a peer can read
        it even if this process is killed; only a peer that has fallen behind gets it later."""
        for peer in list(self._peers):
            if peer.is_established and peer is not source and (peer.reads_keys or not message.is_about_key):
                self._send(peer, encode_message(message))

    def close(self) -> None:
        """Ends all connections and stops listening."""
        self._rendezvous.close()
        for peer in self._peers:
            self._close_peer(peer)
        self._peers.clear()

    def _send(self, peer: Peer, data: bytes) -> None:
        was_idle = not peer.unsent
        peer.unsent += data
        if len(peer.unsent) > MAX_UNSENT_BYTES:
            self._drop(peer, "it takes nothing")
        elif was_idle:  # else the socket's writer is waiting already
            self._flush(peer)

    def _flush(self, peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        try:
            del peer.unsent[: peer.sock.send(peer.unsent)]
        except BlockingIOError:
            pass
        except OSError:  # it has ended; what it sent before has yet to be read, and then the end
            peer.unsent.clear()
        if peer.unsent:
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
        peer.received += data
        self._read_lines(peer)

    def _read_lines(self, peer: Peer) -> None:
        *lines, rest = peer.received.split(b"\n")
        peer.received = rest
        try:
            for line in lines:
                self._handle(peer, read_message(bytes(line), self._name))
            if len(rest) > READ_BYTES:
                raise HandoverError("a line without an end")
        except (HandoverError, OSError) as error:
            self._drop(peer, str(error))

    def _handle(self, peer: Peer, message: Message) -> None:
        """Raises HandoverError, OSError."""
        if message.kind == HELLO:
            self._hand_over_to(peer, message)
        elif peer.is_established:
            self._handler.on_message(message)
            # The processes form a chain: each knows only the one before it and those that came to it.
            self.broadcast(message, source=peer)

    def _hand_over_to(self, peer: Peer, hello: Message) -> None:
        """Raises HandoverError, OSError."""
        offer = self._handler.hand_over()
        if offer is None:
            raise HandoverError("nothing to hand over: this process listens no more")
        data = encode_message(Message(HERE, name=self._name, keys=True))
        sent = socket.send_fds(peer.sock, [data], [offer.listener.fileno()])
        peer.is_established = peer.is_successor = True
        peer.reads_keys = hello.keys
        if sent < len(data):
            self._send(peer, data[sent:])
        for message in offer.first_messages:
            self._send(peer, encode_message(message))
        log.info("upgrade: a new process has the listening socket")
        self._handler.on_peers_changed()

    def _drop(self, peer: Peer, reason: str) -> None:
        if peer not in self._peers:
            return
        log.info("upgrade: the other process is left: %s", reason)
        self._peers.remove(peer)
        self._close_peer(peer)
        has_successor = any(other.is_successor for other in self._peers)
        if peer.is_successor and not has_successor and self._rendezvous.is_open:
            # The successor had replaced the socket's file and has failed: newer processes have to find this
            # one.
            self._rendezvous.close()
            self._rendezvous.open()
        if peer.is_established:
            self._handler.on_peers_changed()

    def _close_peer(self, peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(peer.sock.fileno())
        loop.remove_writer(peer.sock.fileno())
        close_socket(peer.sock)
