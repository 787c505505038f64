"""Coordinates a hot restart within one process.

The coordinator takes over state when its process starts, hands state over when a successor starts, and
exchanges updates while both run. This module is imported only if the director is configured for hot restarts.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, replace

import msgspec

from ..admin.handler import AdminHandler
from ..admin.requests import AdminAction, AdminRequest
from ..admin.settings_changes import SettingsChanges
from ..clock import Clock
from ..net.client_listener import ClientListener
from ..net.connection_pool import ConnectionPool
from ..net.director import Director
from ..worker_threads import run_in_thread
from .channel import Channel, Offer
from .handover import Handover, missing_requests, to_local_time, to_shared_time
from .handover_file import HandoverFile
from .key_replication import KeyReplication
from .learned_state import LearnedState, restore, split_learned_state, undo_split
from .messages import FILES_READ, Message, request_messages
from .settings_replication import SettingsReplication

log = logging.getLogger(__name__)

#: Delay before another attempt to write a handover.
WRITE_RETRY_S = 0.5


@dataclass(frozen=True)
class ResourceLimits:
    """The resource limits of one director, which are divided among its processes."""

    upstream_connections: int
    client_connections: int
    buffered_bytes: float

    def divided_by(self, processes: int) -> ResourceLimits:
        """Returns the share of each process."""
        return ResourceLimits(
            self.upstream_connections // processes,
            self.client_connections // processes,
            self.buffered_bytes / processes,
        )


class RestartCoordinator:
    """Connects this process to the others of its director: first to its predecessor, then to successors."""

    def __init__(
        self,
        folder: str,
        name: str,
        clock: Clock,
        director: Director,
        upstream: ConnectionPool,
        client_listener: ClientListener,
        admin_handler: AdminHandler,
        settings_changes: SettingsChanges,
        read_files: Callable[[], object],
    ) -> None:
        """Must be called before the director knows any server. `folder` is shared by the processes, and
        `name` is the name of the director, with its address. `read_files` reads the configuration files
        again, after another process has."""
        self._name = name
        self._clock = clock
        self._director = director
        self._upstream = upstream
        self._client_listener = client_listener
        self._admin_handler = admin_handler
        self._limits = ResourceLimits(upstream.cap, client_listener.cap, client_listener.max_buffered_bytes)
        self._file = HandoverFile(folder)
        self._channel = Channel(folder, name, self)
        self._keys = KeyReplication(self._channel, clock, director)
        self._settings = SettingsReplication(self._channel, clock, settings_changes, read_files)
        self._inherited_handover: Handover | None = None  # until `take_over` applies it
        self._write_retry: asyncio.TimerHandle | None = None
        self._document_count = 0  # also of documents that could not be written
        self._is_write_due = False  # the state has changed since the latest document
        self._write_task: asyncio.Task[None] | None = None
        self._write_waiters: list[Future[None]] = []  # completed after the next write
        director.key_observer = self._keys

    @property
    def has_peers(self) -> bool:
        """Whether another process of this director is running with the same listening socket."""
        return self._channel.peer_count > 0

    # --- as a new process

    def connect(self) -> socket.socket | None:
        """Connects to the predecessor and returns its listening socket, or None if it hands over none.

        On return, operators' requests, settings and attempts with keys that were handed over are in force.
        `take_over` applies the rest.
        """
        stamp_before = self._file.stamp()
        listener = self._channel.connect()
        stored = self._file.read(self._name)
        is_outdated = self._channel.is_predecessor_unresponsive
        if is_outdated:
            self._refuse_unknown_keys("handed nothing over")
        elif listener is not None and self._file.stamp() == stamp_before:
            is_outdated = True
            self._refuse_unknown_keys("stored no hand-over")
        if stored is not None:
            if is_outdated:
                # The budgets in an outdated document were given to another process.
                stored = msgspec.structs.replace(stored, learned_state=None)
            self._apply_requests_and_keys(stored, is_writer_running=listener is not None)
        return listener

    def _refuse_unknown_keys(self, failure: str) -> None:
        """Refuses keyed requests until all windows have passed that this process may not know.

        The predecessor could not write its handover, or did not reply, so the file is missing or outdated.
        The windows of keys that were tried at the predecessor since then are unknown. Operators' requests
        that are missing from the file arrive over the channel, if there is one.
        """
        retention_ms = self._director.keys.retention_ms
        self._director.reject_keys_until(self._clock.now() + retention_ms)
        log.warning(
            "upgrade: the former process %s; keyed requests are refused for ms=%.0f",
            failure,
            retention_ms,
        )

    def _apply_requests_and_keys(self, stored: Handover, is_writer_running: bool) -> None:
        local = to_local_time(stored, self._clock)
        document = local.document
        self._inherited_handover = document
        self._settings.take_over(document.binding_settings, local.has_valid_times, is_writer_running)
        self._director.register.out.update(document.maintenance_started_ms)
        self._director.register.back.update(document.maintenance_ended_ms)
        if local.has_valid_times:
            self._director.keys.take_over(document.keys)
        else:  # the document is from another boot or an older version
            self._director.keys.take_over_undated(document.keys, self._clock.now())
        if document.draining_since_ms:
            self._client_listener.drain.request_drain(document.draining_since_ms)

    def take_over(self) -> None:
        """Applies the discovery events and learned state of the predecessor. This process's settings must
        already be in force."""
        document, self._inherited_handover = self._inherited_handover, None
        if document is None:
            return
        self._director.take_over(document.rev, document.watch_events)
        if document.learned_state is not None:
            restore(self._director.router, document.learned_state)
        log.info(
            "upgrade: took over rev=%d out=%d emptied=%d learnt=%d age_ms=%.0f",
            document.rev,
            len(document.maintenance_started_ms),
            bool(document.draining_since_ms),
            document.learned_state is not None,
            self._clock.now() - document.written_ms,
        )

    # --- while this process serves

    def listen(self) -> None:
        """Lets successors connect. To be called once this process serves."""
        self._channel.listen()
        self.renew_settings()
        if self.has_peers:
            self.on_peers_changed()

    def share_admin_request(self, request: AdminRequest) -> Future[None]:
        """Passes an operator's request on to the other processes, and stores it, so that it stays in force if
        this process is killed. The future that is returned completes after the write, whether it succeeded or
        not."""
        for message in request_messages([request]):
            self._channel.broadcast(message)
        stored: Future[None] = Future()
        self._write_waiters.append(stored)
        self._write_in_background()
        return stored

    def renew_settings(self) -> None:
        """Lets the other processes know that this one still has its settings in use. To be called each
        `settings_replication.RENEW_MS`."""
        self._settings.renew()

    def share_reload(self) -> None:
        """Passes a new configuration file on to the other processes, and stores what it makes binding."""
        self._settings.share_reload()
        self._write_in_background()

    def close(self) -> None:
        """Ends the connections to other processes."""
        self._cancel_write_retry()
        if self._is_write_due:  # the thread is still writing an earlier document
            self._file.write_numbered(*self._next_document(None))
        _complete(self._write_waiters)
        self._channel.close()

    def change_limits(self, client_connections: int, buffered_bytes: float) -> None:
        """Replaces limits of the whole director, and divides them among its processes."""
        self._limits = replace(
            self._limits, client_connections=client_connections, buffered_bytes=buffered_bytes
        )
        self._apply_limits()

    # --- what the channel reports

    def on_message(self, message: Message) -> None:
        """Applies an operator's request from a peer, or records the outcome of a peer's attempt."""
        if message.is_about_key:
            self._keys.receive(message)
            return
        if message.is_about_settings:
            self._settings.receive(message)
            if message.operation == FILES_READ:
                self._write_in_background()
            return
        try:
            self._admin_handler.apply_from_peer(AdminRequest(AdminAction(message.operation), message.store))
        except ValueError:
            log.warning("upgrade: unknown operation %r", message.operation)

    def on_peers_changed(self) -> None:
        """Divides the director's limits among its processes again."""
        self._apply_limits()
        processes = 1 + self._channel.peer_count
        self._director.router.cold.process_count = processes
        log.info("upgrade: processes=%d", processes)

    def _apply_limits(self) -> None:
        limits = self._limits.divided_by(1 + self._channel.peer_count)
        self._upstream.shrink(limits.upstream_connections)
        self._client_listener.cap, self._client_listener.max_buffered_bytes = (
            limits.client_connections,
            limits.buffered_bytes,
        )

    def hand_over(self) -> Offer | None:
        """Writes the handover for a new process, and offers it the listening socket. If the file cannot be
        written, the budgets stay in this process, and the operators' requests that are missing from the file
        are sent over the channel."""
        listener = self._client_listener.listener
        if listener is None:
            return None
        learned_state = split_learned_state(self._director.router)
        if self._write_handover(learned_state):
            return Offer(listener, self._settings.messages())
        undo_split(self._director.router, learned_state)
        register, is_draining = self._director.register, bool(self._client_listener.drain.requested_ms)
        stored = self._file.read(self._name)  # the file that the new process reads
        missing = missing_requests(stored, register.out, register.back, is_draining)
        return Offer(listener, (*request_messages(missing), *self._settings.messages()))

    # --- the handover file

    def _write_handover(self, learned_state: LearnedState) -> bool:
        """Writes the handover and returns whether that succeeded; otherwise it is retried later, without
        learned state."""
        self._cancel_write_retry()
        is_written = self._file.write_numbered(*self._next_document(learned_state))
        _complete(self._write_waiters)
        if not is_written:
            self._schedule_write_retry()
        return is_written

    def _next_document(self, learned_state: LearnedState | None) -> tuple[int, Handover]:
        """Returns the number and the content of the next document to write."""
        self._is_write_due = False
        self._document_count += 1
        return self._document_count, to_shared_time(self._build_document(learned_state), self._clock)

    def _write_in_background(self) -> None:
        """Writes the handover without learned state in a thread: a busy disk delays a write for hundreds of
        ms, and no request may wait for it. If a write is in progress, the next one follows it."""
        self._cancel_write_retry()
        self._is_write_due = True
        if self._write_task is None:
            self._write_task = asyncio.get_running_loop().create_task(self._write_all_due())

    async def _write_all_due(self) -> None:
        is_written = True
        try:
            while is_written and self._is_write_due:
                is_written = False
                is_written = await self._write_next_document()
        except Exception as error:
            log.warning("upgrade: the hand-over is not written, it is tried again: %r", error)
        finally:
            self._write_task = None
        if not is_written:
            self._schedule_write_retry()

    async def _write_next_document(self) -> bool:
        """Writes the current state. Returns whether that succeeded."""
        waiters, self._write_waiters = self._write_waiters, []
        try:
            return await run_in_thread(self._file.write_numbered, *self._next_document(None))
        finally:
            _complete(waiters)

    def _schedule_write_retry(self) -> None:
        loop = asyncio.get_running_loop()
        self._write_retry = loop.call_later(WRITE_RETRY_S, self._write_in_background)

    def _cancel_write_retry(self) -> None:
        if self._write_retry is not None:
            self._write_retry.cancel()
            self._write_retry = None

    def _build_document(self, learned_state: LearnedState | None) -> Handover:
        """Returns the director's current state, with times of this process's clock."""
        director, now = self._director, self._clock.now()
        return Handover(
            self._name,
            now,
            dict(director.register.out),
            dict(director.register.back),
            self._client_listener.drain.requested_ms,
            director.rev,
            director.watch_events(),
            director.keys.snapshot(now),
            learned_state,
            binding_settings=self._settings.stored(),
        )


def _complete(waiters: list[Future[None]]) -> None:
    for waiter in waiters:
        waiter.set_result(None)
    waiters.clear()
