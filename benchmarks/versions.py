"""Upgrades a director between two versions of the program, in both directions, under load.

`python -m benchmarks.versions --program FOLDER [--quick]`: FOLDER is a checkout of the other version. In each
round a process of one version serves, one of the other version starts beside it, an operator's order to the
new process has to reach both, and the old process gets SIGTERM. Exits with 1 if a request was lost, an order
did not arrive, the listening socket was not handed over, or the old process did not exit with 0.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import conclude
from benchmarks.operations.site import Site
from gladelane.lab.processes import ROOT, Load, Processes

ROUNDS, QUICK_ROUNDS = 5, 2
LOAD_S = 0.5
EXIT_TIMEOUT_S = 8.0  # until a process has ended after SIGTERM
ORDER_TIMEOUT_S = 2.0  # until an order has reached the other process
HANDED_OVER_LOG_TEXT = "has the listening socket"


@dataclass
class Direction:
    """The results of the upgrades in one direction."""

    rounds: int = 0
    served: int = 0
    refused: int = 0
    crossed: int = 0
    broken: list[str] = field(default_factory=list)

    def figures(self) -> dict[str, Any]:
        """Returns the figures under the names of the report."""
        return {
            "rounds": self.rounds,
            "served": self.served,
            "refused": self.refused,
            "crossed": self.crossed,
            "broken": len(self.broken),
        }


async def upgrade_once(folder: Path, first: Path, second: Path, measured: Direction) -> None:
    """Starts a process of version `first` and replaces it by one of version `second`."""
    site = Site()
    director = await site.start(folder, first)
    load = Load(director.port, classes=site.class_names)
    try:
        await asyncio.sleep(LOAD_S)
        await director.start(program=second)
        await director.serving()
        if not await order_reaches_both(director):
            measured.broken.append("an order at the new process did not reach the old one")
        director.all[0].send_signal(signal.SIGTERM)
        status = await asyncio.wait_for(director.all[0].wait(), EXIT_TIMEOUT_S)
        if status != 0:
            measured.broken.append(f"the old process ended with {status}")
        if HANDED_OVER_LOG_TEXT not in director.log(0):
            measured.broken.append("the listening socket was not handed over")
        served_before = load.served
        await asyncio.sleep(LOAD_S)
        if load.served == served_before:
            measured.broken.append("nothing was served after the upgrade")
    finally:
        await load.stop()
        await director.end()
        await site.close()
    measured.rounds += 1
    measured.served += load.served
    measured.refused += load.refused
    measured.crossed += load.crossed
    measured.broken += [f"lost {text}" for text in load.lost]


async def order_reaches_both(director: Processes) -> bool:
    """Takes a cache out of service at the newest process; returns whether both processes report it."""
    await director.call("POST", "/caches/cache-0/maint")
    try:
        async with asyncio.timeout(ORDER_TIMEOUT_S):
            for number in (0, 1):
                while (await director.figures(number)).get("hosts_down", 0) != 1:
                    await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True


async def upgrade_both_ways(other: Path, rounds: int) -> dict[str, Direction]:
    """Runs `rounds` upgrades from the other version to this one, and as many back."""
    directions = {"other_to_this": (other, ROOT), "this_to_other": (ROOT, other)}
    measured = {name: Direction() for name in directions}
    for name, (first, second) in directions.items():
        for _ in range(rounds):
            with tempfile.TemporaryDirectory(prefix="gl") as folder:
                await upgrade_once(Path(folder), first, second, measured[name])
    return measured


def main() -> int:
    """Runs the benchmark and returns the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", type=Path, required=True)
    parser.add_argument("--quick", action="store_true")
    options = parser.parse_args()
    measured = uvloop.run(
        upgrade_both_ways(options.program.resolve(), QUICK_ROUNDS if options.quick else ROUNDS)
    )
    broken = [f"{name}: {text}" for name, direction in measured.items() for text in direction.broken]
    return conclude({name: direction.figures() for name, direction in measured.items()}, broken)


if __name__ == "__main__":
    sys.exit(main())
