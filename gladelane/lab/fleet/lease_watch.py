"""Observes the lease holders in a run: polls the lease servers, and counts orders at the fake servers."""

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

POLL_INTERVAL_S = 0.05
USUAL_REPLY_S = 0.05  # after which the reply to a poll is late; it takes a few ms on an idle machine
REPLY_TIMEOUT_S = 0.5
SUCCESSION_TIMEOUT_S = 30.0  # much longer than needed, for a busy machine
POLL_ERRORS = (OSError, HttpStatusError, TimeoutError, ValueError)
ORDERED_SERVERS = ("cache-0", "cache-1", "cache-2", "cache-3", "depot")


class LeaseSnapshot(NamedTuple):
    """The reply of a lease server at one time. A work is what a lease is granted for, here a shard of orders.

    - `granted`: work -> (holder, number) of the leases that are valid there.
    - `numbers`: work -> the last number that was granted, for all works.
    """

    at_s: float
    lease_server: int
    granted: dict[str, tuple[str, int]]
    numbers: dict[str, int]


class Poll(NamedTuple):
    """When a poll started and ended, with or without a reply. Unix s."""

    started_s: float
    ended_s: float

    def late_s(self, since: float, until: float) -> float:
        """How much of the poll in this period exceeds USUAL_REPLY_S."""
        return max(min(self.ended_s, until) - max(self.started_s + USUAL_REPLY_S, since), 0.0)


def majority_late_s(polls: Sequence[Sequence[Poll]], since: float, until: float) -> float:
    """How long replies were overdue in this period at a majority of the lease servers.

    Because a majority was late, the machine is the cause; a fault of a single lease server does not count.
    """
    late = sorted(sum(poll.late_s(since, until) for poll in one) for one in polls)
    return late[-majority(len(late))]


class LeaseWatch:
    """Polls all lease servers continuously."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.snapshots: list[LeaseSnapshot] = []
        self.polls: list[list[Poll]] = [[] for _ in fleet.control_servers]  # by lease server
        self._tasks = [
            asyncio.create_task(self._poll(number)) for number in range(len(fleet.control_servers))
        ]

    async def _poll(self, number: int) -> None:
        while True:
            started_s = time.time()
            with suppress(*POLL_ERRORS):
                self.snapshots.append(await self._query(number))
            self.polls[number].append(Poll(started_s, time.time()))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _query(self, number: int) -> LeaseSnapshot:
        port = self.fleet.control_servers[number].port
        reply = json.loads(await fetch("127.0.0.1", port, "GET", "/leases", TOKEN, within_s=REPLY_TIMEOUT_S))
        granted = {o["work"]: (o["holder"], o["number"]) for o in reply["owners"] if o["holder"]}
        numbers = {o["work"]: o["number"] for o in reply["owners"]}
        return LeaseSnapshot(time.time(), number, granted, numbers)

    async def stop(self) -> None:
        """Stops polling."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- results

    def owners(self) -> dict[str, list[tuple[float, str, int]]]:
        """By work: each owner that a majority of lease servers granted, and when this was first seen."""
        latest: dict[int, LeaseSnapshot] = {}
        found: dict[str, list[tuple[float, str, int]]] = defaultdict(list)
        for snapshot in sorted(self.snapshots):
            latest[snapshot.lease_server] = snapshot
            votes: dict[str, Counter[tuple[str, int]]] = defaultdict(Counter)
            for one in latest.values():
                for work, grant in one.granted.items():
                    votes[work][grant] += 1
            for work, counts_by_grant in votes.items():
                (holder, number), count = counts_by_grant.most_common(1)[0]
                if 2 * count > len(self.fleet.control_servers) and (
                    not found[work] or found[work][-1][2] < number
                ):
                    found[work].append((snapshot.at_s, holder, number))
        return found

    def granted_count(self) -> int:
        """The number of works with a holder, by the last replies of a majority of the lease servers."""
        return len(self.holders())

    def holders(self) -> dict[str, str]:
        """The holder of each work, according to the last replies of a majority of the lease servers."""
        latest = {snapshot.lease_server: snapshot for snapshot in sorted(self.snapshots)}
        votes = Counter(
            (work, grant) for snapshot in latest.values() for work, grant in snapshot.granted.items()
        )
        return {
            work: holder
            for (work, (holder, _)), count in votes.items()
            if 2 * count > len(self.fleet.control_servers)
        }

    async def poll_now(self) -> None:
        """Polls every lease server until it replies, so that `holders` is not older than this call."""
        self.snapshots += await asyncio.gather(
            *(self._query_until_answered(number) for number in range(len(self.polls)))
        )

    async def _query_until_answered(self, number: int) -> LeaseSnapshot:
        while True:
            with suppress(*POLL_ERRORS):
                return await self._query(number)
            await asyncio.sleep(POLL_INTERVAL_S)

    def find_reused_numbers(self) -> list[str]:
        """Violations of the lease protocol: numbers with two holders, and numbers that did not increase."""
        violations: list[str] = []
        servers_by_grant: dict[tuple[str, int], dict[str, set[int]]] = defaultdict(lambda: defaultdict(set))
        for snapshot in sorted(self.snapshots):
            for work, (holder, number) in snapshot.granted.items():
                servers_by_grant[work, number][holder].add(snapshot.lease_server)
        for (work, number), holders in servers_by_grant.items():
            # candidates that request one number at once may split the lease servers; this is no violation
            majorities = [
                lease_servers
                for lease_servers in holders.values()
                if 2 * len(lease_servers) > len(self.fleet.control_servers)
            ]
            granted = [lease_server for lease_servers in holders.values() for lease_server in lease_servers]
            if len(majorities) > 1 or len(granted) > len(set(granted)):
                violations.append(f"{work} {number}: {dict(holders)}")
        for work, owners in self.owners().items():
            numbers = [number for _, _, number in owners]
            if numbers != sorted(set(numbers)):
                violations.append(f"{work}: {numbers}")
        return violations

    def succession_times_s(self, ended_s: float, holders: set[str]) -> list[float]:
        """The time until another holder, for each work of these holders; infinity if there is none yet.

        `ended`: when the holders ended.
        """
        found = []
        for owners in self.owners().values():
            before = [one for one in owners if one[0] <= ended_s]
            after = [one for one in owners if one[0] > ended_s]
            if before and before[-1][1] in holders:
                found.append(after[0][0] - ended_s if after else math.inf)
        return found


