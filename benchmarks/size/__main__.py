"""The command line of the benchmark, and its report."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from benchmarks import conclude

from .allowances import ALLOWANCES, MIN_SERVED_RATIO
from .day import run_day
from .fake_fleet import LARGE_CACHES, SMALL_CACHES


async def run(quick: bool) -> int:
    """Runs both sizes, prints the report, and returns the exit code."""
    small = await run_day(SMALL_CACHES, quick)
    print(SMALL_CACHES, small, flush=True)
    large = await run_day(LARGE_CACHES, quick)
    print(LARGE_CACHES, large, flush=True)
    ratios = {
        name: allowance.ratio(getattr(small, name), getattr(large, name), LARGE_CACHES)
        for name, allowance in ALLOWANCES.items()
    }
    served_ratio = large.served / max(small.served, 1e-9)
    figures: dict[str, Any] = {"quick": quick, "caches": [SMALL_CACHES, LARGE_CACHES]}
    figures |= {f"{name}_ratio": round(ratio, 3) for name, ratio in ratios.items()}
    figures["served_ratio"] = round(served_ratio, 3)
    exceeded = [name for name, ratio in ratios.items() if ratio > ALLOWANCES[name].times]
    return conclude(figures, exceeded + ["served"] * (served_ratio < MIN_SERVED_RATIO))


def main() -> int:
    """Runs the benchmark and returns the exit code."""
    return asyncio.run(run("--quick" in sys.argv[1:]))


if __name__ == "__main__":
    sys.exit(main())
