"""Replication of attempts with idempotency keys between the processes of one director.

A client may retry at either process, and the window of its first attempt applies to the retry.
"""

from __future__ import annotations

from ..clock import Clock
from ..net.director import Director
from .channel import Channel
from .messages import MAY_HAVE_RUN, NEVER_RAN, UPDATE, Message


class KeyReplication:
    """Sends this process's attempts to its peers, and records theirs. Times are in ms of the local clock."""

    def __init__(self, channel: Channel, clock: Clock, director: Director) -> None:
        self._channel = channel
        self._clock = clock
        self._director = director

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        """Reports that the first byte of an attempt is about to be written, at `at_ms`."""
        self._send(MAY_HAVE_RUN, key, at_ms, store)

    def never_ran(self, key: str, at_ms: float, store: str) -> None:
        """Reports that the attempt which was reported with the same `at_ms` is proven not to have run."""
        self._send(NEVER_RAN, key, at_ms, store)

    def receive(self, message: Message) -> None:
        """Records the outcome that a peer reports of its attempt."""
        windows = self._director.keys
        at_ms = self._local_time(message)
        # An attempt that may have run is removed first as well: a handover that was written in the meantime
        # may contain it already, and it must not be recorded twice.
        windows.never_ran(message.key, at_ms, message.store)
        if message.operation == MAY_HAVE_RUN:
            windows.may_have_run(message.key, at_ms, message.store)

    def _send(self, operation: str, key: str, at_ms: float, store: str) -> None:
        if self._channel.peer_count == 0:
            return
        shared = self._clock.shared_clock()
        self._channel.broadcast(
            Message(
                UPDATE,
                operation=operation,
                store=store,
                key=key,
                at_ms=float(self._clock.date(at_ms, shared)),
                boot_id=shared.boot_id,
                zero_ms=shared.zero_ms,
            )
        )

    def _local_time(self, message: Message) -> float:
        """Returns the message's `at_ms` as a time of this process's clock.

        A date that an older version sent is used unchanged, but limited to the latest time at which it can
        have been sent. A time that is too early costs a retry, whereas a time that is too late would allow a
        retry past its window.
        """
        shift_ms = self._clock.shift_from(message.clock)
        if shift_ms is not None:
            return message.at_ms + shift_ms
        return min(message.at_ms, self._clock.now() - self._director.timers.lag())
