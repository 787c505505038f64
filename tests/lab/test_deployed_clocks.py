"""Wall clocks of generated deployments: dates of each machine's own, runs without steps as they were, no rule broken
by directors' steps, and fleets that read their clocks wrongly found."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, given, note
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gladelane.lab.deployed import DeployedFleet
from gladelane.lab.deployed_clock_plants import CLOCK_PLANTS
from gladelane.lab.deployed_clocks import (
    FROM_THE_START_MS,
    STEP_SIZES_MS,
    ClockPlan,
    ClockStep,
    WallClock,
    WallClocks,
)
from gladelane.lab.deployment_draw import draw_deployment, draw_stepped
from gladelane.lab.deployments import Deployment, FaultKind, director_name
from gladelane.lab.model.timeline import Timeline
from gladelane.lab.reduction import reduced

HOUR_MS = 3_600_000.0
START_MS = 10_000_000.0
DEPLOYMENTS = 100
PLANT_DEPLOYMENTS = 200
STEPS = (
    ClockStep("a", 1000.0, HOUR_MS),
    ClockStep("a", 2000.0, -4000.0),
    ClockStep("b", FROM_THE_START_MS, -HOUR_MS),
)


@pytest.mark.parametrize(
    "machine,after_ms,ahead_ms",
    [
        ("a", 999.0, 0.0),
        ("a", 1000.0, HOUR_MS),
        ("a", 1999.0, HOUR_MS),
        ("a", 2000.0, HOUR_MS - 4000.0),
        ("b", -20_000.0, -HOUR_MS),
        ("b", 5000.0, -HOUR_MS),
        ("c", 5000.0, 0.0),
    ],
)
def test_a_machine_dates_by_its_own_clock_as_it_was_at_that_moment(
    machine: str, after_ms: float, ahead_ms: float
) -> None:
    moment_ms = START_MS + after_ms
    assert float(WallClock(machine, STEPS, START_MS).date_at(moment_ms)) == moment_ms + ahead_ms
    clocks = WallClocks(ClockPlan(STEPS, dates_purges=machine), START_MS)
    assert float(clocks.of(machine).date_at(moment_ms)) == moment_ms + ahead_ms
    assert float(clocks.purge_date(moment_ms)) == moment_ms + ahead_ms
    assert float(WallClocks(ClockPlan(STEPS), START_MS).purge_date(moment_ms)) == moment_ms


@pytest.mark.parametrize(
    "machine,began_ahead_ms,ahead_ms", [("a", 0.0, HOUR_MS - 4000.0), ("b", -HOUR_MS, -HOUR_MS)]
)
def test_a_process_reads_both_clocks_and_its_timeline_knows_the_wall_clock_of_its_start_alone(
    machine: str, began_ahead_ms: float, ahead_ms: float
) -> None:
    line = Timeline()
    line.now = START_MS
    clock = WallClock(machine, STEPS, START_MS).process_clock(line)
    line.run(START_MS + 3000.0)
    assert clock.now() == pytest.approx(line.now + began_ahead_ms)
    assert float(clock.unix()) == pytest.approx(line.now + ahead_ms)


def test_steps_of_every_size_strike_every_kind_of_machine_each_by_itself() -> None:
    seen: set[tuple[str, float, bool]] = set()
    purge_daters: set[bool] = set()
    for seed in range(100):
        drawn = draw_stepped(random.Random(seed))
        assert replace(drawn, clocks=ClockPlan()) == draw_deployment(random.Random(seed))
        kinds = _machines(drawn)
        for step in drawn.clocks.steps:
            assert step.at_ms == FROM_THE_START_MS or 0.0 <= step.at_ms <= drawn.duration_ms
            seen.add((kinds[step.machine], step.by_ms, step.at_ms == FROM_THE_START_MS))
        purge_daters.add(bool(drawn.clocks.dates_purges))
    assert set(STEP_SIZES_MS) == {sign * size for sign in (1.0, -1.0) for size in (HOUR_MS, 4000.0, 50.0)}
    kinds_seen = ("director", "cache", "parent", "origin")
    assert seen == {
        (kind, by, wrong) for kind in kinds_seen for by in STEP_SIZES_MS for wrong in (True, False)
    }
    assert purge_daters == {True, False}


def _machines(drawn: Deployment) -> dict[str, str]:
    return {
        **{director_name(place): "director" for place in range(len(drawn.directors))},
        **{store.name: "cache" for store in (*drawn.caches, *drawn.joining)},
        **{store.name: "parent" for store in drawn.parents},
        drawn.origin.name: "origin",
    }


@hypothesis_settings(max_examples=DEPLOYMENTS, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.randoms(use_true_random=False))
def test_no_step_of_a_directors_clock_breaks_a_rule(rng: random.Random) -> None:
    drawn = draw_stepped(rng)
    kinds = _machines(drawn)
    steps = tuple(step for step in drawn.clocks.steps if kinds[step.machine] == "director")
    drawn = replace(drawn, clocks=ClockPlan(steps))
    note(repr(drawn))
    outcome = DeployedFleet(drawn).run()
    assert outcome.broken == ()
    assert outcome.requests > 0


@pytest.mark.parametrize("seed", [42, 171, 288, 825, 841, 1093, 1184, 1362])
def test_no_step_of_any_clock_lets_a_purge_be_ignored(seed: int) -> None:
    """Found by `benchmarks.deployments`: a server or the origin dated starts or purges ahead of the others."""
    outcome = DeployedFleet(draw_stepped(random.Random(seed))).run()
    assert [broken for broken in outcome.broken if broken.rule == "purge"] == []
    assert outcome.requests > 0


@pytest.mark.parametrize("seed", [1, 3, 5])
def test_a_step_after_the_start_changes_nothing_that_a_director_does(seed: int) -> None:
    """Its clock is read once for its timeline; the same run with the machine's clock never stepped is the same."""
    drawn = draw_deployment(random.Random(seed))
    places = range(len(drawn.directors))
    never = ClockPlan((ClockStep("nobody's", 0.0, HOUR_MS),))
    stepped = ClockPlan(tuple(ClockStep(director_name(place), 100.0, HOUR_MS) for place in places))
    digests = {DeployedFleet(replace(drawn, clocks=plan)).run().digest for plan in (never, stepped)}
    assert len(digests) == 1


