"""One process's part in an upgrade: what it takes over when it starts, gives when another comes, and shares
while both run. Imported only where the platform starts processes beside each other."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable

from ..net.director import Director
from ..net.front import Front
from ..net.upstream import Upstream
from ..operations.calls import Call, Word
from ..operations.desk import Desk
from . import file
from .channel import MAY_HAVE_RUN, NEVER_RAN, Channel, Message
from .handover import Handover
from .learnt import Learnt, restore, split_off

log = logging.getLogger(__name__)


class Succession:
    """Made before the director has heard of any server; `folder` is what the processes share."""

    def __init__(
        self,
        folder: str,
        name: str,
        clock: Callable[[], float],
        director: Director,
        upstream: Upstream,
        front: Front,
        desk: Desk,
    ) -> None:
        self._folder, self._name, self._clock = folder, name, clock
        self._director, self._upstream, self._front, self._desk = director, upstream, front, desk
        self._full_limits = upstream.cap, front.cap, front.held_bytes
        self._channel = Channel(folder, name, self._receive, self._split_limits, self._hand_over)
        self._handed: Handover | None = None
        director.key_observer = self

    @property
    def beside(self) -> bool:
        """Whether another process of this director runs, with the same listening socket."""
        return self._channel.peer_count > 0

    def meet(self) -> socket.socket | None:
        """The listening socket of the process that this one comes beside, if there is one. Orders that the
        former was given hold before anything is listed."""
        given = self._channel.connect()
        handed = self._handed = file.read(self._folder, self._name, self._clock())
        if handed is not None:
            self._director.register.out.update(handed.out)
            self._director.register.back.update(handed.back)
            self._director.keys.take_over(handed.keys)
            if handed.failed_ms:
                self._front.drain.fail(handed.failed_ms)
        return given

    def take_over(self) -> None:
        """Once this process's own file has been heard: what the former knew beyond it."""
        handed, self._handed = self._handed, None
        if handed is None:
            return
        self._director.take_over(handed.rev, handed.notices)
        if handed.learnt is not None:
            restore(self._director.router, handed.learnt)
        log.info(
            "upgrade: took over rev=%d out=%d emptied=%d learnt=%d age_ms=%.0f",
            handed.rev,
            len(handed.out),
            bool(handed.failed_ms),
            handed.learnt is not None,
            self._clock() - handed.written_ms,
        )

    def listen(self) -> None:
        """This process serves: the next one is to find it."""
        self._channel.listen()
        if self.beside:
            self._split_limits()

    def held(self, call: Call) -> None:
        """An order given here: the other process keeps it too, and it holds should this one be killed."""
        self._channel.broadcast(Message("order", word=call.word.value, store=call.store))
        self._write_handover(None)

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        """A keyed attempt is about to be written here: its client may ask again at the other process, which
        is to count from this one's window."""
        self._send_key(MAY_HAVE_RUN, key, at_ms, store)

    def never_ran(self, key: str, at_ms: float, store: str) -> None:
        """An attempt told of before is proven not to have run."""
        self._send_key(NEVER_RAN, key, at_ms, store)

    def _send_key(self, word: str, key: str, at_ms: float, store: str) -> None:
        if self.beside:
            self._channel.broadcast(Message("order", word=word, store=store, key=key, at_ms=at_ms))

    def close(self) -> None:
        self._channel.close()

    def _receive_key(self, message: Message) -> None:
        """A keyed attempt of the other process."""
        keys = self._director.keys
        # also before it is taken in: a hand-over that was written anew meanwhile may have told of it already
        keys.never_ran(message.key, message.at_ms, message.store)
        if message.word == MAY_HAVE_RUN:
            keys.may_have_run(message.key, message.at_ms, message.store)

    def _receive(self, message: Message) -> None:
        """An order that operators gave to the other process, or what became of a keyed attempt there."""
        if message.is_of_key:
            self._receive_key(message)
            return
        try:
            self._desk.heard(Call(Word(message.word), message.store))
        except ValueError:
            log.warning("upgrade: unknown order %r", message.word)

    def _split_limits(self) -> None:
        """Another process has come or gone: each has its part of what is bounded for the director."""
        parts = 1 + self._channel.peer_count
        upstream, clients, held = self._full_limits
        self._upstream.shrink(upstream // parts)
        self._front.cap, self._front.held_bytes = clients // parts, held / parts
        self._director.router.cold.parts = parts
        log.info("upgrade: processes=%d", parts)

    def _hand_over(self) -> socket.socket | None:
        """A new process is there: it finds all that this one knows, and is given the listening socket."""
        if self._front.listener is not None:
            self._write_handover(split_off(self._director.router))
        return self._front.listener

    def _write_handover(self, learnt: Learnt | None) -> None:
        director, now = self._director, self._clock()
        file.write(
            self._folder,
            Handover(
                self._name,
                now,
                director.register.out,
                director.register.back,
                self._front.drain.failed_ms,
                director.rev,
                director.notices(),
                director.keys.known(now),
                learnt,
            ),
        )
