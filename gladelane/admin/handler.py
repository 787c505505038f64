"""Executes admin requests on one director.

`accept` and `respond_late` run in the admin endpoint's thread and use only data that can be read or set in
one step; `complete` runs in the serving loop.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from concurrent.futures import Future
from typing import Protocol

from ..clock import UnixMs
from .drain import Drain
from .maintenance import MaintenanceRegister
from .requests import AdminAction, AdminRequest, AdminResponse

log = logging.getLogger(__name__)

READY = AdminResponse(200, "takes clients\n")
NOT_READY = AdminResponse(503, "takes no clients\n")
UNKNOWN_SERVER = AdminResponse(404, "nobody has this id\n")
DONE = AdminResponse(200, "done\n")
OVERLOADED = AdminResponse(503, "the director is behind; ask again\n")
METRICS_ATTEMPTS = 3  # reads of the metrics, which fail if the serving loop changes them meanwhile


class AdministeredDirector(Protocol):
    """The operations of a director that admin requests need."""

    register: MaintenanceRegister

    def has(self, store: str) -> bool:
        """Whether operators may name this server in a request."""

    def relay(self, store: str) -> None:
        """Applies the changed maintenance state of a server to routing."""

    def report(self) -> str:
        """Returns all metrics as text. Raises RuntimeError if the serving loop changes a table meanwhile."""

    def latest_date(self) -> UnixMs:
        """Returns an upper bound of the platform's present date."""


class AdminHandler:
    """Executes admin requests.

    `on_drain` notifies clients that the director drains. `on_applied` is called with each action once it is
    in effect, and returns a future that is done once the action is stored, or None if nothing stores it."""

    def __init__(
        self,
        director: AdministeredDirector,
        drain: Drain,
        clock: Callable[[], float],
        on_drain: Callable[[], None],
        on_applied: Callable[[AdminRequest], Future[None] | None],
    ) -> None:
        self._director, self._drain, self._clock = director, drain, clock
        self._on_drain, self._on_applied = on_drain, on_applied
        self.accepts_clients = False
        #: Done once the last completed action is stored; None if nothing stores it.
        self.stored: Future[None] | None = None
        self._last_metrics = ""

    def accept(self, request: AdminRequest) -> AdminResponse | None:
        """Puts a request into effect. Returns a response that needs no serving loop, or None if `complete`
        must follow there."""
        if request.action is AdminAction.HEALTH:
            return READY if self.accepts_clients else NOT_READY
        if request.store and not self._director.has(request.store):
            return UNKNOWN_SERVER
        self._put_into_effect(request)
        return None

    def _put_into_effect(self, request: AdminRequest) -> None:
        now = self._clock()
        match request.action:
            case AdminAction.MAINT:
                self._director.register.take_out(request.store, now)
            case AdminAction.READY:
                # The server counts as started now. The endpoint list dates starts by the platform's clock, so
                # this date must as well.
                self._director.register.put_back(request.store, float(self._director.latest_date()))
            case AdminAction.FAIL:
                self._drain.request_drain(now)
            case AdminAction.OK:
                self._drain.cancel_request()

    def complete(self, request: AdminRequest) -> AdminResponse:
        """Executes the part of an accepted request that needs the serving loop."""
        match request.action:
            case AdminAction.STATS:
                self._last_metrics = self._director.report()
                return AdminResponse(200, self._last_metrics)
            case AdminAction.MAINT | AdminAction.READY:
                self._director.relay(request.store)
            case AdminAction.FAIL:
                self._on_drain()
        if request.action is not AdminAction.HEALTH:
            self.stored = self._on_applied(request)
        return DONE

    def apply_from_peer(self, request: AdminRequest) -> None:
        """Applies an action that was requested at the director's other process. Its server may not be listed
        in this process yet."""
        self._put_into_effect(request)
        if request.action in (AdminAction.MAINT, AdminAction.READY):
            self._director.relay(request.store)
        elif request.action is AdminAction.FAIL:
            self._on_drain()

    def respond_late(self, request: AdminRequest) -> AdminResponse:
        """Returns the response to an accepted request that the serving loop has not completed in time."""
        if request.action is not AdminAction.STATS:
            return DONE  # it is in effect already
        for _ in range(METRICS_ATTEMPTS):
            try:
                return AdminResponse(200, self._director.report())
            except RuntimeError:  # a table changed while it was read
                continue
        return AdminResponse(200, self._last_metrics) if self._last_metrics else OVERLOADED
