"""Checks that each shard has one owner at a time while owners and lease servers are killed and paused.

The checks compare the answers of the lease servers with the orders that servers recorded.
`python -m benchmarks.ownership [--quick]` runs directors and three control servers, which are also the lease
servers, as processes (`lab/fleet`). Exits with 1 if a fencing token was granted to two owners, an order was
lost, a new owner came too late, or the search of the lease state machine finds a fault or misses a planted
one. Jobs, rollouts and effects with a fencing token of their own (issue 24) are not measured yet.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from benchmarks import conclude
from benchmarks.planted_searches import PlantedSearches, SearchResult
from gladelane.lab.fleet.audit_comparison import p99
from gladelane.lab.fleet.faults import Step, parse_schedule
from gladelane.lab.fleet.fleet import Fleet
from gladelane.lab.fleet.lease_watch import LeaseWatch, count_orders, wait_for_orders, wait_for_owners
from gladelane.lab.fleet.load import Load
from gladelane.lab.fleet.schedule_run import memory_folder
from gladelane.lab.fleet.shape import Shape
from gladelane.lab.fleet.world import World
from gladelane.lab.leases import InjectedFault, explore

LEASE_MS = 1_000.0
SHARDS = 16
LEASE_SERVERS = 3
DIRECTORS, QUICK_DIRECTORS = 12, 6
ROUNDS, QUICK_ROUNDS = 40, 5
ROUND_S = 2.5
ROUNDS_PER_LEASE_SERVER_FAULT = 4  # in one of this many rounds a lease server is killed too
FINAL_ORDERS_S = 1.5
PLANTED_STEPS, CLEAN_STEPS, QUICK_CLEAN_STEPS = 4, 4, 3  # depth of the search
MAX_SUCCESSION_MS = 1_000.0  # from the end of a lease to the next owner
MAX_ORDERS, MIN_ORDERS_WITHOUT_OWNERS = 2.0, 3.0  # mean for each purge and server


class FaultRound(NamedTuple):
    """The faults of a round.

    `is_plain` says that no lease server restarts in the round: only then can gaps be measured.
    """

    steps: list[Step]
    victims: list[int]
    is_plain: bool


@dataclass
class RunFigures:
    """The results of a run.

    `gaps_s` has the times for which shards had no owner, `mean_orders` the mean for each purge and server.
    """

    changes: int = 0
    faults: int = 0
    gaps_s: list[float] = field(default_factory=list)
    mean_orders: float = 0.0
    missing_orders: int = 0
    reused_tokens: int = 0
    effects: int = 0


def draw_round(number: int, directors: int, rng: random.Random) -> FaultRound:
    """Draws the faults of a round: a third of the directors, and in every fourth round a lease server."""
    victims = rng.sample(range(directors), max(directors // 3, 1))
    signal_name, duration = rng.choice((("kill", "for 3"), ("stop", "for 3"), ("term", "for 3")))
    lines = [f"0 {signal_name} directors:{victim} {duration}" for victim in victims]
    is_plain = number % ROUNDS_PER_LEASE_SERVER_FAULT != ROUNDS_PER_LEASE_SERVER_FAULT - 1
    if not is_plain:
        lines.append(f"0 kill feeds:{rng.randrange(LEASE_SERVERS)} {rng.choice(('empty', 'kept'))}")
    counts = {"directors": directors, "feeds": LEASE_SERVERS}
    return FaultRound(parse_schedule("; ".join(lines), counts, rng), victims, is_plain)


async def run_fleet(directors: int, rounds: int, with_owners: bool) -> RunFigures:
    """Starts a fleet, runs the rounds while purges are sent, and stops the fleet."""
    with tempfile.TemporaryDirectory(prefix="gl", dir=memory_folder()) as name:
        world = World()
        shape = Shape(directors, LEASE_SERVERS, 1, owners=with_owners, lease_ms=LEASE_MS, shards=SHARDS)
        fleet = Fleet(Path(name), world, shape, random.Random(8))
        try:
            await world.start()
            await fleet.start()
            figures = await _run_on_fleet(fleet, rounds, with_owners)
        finally:
            await fleet.close()
            await world.close()
    figures.effects = len(world.orders)
    return figures


async def _run_on_fleet(fleet: Fleet, rounds: int, with_owners: bool) -> RunFigures:
    figures, rng = RunFigures(), random.Random(7)
    load, watch = Load(fleet, random.Random(9)), LeaseWatch(fleet)
    if with_owners and not await wait_for_owners(watch, SHARDS):
        raise RuntimeError("not every shard got an owner in time")
    purging = asyncio.create_task(load.purge(4 * rounds + 5, ROUND_S * rounds + 1.0))
    for number in range(rounds):
        fault_round = draw_round(number, len(fleet.directors), rng)
        figures.faults += len(fault_round.steps)
        figures.gaps_s += await _run_round(fleet, watch, fault_round)
    await purging
    await wait_for_orders(fleet, load)
    await asyncio.sleep(FINAL_ORDERS_S)
    figures.mean_orders, figures.missing_orders = count_orders(fleet, load)
    figures.changes = sum(len(owners_of_shard) for owners_of_shard in watch.owners().values())
    figures.reused_tokens = len(watch.find_reused_numbers())
    await watch.stop()
    return figures


async def _run_round(fleet: Fleet, watch: LeaseWatch, fault_round: FaultRound) -> Sequence[float]:
    """Runs a round and returns for how many seconds the shards of the victims had no owner."""
    started_s = time.time()
    fault_tasks = [asyncio.create_task(fleet.inject(step)) for step in fault_round.steps]
    await asyncio.sleep(ROUND_S)
    gaps_s: Sequence[float] = ()
    if fault_round.is_plain:
        gaps_s = watch.succession_times_s(started_s, {f"director-{victim}" for victim in fault_round.victims})
    await asyncio.gather(*fault_tasks)
    return gaps_s


def start_searches(quick: bool) -> PlantedSearches[int | str]:
    """Starts the searches of the lease state machine, which go on beside the runs."""
    planted = {
        plant.name: partial(explore, plant, PLANTED_STEPS, int(plant is InjectedFault.FORGETS))
        for plant in InjectedFault
        if plant is not InjectedFault.NONE
    }
    steps = QUICK_CLEAN_STEPS if quick else CLEAN_STEPS
    return PlantedSearches(partial(explore, InjectedFault.NONE, steps, 0), planted)


def report(
    quick: bool, run: RunFigures, without_owners: RunFigures, found: SearchResult[int | str]
) -> dict[str, Any]:
    """Returns the figures under the names of the report."""
    return {
        "quick": quick,
        "lease_ms": LEASE_MS,
        "changes": run.changes,
        "faults": run.faults,
        "effects": run.effects,
        "numbers_reused": run.reused_tokens,
        "steps_lost": run.missing_orders,
        "gaps": len(run.gaps_s),
        "gap_ms_p99": round(p99(run.gaps_s) * 1000.0),
        "gap_ms_max": round(max(run.gaps_s, default=0.0) * 1000.0),
        "orders_per_purge_and_server": round(run.mean_orders, 2),
        "orders_per_purge_and_server_before": round(without_owners.mean_orders, 2),
        "states_explored": found.clean,
        "planted": found.planted,
        "planted_caught": found.caught,
    }


def main() -> int:
    """Runs the benchmark and returns the exit code."""
    quick = "--quick" in sys.argv
    searches = start_searches(quick)
    directors = QUICK_DIRECTORS if quick else DIRECTORS
    run = uvloop.run(run_fleet(directors, QUICK_ROUNDS if quick else ROUNDS, True))
    without_owners = uvloop.run(run_fleet(directors, 0, False))
    found = searches.result()
    figures = report(quick, run, without_owners, found)
    broken = {
        "numbers reused": run.reused_tokens > 0,
        "steps lost": run.missing_orders > 0,
        "a successor came late": not run.gaps_s or figures["gap_ms_p99"] > LEASE_MS + MAX_SUCCESSION_MS,
        "orders": run.mean_orders > MAX_ORDERS or without_owners.mean_orders < MIN_ORDERS_WITHOUT_OWNERS,
        "search": isinstance(found.clean, str) or found.misses_any,
    }
    return conclude(figures, (name for name, is_broken in broken.items() if is_broken))


if __name__ == "__main__":
    sys.exit(main())
