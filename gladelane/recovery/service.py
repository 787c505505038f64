"""Connects recovery to a running director: the durable folder, the phases, and their metrics.

The module does the I/O; the decisions are made in `phases`, `warm_start` and `routing.idempotency`.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from ..admin.metrics import SUCCESS
from ..net.director import Director
from ..storage.files import FolderInUseError
from ..storage.outage import Outage, is_transient
from ..supervision import Supervisor
from .options import Options
from .phases import Phase, Phases, ServiceSnapshot
from .purge_source import PurgeSource
from .state_store import StateStore

log = logging.getLogger(__name__)

UPDATE_PHASE_S = 0.25
REOPEN_S = 2.0  # between attempts to open the folder, such as while the previous process still has it open


class Recovery:
    """One director's recovery.

    `state_store` is None if no folder is configured, and while the folder cannot be opened."""

    def __init__(
        self,
        options: Options,
        name: str,
        director: Director,
        purges: PurgeSource | None,
        clock: Callable[[], float],
        is_listening: Callable[[], bool],
    ) -> None:
        """Opens the folder. `is_listening` tells whether the director accepts clients.

        Raises OSError if the folder cannot be opened, unless the error is transient or another process has
        the folder open: then it is tried again later."""
        self._options, self._name, self._director, self._purges = options, name, director, purges
        self._clock, self._is_listening = clock, is_listening
        self.phases = Phases(clock())
        self.state_store: StateStore | None = None
        self.supervisor = Supervisor()
        self._outage = Outage(log, "warm start: state and keys")
        self._keys_unknown_until_ms = 0.0  # until then, keys that the previous process used may be unknown
        self._configured_max_keys = director.keys.max_keys
        if options.dir:
            self._open_at_start()

    def _open_at_start(self) -> None:
        try:
            self._open()
        except FolderInUseError:
            log.info("warm start: the previous process still has the folder open")
        except OSError as error:
            self._wait_for_folder(error)

    def _open(self) -> None:
        options = self._options
        self.state_store = StateStore(
            Path(options.dir),
            self._name,
            self._director.router,
            self._clock,
            options.write_interval_ms,
            options.max_age_ms,
        )
        self._outage.report_success()

    def _wait_for_folder(self, error: OSError) -> None:
        """Rejects new keys while those of the previous process cannot be read, for as long as they matter.

        Raises `error` if it is not transient."""
        if not is_transient(error):
            raise error
        self._outage.report_failure(error)
        self._keys_unknown_until_ms = self._clock() + self._director.keys.retention_ms
        self._director.keys.max_keys = 0

    def restore(self) -> None:
        """Restores learned state and keys; called once the endpoint list is known, before any client is
        admitted."""
        if self.state_store is not None:
            self.state_store.restore(self._director.keys)

    def start(self) -> None:
        """Starts the tasks that update the phase and store learned state."""
        self.supervisor.start("recovery phases", self._update_phases)
        self.supervisor.start("learned state", self._run_state_store, may_end=True)

    async def _run_state_store(self) -> None:
        while self.state_store is None and self._options.dir:
            await asyncio.sleep(REOPEN_S)
            try:
                self._open_late()
            except OSError as error:
                log.debug("warm start: %s", error)
        if self.state_store is not None:
            await self.state_store.run()

    def _open_late(self) -> None:
        """Opens the folder while clients are served. Keys from the folder are added to those in memory, and
        keys that were used meanwhile are stored in the folder."""
        self._open()
        if self.state_store is None:
            return
        windows = self._director.keys
        known_attempts = [
            (key, *attempt)
            for key, attempts in windows.snapshot(self._clock()).items()
            for attempt in attempts
        ]
        if self._keys_unknown_until_ms:
            windows.take_over(self.state_store.keys.recovered_attempts)
        for key, at_ms, store in known_attempts:
            self.state_store.keys.write(key, at_ms, store)
        windows.max_keys = self._configured_max_keys
        self.state_store.start_storing_keys(windows)

    def _watch_keys(self) -> None:
        if self.state_store is not None:
            self.state_store.watch_keys()
        elif self._keys_unknown_until_ms and self._clock() >= self._keys_unknown_until_ms:
            self._director.keys.max_keys = self._configured_max_keys

    async def _update_phases(self) -> None:
        while True:
            self.update_phase()
            self._watch_keys()
            await asyncio.sleep(UPDATE_PHASE_S)

    def update_phase(self) -> None:
        """Updates the phase by the present state of the service, and logs a change of phase."""
        phases = self.phases
        if not phases.update(self._snapshot(), self._clock()):
            return
        is_full = phases.phase is Phase.FULL
        log.info(
            "phase=%s reason=%s after_ms=%.0f",
            phases.phase.name.lower(),
            phases.reason.name.lower(),
            phases.recovered_after_ms if is_full else self._clock() - phases.since_ms,
        )

    def _snapshot(self) -> ServiceSnapshot:
        classes, purges = self._director.settings.classes, self._purges
        counts = self._director.metrics.classes
        requested = sum(classes[name].worth * sum(row) for name, row in counts.items() if name in classes)
        earned = sum(classes[name].worth * row[SUCCESS] for name, row in counts.items() if name in classes)
        if purges is None:
            return ServiceSnapshot(self._is_listening(), True, True, False, requested, earned)
        has_caught_up = any(subscription.caught_up_ms for subscription in purges.subscribers)
        is_exhausted = purges.refetch_budget.is_active and not purges.refetch_budget.is_idle(self._clock())
        return ServiceSnapshot(
            self._is_listening(), has_caught_up, purges.follows, is_exhausted, requested, earned
        )

    def lines(self) -> list[tuple[str, int]]:
        """Names and values for the admin endpoint's metrics."""
        phases = self.phases
        since_ms = 0 if phases.phase is Phase.FULL else int(self._clock() - phases.since_ms)
        metrics = [
            ("phase", int(phases.phase)),
            ("phase_reason", int(phases.reason)),
            ("phase_since_ms", since_ms),
            ("full_service_ms", int(phases.recovered_after_ms)),
            ("warm_start", int(self.state_store is not None and self.state_store.is_warm)),
        ]
        return metrics + (self._purges.lines() if self._purges is not None else [])

    async def close(self) -> None:
        """Writes learned state a last time, so that a planned restart loses none of it, and closes the
        folder."""
        await self.supervisor.close()
        if self.state_store is not None:
            await self.state_store.write()
            self.state_store.close()
