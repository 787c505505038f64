"""Measures whether the requests of all directors together overload a server that has just started.

`python -m benchmarks.cold [--quick] [--program FOLDER]` runs the simulation of `lab/cold.py` for 1 to 2,300
directors, whole routers for 1 to 30, then 30 real processes (`--quick`: 10) in front of a cache and a hub. If
a server may be sent N requests in a window, it tolerates N + 2 √N + 2 of them (N + 3 √N + 3 for N under 30).
The report has for each size the largest excess over that limit in any window (`over`), the largest ratio of
requests to the limit (`ratio`), and the share of the allowed requests that was not used (`unused`). Exits
with 1 if a server would have been overloaded.

`--program` runs only the processes, with the version of the program in that folder.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import conclude
from gladelane.lab.cold import Case, Measured, Server, cases, play
from gladelane.lab.cold_routers import play as play_routers
from gladelane.lab.fleet.cold import Plan
from gladelane.lab.fleet.cold import play as play_processes
from gladelane.lab.fleet.schedule_run import memory_folder

SIZES = (1, 2, 5, 10, 20, 30, 100, 400, 1000, 2300)
ALLOWED_REQUESTS = (1.0, 2.0, 6.0, 20.0, 80.0)  # N at the start of the server
SEEDS, QUICK_SEEDS = range(6), range(1)
WORKERS = 4
PROCESSES, QUICK_PROCESSES = 30, 10
PROCESS_SEEDS, QUICK_PROCESS_SEEDS = range(5), range(1)
# In this case the demand far exceeds what the server may be sent, so that unused capacity is a loss.
FLOOD_CASE = "told at once"


ROUTER_SIZES = (1, 2, 5, 10, 20, 30)
ROUTER_REQUESTS, ROUTER_SEEDS, QUICK_ROUTER_SEEDS = (2.0, 6.0, 20.0), range(2), range(1)


def summarise(results: list[tuple[Case, Measured]]) -> dict[str, Any]:
    """Returns the figures of one size under the names of the report."""
    overloaded = [case for case, measured in results if measured.over > 0.0]
    used_under_flood = [measured.used for case, measured in results if case.name == FLOOD_CASE]
    served_shares = [measured.used / case.demand for case, measured in results if case.demand < 1.0]
    return {
        "runs": len(results),
        "fallen": len(overloaded),
        "over": round(max(measured.over for _, measured in results), 2),
        "ratio": round(max(measured.ratio for _, measured in results), 3),
        "unused": round(1.0 - sum(used_under_flood) / len(used_under_flood), 3),
        "served_of_low_demand": round(sum(served_shares) / len(served_shares), 3),
    }


def simulate(seeds: range) -> dict[str, Any]:
    """Returns the figures by number of directors, and the overloads of all sizes by the kind of case."""
    sizes, overloads_by_kind = {}, dict[str, int]()
    with ProcessPoolExecutor(WORKERS) as pool:
        for directors in SIZES:
            planned_cases = cases(directors, ALLOWED_REQUESTS, seeds)
            results = list(zip(planned_cases, pool.map(play, planned_cases, chunksize=8), strict=True))
            sizes[str(directors)] = summarise(results)
            for case, measured in results:
                if measured.over > 0.0:
                    name = f"{case.name}, {case.server.value}"
                    overloads_by_kind[name] = overloads_by_kind.get(name, 0) + 1
            print(f"{directors:5d} directors: {sizes[str(directors)]}", flush=True)
    return {"sizes": sizes, "fallen_by_kind": overloads_by_kind}


def run_routers(seeds: range) -> dict[str, Any]:
    """Runs whole routers, which also send further attempts and second copies."""
    figures = {}
    with ProcessPoolExecutor(WORKERS) as pool:
        for directors in ROUTER_SIZES:
            planned = cases(directors, ROUTER_REQUESTS, seeds)
            planned_cases = [case for case in planned if not case.beside and not case.restarted]
            results = list(
                zip(planned_cases, pool.map(play_routers, planned_cases, chunksize=4), strict=True)
            )
            figures[str(directors)] = summarise(results)
            print(f"{directors:5d} routers: {figures[str(directors)]}", flush=True)
    return figures


async def run_processes(directors: int, seeds: range, program: Path | None) -> dict[str, Any]:
    """Runs real processes and returns the figures for each kind of server.

    All directors are notified of the server at once. Each sends one request, is idle, sends two at once, and
    then sends more requests than allowed until the server is warm.
    """
    figures = {}
    for server in Server:
        plan = Plan(server, directors, 6.0, 1000.0, 12_000.0, idle_s=3.0, at_once=2, per_s=4.0, flood_s=8.0)
        runs: list[Measured] = []
        for seed in seeds:
            with tempfile.TemporaryDirectory(prefix="gl", dir=memory_folder()) as folder:
                runs.append(await play_processes(Path(folder), plan, seed, program))
            print(f"{directors} processes, {server.value}, seed {seed}: {runs[-1]}", flush=True)
        figures[server.value] = {
            "runs": len(runs),
            "fallen": sum(run.over > 0.0 for run in runs),
            "over": round(max(run.over for run in runs), 2),
            "ratio": round(max(run.ratio for run in runs), 3),
            "unused": round(1.0 - sum(run.used for run in runs) / len(runs), 3),
        }
    return {"directors": directors, **figures}


def main() -> int:
    """Runs the benchmark and returns the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--program", type=Path)
    options = parser.parse_args()
    figures: dict[str, Any] = {}
    if options.program is None:
        figures |= simulate(QUICK_SEEDS if options.quick else SEEDS)
        figures["routers"] = run_routers(QUICK_ROUTER_SEEDS if options.quick else ROUTER_SEEDS)
    directors = QUICK_PROCESSES if options.quick else PROCESSES
    seeds = QUICK_PROCESS_SEEDS if options.quick else PROCESS_SEEDS
    figures["processes"] = uvloop.run(run_processes(directors, seeds, options.program))
    simulated = [*figures.get("sizes", {}).values(), *figures.get("routers", {}).values()]
    overloaded = sum(size["fallen"] for size in simulated)
    overloaded += sum(figures["processes"][server.value]["fallen"] for server in Server)
    return conclude(figures, [f"{overloaded} servers fell over"] if overloaded else [])


if __name__ == "__main__":
    sys.exit(main())
