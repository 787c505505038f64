"""Fleets that read their clocks wrongly, planted to show that runs with stepped clocks find it."""

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


class SpansByWallClock(DeployedFleet):
    """Directors count deadlines, timers and windows on the wall clock."""

    def _director_clock(self, name: str) -> Callable[[], float]:
        wall_clock = self.clocks.of(name)
        return lambda: float(wall_clock.date_at(self.line.now))


class _AgeByOwnClock(PlatformDates):
    """Takes an age from this machine's clock and another's date."""

    def age_ms(self, dated: UnixMs, now_ms: float) -> float:
        return max(now_ms - float(dated), 0.0)


class _OwnClockDirector(Director):
    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        wheel: TimerWheel,
        endpoints: Endpoints,
        keys_most: int,
    ) -> None:
        super().__init__(settings, seed, clock, wheel, endpoints, keys_most)
        self.copy_dates.platform = _AgeByOwnClock()


class PurgeAgeByOwnClock(DeployedFleet):
    """A director whose clock is ahead takes each purge for one that was over long ago."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment, _OwnClockDirector)


@dataclass(frozen=True, slots=True)
class ClockPlant:
    """`rule` is the one that a run of this fleet breaks once directors' clocks are stepped."""

    make_fleet: Callable[[Deployment], DeployedFleet]
    rule: str


CLOCK_PLANTS: dict[str, ClockPlant] = {
    "spans counted on the wall clock": ClockPlant(SpansByWallClock, "answer"),
    "the age of a purge by the director's own clock": ClockPlant(PurgeAgeByOwnClock, "purge"),
}
