"""The command line of the benchmark, and its report."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

from benchmarks import conclude

from .allowances import ALLOWANCES, SERVED_LEAST
from .day import play_day
from .fake_fleet import LARGE, SMALL


async def run(quick: bool) -> int:
    """Plays both sizes and reports; the exit code."""
    small = await play_day(SMALL, quick)
    print(SMALL, small, flush=True)
    large = await play_day(LARGE, quick)
    print(LARGE, large, flush=True)
    ratios = {
        name: allowance.ratio(getattr(small, name), getattr(large, name), LARGE)
        for name, allowance in ALLOWANCES.items()
    }
    served = large.served / max(small.served, 1e-9)
    figures: dict[str, Any] = {"quick": quick, "caches": [SMALL, LARGE]}
    figures |= {f"{name}_ratio": round(ratio, 3) for name, ratio in ratios.items()}
    figures["served_ratio"] = round(served, 3)
    over = [name for name, ratio in ratios.items() if ratio > ALLOWANCES[name].times]
    return conclude(figures, over + ["served"] * (served < SERVED_LEAST))


def main() -> int:
    """The exit code."""
    return asyncio.run(run("--quick" in sys.argv[1:]))


if __name__ == "__main__":
    sys.exit(main())
