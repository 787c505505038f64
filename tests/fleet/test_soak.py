"""A short form of the soak test (`python -m benchmarks.soak`): maintenance under faults, on real processes."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.soak.run import run_seed

DURATION_S = 14.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_soak_breaks_no_promise_of_maintenance_and_leaves_no_request_without_an_answer(seed: int) -> None:
    result = asyncio.run(run_seed(seed, DURATION_S))
    assert result.problems == [], result.faults
    assert result.calls > 0 and result.served > 0
