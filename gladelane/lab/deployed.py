"""A generated deployment in virtual time: real directors, models of everything they talk to, and monitors.

The decisions are those of the real `Router`, and every attempt is checked by the real `net.director.Director`
just before its first byte. One deployment always gives the same run: nothing waits, reads a clock or opens a
socket.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..net.director import Director
from ..timer_wheel import TICK_MS
from .checks import Broken, Monitor, Place, Reach
from .cold_falls import ColdFalls
from .deployed_clients import ClientSide, DirectorHandle
from .deployed_clocks import WallClocks
from .deployed_directors import DirectorNode, MakeDirector, Surroundings, make_node
from .deployed_discovery import DiscoverySide
from .deployed_faults import FaultInjector
from .deployed_stores import Store, StoreSide
from .deployed_wire import WireObserver
from .deployments import Deployment, director_name
from .model.timeline import Timeline

START_MS = 10_000_000.0  # the time at the start; not 0, which means 'never' in many places
SLACK_MS = 50.0  # tolerance on every limit: the loops of directors run at intervals
END_MS = 300.0  # from the last deadline until the run ends


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a run."""

    requests: int
    sends: int
    served: int
    falls: int  # stores overloaded in slow start, also where that is no breach
    broken: tuple[Broken, ...]
    digest: str  # of every written attempt and final answer, with its time


class DeployedFleet:
    """Builds a generated deployment from its parts; `run` plays it once."""

    def __init__(self, deployment: Deployment, make_director: MakeDirector = Director) -> None:
        self.deployment = deployment
        self.line = Timeline()
        self.line.now = START_MS
        self.rng = random.Random(deployment.seed)
        self.settings = deployment.settings(0)
        self.clocks = WallClocks(deployment.clocks, START_MS)
        self.broken: list[Broken] = []
        self.falls = ColdFalls(self.broken.append)
        self.side = StoreSide(deployment, self.line, self.rng, self.falls, self._crash)
        self.monitor = self._make_monitor()
        self.reach = Reach(self.settings, self.broken.append)
        self.wire = WireObserver(
            self.settings, self.line, self.side.stores, self.monitor, self.reach, self.broken.append
        )
        self.nodes = self._make_nodes(make_director)
        self.discovery = DiscoverySide(
            deployment, self.line, self.rng, self.nodes, self.clocks, self.monitor, self.reach, self.falls
        )
        self.faults = FaultInjector(self.line, self.rng, self.nodes, self.side, self.discovery)
        self.side.broken_off = self.faults.reset_connections
        self._start()

    def run(self) -> Outcome:
        """Plays the deployment to its end. Errors that a director logs count as breaches."""
        logged = _ErrorLog(self)
        program = logging.getLogger("gladelane")
        level, propagates = program.level, program.propagate
        program.addHandler(logged)
        program.setLevel(logging.ERROR)
        program.propagate = False
        try:
            self._run_until_done()
        finally:
            program.removeHandler(logged)
            program.setLevel(level)
            program.propagate = propagates
        self.monitor.close(self.line.now)
        return Outcome(
            self.monitor.requests,
            self.monitor.sends,
            self.clients.counts["served"],
            self.falls.falls,
            tuple(self.broken),
            self.wire.digest(),
        )

    def _run_until_done(self) -> None:
        """Runs until nothing is pending, at most until the last deadline has passed."""
        longest = max(spec.deadline_ms for spec in self.settings.classes.values())
        until = START_MS + self.deployment.duration_ms + longest + END_MS
        self.line.run(START_MS + self.deployment.duration_ms)
        while self.line.now < until and (
            self.clients.waiting or any(n.director.has_pending() for n in self.nodes)
        ):
            self.line.run(min(self.line.now + END_MS, until))

    # --- construction

    def _make_monitor(self) -> Monitor:
        s = self.settings
        stores = self.side.stores
        return Monitor(
            s.drain_grace_ms,
            s.purge_grace_ms,
            s.answer_grace_ms,
            self.broken.append,
            s.second_copies,
            slack_ms=SLACK_MS,
            most_attempts=s.max_attempts,
            places={name: Place(store.spec.zone, store.spec.cell) for name, store in stores.items()},
        )

    def _make_nodes(self, make_director: MakeDirector) -> list[DirectorNode]:
        surroundings = Surroundings(self.line, self.side, self.wire)
        return [
            make_node(
                self.deployment,
                place,
                self._director_clock(director_name(place)),
                make_director,
                surroundings,
            )
            for place in range(len(self.deployment.directors))
        ]

    def _director_clock(self, name: str) -> Callable[[], float]:
        """The clock that a director reads, made of both readings by `clock.Clock`.

        Without steps this is true time, unconverted: a conversion would change its last digits, and with them
        the run.
        """
        if not self.deployment.clocks.is_stepped:
            return self._true_time
        return self.clocks.of(name).process_clock(self.line).now

    def _true_time(self) -> float:
        return self.line.now

    # --- the start of the run

    def _start(self) -> None:
        plan = self.deployment
        self._start_stores()
        for fault in plan.faults:
            self.line.at(START_MS + fault.at_ms, partial(self.faults.inject, fault))
        self.line.after(self.rng.uniform(0.0, TICK_MS), self._advance_timers)
        self.clients = ClientSide(
            plan,
            self.line,
            self.rng,
            [DirectorHandle(node.name, node.director) for node in self.nodes],
            self.monitor,
            self.side.size,
            self.wire.answered,
            self.broken.append,
        )

    def _start_stores(self) -> None:
        """All but those that join later are up and on the first list."""
        plan, stores = self.deployment, self.side.stores
        joining = {spec.name for spec in plan.joining}
        for name, store in stores.items():
            if name in joining:
                store.up = False
            elif store.started_ms:
                self.side.begin_cold(store)
        if plan.filled_at_start:
            self.side.fill_at_start()
        self.discovery.announce_first_list(
            [store.member for name, store in stores.items() if name not in joining]
        )

    def _advance_timers(self) -> None:
        for node in self.nodes:
            node.timers.advance()
        self.line.after(TICK_MS, self._advance_timers)

    def _crash(self, store: Store) -> None:
        self.faults.crash(store)


class _ErrorLog(logging.Handler):
    """Turns logged errors into breaches: a director meets no input here that justifies one."""

    def __init__(self, fleet: DeployedFleet) -> None:
        super().__init__(logging.ERROR)
        self.fleet = fleet

    def emit(self, record: logging.LogRecord) -> None:
        """Reports an error that a director logged."""
        cause = f": {record.exc_info[1]!r}" if record.exc_info else ""
        broken = Broken("fault", self.fleet.line.now, "", f"{record.getMessage()}{cause}")
        self.fleet.broken.append(broken)
