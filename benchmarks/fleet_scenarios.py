"""Scenarios for fleets of real processes."""

from __future__ import annotations

from typing import NamedTuple

from gladelane.lab.fleet.shape import Shape


class Scenario(NamedTuple):
    """A fault schedule (see lab/fleet/faults.py), the fleet that it is run on, and the duration of the run.

    `purges` is the number of purges during the warm-up.
    """

    name: str
    schedule: str
    shape: Shape
    seconds: float
    purges: int = 0
