"""The Unix socket in $TMPDIR at which a new process meets the old one: the listening socket passes over it,
and, while both run, what operators order and which keyed attempts may have run. It opens with the first
process and is taken over by each later one.

A line of JSON is a message. Anything else, or another version, ends the connection: each goes on alone, and
the new one listens by SO_REUSEPORT.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from .checks import Unusable, decoded, expect

log = logging.getLogger(__name__)

VERSION = 1
NAME = "gladelane.sock"
MEET_S = 1.5  # for the old process to answer, all told; a start has 6 s
READ_BYTES = 65_536
MOST_PEERS = 4
#: of one peer: some 10,000 keyed attempts, as many as a director sends in tens of seconds. A process that has
#: read nothing for so long serves nobody either
MOST_UNSENT_BYTES = 1_000_000
#: words of an `order` that a process gives by itself, beside those of an operator's call
MAY_HAVE_RUN, NEVER_RAN = "may_have_run", "never_ran"


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """`hello` from the new process, `here` with the listening socket from the old one, then from either side
    `order` with the word of an operator's call, or with what became of a keyed attempt."""

    kind: str
    version: int = VERSION
    name: str = ""  # the director's, with its address: two directors may be given one folder
    word: str = ""
    store: str = ""
    keys: bool = False  # in `hello` and `here`: takes words of keyed attempts; older versions do not
    key: str = ""  # the client's, of a keyed attempt
    at_ms: float = 0.0  # when its first byte left, Unix ms

    @property
    def is_of_key(self) -> bool:
        return self.word in (MAY_HAVE_RUN, NEVER_RAN)


_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


def _encoded(message: Message) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def read_message(line: bytes, name: str) -> Message:
    """Raises Unusable."""
    message = decoded(_decoder, line)
    expect("version", message.version, VERSION)
    if message.kind in ("hello", "here"):
        expect("of", message.name, name)
    return message


@dataclass(eq=False)
class Peer:
    """Another process of this director."""

    sock: socket.socket
    received: bytearray = field(default_factory=bytearray)
    unsent: bytearray = field(default_factory=bytearray)
    is_handed: bool = False  # one of the two has given the listening socket to the other
    is_heir: bool = False  # it came after this process
    takes_keys: bool = False


