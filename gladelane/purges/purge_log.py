"""A purge log server: accepts purges, acknowledges them once they are stored, and sends them to subscribers.

It connects the parts that make the decisions: `purge`, `active_purges`, `loss_monitor`, `idempotency` and
`control_plane.replication`.

Peers subscribe to one another. A purge that one of them accepted reaches the subscribers of all, and a server
that returns receives from its peers what it missed, including purges of its own earlier epochs. Only the
committer applies purges, one batch at a time. The sync of a batch to the disk runs in a thread, so that
subscribers are served meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from ..control_plane.http import HttpStatusError
from ..control_plane.positions import InvalidPositionError, Vector, format_vector, parse_vector
from ..control_plane.replication import Replication
from ..control_plane.tokens import Tokens
from ..storage.files import Disk
from ..storage.log import SyncPolicy
from ..supervision import Supervisor
from .active_purges import RETENTION_MS, ActivePurges
from .batch import ServerRecord
from .checkpoint_file import CheckpointFile
from .committer import REPLICATION_TIMEOUT_S, Committer
from .entries import LogEntry, LossUpdate, NewPurge, ReachedPosition, ReceivedPurge
from .idempotency import IdempotencyKeys
from .loss_detection import RecoveredFolder, detect_loss
from .loss_monitor import LossMonitor
from .low_watermark import SEEN_BY_DIRECTOR, Loss
from .peers import Peers
from .purge import InvalidPurgeError, IssuerSequence, Purge, check_purge, log_invalid_purge
from .purge_store import PurgeStore
from .purge_stream import PurgeStream
from .scope import Catalog, InvalidScopeError, parse
from .server_clock import ServerClock
from .snapshot import ServerStart
from .subscriber import Subscriber
from .wire import Accepted, Event, Status

log = logging.getLogger(__name__)

EXPIRY_INTERVAL_S = 60.0
MAINTENANCE_INTERVAL_S = REPLICATION_TIMEOUT_S / 4


class StateListener(Protocol):
    """Is notified of a server's state, at its start and after each change."""

    def reached(self, vector: Vector, low_watermark_ms: float) -> None:
        """Handles the position of the server, and the time from which on all purges are known, in Unix ms,
        0.0 if none is missing."""


