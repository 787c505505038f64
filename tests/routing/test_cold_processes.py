"""Real directors before one real server that has just started."""

import asyncio
from pathlib import Path

import pytest

from gladelane.lab.cold import Server
from gladelane.lab.fleet.cold import Plan, play


@pytest.mark.parametrize("server", list(Server))
def test_directors_that_are_told_and_asked_in_one_moment_do_not_push_it_over(
    tmp_path: Path, server: Server
) -> None:
    # Eight directors that had each saved up for a request sent all eight at once, where five are borne. What
    # they send now is half a request on average, in all: no stall of the machine can crowd it into too many.
    plan = Plan(server, 8, requests=1.0, window_ms=100.0, warm_ms=60_000.0, idle_s=3.0)
    measured = asyncio.run(play(tmp_path, plan, seed=1))
    assert measured.over <= 0.0, measured
