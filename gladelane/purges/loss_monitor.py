"""Detects and closes the losses of a purge log server, and has both recorded."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable
from contextlib import suppress
from http import HTTPStatus
from typing import Protocol

from ..control_plane.http import HttpStatusError
from ..control_plane.positions import Stream, Vector
from ..control_plane.replication import PeerReport, Replication
from .active_purges import ActivePurges
from .loss_detection import PeerState, attesting_peers, detect_older_folder
from .low_watermark import Loss
from .server_clock import ServerClock
from .wire import Accepted

log = logging.getLogger(__name__)

SETTLE_S = 1.0  # in which peers may close the losses of a start before subscribers are informed of them


class LossRecorder(Protocol):
    """Stores losses and sends them to subscribers."""

    def record_losses(self, losses: list[Loss], stored: asyncio.Future[None] | None = None) -> None:
        """Queues losses that are already in effect to be stored, and sends them to subscribers at once.
        `stored` is resolved once they are stored."""


class LossMonitor:
    """The losses of one server's own purges, and those that others report to it.

    Attributes: settled, set once peers have had the time to show that nothing is missing. Subscribers wait
    for it; otherwise each loss of a single disk would invalidate all copies for a short time."""

    def __init__(
        self,
        active: ActivePurges,
        recovered: Vector,
        replication: Replication[Accepted],
        clock: ServerClock,
        recorder: LossRecorder,
    ) -> None:
        """`active.start` must be the server's current start; `recovered`: the positions in its folder."""
        self.settled = asyncio.Event()
        self._active, self._recovered = active, recovered
        self._replication, self._clock, self._recorder = replication, clock, recorder

    def open_loss(self, reason: str, by: str = "") -> list[Loss]:
        """Opens a loss of the current epoch, and returns it. The caller has to record it."""
        at_ms = self._clock.issue_ms()
        log.error("purges may be lost: %s", reason)
        start = self._active.start
        return self._active.low_watermark.merge([Loss(start.name, start.epoch, at_ms, at_ms, by)], at_ms)

    async def settle(self) -> None:
        """Sets `settled` after `SETTLE_S`, unless it is set before."""
        with suppress(TimeoutError):
            async with asyncio.timeout(SETTLE_S if self._replication.peers else 0.0):
                await self.settled.wait()
        self.settled.set()

    def merge(self, losses: list[Loss]) -> None:
        """Merges losses that others sent. Raises InvalidPurgeError, and OSError if the queue is full."""
        changed = self._active.low_watermark.merge(losses, self._clock.issue_ms())
        if changed:
            self._recorder.record_losses(changed)

    def check_reported(self, reported: Iterable[tuple[Stream, int]], by: str = "") -> None:
        """Opens a loss if others have more of this server's own purges than its folder had, which shows that
        the folder is an older one. Raises OSError if the queue is full."""
        start = self._active.start
        own = (loss.epoch for loss in self._active.low_watermark.losses() if loss.issuer == start.name)
        last_lost_epoch = max(own, default=0)
        reason = detect_older_folder(start.name, start.epoch, self._recovered, reported, last_lost_epoch)
        if reason:
            self._recorder.record_losses(self.open_loss(reason, by))

    def close_attested(self) -> None:
        """Closes the server's own losses if its peers can attest that nothing is missing."""
        name, low_watermark = self._active.start.name, self._active.low_watermark
        if low_watermark.open_losses(name):
            by = attesting_peers(self._replication.copies, self._peer_states())
            attested = low_watermark.attest_own(name, by) if by else []
            closed = low_watermark.merge(attested, self._clock.timeline_ms())
            if closed:
                log.warning("no purges are missing, attested by: %s", by)
                self._recorder.record_losses(closed)
        peers_have_sent_all = all(self._has_sent_all(peer) for peer in self._replication.peers.values())
        if peers_have_sent_all or not low_watermark.open_losses(name):
            self.settled.set()

    def _peer_states(self) -> dict[str, PeerState]:
        return {
            address: PeerState(
                self._has_sent_all(peer),
                peer.name,
                peer.copies,
                bool(self._active.low_watermark.open_losses(peer.name)),
            )
            for address, peer in self._replication.peers.items()
        }

    def _has_sent_all(self, peer: PeerReport) -> bool:
        return peer.position is not None and self._active.positions.covers(peer.position)

    async def attest(self, since_ms: float, by: str) -> list[Loss]:
        """Closes losses on an operator's attestation, and returns them once they are stored. Raises
        HttpStatusError."""
        low_watermark = self._active.low_watermark
        attested = low_watermark.attest(since_ms, by)
        if not attested:
            raise HttpStatusError(HTTPStatus.CONFLICT, "no loss is open that this would close")
        stored: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._recorder.record_losses(low_watermark.merge(attested, self._clock.timeline_ms()), stored)
        log.warning("losses closed by attestation by=%s since=%.0f", by, since_ms)
        await asyncio.shield(stored)
        return attested
