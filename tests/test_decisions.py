"""The digest of all decisions equals the recorded one, is the same in every process, and detects small
changes.

After an intended change of decisions, record the digests again: `python -m benchmarks.decisions --quick
--record`."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks import decisions
from gladelane.routing import (
    attempts,
    cache_admission,
    concurrency_limit,
    load_shedding,
    outlier_detection,
    selection,
    slow_start,
    store,
)
from gladelane.structures import rendezvous

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("scene", sorted(decisions.golden()))
def test_decisions_equal_the_recorded_ones(scene: str) -> None:
    assert decisions.run_scene(scene).text() == decisions.golden()[scene]


def test_every_scene_that_depends_on_the_routing_code_only_is_recorded() -> None:
    assert set(decisions.golden()) == set(decisions.SCENES) - decisions.NOT_GOLDEN
    assert {len(text) for text in decisions.golden().values()} == {64}


def test_the_digest_is_the_same_in_every_process() -> None:
    code = "from benchmarks import decisions as d; print(d.run_scene('site_hints').text(), d.run_scene('deployed').text())"
    outputs = {
        subprocess.run([sys.executable, "-c", code], cwd=ROOT, env={**os.environ, "PYTHONHASHSEED": seed}, capture_output=True,
                       text=True, check=True).stdout for seed in ("1", "2")
    }  # fmt: skip
    assert len(outputs) == 1 and decisions.golden()["site_hints"] in outputs.pop()


@pytest.mark.parametrize(
    ("module", "constant", "value", "scene"),
    [
        (selection, "SPILL_SHARE", 0.79, "site_hints"),
        (attempts, "HEDGE_DELAY_SHARE", 0.51, "site_hints"),
        (store, "MIN_EJECTION_MS", 410.0, "site_notes"),
        (outlier_detection, "EJECT_AFTER_FAILURES", 4, "generated"),
        (cache_admission, "ADMISSION_REQUESTS", 3, "site_hints"),
        (load_shedding, "LOW_VALUE_SHARE", 0.69, "shared_zone"),
        (slow_start, "STEADY_SHARE", 0.51, "shared_zone"),
        (concurrency_limit, "DECREASE_FACTOR", 0.81, "site_hints"),
    ],
)
def test_a_changed_constant_changes_the_digest(
    module: object, constant: str, value: float, scene: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, constant, value)
    assert decisions.run_scene(scene).text() != decisions.golden()[scene]


def test_another_order_of_caches_changes_the_digest(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rendezvous, "_KEY_FACTOR", rendezvous._KEY_FACTOR ^ 2)
    assert decisions.run_scene("site_hints").text() != decisions.golden()["site_hints"]
