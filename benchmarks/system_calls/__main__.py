"""The command line of the benchmark, and its report."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import conclude
from gladelane.lab.preload.build import compile_library

from . import FAULT_LONG_S, FAULT_S
from .cases import Case, matrix
from .lanes import Lanes
from .planted import PLANTED_FAULTS, run_planted_faults
from .tally import Tally


async def measure(quick: bool, only: str) -> tuple[dict[str, Any], list[str]]:
    """Runs all cases and planted faults; returns the figures and the broken rules."""
    fault_s = FAULT_S if quick else FAULT_LONG_S
    cases = [case for case in matrix(quick) if only in case.name]
    with tempfile.TemporaryDirectory(prefix="calls") as folder:
        library = compile_library("syscalls", Path(folder))
        lanes = Lanes(library, fault_s)
        missed: list[str] = []

        async def run_planted() -> None:
            if not only:
                missed.extend(await run_planted_faults(library, fault_s))

        await asyncio.gather(lanes.run(cases), run_planted())
    broken = [*lanes.tally.broken, *(f"planted and missed: {name}" for name in missed)]
    return figures_of(cases, lanes.tally, 0 if only else len(PLANTED_FAULTS), len(missed)), broken


def figures_of(cases: list[Case], tally: Tally, planted: int, missed: int) -> dict[str, Any]:
    """Returns the figures under the names of the report."""
    return {
        "sites": len({case.site.name for case in cases}),
        "errnos": len({case.error for case in cases}),
        "cases": tally.cases,
        **tally.figures,
        "stuck_after_ms_max": round(tally.stuck_after_ms_max),
        "slowest": tally.slowest,
        "planted": planted,
        "planted_caught": planted - missed,
    }


def main() -> int:
    """Runs the benchmark; `--only TEXT` selects the cases whose names contain the text."""
    argv = sys.argv[1:]
    only = argv[argv.index("--only") + 1] if "--only" in argv else ""
    figures, broken = uvloop.run(measure("--quick" in argv, only))
    return conclude(figures, broken)


if __name__ == "__main__":
    sys.exit(main())