class Channel:
    """`on_message` hears orders; `on_peers_changed` is called when another process has come or gone;
    `hand_over` is called before a new one is answered and gives the listening socket, None while there is
    none to give."""

    def __init__(
        self,
        folder: str,
        name: str,
        on_message: Callable[[Message], None],
        on_peers_changed: Callable[[], None],
        hand_over: Callable[[], socket.socket | None],
    ) -> None:
        self.folder, self.name = folder, name
        self._on_message, self._on_peers_changed, self._hand_over = on_message, on_peers_changed, hand_over
        self._listener: socket.socket | None = None
        self._peers: list[Peer] = []

    @property
    def peer_count(self) -> int:
        return sum(peer.is_handed for peer in self._peers)

    def connect(self) -> socket.socket | None:
        """The old process's listening socket; None where there is no such process or it does not say. Blocks
        for up to MEET_S: a new process has nothing else to do yet."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.settimeout(MEET_S)
            with _ShortPath(self.folder) as path:
                sock.connect(path)
            sock.sendall(_encoded(Message("hello", name=self.name, keys=True)))
            data, fds, _, _ = socket.recv_fds(sock, READ_BYTES, 1)
            try:
                line, end, rest = data.partition(b"\n")
                if not end or not fds:
                    raise Unusable("it gave no listening socket")
                here = read_message(line, self.name)
                if here.kind != "here":
                    raise Unusable("it gave no listening socket")
            except BaseException:
                for fd in fds:
                    os.close(fd)
                raise
        except (FileNotFoundError, ConnectionRefusedError):
            sock.close()
            return None  # the usual start: nobody is there
        except (OSError, Unusable) as error:
            log.warning("upgrade: the old process gives nothing over: %s", error)
            sock.close()
            return None
        peer = Peer(sock, bytearray(rest), is_handed=True, takes_keys=here.keys)
        self._add(peer)
        if rest:  # nothing more may come to wake the reader
            asyncio.get_running_loop().call_soon(self._read_lines, peer)
        return socket.socket(fileno=fds[0])

    def listen(self) -> None:
        """Takes the meeting place over from an older process. Without it the next version listens by
        SO_REUSEPORT and starts from nothing."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with _ShortPath(self.folder, f".{os.getpid()}") as fresh, _ShortPath(self.folder) as path:
                with suppress(FileNotFoundError):
                    os.unlink(fresh)
                listener.bind(fresh)
                os.chmod(fresh, 0o600)
                listener.listen(MOST_PEERS)
                os.replace(fresh, path)
        except OSError as error:
            log.warning("upgrade: no meeting place in %s: %s", self.folder, error)
            listener.close()
            return
        listener.setblocking(False)
        self._listener = listener
        asyncio.get_running_loop().add_reader(listener.fileno(), self._accept)

    def broadcast(self, message: Message, source: Peer | None = None) -> None:
        """To all but the source. On return the system has it, so that a peer can read it also after this
        process was killed; only a peer that has fallen behind gets it later."""
        for peer in list(self._peers):
            if peer.is_handed and peer is not source and (peer.takes_keys or not message.is_of_key):
                self._send(peer, _encoded(message))

    def close(self) -> None:
        self._stop_listening()
        for peer in self._peers:
            self._close_peer(peer)
        self._peers.clear()

    def _send(self, peer: Peer, data: bytes) -> None:
        peer.unsent += data
        if len(peer.unsent) > MOST_UNSENT_BYTES:
            self._drop(peer, "it takes nothing")
        elif len(peer.unsent) == len(data):  # else it waits for its turn
            self._flush(peer)

    def _flush(self, peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        try:
            del peer.unsent[: peer.sock.send(peer.unsent)]
        except BlockingIOError:
            pass
        except OSError:  # it has ended; what it had sent is still to be read, and the end after it
            peer.unsent.clear()
        if peer.unsent:
            loop.add_writer(peer.sock.fileno(), self._flush, peer)
        else:
            loop.remove_writer(peer.sock.fileno())

    def _stop_listening(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        if len(self._peers) >= MOST_PEERS:
            sock.close()
            return
        self._add(Peer(sock))

    def _add(self, peer: Peer) -> None:
        peer.sock.setblocking(False)
        self._peers.append(peer)
        asyncio.get_running_loop().add_reader(peer.sock.fileno(), self._readable, peer)

    def _readable(self, peer: Peer) -> None:
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
                self._handle(peer, read_message(bytes(line), self.name))
            if len(rest) > READ_BYTES:
                raise Unusable("a line without an end")
        except (Unusable, OSError) as error:
            self._drop(peer, str(error))

    def _handle(self, peer: Peer, message: Message) -> None:
        """Raises Unusable, OSError."""
        if message.kind == "hello":
            given = self._hand_over()
            if given is None:
                raise Unusable("nothing to hand over: this process listens no more")
            here = Message("here", name=self.name, keys=True)
            socket.send_fds(peer.sock, [_encoded(here)], [given.fileno()])
            peer.is_handed = peer.is_heir = True
            peer.takes_keys = message.keys
            log.info("upgrade: a new process has the listening socket")
            self._on_peers_changed()
        elif peer.is_handed:
            self._on_message(message)
            # processes form a chain: each came beside the one before it, and knows no other
            self.broadcast(message, source=peer)

    def _drop(self, peer: Peer, why: str) -> None:
        if peer not in self._peers:
            return
        log.info("upgrade: the other process is left: %s", why)
        self._peers.remove(peer)
        self._close_peer(peer)
        if peer.is_heir and not any(other.is_heir for other in self._peers) and self._listener is not None:
            self._stop_listening()
            self.listen()  # it had taken the meeting place over, and failed: the next one is to find us
        if peer.is_handed:
            self._on_peers_changed()

    def _close_peer(self, peer: Peer) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(peer.sock.fileno())
        loop.remove_writer(peer.sock.fileno())
        peer.sock.close()


class _ShortPath:
    """A path of the socket that fits the 107 bytes of an address, however long the folder's is."""

    def __init__(self, folder: str, suffix: str = "") -> None:
        self._folder, self._name = folder, NAME + suffix

    def __enter__(self) -> str:
        self._fd = os.open(self._folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        return str(Path(f"/proc/self/fd/{self._fd}") / self._name)

    def __exit__(self, *_: object) -> None:
        os.close(self._fd)
