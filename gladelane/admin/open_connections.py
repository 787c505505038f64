"""The open connections of the admin endpoint, and which of them may be closed for a new one."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum, auto

import msgspec

from ..sockets import has_unread, ms_since_last_data

MIN_SILENT_S = 0.3  # a client that was silent for less is not disconnected: its request may be on the way


class Stage(Enum):
    """The stages of a connection, in their order."""

    RECEIVING = auto()
    HANDLING = auto()  # the request is complete
    RESPONDED = auto()  # the response was sent


class OpenConnection(msgspec.Struct):
    """A connection with one request. `opened_s` is a time of the event loop's clock."""

    sock: socket.socket
    opened_s: float
    stage: Stage = Stage.RECEIVING

    def may_be_closed(self, now_s: float) -> bool:
        """Whether closing it loses neither a request nor a response."""
        if self.stage is Stage.HANDLING or has_unread(self.sock):
            return False
        return self.stage is Stage.RESPONDED or self._is_silent(now_s)

    def _is_silent(self, now_s: float) -> bool:
        # the system's value includes the time in its queue; it is 0 if the system does not provide it
        silent_s = ms_since_last_data(self.sock) / 1000.0 or now_s - self.opened_s
        return silent_s >= MIN_SILENT_S


class OpenConnections(dict[asyncio.Task[None], OpenConnection]):
    """The connections by the tasks that serve them, oldest first."""

    def add(self, task: asyncio.Task[None], connection: OpenConnection) -> None:
        """Adds a connection until its task has ended."""
        self[task] = connection
        task.add_done_callback(lambda done: self.pop(done, None))

    def choose_to_close(self, now_s: float) -> asyncio.Task[None] | None:
        """Returns the oldest connection that may be closed, None if there is none. Connections with a
        response come first."""
        closable = [item for item in self.items() if item[1].may_be_closed(now_s)]
        responded = [task for task, connection in closable if connection.stage is Stage.RESPONDED]
        return next(iter(responded or [task for task, _ in closable]), None)