def count_orders(fleet: Fleet, load: Load) -> tuple[float, int]:
    """The mean number of orders per purge and server, and the number of such pairs without an order."""
    counts: Counter[tuple[str, str]] = Counter()
    for server, _, order in fleet.world.orders:
        counts[server, order.partition(" ")[0]] += 1
    expected_orders = [
        (server, f"{purge.dated_ms:.3f}") for purge in load.purges for server in ORDERED_SERVERS
    ]
    total = sum(counts[pair] for pair in expected_orders)
    return total / max(len(expected_orders), 1), sum(not counts[pair] for pair in expected_orders)


async def wait_for_successors(
    watch: LeaseWatch, ended_s: float, holder: str, timeout_s: float = SUCCESSION_TIMEOUT_S
) -> list[float]:
    """Waits until each work of an ended holder has another owner. Raises TimeoutError.

    Returns the seconds for each work, without the time in which the machine delayed the lease servers.
    """
    async with asyncio.timeout(timeout_s):
        while math.inf in (gaps := watch.succession_times_s(ended_s, {holder})):
            await asyncio.sleep(POLL_INTERVAL_S)
    return [gap - majority_late_s(watch.polls, ended_s, ended_s + gap) for gap in gaps]


async def wait_for_orders(fleet: Fleet, load: Load, timeout_s: float = 30.0) -> None:
    """Waits until every purge was ordered at every server, at most `timeout_s`, since orders may be late."""
    until = time.monotonic() + timeout_s
    while count_orders(fleet, load)[1] and time.monotonic() < until:
        await asyncio.sleep(0.2)


async def wait_for_owners(watch: LeaseWatch, shards: int, timeout_s: float = 30.0) -> bool:
    """Waits until every shard has an owner, at most `timeout_s`; returns whether this is so."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        if len(watch.owners()) == shards:
            return True
        await asyncio.sleep(0.1)
    return False
