"""Runs all scenarios, or a single fault schedule from the command line."""

from __future__ import annotations

import argparse
import os
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import conclude
from gladelane.lab.fleet.schedule_run import run_schedule
from gladelane.lab.fleet.shape import Shape

from .first_restart import run_restart
from .scenarios import KILLED, REQUESTS_PER_S, SEED, scenarios


def run_single_schedule(argv: list[str]) -> int:
    """Runs the fault schedule of `--line`, writes its table and prints its metrics; returns the exit code."""
    parser = argparse.ArgumentParser(prog="benchmarks.comeback")
    parser.add_argument("--line", required=True, help="see lab/fleet/faults.py")
    for name, value in (("seed", 11), ("directors", 12), ("feeds", 2), ("copies", 2), ("purges", 0)):
        parser.add_argument(f"--{name}", type=int, default=value)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--table", type=Path)
    options = parser.parse_args(argv)
    shape = Shape(options.directors, options.feeds, options.copies)
    metrics = uvloop.run(
        run_schedule(
            options.line, shape, options.seed, options.seconds, purges=options.purges, table=options.table
        )
    )
    broken = [name for name in ("stale_strict", "doubles", "lost", "rules_broken") if metrics[name]]
    return conclude(metrics, broken)


def run_scenarios(quick: bool) -> dict[str, dict[str, Any]]:
    """Runs all scenarios and returns the metrics of each, by its name."""
    tables_folder = os.environ.get("GL_TABLES", "")
    runs: dict[str, dict[str, Any]] = {}
    for scenario in scenarios(quick):
        path = Path(tables_folder) / f"{scenario.name.replace(' ', '-')}.jsonl" if tables_folder else None
        if scenario.name == KILLED:
            runs[scenario.name] = run_restart(scenario.schedule, scenario.shape, scenario.seconds, path)
        else:
            runs[scenario.name] = uvloop.run(
                run_schedule(
                    scenario.schedule,
                    scenario.shape,
                    SEED,
                    scenario.seconds,
                    REQUESTS_PER_S,
                    purges=scenario.purges,
                    table=path,
                )
            )
        metrics = {
            name: value for name, value in runs[scenario.name].items() if name not in ("line", "phases")
        }
        print(f"{scenario.name}: {metrics}", flush=True)
    return runs
