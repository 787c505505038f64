"""Generated deployments: no decision and no send breaks a rule, one deployment is one run, each planted fault is
found, and the generator's ranges are wider than those of the deployments that are known."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given, note
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from gladelane.lab.deployed import DeployedFleet
from gladelane.lab.deployment_draw import draw_deployment
from gladelane.lab.deployments import Deployment, FaultKind
from gladelane.lab.planted import PLANTS
from gladelane.lab.reduction import reduced

ROOT = Path(__file__).parent.parent.parent
DEPLOYMENTS = 200  # that CI runs; benchmarks.deployments runs ten times as many
PLANT_DEPLOYMENTS = 100  # tried for each plant, as there

#: what is known of two deployments: least and greatest value of a field in either
KNOWN: list[tuple[str, float, float]] = [
    ("rules.drain_grace_ms", 250.0, 1000.0),
    ("rules.fall_multiple", 3.0, 4.0),
    ("rules.fall_ms", 1000.0, 2000.0),
    ("rules.cold_from", 0.15, 0.49),
    ("rules.warm_after_ms", 5700.0, 18_000.0),
    ("limits.max_attempts", 8, 8),
    ("limits.max_streams", 32, 100),
    ("limits.max_retry_after_ms", 1000.0, 2000.0),
    ("limits.dial_timeout_ms", 400.0, 400.0),
    ("limits.conn_idle_ms", 15_000.0, 15_000.0),
    ("family_info.notice_time_ms", 1000.0, 1000.0),
    ("family_info.gone_everywhere_ms", 6000.0, 6000.0),
    ("family_info.one_flow_kb_per_s", 2000.0, 12_000.0),
    ("family_info.parent_cold_from", 0.063, 0.15),
    ("family_info.parent_cold_ms", 12_000.0, 21_000.0),
    ("family_info.parent_breaks_at", 2.0, 2.0),
    ("balancers", 3, 5),
    ("tick_ms", 2.0, 2.0),
]
KNOWN_CLASSES: list[tuple[str, float, float]] = [
    ("deadline_ms", 2500.0, 6000.0),
    ("aim_ms", 400.0, 800.0),
    ("aim_stretch", 1.6, 2.0),
    ("window_ms", 2000.0, 2000.0),
    ("value", 1.0, 3.0),
]
#: every word that a field may have
WORDS: list[tuple[str, set[object]]] = [
    ("family_info.notes_given", {"all", "hit", "off"}),
    ("family_info.peers_fill", {"off", "location", "any"}),
    ("family_info.merges_fills", {True, False}),
    ("family_info.straight", {True, False}),
    ("limits.cancel", {True, False}),
    ("limits.may_duplicate", {True, False}),
    ("limits.retry_after", {True, False}),
    ("weights", {"nominal", "off", "rough", "live"}),
    ("registry_mode", {"automatic", "subscribe"}),
    ("report.how", {"inline", "on_probe", "off"}),
    ("limits.may_tell", {True, False}),
    ("limits.probes", {True, False}),
]


def deployment(seed: int) -> Deployment:
    return draw_deployment(random.Random(seed))


@hypothesis_settings(max_examples=DEPLOYMENTS, suppress_health_check=list(HealthCheck))
@given(st.randoms(use_true_random=False))
def test_no_decision_and_no_send_breaks_a_rule(rng: random.Random) -> None:
    drawn = draw_deployment(rng)
    note(repr(drawn))
    outcome = DeployedFleet(drawn).run()
    assert outcome.broken == ()
    assert outcome.requests > 0


def test_one_deployment_is_one_run_in_any_process() -> None:
    code = (
        "import random; from gladelane.lab.deployed import DeployedFleet as F; "
        "from gladelane.lab.deployment_draw import draw_deployment as draw; "
        "print(*(F(draw(random.Random(seed))).run().digest for seed in (3, 11, 12)))"
    )
    said = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in ("0", "1")
    }
    assert len(said) == 1 and len(set(said.pop().split())) == 3


@pytest.mark.parametrize("name", PLANTS)
def test_each_planted_fault_is_caught_and_only_with_the_plant(name: str) -> None:
    plant = PLANTS[name]
    for seed in range(PLANT_DEPLOYMENTS):
        found = DeployedFleet(deployment(seed), plant.make_director).run().broken
        if found:
            assert plant.rule in {broken.rule for broken in found}
            assert DeployedFleet(deployment(seed)).run().broken == ()
            return
    pytest.fail(f"not caught in {PLANT_DEPLOYMENTS} deployments")


def test_a_drain_grace_of_250_ms_read_as_1000_ms_is_caught() -> None:
    """The grace of one of the known deployments, and a drain in the middle of its load."""
    plant = PLANTS["drain grace read as 1,000 ms"]
    for seed in range(PLANT_DEPLOYMENTS):
        drawn = deployment(seed)
        if any(fault.kind is FaultKind.DRAIN for fault in drawn.faults):
            wire = {**drawn.wire, "rules": {**drawn.wire["rules"], "drain_grace_ms": 250.0}}
            found = DeployedFleet(replace(drawn, wire=wire), plant.make_director).run().broken
            if found:
                assert {broken.rule for broken in found} == {"drain"}
                return
    pytest.fail("not caught")


def test_ranges_cover_those_of_the_known_deployments_and_more() -> None:
    drawn = [deployment(seed) for seed in range(400)]
    for path, least, greatest in KNOWN:
        values = [_at(one.wire, path) for one in drawn]
        assert min(values) < least and max(values) >= greatest, path
    for key, least, greatest in KNOWN_CLASSES:
        values = [row[key] for one in drawn for row in one.wire["classes"] if key in row]
        assert min(values) < least and max(values) >= greatest, key
    for path, words in WORDS:
        assert {_at(one.wire, path) for one in drawn} == words, path
    effects = {(row["effect"], row["group"]) for one in drawn for row in one.wire["classes"]}
    assert len(effects) == 9
    assert {fault.kind for one in drawn for fault in one.faults} == set(FaultKind)
    assert {len(one.wire["classes"]) for one in drawn} == {1, 2, 3, 4, 5}
    assert {bool(one.parents) for one in drawn} == {one.sizes_listed for one in drawn} == {True, False}
    names = [row["name"] for one in drawn for row in one.wire["classes"]]
    assert len(set(names)) == len(names)


def _at(wire: object, path: str) -> object:
    for step in path.split("."):
        wire = wire[step]  # type: ignore[index]
    return wire


def test_settings_of_each_director_are_read_as_they_are_told() -> None:
    for seed in range(50):
        drawn = deployment(seed)
        for place, zone in enumerate(drawn.directors):
            settings = drawn.settings(place)
            assert (settings.me, settings.zone, settings.proxies) == (place, zone, len(drawn.directors))
            assert settings.parent_kind == (drawn.parents[0].kind if drawn.parents else "")
            assert settings.origin_kind == drawn.origin.kind
            seats = dict(zip(settings.zones, settings.seats_by_zone, strict=True))
            assert seats[zone] == drawn.directors.count(zone)


@pytest.mark.parametrize(
    "breaks,kept",
    [
        (lambda one: any(f.kind is FaultKind.JOIN for f in one.faults), 1),
        (lambda one: len(one.caches) > 1, 0),
    ],
)
def test_a_deployment_is_made_smaller_while_it_breaks(
    breaks: Callable[[Deployment], bool], kept: int
) -> None:
    whole = next(one for one in map(deployment, range(100)) if breaks(one) and len(one.faults) > 2)
    smallest = reduced(whole, breaks)
    assert breaks(smallest) and len(smallest.faults) == kept
    assert smallest.duration_ms < whole.duration_ms and smallest.clients.retries == 0
