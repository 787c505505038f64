"""The command line of the benchmark."""

from __future__ import annotations

import sys
from dataclasses import asdict
from functools import partial
from typing import Any

from benchmarks import conclude
from benchmarks.planted_searches import PlantedSearches
from gladelane.lab.view_leases import ESCALATION_PLANTS, LEASE_PLANTS, searched, searched_all

from .attempt_cost import measure_attempt_us
from .days import NOT_ENFORCED, days
from .lag import LagFigures
from .play import SEED, PlayedDay, play_day
from .report import audit_figures, broken_rules, lag_figures, service_figures, size_figures
from .tampered import notice_alterations
from .week import measure_week

LEASE_STEPS = 6  # how deep the search goes
ESCALATION_STEPS, QUICK_ESCALATION_STEPS = 3, 2
WEEK_DIRECTORS = 300
WEEK_INTERVALS, QUICK_WEEK_INTERVALS = 2016, 170  # of each director
WRONG_SHOWN = 5


def begin_searches(quick: bool) -> PlantedSearches[dict[str, int | str]]:
    """Of the state machines, while the days are played."""
    steps = QUICK_ESCALATION_STEPS if quick else ESCALATION_STEPS
    planted = {plant.name: partial(searched, plant) for plant in (*LEASE_PLANTS, *ESCALATION_PLANTS)}
    return PlantedSearches(partial(searched_all, LEASE_STEPS, steps), planted)


def play_days(quick: bool) -> list[PlayedDay]:
    """All days, one after the other."""
    played = []
    for day in days(quick):
        played.append(play_day(day))
        print(f"{day.name}: {played[-1].shown()}", flush=True)
    return played


def play_not_enforced() -> PlayedDay:
    """The day that has to show directors that act after their lease is over."""
    played = play_day(NOT_ENFORCED)
    attempts, after_out = played.metrics["attempts"], played.metrics["acted_after_out"]
    print(f"not enforced: attempts {attempts}, after out {after_out}", flush=True)
    return played


def main() -> int:
    """The exit code."""
    quick = "--quick" in sys.argv
    searches = begin_searches(quick)
    played = play_days(quick)
    not_enforced = play_not_enforced()
    lag = LagFigures()
    for one in played:
        lag.add(one)
    noticed = notice_alterations(played[0].metrics, SEED)
    found = searches.result()
    week = measure_week(WEEK_DIRECTORS, QUICK_WEEK_INTERVALS if quick else WEEK_INTERVALS)
    figures: dict[str, Any] = {
        "quick": quick,
        **size_figures(played),
        **audit_figures(played, not_enforced, noticed),
        **lag_figures(played, lag),
        **service_figures(played, measure_attempt_us()),
        **asdict(week),
        "search_states": found.clean,
        "search_planted": found.planted,
        "search_caught": found.caught,
    }
    for name in lag.wrongly_restricted[:WRONG_SHOWN]:
        print(name)
    return conclude(figures, broken_rules(figures))


if __name__ == "__main__":
    sys.exit(main())
