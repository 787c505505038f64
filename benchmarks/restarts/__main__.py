"""The command line of the benchmark, and its report."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from dataclasses import asdict

from .discovery import DiscoveryState
from .scenario import MIN_READY_SHARE, Scenario, measure

PROCESS_COUNTS, QUICK_PROCESS_COUNTS = (10, 50, 200), (10, 50)


async def run(quick: bool) -> int:
    """Runs all scenarios, one after the other, prints the report, and returns the exit code."""
    kinds = [(state, False) for state in DiscoveryState] + [(DiscoveryState.UP, True)]
    results = []
    for count in QUICK_PROCESS_COUNTS if quick else PROCESS_COUNTS:
        for state, killed in kinds:
            results.append(await measure(Scenario(count, state, killed)))
            print(json.dumps(asdict(results[-1])), flush=True)
    failed = sum(result.ended > 0 or result.in_time < MIN_READY_SHARE for result in results)
    rows = [asdict(result) for result in results]
    print(json.dumps({"cores": os.cpu_count(), "failed": failed, "results": rows}))
    return 1 if failed else 0


def main() -> int:
    """Runs the benchmark and returns the exit code."""
    return asyncio.run(run("--quick" in sys.argv[1:]))


if __name__ == "__main__":
    sys.exit(main())