@pytest.mark.parametrize("name", CLOCK_PLANTS)
def test_each_planted_misreading_is_caught_and_only_with_steps(name: str) -> None:
    plant = CLOCK_PLANTS[name]
    for seed in range(PLANT_DEPLOYMENTS):
        stepped, plain = draw_stepped(random.Random(seed)), draw_deployment(random.Random(seed))
        if plant.rule in _rules(plant.make_fleet, stepped):
            assert plant.rule not in _rules(DeployedFleet, stepped)
            assert plant.rule not in _rules(plant.make_fleet, plain)
            return
    pytest.fail(f"not caught in {PLANT_DEPLOYMENTS} deployments")


def _rules(make_fleet: Callable[[Deployment], DeployedFleet], drawn: Deployment) -> set[str]:
    return {broken.rule for broken in make_fleet(drawn).run().broken}


def test_a_reduced_deployment_keeps_only_the_steps_that_matter() -> None:
    whole = next(
        drawn
        for drawn in (draw_stepped(random.Random(seed)) for seed in range(100))
        if len(drawn.clocks.steps) > 3 and drawn.clocks.dates_purges
    )
    wanted = whole.clocks.steps[1]
    smallest = reduced(whole, lambda one: wanted in one.clocks.steps)
    assert smallest.clocks == ClockPlan((wanted,))
    assert not any(fault.kind is not FaultKind.JOIN for fault in smallest.faults) and math.isfinite(
        wanted.by_ms
    )