class PurgeLog:
    """One purge log server.

    Attributes: name; tokens; clock, the monotonic timeline in Unix ms; server_clock; copies; active; store;
    committer; losses; stream; supervisor of the tasks; listeners, which have to be added before the start."""

    def __init__(
        self,
        name: str,
        disk: Disk,
        tokens: Tokens,
        catalog: Callable[[], Catalog] = dict,
        sync: SyncPolicy = "always",
        retention_ms: float = RETENTION_MS,
        *,
        clock: Callable[[], float],
        wall_clock: Callable[[], float] | None = None,
        is_first_start: bool = False,
        copies: int = 1,
        checkpoint_file: CheckpointFile | None = None,
    ) -> None:
        """Recovers from the disk.

        `clock`: returns Unix ms that never step; `wall_clock`: returns the time of the machine's clock, by
        which purges are dated as well; `is_first_start`: whether an operator says that an empty folder is no
        loss; `copies`: the number of servers that must have stored a purge before it is acknowledged. Raises
        CorruptLogError, FolderInUseError, ForeignFolderError, InvalidCheckpointError and OSError."""
        self.name, self.tokens, self.clock, self.copies = name, tokens, clock, copies
        self.server_clock = ServerClock(clock, wall_clock or clock)
        self.active = ActivePurges(retention_ms=retention_ms)
        now_ms = clock()
        self.store = PurgeStore(disk, sync, self.active, checkpoint_file, now_ms)
        self.stream = PurgeStream(self.active, name, copies, self.server_clock.own_ms)
        self.listeners: list[StateListener] = []
        self._catalog = catalog
        self._replication: Replication[Accepted] = Replication(copies)
        self._keys = IdempotencyKeys(purge for purge in self.active.purges_after({}) if purge.issuer == name)
        self._peers = Peers(self, self._replication, self.server_clock, tokens)
        self.supervisor = Supervisor()
        self._start_epoch(is_first_start, now_ms)

    def _start_epoch(self, is_first_start: bool, now_ms: float) -> None:
        """Detects whether the folder lacks purges, and stores that a new epoch started."""
        recovered = self.active.positions.vector()
        previous = self.active.start
        checkpoint = self.store.read_checkpoint()
        folder = RecoveredFolder(previous.name, previous.epoch, recovered, self.store.was_empty)
        loss_reason = detect_loss(self.name, folder, checkpoint, is_first_start)
        latest_epoch = max(previous.epoch, checkpoint.epoch if checkpoint is not None else 0)
        known_epochs = [*recovered, (self.name, latest_epoch)]
        sequence = IssuerSequence(self.name, known_epochs, self.active.last_at_ms, now_ms)
        self.active.start = ServerStart(self.name, sequence.epoch)
        self.committer = Committer(
            self.active, self.store, sequence, self._replication, self.server_clock, self
        )
        self.losses = LossMonitor(self.active, recovered, self._replication, self.server_clock, self)
        if loss_reason:
            self.losses.open_loss(loss_reason)
        own_losses = self.active.low_watermark.open_losses(self.name)
        self.store.save_start(ServerRecord(self.active.start, own_losses), self.committer.checkpoint())

    @property
    def epoch(self) -> int:
        """The epoch of this start."""
        return self.active.start.epoch

    def start(self) -> None:
        """Starts the background tasks, of which one stores what is accepted."""
        self.supervisor.start("storing purges", self.committer.run)
        self.supervisor.start("purge maintenance", self._maintain)
        self.supervisor.start("settling losses", self.losses.settle, may_end=True)
        self.supervisor.start("settling clocks", self._peers.settle_clocks, may_end=True)
        self._notify_listeners()

    def subscribe_to_peer(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> Subscriber:
        """Subscribes to a peer."""
        subscriber = self._peers.subscribe(host, port, tls)
        self.supervisor.start(f"purges from {host}:{port}", subscriber.run)
        return subscriber

    async def close(self) -> None:
        """Cancels all tasks and closes the files."""
        await self.supervisor.close()
        self.store.close()

    # --- accepting purges

    async def submit(self, scope: str, key: str = "", tags: Catalog | None = None) -> Accepted:
        """Accepts a purge, and returns once enough servers have stored it. Raises InvalidScopeError,
        UnsupportedPatternError and HttpStatusError."""
        await self._peers.clocks_settled.wait()
        parsed = parse(scope, {**self._catalog(), **(tags or {})})
        self.active.index.check(parsed)
        canonical = parsed.text()
        if key and (first := await self._keys.find(key, canonical)) is not None:
            return first
        self._open_own_stream()
        response: asyncio.Future[Accepted] = asyncio.get_running_loop().create_future()
        try:
            self.committer.put(NewPurge(canonical, key, response))
        except asyncio.QueueFull:
            reason = "too many purges wait to be stored; expected a later try"
            raise HttpStatusError(HTTPStatus.SERVICE_UNAVAILABLE, reason) from None
        if key:
            self._keys.begin(key, response)
        # shielded, because other requests with the same key may wait for this response after the client left
        return await asyncio.shield(response)

    def _open_own_stream(self) -> None:
        """Raises HttpStatusError if no purge of this start can be recorded."""
        try:
            self.active.positions.open_stream(self.name, self.epoch)
        except InvalidPositionError as error:
            reason = f"not stored: {error} of servers are known here; expected a purge at another server"
            raise HttpStatusError(HTTPStatus.INSUFFICIENT_STORAGE, reason) from None

    def known_vector(self) -> Vector:
        """Returns the position reached."""
        return self.active.positions.vector()

    def receive(self, purges: list[Purge]) -> None:
        """Receives purges from a peer or a director. Raises OSError if the queue is full, and
        InvalidPositionError if no purge of an issuer's epoch can be recorded."""
        self.losses.check_reported(((purge.issuer, purge.epoch), purge.seq) for purge in purges)
        for purge in purges:
            if self.active.positions.contains(purge.issuer, purge.epoch, purge.seq):
                continue
            try:  # check before storing, since a later start could not recover from an invalid purge
                check_purge(purge)
                parse(purge.scope)
            except (InvalidPurgeError, InvalidScopeError) as error:
                log_invalid_purge(log, purge, error)
                continue
            self.active.positions.open_stream(purge.issuer, purge.epoch)
            self._put(ReceivedPurge(purge))

    def receive_losses(self, losses: list[Loss]) -> None:
        """Receives losses. Raises InvalidPurgeError, and OSError if the queue is full."""
        self.losses.merge(losses)

    def receive_position(self, vector: Vector) -> None:
        """Receives the position up to which a peer has sent everything. Raises OSError if the queue is
        full."""
        self._queue_position(vector)
        self.losses.close_attested()
        self._resolve_replicated()

    def receive_event(self, event: Event) -> None:
        """Receives a backfill from a director: purges that this server lacks. Raises InvalidPositionError,
        InvalidPurgeError and HttpStatusError."""
        vector = parse_vector(event.position) if event.position is not None else None
        known = len(self.active)
        reported = [((purge.issuer, purge.epoch), purge.seq) for purge in event.purges]
        # peers that had stored these purges would have sent them, so the peers lack them too
        by = SEEN_BY_DIRECTOR if self._peers.subscribers else ""
        try:
            self.losses.merge(event.losses)
            self.losses.check_reported(reported, by)
            self.receive(event.purges)
            if vector is not None:
                self._queue_position(vector)
        except OSError as error:
            raise HttpStatusError(HTTPStatus.SERVICE_UNAVAILABLE, str(error)) from None
        log.info("received a backfill from a director purges=%d known=%d", len(event.purges), known)

    def _queue_position(self, vector: Vector) -> None:
        """Queues a position after the purges that it covers, which may not be stored yet."""
        self.losses.check_reported(vector.items())
        if not self.active.positions.covers(vector):
            self._put(ReachedPosition(vector))

    def record_losses(self, losses: list[Loss], stored: asyncio.Future[None] | None = None) -> None:
        """Queues losses that are already in effect to be stored, and sends them to subscribers. Raises
        OSError if the queue is full."""
        self._put(LossUpdate(losses, stored))
        self._notify()

    def _put(self, entry: LogEntry) -> None:
        """Queues an entry. Raises OSError if the queue is full, which ends the stream from a peer. The stream
        then resumes from the stored position."""
        try:
            self.committer.put(entry)
        except asyncio.QueueFull:
            raise OSError("too many purges wait to be stored") from None

    # --- what was committed

    def on_purge(self, purge: Purge) -> None:
        """Sends an active purge to subscribers, and records its key for repeated requests."""
        if purge.issuer == self.name:
            self._keys.add(purge)
        self.stream.append(purge)

    def on_commit(self) -> None:
        """Notifies everyone who waits for a change of the state."""
        self._notify()
        self._resolve_replicated()
        self.losses.close_attested()

    def _resolve_replicated(self) -> None:
        """Acknowledges purges that enough servers have stored, and fails those that have timed out."""
        self._replication.resolve_pending(asyncio.get_running_loop().time())

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            low_watermark_ms = self.active.low_watermark.value_ms(
                self.clock(), self.active.active_duration_ms
            )
            listener.reached(self.active.positions.vector(), low_watermark_ms)

    def _notify(self) -> None:
        self._notify_listeners()
        self.stream.wake()

    async def _maintain(self) -> None:
        """Fails purges that wait too long for peers, retries what could not be stored, and expires purges."""
        loop = asyncio.get_running_loop()
        expiry_s = loop.time() + EXPIRY_INTERVAL_S
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._resolve_replicated()
            self.committer.retry()
            if loop.time() >= expiry_s:
                expiry_s += EXPIRY_INTERVAL_S
                now_ms = self.clock()
                self.active.expire(now_ms)
                self._keys.expire(now_ms - self.active.active_duration_ms)

    # --- queries

    def status(self) -> Status:
        """Returns the state for operators."""
        gaps = [f"{gap.issuer}:{gap.epoch}={gap.first}-{gap.last}" for gap in self.active.positions.gaps()]
        return Status(
            name=self.name,
            epoch=self.epoch,
            active=len(self.active),
            positions=format_vector(self.active.positions.vector()),
            gaps=gaps,
            subscribers=self.stream.subscribers,
            peers=self._peers.states(),
            can_store=self.store.can_store,
            recovered=self.store.recovered,
            low_watermark_ms=self.active.low_watermark_ms(self.clock()),
            losses=self.active.low_watermark.losses(),
            copies=self.copies,
        )
