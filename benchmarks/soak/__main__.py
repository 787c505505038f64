"""The command line of the soak test, and its report."""

from __future__ import annotations

import argparse
import asyncio
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict

from benchmarks import conclude

from .run import Result, run_seed

DURATION_S, QUICK_DURATION_S = 20.0, 8.0
AT_A_TIME = 5


def run_in_process(seed: int, duration_s: float) -> Result:
    """Runs one seed in an event loop of its own."""
    return asyncio.run(run_seed(seed, duration_s))


def main() -> int:
    """Runs the seeds and returns the exit code."""
    parser = argparse.ArgumentParser(prog="benchmarks.soak")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=50, help="the number of seeds")
    parser.add_argument("--at-a-time", type=int, default=AT_A_TIME, help="runs at the same time")
    parser.add_argument("--quick", action="store_true", help="two seeds, shorter")
    options = parser.parse_args()
    seeds = range(options.first, options.first + (2 if options.quick else options.seeds))
    duration_s = QUICK_DURATION_S if options.quick else DURATION_S
    results: list[Result] = []
    with ProcessPoolExecutor(options.at_a_time) as executor:
        for result in executor.map(run_in_process, seeds, [duration_s] * len(seeds)):
            results.append(result)
            print(asdict(result), flush=True)
    figures = {
        "seeds": len(results),
        "seeds_with_problems": [result.seed for result in results if result.problems],
        "calls": sum(result.calls for result in results),
        "kills": sum(result.kills for result in results),
        "slowest_s": round(max(result.slowest_s for result in results), 3),
        "served": sum(result.served for result in results),
    }
    return conclude(figures, [problem for result in results for problem in result.problems[:5]])


if __name__ == "__main__":
    sys.exit(main())
