"""The command line of the benchmark, and its report."""

from __future__ import annotations

import random
import sys
import tempfile
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import conclude

from .fleet import Fleet
from .places import PLACES
from .play import play


async def measure(quick: bool) -> dict[str, Any]:
    """All places, with cancels and without."""
    figures: dict[str, Any] = {}
    rng = random.Random(9)
    for cancel in (True, False):
        with tempfile.TemporaryDirectory(prefix="leaves") as folder:
            fleet = Fleet(Path(folder), rng)
            director = await fleet.start(cancel)
            try:
                for place in PLACES:
                    name = f"{place.name}, {'cancels' if cancel else 'no cancels'}"
                    figures[name] = await play(place, fleet, director, 40 if quick else 400, print)
            finally:
                await director.end()
                await fleet.close()
    return figures


def main() -> int:
    """The exit code."""
    places = uvloop.run(measure("--quick" in sys.argv[1:]))
    counted = ("leaves", "attempts", "begun_after", "over", "unclear", "whole_over", "unanswered")
    total = {key: sum(found[key] for found in places.values()) for key in counted}
    longest = max(found["longest_ms"] for found in places.values())
    broken = [
        f"{name}: {found[key]} {key}"
        for name, found in places.items()
        for key in ("over", "unclear", "unanswered")
        if found[key]
    ]
    return conclude({**total, "longest_ms": longest, "places": places}, broken)


if __name__ == "__main__":
    sys.exit(main())
