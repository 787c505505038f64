"""Acts on a director's escalation stage: resynchronises the director, or drains it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from ..purges.subscription import PurgeSubscription
from .view_lease import Stage, ViewLease

log = logging.getLogger(__name__)

DRAIN_AFTER_MS = 1_000.0  # after the lease has expired


class LaggingDrain(Protocol):
    """The drain of this director (`admin.drain`)."""

    def mark_lagging(self, now: float) -> bool:
        """Drains the director while it lags behind the fleet."""

    def clear_lagging(self) -> bool:
        """Ends the drain that `mark_lagging` started."""


class StageResponse:
    """Responds to changes of one director's lease and stage."""

    def __init__(
        self,
        lease: ViewLease,
        purges: PurgeSubscription,
        drain: LaggingDrain,
        close_clients: Callable[[], None],
        reconnect_discovery: Callable[[], None],
        clock: Callable[[], float],
        enforce: bool,
    ) -> None:
        """`close_clients` tells clients to disconnect, `reconnect_discovery` reconnects to the discovery
        server. `clock` returns Unix ms. Without `enforce` the director is never drained."""
        self._lease, self._purges, self._drain = lease, purges, drain
        self._close_clients, self._reconnect_discovery = close_clients, reconnect_discovery
        self._clock, self._enforce = clock, enforce
        self._stage = Stage.HEALTHY
        self._expired_since_ms: float | None = None
        self._is_draining = False

    def update(self, now_ms: float) -> None:
        """Logs changes of the lease and the stage and acts on them. `now_ms` is by the clock of the lease."""
        self._log_expiry(now_ms)
        self._respond_to_stage()
        if self._enforce:
            self._update_drain(now_ms)

    def _log_expiry(self, now_ms: float) -> None:
        is_expired = self._lease.is_expired(now_ms)
        if is_expired and self._expired_since_ms is None:
            self._expired_since_ms = now_ms
            reason = self._lease.reason or "no control server or discovery server has answered in time"
            log.error("audit: all requests rejected: %s", reason)
        elif not is_expired and self._expired_since_ms is not None:
            log.warning("audit: requests admitted again after_ms=%.0f", now_ms - self._expired_since_ms)
            self._expired_since_ms = None

    def _respond_to_stage(self) -> None:
        stage, previous = self._lease.stage, self._stage
        if stage is previous:
            return
        log.warning("audit: stage=%s was=%s: %s", stage.label, previous.label, self._lease.reason)
        if stage >= Stage.RESYNCING > previous:
            self._purges.resubscribe()
            self._reconnect_discovery()
        self._stage = stage

    def _update_drain(self, now_ms: float) -> None:
        since_ms = self._expired_since_ms
        has_no_lease = since_ms is not None and now_ms - since_ms > DRAIN_AFTER_MS
        should_drain = self._lease.stage >= Stage.DRAINED or has_no_lease
        if should_drain and not self._is_draining:
            self._drain.mark_lagging(self._clock())
            self._close_clients()
        elif self._is_draining and not should_drain:
            self._drain.clear_lagging()
        self._is_draining = should_drain
