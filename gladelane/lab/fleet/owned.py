"""Who owned what in a run, by the keepers' own answers and by the servers' books of orders."""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from contextlib import suppress
from typing import NamedTuple

from ...control_plane.http import HttpStatusError, fetch
from ...leases.quorum import majority
from .fleet import TOKEN, Fleet
from .load import Load

LOOK_S = 0.05
PROMPT_S = 0.05  # for an answer to a look; on a still machine one takes a few ms
ANSWER_S = 0.5
FOLLOWED_S = 30.0  # many times what it takes: a machine that is busy is waited for
LOOK_ERRORS = (OSError, HttpStatusError, TimeoutError, ValueError)
SERVERS = ("cache-0", "cache-1", "cache-2", "cache-3", "depot")  # that take orders here


class Look(NamedTuple):
    """What one keeper said at a moment: work -> (holder, number) where a lease runs there; numbers: of all
    works."""

    at: float
    lease_server: int
    granted: dict[str, tuple[str, int]]
    numbers: dict[str, int]


class Call(NamedTuple):
    """From when to when a look took, s of the Unix clock, whether or not it was answered."""

    began: float
    ended: float

    def late_s(self, since: float, until: float) -> float:
        """How much of that time lies past a prompt answer."""
        return max(min(self.ended, until) - max(self.began + PROMPT_S, since), 0.0)


def majority_late_s(calls: Sequence[Sequence[Call]], since: float, until: float) -> float:
    """How long answers were overdue in this time, from the calls to each keeper. A majority of the keepers
    was late by this much at least, so the time is the machine's: one keeper at fault adds nothing."""
    late = sorted(sum(call.late_s(since, until) for call in one) for one in calls)
    return late[-majority(len(late))]


class Watch:
    """Asks all keepers all the while."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.looks: list[Look] = []
        self.calls: list[list[Call]] = [[] for _ in fleet.control_servers]  # by keeper
        self._tasks = [
            asyncio.create_task(self._look(number)) for number in range(len(fleet.control_servers))
        ]

    async def _look(self, number: int) -> None:
        while True:
            began = time.time()
            with suppress(*LOOK_ERRORS):
                self.looks.append(await self._ask(number))
            self.calls[number].append(Call(began, time.time()))
            await asyncio.sleep(LOOK_S)

    async def _ask(self, number: int) -> Look:
        port = self.fleet.control_servers[number].port
        reply = json.loads(await fetch("127.0.0.1", port, "GET", "/leases", TOKEN, within_s=ANSWER_S))
        granted = {o["work"]: (o["holder"], o["number"]) for o in reply["owners"] if o["holder"]}
        numbers = {o["work"]: o["number"] for o in reply["owners"]}
        return Look(time.time(), number, granted, numbers)

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
            latest[look.lease_server] = look
            votes: dict[str, Counter[tuple[str, int]]] = defaultdict(Counter)
            for one in latest.values():
                for work, grant in one.granted.items():
                    votes[work][grant] += 1
            for work, counted in votes.items():
                (holder, number), count = counted.most_common(1)[0]
                if 2 * count > len(self.fleet.control_servers) and (
                    not found[work] or found[work][-1][2] < number
                ):
                    found[work].append((look.at, holder, number))
        return found

    def granted_count(self) -> int:
        """Works that a majority of keepers says are held, by what each said last."""
        return len(self.holders())

    def holders(self) -> dict[str, str]:
        """Who holds each work now: what a majority of keepers says, by what each said last."""
        latest = {look.lease_server: look for look in sorted(self.looks)}
        votes = Counter((work, grant) for look in latest.values() for work, grant in look.granted.items())
        return {
            work: holder
            for (work, (holder, _)), count in votes.items()
            if 2 * count > len(self.fleet.control_servers)
        }

    async def look_now(self) -> None:
        """Asks every keeper until it answers: what `holders` says after that is no older than this call."""
        self.looks += await asyncio.gather(*(self._insist(number) for number in range(len(self.calls))))

    async def _insist(self, number: int) -> Look:
        while True:
            with suppress(*LOOK_ERRORS):
                return await self._ask(number)
            await asyncio.sleep(LOOK_S)

    def reused(self) -> list[str]:
        """Numbers that two had, and numbers of a keeper that fell."""
        wrong: list[str] = []
        by: dict[tuple[str, int], dict[str, set[int]]] = defaultdict(lambda: defaultdict(set))
        for look in sorted(self.looks):
            for work, (holder, number) in look.granted.items():
                by[work, number][holder].add(look.lease_server)
        for (work, number), holders in by.items():
            # candidates that claim one number at once part the keepers: that is no fault
            many = [
                lease_servers
                for lease_servers in holders.values()
                if 2 * len(lease_servers) > len(self.fleet.control_servers)
            ]
            granted = [lease_server for lease_servers in holders.values() for lease_server in lease_servers]
            if len(many) > 1 or len(granted) > len(set(granted)):
                wrong.append(f"{work} {number}: {dict(holders)}")
        for work, owners in self.owners().items():
            numbers = [number for _, _, number in owners]
            if numbers != sorted(set(numbers)):
                wrong.append(f"{work}: {numbers}")
        return wrong

    def gaps(self, ended: float, holders: set[str]) -> list[float]:
        """For each work that one of these had when they ended: seconds until another had it, infinite where
        none has."""
        found = []
        for owners in self.owners().values():
            before = [one for one in owners if one[0] <= ended]
            after = [one for one in owners if one[0] > ended]
            if before and before[-1][1] in holders:
                found.append(after[0][0] - ended if after else math.inf)
        return found


def orders(fleet: Fleet, load: Load) -> tuple[float, int]:
    """How often a purge was ordered at a server, on the mean; and (purge, server) pairs that never were."""
    counts: Counter[tuple[str, str]] = Counter()
    for server, _, order in fleet.world.orders:
        counts[server, order.partition(" ")[0]] += 1
    wanted = [(server, f"{purge.dated_ms:.3f}") for purge in load.purges for server in SERVERS]
    total = sum(counts[pair] for pair in wanted)
    return total / max(len(wanted), 1), sum(not counts[pair] for pair in wanted)


async def followed(watch: Watch, ended: float, holder: str, within_s: float = FOLLOWED_S) -> list[float]:
    """Waits until each work that this one had has another owner: seconds that it took for each, less those in
    which the machine held the keepers up. Raises TimeoutError."""
    async with asyncio.timeout(within_s):
        while math.inf in (gaps := watch.gaps(ended, {holder})):
            await asyncio.sleep(LOOK_S)
    return [gap - majority_late_s(watch.calls, ended, ended + gap) for gap in gaps]


async def ordered(fleet: Fleet, load: Load, within_s: float = 30.0) -> None:
    """Until every purge was ordered at every server; an owner that comes late is no owner that loses."""
    until = time.monotonic() + within_s
    while orders(fleet, load)[1] and time.monotonic() < until:
        await asyncio.sleep(0.2)


async def settled(watch: Watch, shards: int, within_s: float = 30.0) -> bool:
    """Whether every shard has an owner."""
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        if len(watch.owners()) == shards:
            return True
        await asyncio.sleep(0.1)
    return False
