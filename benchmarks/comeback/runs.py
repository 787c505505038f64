"""Plays all days, or a single line of faults for a look."""

from __future__ import annotations

import argparse
import os
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import conclude
from gladelane.lab.fleet.schedule_run import run_schedule
from gladelane.lab.fleet.shape import Shape

from .days import KILLED, RATE, SEED, days
from .first_restart import play_restart


def one_line(argv: list[str]) -> int:
    """A single run by its line, for a look: its table and its metrics."""
    parser = argparse.ArgumentParser(prog="benchmarks.comeback")
    parser.add_argument("--line", required=True, help="see lab/fleet/faults.py")
    for name, value in (("seed", 11), ("directors", 12), ("feeds", 2), ("copies", 2), ("purges", 0)):
        parser.add_argument(f"--{name}", type=int, default=value)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--table", type=Path)
    asked = parser.parse_args(argv)
    shape = Shape(asked.directors, asked.feeds, asked.copies)
    metrics = uvloop.run(
        run_schedule(asked.line, shape, asked.seed, asked.seconds, purges=asked.purges, table=asked.table)
    )
    wrong = [name for name in ("stale_strict", "doubles", "lost", "rules_broken") if metrics[name]]
    return conclude(metrics, wrong)


def play_days(quick: bool) -> dict[str, dict[str, Any]]:
    """The metrics of each day."""
    table = os.environ.get("GL_TABLES", "")
    runs: dict[str, dict[str, Any]] = {}
    for day in days(quick):
        path = Path(table) / f"{day.name.replace(' ', '-')}.jsonl" if table else None
        if day.name == KILLED:
            runs[day.name] = play_restart(day.line, day.shape, day.seconds, path)
        else:
            runs[day.name] = uvloop.run(
                run_schedule(day.line, day.shape, SEED, day.seconds, RATE, purges=day.purges, table=path)
            )
        metrics = {name: value for name, value in runs[day.name].items() if name not in ("line", "phases")}
        print(f"{day.name}: {metrics}", flush=True)
    return runs
