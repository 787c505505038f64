"""A server that has just started, under the sum of what all directors send it.

`python -m benchmarks.cold [--quick] [--program FOLDER]`: the simulation of `lab/cold.py` for 1 to 2,300
directors, whole routers for 1 to 30, then 30 real processes (`--quick`: 10) before a cache and a hub. For
each size the largest sum in any window less what is borne of N (N + 2 √N + 2, or N + 3 √N + 3 for N under
30; `over`), the largest sum over that (`ratio`), and how much of what the server may be sent was left unused.
Exits with 1 if a server would have fallen over.
--program: only the processes, of the version of the program that lies there.
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
REQUESTS = (1.0, 2.0, 6.0, 20.0, 80.0)  # N when the server starts
SEEDS, QUICK_SEEDS = range(6), range(1)
WORKERS = 4
PROCESSES, QUICK_PROCESSES = 30, 10
PROCESS_SEEDS, QUICK_PROCESS_SEEDS = range(5), range(1)
FLOOD = "told at once"  # the run with much more demand than the server can take: what is unused there is lost


ROUTER_SIZES = (1, 2, 5, 10, 20, 30)
ROUTER_REQUESTS, ROUTER_SEEDS, QUICK_ROUTER_SEEDS = (2.0, 6.0, 20.0), range(2), range(1)


def summary(played: list[tuple[Case, Measured]]) -> dict[str, Any]:
    """The figures of one size, by the names of the report."""
    fallen = [case for case, measured in played if measured.over > 0.0]
    flooded = [measured.used for case, measured in played if case.name == FLOOD]
    low = [measured.used / case.demand for case, measured in played if case.demand < 1.0]
    return {
        "runs": len(played),
        "fallen": len(fallen),
        "over": round(max(measured.over for _, measured in played), 2),
        "ratio": round(max(measured.ratio for _, measured in played), 3),
        "unused": round(1.0 - sum(flooded) / len(flooded), 3),
        "served_of_low_demand": round(sum(low) / len(low), 3),
    }


def simulate(seeds: range) -> dict[str, Any]:
    """By the number of directors, and the fallen of all sizes by the kind of run."""
    sizes, kinds = {}, dict[str, int]()
    with ProcessPoolExecutor(WORKERS) as pool:
        for directors in SIZES:
            todo = cases(directors, REQUESTS, seeds)
            played = list(zip(todo, pool.map(play, todo, chunksize=8), strict=True))
            sizes[str(directors)] = summary(played)
            for case, measured in played:
                if measured.over > 0.0:
                    name = f"{case.name}, {case.server.value}"
                    kinds[name] = kinds.get(name, 0) + 1
            print(f"{directors:5d} directors: {sizes[str(directors)]}", flush=True)
    return {"sizes": sizes, "fallen_by_kind": kinds}


def with_routers(seeds: range) -> dict[str, Any]:
    """Whole routers, with their further attempts and second copies."""
    figures = {}
    with ProcessPoolExecutor(WORKERS) as pool:
        for directors in ROUTER_SIZES:
            planned = cases(directors, ROUTER_REQUESTS, seeds)
            todo = [case for case in planned if not case.beside and not case.restarted]
            played = list(zip(todo, pool.map(play_routers, todo, chunksize=4), strict=True))
            figures[str(directors)] = summary(played)
            print(f"{directors:5d} routers: {figures[str(directors)]}", flush=True)
    return figures


async def with_processes(directors: int, seeds: range, program: Path | None) -> dict[str, Any]:
    """Told at once, asked once, idle, asked twice at once, then flooded until the server is warm."""
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
    """The exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--program", type=Path)
    options = parser.parse_args()
    figures: dict[str, Any] = {}
    if options.program is None:
        figures |= simulate(QUICK_SEEDS if options.quick else SEEDS)
        figures["routers"] = with_routers(QUICK_ROUTER_SEEDS if options.quick else ROUTER_SEEDS)
    directors = QUICK_PROCESSES if options.quick else PROCESSES
    seeds = QUICK_PROCESS_SEEDS if options.quick else PROCESS_SEEDS
    figures["processes"] = uvloop.run(with_processes(directors, seeds, options.program))
    simulated = [*figures.get("sizes", {}).values(), *figures.get("routers", {}).values()]
    fallen = sum(size["fallen"] for size in simulated)
    fallen += sum(figures["processes"][server.value]["fallen"] for server in Server)
    return conclude(figures, [f"{fallen} servers fell over"] if fallen else [])


if __name__ == "__main__":
    sys.exit(main())
