"""A fleet in virtual time: one seed one run, rules kept through faults, and each planted fault found in a run."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from conftest import BASE_SETTINGS

from gladelane.lab.virtual import Fleet, Plan
from gladelane.lab.virtual_director import PendingRequest
from gladelane.routing.events import Event, Members, Purge, Settings, Status

ROOT = Path(__file__).parent.parent.parent


def plan(**more: Any) -> Plan:
    settings = Settings.read({**BASE_SETTINGS, "zone": "z0", "zones": ["hub", "z0", "z1"], "hub_of": [0, 0, 0], "weights": "nominal",
                              "seats_by_zone": [0, 1, 1], "proxies": 2, "straight": True})  # fmt: skip
    return Plan(settings, **{"locations": 2, "rate": 60.0, **more})


def faults(fleet: Fleet) -> None:
    line = fleet.line
    line.at(2000.0, lambda: fleet.crash("z0c0"))
    line.at(3000.0, lambda: fleet.drain("p1"))
    line.at(4000.0, lambda: fleet.crash("p0"))
    line.at(7000.0, lambda: fleet.restart("z0c0"))
    line.at(8000.0, lambda: fleet.restart("p0"))
    for second in range(1, 12):
        line.at(second * 1000.0, lambda second=second: fleet.purge(second % 4))


def test_one_seed_is_one_run_in_any_process() -> None:
    code = ("import sys; sys.path.insert(0, 'tests/lab'); sys.path.insert(0, 'tests'); import test_virtual as t; f = t.Fleet(t.plan(), 5); "
            "t.faults(f); f.run(6000.0); print(f.digest())")  # fmt: skip
    said = {
        subprocess.run([sys.executable, "-c", code], cwd=ROOT, env={**os.environ, "PYTHONHASHSEED": seed}, capture_output=True,
                       text=True, check=True).stdout for seed in ("0", "1", "2")
    }  # fmt: skip
    assert len(said) == 1 and len(said.pop().strip()) == 32
    one, other = Fleet(plan(), 5), Fleet(plan(), 6)
    one.run(3000.0)
    other.run(3000.0)
    assert one.digest() != other.digest()


def test_rules_hold_through_crashes_drains_restarts_and_purges() -> None:
    fleet = Fleet(plan(), 3)
    faults(fleet)
    fleet.run(15_000.0)
    assert fleet.broken == [] and fleet.counts["asked"] > 800
    assert (
        fleet.served_weight > 0.8 * fleet.requested_weight
        and 0.2 * fleet.counts["ok"] < fleet.counts["hits"] < fleet.counts["ok"]
    )


def test_a_calm_fleet_serves_nearly_all_and_an_overloaded_one_refuses() -> None:
    calm, crowded = (
        Fleet(plan(), 3),
        Fleet(plan(rate=900.0, origin_workers=2, objects=20_000, client_tries=0), 3),
    )
    calm.run(8000.0)
    crowded.run(8000.0)
    assert calm.served_weight > 0.95 * calm.requested_weight and calm.broken == crowded.broken == []
    assert crowded.served_weight < 0.8 * crowded.requested_weight and crowded.counts["full"] > 100


@pytest.mark.parametrize("rule", ["drain", "purge", "repeat", "answer"])
def test_each_planted_fault_is_found_in_a_run(rule: str) -> None:
    fleet = Fleet(plan(), 3)
    for director in fleet.directors:
        tell = director.tell

        def deaf(event: Event, tell: Any = tell) -> None:
            if not (rule == "purge" and isinstance(event, Purge)) and not (
                rule == "drain" and isinstance(event, Members)
            ):
                tell(event)

        director.tell = deaf  # type: ignore[method-assign]
        if rule == "repeat":
            director.router.attempts.rules.may_repeat = lambda pending: True  # type: ignore[method-assign]
        if rule == "answer":
            finish = director._finish

            def twice(
                asked: PendingRequest, status: Status, *more: Any, finish: Any = finish, **named: Any
            ) -> None:
                finish(asked, status, *more, **named)
                if asked.number % 50 == 0:
                    fleet.monitor.final("n0", asked.number, fleet.line.now)

            director._finish = twice  # type: ignore[method-assign]
    if rule == "repeat":  # the origin's connections break: what was sent may have run
        arrived = fleet._arrived
        fleet._arrived = lambda zone, action, source, spec, work: (  # type: ignore[method-assign]
            work.finish(Status.RESET) if action.store == "root" else arrived(zone, action, source, spec, work)
        )
    faults(fleet)
    fleet.run(12_000.0)
    assert {b.rule for b in fleet.broken} == {rule}
