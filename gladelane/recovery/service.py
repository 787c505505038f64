"""One director's way back, wired: the lasting folder, the phases, and their figures. Decides nothing."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

from ..durable.files import InUse
from ..net.director import Director
from ..operations.figures import SUCCESS
from .options import Options
from .phases import Phase, Phases, Seen
from .purge_source import PurgeSource
from .state_store import StateStore

log = logging.getLogger(__name__)

LOOK_S = 0.25
OPEN_AGAIN_S = 2.0  # while the process before this one still has the folder


class Recovery:
    def __init__(
        self,
        options: Options,
        name: str,
        director: Director,
        purges: PurgeSource | None,
        clock: Callable[[], float],
        listens: Callable[[], bool],
    ) -> None:
        """Opens the folder. Raises OSError where it cannot be used."""
        self._options, self._name, self._director, self._purges = options, name, director, purges
        self._clock, self._listens = clock, listens
        self.phases = Phases(clock())
        self.state_store: StateStore | None = None
        self._tasks: list[asyncio.Task[None]] = []
        if options.dir:
            try:
                self._open()
            except InUse:
                log.info("warm start: the process before this one has the folder")

    def _open(self) -> None:
        options = self._options
        self.state_store = StateStore(
            Path(options.dir),
            self._name,
            self._director.router,
            self._clock,
            options.every_ms,
            options.most_age_ms,
        )
        self._director.keys.told = self.state_store.keys.write

    def take_over(self) -> None:
        """Once the list was heard, before clients are let in."""
        if self.state_store is not None:
            self.state_store.take_over(self._director.keys)

    def start(self) -> None:
        self._tasks = [asyncio.create_task(self._look()), asyncio.create_task(self._keep())]

    async def _keep(self) -> None:
        while self.state_store is None and self._options.dir:
            await asyncio.sleep(OPEN_AGAIN_S)
            try:
                self._open()
            except OSError as error:
                log.debug("warm start: %s", error)
        if self.state_store is not None:
            await self.state_store.run()

    async def _look(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(LOOK_S)

    def look(self) -> None:
        phases = self.phases
        if phases.update(self._seen(), self._clock()):
            log.info(
                "phase=%s reason=%s after_ms=%.0f",
                phases.phase.name.lower(),
                phases.reason.name.lower(),
                self._clock() - phases.since_ms if phases.phase is not Phase.FULL else phases.back_ms,
            )

    def _seen(self) -> Seen:
        classes, purges = self._director.settings.classes, self._purges
        rows = self._director.figures.classes
        asked = sum(classes[name].worth * sum(row) for name, row in rows.items() if name in classes)
        earned = sum(classes[name].worth * row[SUCCESS] for name, row in rows.items() if name in classes)
        if purges is None:
            return Seen(self._listens(), True, True, False, asked, earned)
        caught_up = any(one.caught_ms for one in purges.followers)
        renewing = purges.renewal.binds and not purges.renewal.idle(self._clock())
        return Seen(self._listens(), caught_up, purges.follows, renewing, asked, earned)

    def lines(self) -> list[tuple[str, int]]:
        """For the operators' figures."""
        phases = self.phases
        since = 0 if phases.phase is Phase.FULL else int(self._clock() - phases.since_ms)
        own = [
            ("phase", int(phases.phase)),
            ("phase_reason", int(phases.reason)),
            ("phase_since_ms", since),
            ("full_service_ms", int(phases.back_ms)),
            ("warm_start", int(self.state_store is not None and self.state_store.took)),
        ]
        return own + (self._purges.lines() if self._purges is not None else [])

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.state_store is not None:
            try:
                await self.state_store.write()  # a restart on purpose loses nothing of it
            except (OSError, ValueError) as error:
                log.warning("warm start: not stored: %s", error)
            self.state_store.close()
