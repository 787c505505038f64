"""The case matrix of `benchmarks.system_calls` and the tally of its results, without starting a process."""

from __future__ import annotations

import errno

from benchmarks.system_calls.cases import (
    FIRST_LONG_SEED,
    INTERRUPTED_RATE,
    LAST_ACCEPT_RATE,
    LONG_RATES,
    matrix,
)
from benchmarks.system_calls.sites import SITES, Moment
from benchmarks.system_calls.tally import CaseResult, Tally
from gladelane.lab.call_faults import Verdict


def test_the_quick_matrix_has_every_site_at_each_of_its_moments_and_no_duplicate_case() -> None:
    cases = matrix(quick=True)
    assert len(set(cases)) == len(cases)
    covered = {(case.site.name, case.moment) for case in cases}
    assert covered == {(site.name, moment) for site in SITES for moment in site.moments}
    assert all(case.rate == LAST_ACCEPT_RATE for case in cases if case.site.name == "accept at the stop")
    starts = [case for case in cases if case.moment is Moment.START]
    assert len(starts) == 2 * sum(case.max_failures >= 0 for case in starts) > 0


def test_the_long_matrix_repeats_all_cases_except_the_starts_with_each_seed() -> None:
    quick, long = matrix(quick=True), matrix(quick=False)
    assert long[: len(quick)] == quick
    repeated = [case for case in quick if case.moment is not Moment.START]
    assert len(long) == len(quick) + len(LONG_RATES) * len(repeated)
    assert {case.seed for case in long[len(quick) :]} == set(
        range(FIRST_LONG_SEED, FIRST_LONG_SEED + len(LONG_RATES))
    )
    assert {case.rate for case in long if case.moment is Moment.LOAD} == set(LONG_RATES)
    assert INTERRUPTED_RATE < 1.0 and any(case.error == errno.EINTR for case in long)


def test_a_case_that_injected_nothing_counts_as_broken_and_the_slowest_case_is_named() -> None:
    tally = Tally()
    tally.add("passed", CaseResult(Verdict(stuck_after_ms=20.0), True))
    tally.add("not injected", CaseResult(Verdict(stuck_after_ms=10.0), False))
    tally.add("broken", CaseResult(Verdict(lost=["a", "b"], crashes=["c"]), True))
    assert tally.cases == 3 and tally.slowest == "passed"
    assert tally.figures == {"lost": 2, "duplicates": 0, "unanswered": 0, "crashes": 1, "not_injected": 1}
    assert tally.broken == [
        "not injected: nothing was injected",
        "broken: lost: a",
        "broken: lost: b",
        "broken: crash: c",
    ]
