"""How far the control servers have replicated the reports of directors, according to the servers."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping

from ...control_plane.http import HttpStatusError, fetch
from .fleet import TOKEN
from .process import FleetProcess

Positions = Mapping[tuple[str, int], int]  # by director and start: the last interval without a gap before it


async def positions_at(control_server: FleetProcess) -> Positions | None:
    """The positions of a control server; None if it does not reply."""
    try:
        answer = await fetch("127.0.0.1", control_server.port, "GET", "/fleet/marks", TOKEN)
        return {
            (director, start): last_number
            for director, start, last_number in json.loads(answer).get("marks", [])
        }
    except (OSError, HttpStatusError, TimeoutError):
        return None


def has_reached(positions: Positions | None, required: Iterable[Positions | None]) -> bool:
    """Whether a control server has everything that others had; those without a reply are None."""
    if positions is None:
        return False
    return all(
        positions.get(run_id, -1) >= last_number
        for others in required
        if others is not None
        for run_id, last_number in others.items()
    )
