"""The command line of the soak test, and its report."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path

from benchmarks import conclude
from gladelane.lab.memory.scene import Deployment

from .run import Result, run_seed

DURATION_S, QUICK_DURATION_S = 12.0, 5.0
AT_A_TIME = 3


def run_in_process(deployment: Deployment, seed: int, duration_s: float) -> Result:
    """Runs one seed in an event loop of its own."""
    return asyncio.run(run_seed(deployment, seed, duration_s))


def main() -> int:
    """Runs the seeds and returns the exit code."""
    parser = argparse.ArgumentParser(prog="benchmarks.memory")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=50, help="the number of seeds")
    parser.add_argument("--at-a-time", type=int, default=AT_A_TIME, help="runs at the same time")
    parser.add_argument("--quick", action="store_true", help="two seeds, shorter")
    options = parser.parse_args()
    seeds = range(options.first, options.first + (2 if options.quick else options.seeds))
    duration_s = QUICK_DURATION_S if options.quick else DURATION_S
    results: list[Result] = []
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment.build(Path(folder))
        with ProcessPoolExecutor(options.at_a_time) as executor:
            runs = [executor.submit(run_in_process, deployment, seed, duration_s) for seed in seeds]
            for run in runs:
                results.append(run.result())
                print(asdict(results[-1]), flush=True)
    figures = {
        "seeds": len(results),
        "seeds_with_problems": [result.seed for result in results if result.problems],
        "seeds_that_return_slowly": [result.seed for result in results if result.returns_slowly],
        "highest_share_of_limit": round(max(result.peak_mb / result.memory_mb for result in results), 3),
        "served": sum(result.served for result in results),
        "requests": sum(result.requests for result in results),
        "kills": sum(result.kills for result in results),
    }
    problems = [f"seed {result.seed}: {problem}" for result in results for problem in result.problems[:5]]
    return conclude(figures, problems)


if __name__ == "__main__":
    sys.exit(main())
