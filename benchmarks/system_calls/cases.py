"""The matrix of cases: one call site, one error and one moment each, with a rate and a seed."""

from __future__ import annotations

import errno
from dataclasses import dataclass, replace

from gladelane.lab.call_faults import Scene
from gladelane.lab.preload.syscalls import SHORT, Call, Fault

from .sites import SITES, TRANSIENT, Moment, Port, Site

INTERRUPTED_RATE = 0.5  # an interrupted call is made again at once: at 1.0 it would never come back
LAST_ACCEPT_RATE = 0.5  # of accepts at the stop: if all fail until the end, no newcomer can be taken
MOMENTARY_CALLS = 3  # at the start: so many calls fail, then all go well
LONG_RATES = (1.0, 0.3, 0.05)  # of the cases that the long form repeats, each with a seed of its own
FIRST_LONG_SEED = 2  # the quick form has 1


@dataclass(frozen=True)
class Case:
    """One call site under one error at one moment. `most`: so many calls fail at most; -1: all do."""

    site: Site
    error: int
    moment: Moment
    rate: float = 1.0
    seed: int = 1
    most: int = -1

    @property
    def name(self) -> str:
        """As the report names it."""
        bound = f", {self.most} calls" if self.most >= 0 else ""
        return f"{self.site.name}, {error_name(self.error)}, {self.moment.value}{bound}"

    @property
    def breaks_clients(self) -> bool:
        """Whether connections of clients may end by it."""
        return self.site.breaks_clients and self.error not in TRANSIENT

    def fault(self, scene: Scene) -> Fault:
        """What the preload library is to do at this scene."""
        ports = {
            Port.ANY: 0,
            Port.CLIENTS: scene.director.port,
            Port.ADMIN: scene.director.ops[-1] if scene.director.ops else 0,
            Port.DISCOVERY: scene.discovery_port,
        }
        rate = min(self.rate, INTERRUPTED_RATE) if self.error == errno.EINTR else self.rate
        site = self.site
        return Fault(site.call, self.error, rate, site.scope, ports[site.port], self.seed, self.most)


def error_name(error: int) -> str:
    """The name of an errno, or of a short read or write."""
    return "short" if error == SHORT else errno.errorcode[error]


def matrix(quick: bool) -> list[Case]:
    """The quick form's cases; the long form repeats them at other rates and with other seeds."""
    cases = [Case(site, error, moment) for site in SITES for moment in site.moments for error in site.errnos]
    cases = [case for case in cases if _is_played(case)]
    cases += [replace(case, most=MOMENTARY_CALLS) for case in cases if case.moment is Moment.START]
    cases = [_with_rate(case) for case in cases]
    return cases if quick else cases + _seeded(cases)


def _is_played(case: Case) -> bool:
    if case.moment is Moment.SHUTDOWN:
        return case.error in (errno.ECONNRESET, SHORT) or len(case.site.errnos) <= 2
    # of calls that are seldom made at rest, every other one is not enough to be sure that one is disturbed
    is_seldom = case.moment is Moment.IDLE and case.site.call is not Call.WAIT
    return not (is_seldom and case.error == errno.EINTR)


def _with_rate(case: Case) -> Case:
    is_last_accept = case.site.call is Call.ACCEPT and case.moment is Moment.SHUTDOWN
    return replace(case, rate=LAST_ACCEPT_RATE) if is_last_accept else case


def _seeded(cases: list[Case]) -> list[Case]:
    """Lower rates under load only: elsewhere few calls are made, so that none might fail, and at 1.0 an
    accept never goes well."""
    return [
        replace(case, seed=seed, rate=rate if case.moment is Moment.LOAD else case.rate)
        for seed, rate in enumerate(LONG_RATES, start=FIRST_LONG_SEED)
        for case in cases
        if case.moment is not Moment.START
    ]
