"""Attempts with idempotency keys, as the processes of one director report them to each other: a client may
retry at either process, and its retry counts from the window of the first attempt."""

from __future__ import annotations

from ..clock import Clock
from ..net.director import Director
from .channel import Channel
from .messages import MAY_HAVE_RUN, NEVER_RAN, ORDER, Message


class KeyReplication:
    """Sends this process's attempts to its peers, and records theirs here. Times are ms of this process's
    timeline."""

    def __init__(self, channel: Channel, clock: Clock, director: Director) -> None:
        self._channel = channel
        self._clock = clock
        self._director = director

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        """The first byte of an attempt is about to be written here, at `at_ms`."""
        self._send(MAY_HAVE_RUN, key, at_ms, store)

    def never_ran(self, key: str, at_ms: float, store: str) -> None:
        """The attempt that was reported with this moment is proven not to have run."""
        self._send(NEVER_RAN, key, at_ms, store)

    def receive(self, message: Message) -> None:
        """Records what a peer reports of its attempt."""
        windows = self._director.keys
        at_ms = self._local_moment(message)
        # Also for an attempt that may have run: a handover that was written meanwhile may contain it already,
        # and it must not be recorded twice.
        windows.never_ran(message.key, at_ms, message.store)
        if message.word == MAY_HAVE_RUN:
            windows.may_have_run(message.key, at_ms, message.store)

    def _send(self, word: str, key: str, at_ms: float, store: str) -> None:
        if self._channel.peer_count == 0:
            return
        shared = self._clock.shared()
        self._channel.broadcast(
            Message(
                ORDER,
                word=word,
                store=store,
                key=key,
                at_ms=float(self._clock.dated(at_ms, shared)),
                boot_id=shared.boot_id,
                zero_ms=shared.zero_ms,
            )
        )

    def _local_moment(self, message: Message) -> float:
        """The message's moment on this timeline.

        A date of an older version is used as it is, but for no later than it can have been sent: a moment
        that is too early costs a retry, and one that is too late would allow a retry past its window.
        """
        shift_ms = self._clock.shift_from(message.clock)
        if shift_ms is not None:
            return message.at_ms + shift_ms
        return min(message.at_ms, self._clock.now() - self._director.timers.lag())
