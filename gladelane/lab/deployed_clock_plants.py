"""Planted faults: fleets that misread their clocks, to show that runs with stepped clocks detect it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import PlatformDates, UnixMs
from ..endpoints.plan import Endpoints
from ..net.director import Director
from ..routing.events import Settings
from ..timer_wheel import TimerWheel
from .deployed import DeployedFleet
from .deployments import Deployment


class IntervalsByWallClock(DeployedFleet):
    """Directors measure deadlines, timers and windows with the wall clock."""

    def _director_clock(self, name: str) -> Callable[[], float]:
        wall_clock = self.clocks.of(name)
        return lambda: float(wall_clock.date_at(self.line.now))


class _AgeByOwnClock(PlatformDates):
    """Subtracts another machine's date from this machine's clock."""

    def age_ms(self, dated: UnixMs, now_ms: float) -> float:
        return max(now_ms - float(dated), 0.0)


class _OwnClockDirector(Director):
    """A director that ages purges and copies with `_AgeByOwnClock`."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        timers: TimerWheel,
        endpoints: Endpoints,
        max_keys: int,
    ) -> None:
        super().__init__(settings, seed, clock, timers, endpoints, max_keys)
        self.copy_dates.platform = _AgeByOwnClock()


class PurgeAgeByOwnClock(DeployedFleet):
    """A director whose clock is ahead ignores each purge as one that is long past."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment, _OwnClockDirector)


@dataclass(frozen=True, slots=True)
class ClockPlant:
    """A planted fault. `rule` is the one that a run of this fleet breaks when directors' clocks are
    stepped."""

    make_fleet: Callable[[Deployment], DeployedFleet]
    rule: str


CLOCK_PLANTS: dict[str, ClockPlant] = {
    "spans counted on the wall clock": ClockPlant(IntervalsByWallClock, "answer"),
    "the age of a purge by the director's own clock": ClockPlant(PurgeAgeByOwnClock, "purge"),
}
