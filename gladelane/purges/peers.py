"""The subscriptions of a purge log server to its peers."""

from __future__ import annotations

import asyncio
import ssl
from contextlib import suppress
from typing import Protocol

from ..control_plane.positions import Vector
from ..control_plane.replication import PeerReport, Replication
from ..control_plane.tokens import Tokens
from .low_watermark import Loss
from .purge import Purge
from .server_clock import ServerClock
from .subscriber import Subscriber
from .wire import Accepted, Event

CLOCKS_WAIT_S = 1.0  # how long a start waits for the clocks of all peers


class PeerReceiver(Protocol):
    """Receives what peers send. All methods but the first raise OSError if the queue is full."""

    def known_vector(self) -> Vector:
        """Returns the position from which a stream resumes."""

    def receive(self, purges: list[Purge]) -> None:
        """Receives purges."""

    def receive_losses(self, losses: list[Loss]) -> None:
        """Receives losses. Raises InvalidPurgeError."""

    def receive_position(self, vector: Vector) -> None:
        """Receives the position up to which a peer has sent everything."""


class Peers:
    """Records the clock and the position of each peer, and passes everything on to the receiver.

    Attributes: subscribers; clocks_settled, set once each peer has sent its clock or had the time to do so.
    Before that, the local clock may be behind without any sign of it."""

    def __init__(
        self,
        receiver: PeerReceiver,
        replication: Replication[Accepted],
        clock: ServerClock,
        tokens: Tokens,
    ) -> None:
        """Starts without peers."""
        self.subscribers: list[Subscriber] = []
        self.clocks_settled = asyncio.Event()
        self._peers_without_clock: set[str] = set()
        self._receiver, self._replication = receiver, replication
        self._clock, self._tokens = clock, tokens

    def subscribe(self, host: str, port: int, tls: ssl.SSLContext | None) -> Subscriber:
        """Adds a peer, and returns its subscriber, which the caller has to run."""
        self._replication.peers[f"{host}:{port}"] = PeerReport()
        subscriber = Subscriber(
            host, port, self._tokens.first_token, self, self._clock.timeline_ms, tls, is_peer=True
        )
        self.subscribers.append(subscriber)
        self._peers_without_clock.add(_address(subscriber))
        return subscriber

    async def settle_clocks(self) -> None:
        """Sets `clocks_settled` after `CLOCKS_WAIT_S`, unless it is set before."""
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOCKS_WAIT_S if self._peers_without_clock else 0.0):
                await self.clocks_settled.wait()
        self.clocks_settled.set()

    def states(self) -> dict[str, str]:
        """Returns the state of each subscription by the address of the peer."""
        return {_address(subscriber): subscriber.state for subscriber in self.subscribers}

    def known_vector(self) -> Vector:
        """Returns the position from which a stream resumes."""
        return self._receiver.known_vector()

    def on_purges(self, purges: list[Purge], source: Subscriber) -> None:
        """Records the clock of a peer, and passes its purges on."""
        self._observe_clock(source)
        self._receiver.receive(purges)

    def on_losses(self, event: Event, source: Subscriber) -> None:
        """Records the name of a peer and the number of copies that it waits for, and passes its losses on."""
        self._observe_clock(source)
        reports, address = self._replication.peers, _address(source)
        reports[address] = reports[address]._replace(name=event.name, copies=event.copies)
        self._receiver.receive_losses(event.losses)

    def on_position(self, vector: Vector, source: Subscriber) -> None:
        """Records the position of a peer, and passes it on."""
        self._observe_clock(source)
        reports, address = self._replication.peers, _address(source)
        reports[address] = reports[address]._replace(position=vector)
        self._receiver.receive_position(vector)

    def _observe_clock(self, source: Subscriber) -> None:
        clock_ms, received_ms = source.server_clock_ms, source.received_ms
        self._clock.observe_peer(_address(source), clock_ms, received_ms, source.round_trip_ms)
        self._peers_without_clock.discard(_address(source))
        if not self._peers_without_clock:
            self.clocks_settled.set()


def _address(subscriber: Subscriber) -> str:
    return f"{subscriber.host}:{subscriber.port}"
