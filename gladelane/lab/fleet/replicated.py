"""How far control servers have stored what directors reported, as they say themselves."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from ...control_plane.http import HttpStatusError, fetch
from .fleet import TOKEN
from .process import FleetProcess

Positions = Mapping[
    tuple[str, int], int
]  # by director and start: the last interval up to which all are there


async def positions_at(control_server: FleetProcess) -> Positions | None:
    """None: it does not answer."""
    try:
        answer = await fetch("127.0.0.1", control_server.port, "GET", "/fleet/marks", TOKEN)
        return {(director, start): upto for director, start, upto in json.loads(answer).get("marks", [])}
    except (OSError, HttpStatusError, TimeoutError):
        return None


def reach(positions: Positions | None, wanted: Iterable[Positions | None]) -> bool:
    """Whether a control server has all that others had, of which some may not have answered."""
    if positions is None:
        return False
    return all(
        positions.get(run_id, -1) >= upto
        for others in wanted
        if others is not None
        for run_id, upto in others.items()
    )
