"""A short form of the soak test (`python -m benchmarks.memory`): floods against the memory limit, on real processes."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.memory.run import run_seed
from gladelane.lab.memory.scene import Deployment

DURATION_S = 6.0


@pytest.mark.parametrize("seed", [1, 3, 5])
def test_soak_exceeds_no_memory_limit_and_breaks_no_promise(
    tmp_path_factory: pytest.TempPathFactory, seed: int
) -> None:
    deployment = Deployment.build(tmp_path_factory.mktemp("deployment"))
    result = asyncio.run(run_seed(deployment, seed, DURATION_S))
    assert result.problems == [], result.floods
    assert result.served > 0
