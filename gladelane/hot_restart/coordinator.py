"""One process's part in a hot restart: what it takes over when it starts, hands over when another starts, and
shares while both run. Imported only where processes are started beside each other."""

from __future__ import annotations

import asyncio
import logging
import socket
from concurrent.futures import Future
from dataclasses import dataclass

import msgspec

from ..admin.handler import AdminHandler
from ..admin.requests import AdminAction, AdminRequest
from ..clock import Clock
from ..net.client_listener import ClientListener
from ..net.connection_pool import ConnectionPool
from ..net.director import Director
from .channel import Channel, Offer
from .handover import Handover, missing_requests, to_local_time, to_shared_time
from .handover_file import HandoverFile
from .key_replication import KeyReplication
from .learnt import Learnt, restore, split_off, undo_split
from .messages import Message, order_messages

log = logging.getLogger(__name__)

#: Until a handover that could not be written is tried again.
WRITE_RETRY_S = 0.5


@dataclass(frozen=True)
class ResourceLimits:
    """The limits of one director, which its processes divide among themselves."""

    upstream_connections: int
    client_connections: int
    buffered_bytes: float

    def divided_by(self, processes: int) -> ResourceLimits:
        """The part of each process."""
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
        front: ClientListener,
        admin_handler: AdminHandler,
    ) -> None:
        """Must be made before the director knows of any server. `folder` is shared by the processes; `name`
        is the director's, with its address."""
        self._name = name
        self._clock = clock
        self._director = director
        self._upstream = upstream
        self._front = front
        self._admin_handler = admin_handler
        self._limits = ResourceLimits(upstream.cap, front.cap, front.max_buffered_bytes)
        self._file = HandoverFile(folder)
        self._channel = Channel(folder, name, self)
        self._keys = KeyReplication(self._channel, clock, director)
        self._inherited: Handover | None = None  # what is still to be taken over
        self._write_retry: asyncio.TimerHandle | None = None
        self._writes = 0  # documents so far, written or not
        self._is_write_due = False  # an order has come since the latest of them
        self._writing: asyncio.Task[None] | None = None  # beside the loop
        self._waiting: list[Future[None]] = []  # for the next document to be stored
        director.key_observer = self._keys

    @property
    def has_peers(self) -> bool:
        """Whether another process of this director runs, with the same listening socket."""
        return self._channel.peer_count > 0

    # --- as a new process

    def connect(self) -> socket.socket | None:
        """Connects to the predecessor and returns its listening socket; None where there is no
        predecessor.

        Operators' requests and attempts with keys that it handed over are in force on return. The rest
        follows with `take_over`.
        """
        stamp_before = self._file.stamp()
        listener = self._channel.connect()
        stored = self._file.read(self._name)
        is_outdated = self._channel.is_predecessor_silent
        if is_outdated:
            self._refuse_unknown_keys("gave nothing over")
        elif listener is not None and self._file.stamp() == stamp_before:
            is_outdated = True
            self._refuse_unknown_keys("stored no hand-over")
        if stored is not None:
            if is_outdated:
                # The budgets in it were given to another process.
                stored = msgspec.structs.replace(stored, learnt=None)
            self._apply_requests_and_keys(stored)
        return listener

    def _refuse_unknown_keys(self, failure: str) -> None:
        """The predecessor could not write its handover, or gave nothing over, so the file is an earlier one
        or there is none. Nobody here knows the windows of keys that were tried there since. Operators'
        requests that are missing come over the channel, where there is one."""
        retention_ms = self._director.keys.retention_ms
        self._director.refuse_keyed_until(self._clock.now() + retention_ms)
        log.warning(
            "upgrade: the former process %s; keyed requests are refused for ms=%.0f",
            failure,
            retention_ms,
        )

    def _apply_requests_and_keys(self, stored: Handover) -> None:
        local = to_local_time(stored, self._clock)
        document = local.document
        self._inherited = document
        self._director.register.out.update(document.out)
        self._director.register.back.update(document.back)
        if local.keys_are_dated:
            self._director.keys.take_over(document.keys)
        else:  # of another boot, or of an older version
            self._director.keys.take_over_undated(document.keys, self._clock.now())
        if document.failed_ms:
            self._front.drain.fail(document.failed_ms)

    def take_over(self) -> None:
        """Applies what the predecessor knew beyond this process's own settings, which must be in force."""
        document, self._inherited = self._inherited, None
        if document is None:
            return
        self._director.take_over(document.rev, document.notices)
        if document.learnt is not None:
            restore(self._director.router, document.learnt)
        log.info(
            "upgrade: took over rev=%d out=%d emptied=%d learnt=%d age_ms=%.0f",
            document.rev,
            len(document.out),
            bool(document.failed_ms),
            document.learnt is not None,
            self._clock.now() - document.written_ms,
        )

    # --- while this process serves

    def listen(self) -> None:
        """This process serves: lets its successor find it."""
        self._channel.listen()
        if self.has_peers:
            self.on_peers_changed()

    def share_admin_request(self, request: AdminRequest) -> Future[None]:
        """Passes an operator's request on to the other processes, and stores it, so that it stays in force if
        this process is killed. Returns what is done once it is stored, or could not be."""
        for message in order_messages([request]):
            self._channel.broadcast(message)
        stored: Future[None] = Future()
        self._waiting.append(stored)
        self._write_beside()
        return stored

    def close(self) -> None:
        """Ends the connections to other processes."""
        self._cancel_write_retry()
        if self._is_write_due:  # the thread is busy with the one before
            self._file.write_numbered(*self._next_document(None))
        _release(self._waiting)
        self._channel.close()

    # --- what the channel reports

    def on_message(self, message: Message) -> None:
        """Applies an operator's request to another process, or records what became of an attempt there."""
        if message.is_about_key:
            self._keys.receive(message)
            return
        try:
            self._admin_handler.apply_from_peer(AdminRequest(AdminAction(message.word), message.store))
        except ValueError:
            log.warning("upgrade: unknown order %r", message.word)

    def on_peers_changed(self) -> None:
        """Divides the director's limits anew among its processes."""
        processes = 1 + self._channel.peer_count
        limits = self._limits.divided_by(processes)
        self._upstream.shrink(limits.upstream_connections)
        self._front.cap, self._front.max_buffered_bytes = limits.client_connections, limits.buffered_bytes
        self._director.router.cold.process_count = processes
        log.info("upgrade: processes=%d", processes)

    def hand_over(self) -> Offer | None:
        """Writes the handover for a new process, and offers it the listening socket. Where the file cannot be
        written, the budgets stay here and the operators' requests that it lacks go over the channel."""
        listener = self._front.listener
        if listener is None:
            return None
        learnt = split_off(self._director.router)
        if self._write_handover(learnt):
            return Offer(listener)
        undo_split(self._director.router, learnt)
        register, is_draining = self._director.register, bool(self._front.drain.failed_ms)
        stored = self._file.read(self._name)  # as the new process finds it
        missing = missing_requests(stored, register.out, register.back, is_draining)
        return Offer(listener, order_messages(missing))

    # --- the handover file

    def _write_handover(self, learnt: Learnt) -> bool:
        """Whether the handover was written at once; else that is retried, without learnt state."""
        self._cancel_write_retry()
        is_written = self._file.write_numbered(*self._next_document(learnt))
        _release(self._waiting)
        if not is_written:
            self._retry_later()
        return is_written

    def _next_document(self, learnt: Learnt | None) -> tuple[int, Handover]:
        """The director's state as it is stored, and the document's number."""
        self._is_write_due = False
        self._writes += 1
        return self._writes, to_shared_time(self._document(learnt), self._clock)

    def _write_beside(self) -> None:
        """Writes the handover without learnt state in a thread: a busy disk holds up a write for hundreds of
        ms, and no request is to wait for it. Where one is being written the next follows it."""
        self._cancel_write_retry()
        self._is_write_due = True
        if self._writing is None:
            self._writing = asyncio.get_running_loop().create_task(self._write_all_due())

    async def _write_all_due(self) -> None:
        is_written = True
        while is_written and self._is_write_due:
            waiting, self._waiting = self._waiting, []
            is_written = await asyncio.to_thread(self._file.write_numbered, *self._next_document(None))
            _release(waiting)
        self._writing = None
        if not is_written:
            self._retry_later()

    def _retry_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._write_retry = loop.call_later(WRITE_RETRY_S, self._write_beside)

    def _cancel_write_retry(self) -> None:
        if self._write_retry is not None:
            self._write_retry.cancel()
            self._write_retry = None

    def _document(self, learnt: Learnt | None) -> Handover:
        """The director's state now, with moments of this process's timeline."""
        director, now = self._director, self._clock.now()
        return Handover(
            self._name,
            now,
            dict(director.register.out),
            dict(director.register.back),
            self._front.drain.failed_ms,
            director.rev,
            director.watch_events(),
            director.keys.snapshot(now),
            learnt,
        )


def _release(waiting: list[Future[None]]) -> None:
    for stored in waiting:
        stored.set_result(None)
    waiting.clear()
