"""The matrix of cases: one call site, one error and one moment each, with a rate and a seed."""

from __future__ import annotations

import errno
from dataclasses import dataclass, replace

from gladelane.lab.call_faults import Scene
from gladelane.lab.preload.syscalls import SHORT, Call, Fault

from .sites import SITES, TRANSIENT, Moment, Port, Site

INTERRUPTED_RATE = 0.5  # an interrupted call is retried at once: at 1.0 it would never return
LAST_ACCEPT_RATE = (
    0.5  # of accepts at the shutdown: if all failed until the end, no new client could be accepted
)
MOMENTARY_CALLS = 3  # at the start: this many calls fail, and all later ones succeed
LONG_RATES = (1.0, 0.3, 0.05)  # of the cases that the long form repeats, one seed for each rate
FIRST_LONG_SEED = 2  # the quick form uses seed 1


@dataclass(frozen=True)
class Case:
    """One call site with one error at one moment.

    `max_failures` is the largest number of calls that fail; -1 means no limit.
    """

    site: Site
    error: int
    moment: Moment
    rate: float = 1.0
    seed: int = 1
    max_failures: int = -1

    @property
    def name(self) -> str:
        """The name of the case in the report."""
        bound = f", {self.max_failures} calls" if self.max_failures >= 0 else ""
        return f"{self.site.name}, {error_name(self.error)}, {self.moment.value}{bound}"

    @property
    def breaks_clients(self) -> bool:
        """Whether the fault may end connections of clients."""
        return self.site.breaks_clients and self.error not in TRANSIENT

    def fault(self, scene: Scene) -> Fault:
        """Returns the fault that the preload library injects into the director of this scene."""
        ports = {
            Port.ANY: 0,
            Port.CLIENTS: scene.director.port,
            Port.ADMIN: scene.director.ops[-1] if scene.director.ops else 0,
            Port.DISCOVERY: scene.discovery_port,
        }
        rate = min(self.rate, INTERRUPTED_RATE) if self.error == errno.EINTR else self.rate
        site = self.site
        return Fault(site.call, self.error, rate, site.scope, ports[site.port], self.seed, self.max_failures)


def error_name(error: int) -> str:
    """Returns the name of an errno, or `short` for a short read or write."""
    return "short" if error == SHORT else errno.errorcode[error]


def matrix(quick: bool) -> list[Case]:
    """Returns the cases of the quick form; the long form repeats them at other rates and with other seeds."""
    cases = [Case(site, error, moment) for site in SITES for moment in site.moments for error in site.errnos]
    cases = [case for case in cases if _is_included(case)]
    cases += [replace(case, max_failures=MOMENTARY_CALLS) for case in cases if case.moment is Moment.START]
    cases = [_with_rate(case) for case in cases]
    return cases if quick else cases + _with_long_form_rates(cases)


def _is_included(case: Case) -> bool:
    if case.moment is Moment.SHUTDOWN:
        return case.error in (errno.ECONNRESET, SHORT) or len(case.site.errnos) <= 2
    # An idle director makes few calls, and EINTR fails only half of them: it might disturb none.
    is_rarely_called = case.moment is Moment.IDLE and case.site.call is not Call.WAIT
    return not (is_rarely_called and case.error == errno.EINTR)


def _with_rate(case: Case) -> Case:
    is_last_accept = case.site.call is Call.ACCEPT and case.moment is Moment.SHUTDOWN
    return replace(case, rate=LAST_ACCEPT_RATE) if is_last_accept else case


def _with_long_form_rates(cases: list[Case]) -> list[Case]:
    """Returns the cases with other seeds, and with other rates under load.

    Only the load makes enough calls: at other moments a lower rate might disturb no call at all. At the rate
    1.0 no accept ever succeeds.
    """
    return [
        replace(case, seed=seed, rate=rate if case.moment is Moment.LOAD else case.rate)
        for seed, rate in enumerate(LONG_RATES, start=FIRST_LONG_SEED)
        for case in cases
        if case.moment is not Moment.START
    ]
