"""The Unix socket in $TMPDIR at which a new process meets the old one: the listening socket passes over it,
and what operators order while both run. It opens with the first process and is taken over by each later one.

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
from pathlib import Path

import msgspec

from .checks import Unusable, decoded, expect

log = logging.getLogger(__name__)

VERSION = 1
NAME = "gladelane.sock"
MEET_S = 1.5  # for the old process to answer, all told; a start has 6 s
READ_BYTES = 65_536
MOST_PEERS = 4


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """`hello` from the new process, `here` with the listening socket from the old one, then from either side
    `order` with the word of an operator's call."""

    kind: str
    version: int = VERSION
    name: str = ""  # the director's, with its address: two directors may be given one folder
    word: str = ""
    store: str = ""


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


class Channel:
    """`told` hears orders; `changed` is called when another process has come or gone; `hand_over` is called
    before a new one is answered and gives the listening socket, None while there is none to give."""

    def __init__(
        self,
        folder: str,
        name: str,
        told: Callable[[Message], None],
        changed: Callable[[], None],
        hand_over: Callable[[], socket.socket | None],
    ) -> None:
        self.folder, self.name = folder, name
        self._told, self._changed, self._hand_over = told, changed, hand_over
        self._listener: socket.socket | None = None
        self._peers: dict[socket.socket, bytearray] = {}
        self._handed: set[socket.socket] = set()
        self._heirs: set[socket.socket] = set()  # of these, who came after this process

    @property
    def peers(self) -> int:
        return len(self._handed)

    def meet(self) -> socket.socket | None:
        """The old process's listening socket; None where there is no such process or it does not say. Blocks
        for up to MEET_S: a new process has nothing else to do yet."""
        peer = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            peer.settimeout(MEET_S)
            with _short(self.folder) as path:
                peer.connect(path)
            peer.sendall(_encoded(Message("hello", name=self.name)))
            data, fds, _, _ = socket.recv_fds(peer, READ_BYTES, 1)
            try:
                line, end, rest = data.partition(b"\n")
                if not end or not fds or read_message(line, self.name).kind != "here":
                    raise Unusable("it gave no listening socket")
            except BaseException:
                for fd in fds:
                    os.close(fd)
                raise
        except (FileNotFoundError, ConnectionRefusedError):
            peer.close()
            return None  # the usual start: nobody is there
        except (OSError, Unusable) as error:
            log.warning("upgrade: the old process gives nothing over: %s", error)
            peer.close()
            return None
        self._add(peer, bytearray(rest))
        self._handed.add(peer)
        return socket.socket(fileno=fds[0])

    def listen(self) -> None:
        """Takes the meeting place over from an older process. Without it the next version listens by
        SO_REUSEPORT and starts from nothing."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with _short(self.folder, f".{os.getpid()}") as fresh, _short(self.folder) as path:
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

    def tell(self, message: Message) -> None:
        for peer in list(self._handed):
            try:
                peer.send(_encoded(message))
            except OSError as error:  # also where it takes nothing: it does not live
                self._drop(peer, f"it takes nothing: {error}")

    def close(self) -> None:
        self._stop_listening()
        for peer in list(self._peers):
            asyncio.get_running_loop().remove_reader(peer.fileno())
            peer.close()
        self._peers.clear()
        self._handed.clear()
        self._heirs.clear()

    def _stop_listening(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            peer, _ = self._listener.accept()
        except OSError:
            return
        if len(self._peers) >= MOST_PEERS:
            peer.close()
            return
        self._add(peer, bytearray())

    def _add(self, peer: socket.socket, held: bytearray) -> None:
        peer.setblocking(False)
        self._peers[peer] = held
        asyncio.get_running_loop().add_reader(peer.fileno(), lambda: self._readable(peer))

    def _readable(self, peer: socket.socket) -> None:
        held = self._peers[peer]
        try:
            data = peer.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._drop(peer, "it has ended")
            return
        held += data
        try:
            while (at := held.find(b"\n")) >= 0:
                line = bytes(held[:at])
                del held[: at + 1]
                self._message(peer, read_message(line, self.name))
            if len(held) > READ_BYTES:
                raise Unusable("a line without an end")
        except (Unusable, OSError) as error:
            self._drop(peer, str(error))

    def _message(self, peer: socket.socket, message: Message) -> None:
        """Raises Unusable, OSError."""
        if message.kind == "hello":
            given = self._hand_over()
            if given is None:
                raise Unusable("nothing to hand over: this process listens no more")
            socket.send_fds(peer, [_encoded(Message("here", name=self.name))], [given.fileno()])
            self._handed.add(peer)
            self._heirs.add(peer)
            log.info("upgrade: a new process has the listening socket")
            self._changed()
        elif peer in self._handed:
            self._told(message)

    def _drop(self, peer: socket.socket, why: str) -> None:
        log.info("upgrade: the other process is left: %s", why)
        asyncio.get_running_loop().remove_reader(peer.fileno())
        peer.close()
        self._peers.pop(peer, None)
        if peer in self._heirs:
            self._heirs.discard(peer)
            if not self._heirs and self._listener is not None:
                self._stop_listening()
                self.listen()  # it had taken the meeting place over, and failed: the next one is to find us
        if peer in self._handed:
            self._handed.discard(peer)
            self._changed()


class _short:
    """A path of the socket that fits the 107 bytes of an address, however long the folder's is."""

    def __init__(self, folder: str, suffix: str = "") -> None:
        self._folder, self._name = folder, NAME + suffix

    def __enter__(self) -> str:
        self._fd = os.open(self._folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        return str(Path(f"/proc/self/fd/{self._fd}") / self._name)

    def __exit__(self, *_: object) -> None:
        os.close(self._fd)
