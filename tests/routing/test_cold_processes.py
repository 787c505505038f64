"""Slow start with real director processes and one real server that has just started."""

import asyncio
from pathlib import Path

import pytest

from gladelane.lab.cold import Server
from gladelane.lab.fleet.cold import Plan, play


@pytest.mark.parametrize("server", list(Server))
def test_directors_that_are_notified_and_get_requests_at_once_do_not_overload_it(
    tmp_path: Path, server: Server
) -> None:
    """Eight directors that had each accumulated credit for one request sent all eight at once to a server
    that bears five. Now they send half a request on average in total, so that no stall of the machine can
    bunch too many together."""
    plan = Plan(server, 8, requests=1.0, window_ms=100.0, warm_ms=60_000.0, idle_s=3.0)
    measured = asyncio.run(play(tmp_path, plan, seed=1))
    assert measured.over <= 0.0, measured
