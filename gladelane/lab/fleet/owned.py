"""Who owned what in a run, by the keepers' own answers and by the servers' books of orders."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter, defaultdict
from contextlib import suppress
from typing import NamedTuple

from ...control.http import Refused, fetch
from .fleet import TOKEN, Fleet
from .load import Load

LOOK_S = 0.05
SERVERS = ("cache-0", "cache-1", "cache-2", "cache-3", "depot")  # that take orders here


class Look(NamedTuple):
    """What one keeper said at a moment: work -> (holder, number) where a lease runs there; numbers: of all
    works."""

    at: float
    keeper: int
    held: dict[str, tuple[str, int]]
    numbers: dict[str, int]


class Watch:
    """Asks all keepers all the while."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.looks: list[Look] = []
        self._tasks = [asyncio.create_task(self._look(number)) for number in range(len(fleet.feeds))]

    async def _look(self, number: int) -> None:
        while True:
            with suppress(OSError, Refused, TimeoutError, ValueError):
                port = self.fleet.feeds[number].port
                told = json.loads(await fetch("127.0.0.1", port, "GET", "/leases", TOKEN, within_s=0.5))
                held = {o["work"]: (o["holder"], o["number"]) for o in told["owners"] if o["holder"]}
                numbers = {o["work"]: o["number"] for o in told["owners"]}
                self.looks.append(Look(time.time(), number, held, numbers))
            await asyncio.sleep(LOOK_S)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- what it came to

    def owners(self) -> dict[str, list[tuple[float, str, int]]]:
        """By work: each owner that a majority of keepers had granted, from when that was seen."""
        latest: dict[int, Look] = {}
        found: dict[str, list[tuple[float, str, int]]] = defaultdict(list)
        for look in sorted(self.looks):
            latest[look.keeper] = look
            votes: dict[str, Counter[tuple[str, int]]] = defaultdict(Counter)
            for one in latest.values():
                for work, grant in one.held.items():
                    votes[work][grant] += 1
            for work, counted in votes.items():
                (holder, number), count = counted.most_common(1)[0]
                if 2 * count > len(self.fleet.feeds) and (not found[work] or found[work][-1][2] < number):
                    found[work].append((look.at, holder, number))
        return found

    def held_now(self) -> int:
        """Works that a majority of keepers says are held, by what each said last."""
        latest = {look.keeper: look for look in sorted(self.looks)}
        votes = Counter((work, grant) for look in latest.values() for work, grant in look.held.items())
        return sum(2 * count > len(self.fleet.feeds) for count in votes.values())

    def reused(self) -> list[str]:
        """Numbers that two had, and numbers of a keeper that fell."""
        wrong: list[str] = []
        by: dict[tuple[str, int], dict[str, set[int]]] = defaultdict(lambda: defaultdict(set))
        for look in sorted(self.looks):
            for work, (holder, number) in look.held.items():
                by[work, number][holder].add(look.keeper)
        for (work, number), holders in by.items():
            # candidates that claim one number at once part the keepers: that is no fault
            many = [keepers for keepers in holders.values() if 2 * len(keepers) > len(self.fleet.feeds)]
            granted = [keeper for keepers in holders.values() for keeper in keepers]
            if len(many) > 1 or len(granted) > len(set(granted)):
                wrong.append(f"{work} {number}: {dict(holders)}")
        for work, told in self.owners().items():
            numbers = [number for _, _, number in told]
            if numbers != sorted(set(numbers)):
                wrong.append(f"{work}: {numbers}")
        return wrong

    def gaps(self, ended: float, holders: set[str]) -> list[float]:
        """For each work that one of these had when they ended: seconds until another had it."""
        found = []
        for told in self.owners().values():
            before = [one for one in told if one[0] <= ended]
            after = [one for one in told if one[0] > ended]
            if before and before[-1][1] in holders:
                found.append(after[0][0] - ended if after else float("inf"))
        return found


def orders(fleet: Fleet, load: Load) -> tuple[float, int]:
    """How often a purge was ordered at a server, on the mean; and (purge, server) pairs that never were."""
    counts: Counter[tuple[str, str]] = Counter()
    for server, _, order in fleet.world.orders:
        counts[server, order.partition(" ")[0]] += 1
    wanted = [(server, f"{purge.at_ms:.3f}") for purge in load.purges for server in SERVERS]
    total = sum(counts[pair] for pair in wanted)
    return total / max(len(wanted), 1), sum(not counts[pair] for pair in wanted)


async def ordered(fleet: Fleet, load: Load, within_s: float = 12.0) -> None:
    """Until every purge was ordered at every server; an owner that comes late is no owner that loses."""
    until = time.monotonic() + within_s
    while orders(fleet, load)[1] and time.monotonic() < until:
        await asyncio.sleep(0.2)


async def settled(watch: Watch, shards: int, within_s: float = 8.0) -> bool:
    """Whether every shard has an owner."""
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        if len(watch.owners()) == shards:
            return True
        await asyncio.sleep(0.1)
    return False
