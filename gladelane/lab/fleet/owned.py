"""The lease holders in a run, from replies of the lease servers and orders at the fake servers."""

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
PROMPT_S = 0.05  # for the reply to a poll, which takes a few ms on an idle machine
ANSWER_S = 0.5
FOLLOWED_S = 30.0  # much longer than needed, for a busy machine
LOOK_ERRORS = (OSError, HttpStatusError, TimeoutError, ValueError)
SERVERS = ("cache-0", "cache-1", "cache-2", "cache-3", "depot")  # that get orders here


class Look(NamedTuple):
    """The reply of a lease server at one time.

    - `granted`: work -> (holder, number) of the leases that are valid there.
    - `numbers`: work -> the last number, of all works.
    """

    at: float
    lease_server: int
    granted: dict[str, tuple[str, int]]
    numbers: dict[str, int]


class Call(NamedTuple):
    """The duration of a poll, with or without a reply. Unix s."""

    began: float
    ended: float

    def late_s(self, since: float, until: float) -> float:
        """How much of the poll in this period exceeds PROMPT_S."""
        return max(min(self.ended, until) - max(self.began + PROMPT_S, since), 0.0)


def majority_late_s(calls: Sequence[Sequence[Call]], since: float, until: float) -> float:
    """How long replies were overdue in this period at a majority of the lease servers.

    Because a majority was late, the machine is the cause; a fault of a single lease server does not count.
    """
    late = sorted(sum(call.late_s(since, until) for call in one) for one in calls)
    return late[-majority(len(late))]


class Watch:
    """Polls all lease servers continuously."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.looks: list[Look] = []
        self.calls: list[list[Call]] = [[] for _ in fleet.control_servers]  # by lease server
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
        """Stops polling."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- results

    def owners(self) -> dict[str, list[tuple[float, str, int]]]:
        """By work: each owner that a majority of lease servers granted, and when this was first seen."""
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
        """The number of works with a holder, by the last replies of a majority of the lease servers."""
        return len(self.holders())

    def holders(self) -> dict[str, str]:
        """The holder of each work, according to the last replies of a majority of the lease servers."""
        latest = {look.lease_server: look for look in sorted(self.looks)}
        votes = Counter((work, grant) for look in latest.values() for work, grant in look.granted.items())
        return {
            work: holder
            for (work, (holder, _)), count in votes.items()
            if 2 * count > len(self.fleet.control_servers)
        }

    async def look_now(self) -> None:
        """Polls every lease server until it replies, so that `holders` is not older than this call."""
        self.looks += await asyncio.gather(*(self._insist(number) for number in range(len(self.calls))))

    async def _insist(self, number: int) -> Look:
        while True:
            with suppress(*LOOK_ERRORS):
                return await self._ask(number)
            await asyncio.sleep(LOOK_S)

    def reused(self) -> list[str]:
        """Violations: numbers with two holders, and numbers that decreased."""
        wrong: list[str] = []
        by: dict[tuple[str, int], dict[str, set[int]]] = defaultdict(lambda: defaultdict(set))
        for look in sorted(self.looks):
            for work, (holder, number) in look.granted.items():
                by[work, number][holder].add(look.lease_server)
        for (work, number), holders in by.items():
            # candidates that request one number at once may split the lease servers; this is no violation
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
        """The time until another holder, for each work of these holders; infinity if there is none yet.

        `ended`: when the holders ended.
        """
        found = []
        for owners in self.owners().values():
            before = [one for one in owners if one[0] <= ended]
            after = [one for one in owners if one[0] > ended]
            if before and before[-1][1] in holders:
                found.append(after[0][0] - ended if after else math.inf)
        return found


def orders(fleet: Fleet, load: Load) -> tuple[float, int]:
    """The mean number of orders per purge and server, and the number of such pairs without an order."""
    counts: Counter[tuple[str, str]] = Counter()
    for server, _, order in fleet.world.orders:
        counts[server, order.partition(" ")[0]] += 1
    wanted = [(server, f"{purge.dated_ms:.3f}") for purge in load.purges for server in SERVERS]
    total = sum(counts[pair] for pair in wanted)
    return total / max(len(wanted), 1), sum(not counts[pair] for pair in wanted)


async def followed(watch: Watch, ended: float, holder: str, within_s: float = FOLLOWED_S) -> list[float]:
    """Waits until each work of an ended holder has another owner. Raises TimeoutError.

    Returns the seconds for each work, without the time in which the machine delayed the lease servers.
    """
    async with asyncio.timeout(within_s):
        while math.inf in (gaps := watch.gaps(ended, {holder})):
            await asyncio.sleep(LOOK_S)
    return [gap - majority_late_s(watch.calls, ended, ended + gap) for gap in gaps]


async def ordered(fleet: Fleet, load: Load, within_s: float = 30.0) -> None:
    """Waits until every purge was ordered at every server, at most `within_s`: a late order is not lost."""
    until = time.monotonic() + within_s
    while orders(fleet, load)[1] and time.monotonic() < until:
        await asyncio.sleep(0.2)


async def settled(watch: Watch, shards: int, within_s: float = 30.0) -> bool:
    """Waits until every shard has an owner, at most `within_s`; returns whether this is so."""
    until = time.monotonic() + within_s
    while time.monotonic() < until:
        if len(watch.owners()) == shards:
            return True
        await asyncio.sleep(0.1)
    return False
