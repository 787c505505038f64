"""A day of a fleet of real processes, as benchmarks list them."""

from __future__ import annotations

from typing import NamedTuple

from gladelane.lab.fleet.shape import Shape


class Day(NamedTuple):
    """A line of faults (see lab/fleet/faults.py), the fleet that it strikes, and how long it is played.
    `purges` are those of the warm-up."""

    name: str
    line: str
    shape: Shape
    seconds: float
    purges: int = 0
