"""Ownership of shards in fleets of real processes, under faults of directors and lease servers.

Checked against the replies of the lease servers and the purge orders that the fake servers received.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from harness import wait_until
from test_fleet_recovery import fleet_of, inject_faults, run_command

from gladelane.lab.fleet.fleet import Fleet
from gladelane.lab.fleet.lease_watch import (
    LeaseWatch,
    Poll,
    count_orders,
    majority_late_s,
    wait_for_orders,
    wait_for_owners,
    wait_for_successors,
)
from gladelane.lab.fleet.load import Load
from gladelane.lab.fleet.process import FleetProcess

SHARDS = 8
WAIT_S = 30.0  # much longer than needed


def run_scene(
    folder: Path,
    actions: Callable[[Fleet, Load, LeaseWatch], Awaitable[None]],
    owners: bool = True,
    directors: int = 4,
) -> tuple[float, int]:
    """Runs the actions on a fleet; returns the orders per purge and server, and the number of pairs without one."""

    async def run_all() -> tuple[float, int]:
        async with fleet_of(
            folder, directors=directors, control_servers=3, copies=1, owners=owners, shards=SHARDS
        ) as fleet:
            load, watch = Load(fleet, random.Random(4)), LeaseWatch(fleet)
            try:
                if owners:
                    assert await wait_for_owners(watch, SHARDS), watch.snapshots[-3:]
                await actions(fleet, load, watch)
                await wait_for_orders(fleet, load)
                await asyncio.sleep(1.5)  # for duplicate orders
                assert watch.find_reused_numbers() == []
                return count_orders(fleet, load)
            finally:
                await watch.stop()

    return asyncio.run(run_all())


async def director_with_most_shards(fleet: Fleet, watch: LeaseWatch) -> FleetProcess:
    """The director with the most shards, once all shards have a holder."""
    await wait_until(lambda: watch.granted_count() == SHARDS, WAIT_S)
    holder, _ = Counter(watch.holders().values()).most_common(1)[0]
    return next(one for one in fleet.directors if one.name == holder)


async def spread_owners(fleet: Fleet, watch: LeaseWatch, min_owners: int) -> None:
    """Restarts directors until enough of them own shards.

    The first director to start may take most shards; when it ends, the others share them.
    """
    async with asyncio.timeout(2 * WAIT_S):
        while len(set(watch.holders().values())) < min_owners:
            ending_director = await director_with_most_shards(fleet, watch)
            end_requested_s = time.time()
            await fleet.end(ending_director, signal.SIGTERM)
            await wait_for_successors(watch, end_requested_s, ending_director.name)
            await fleet.restart(ending_director)


def test_each_purge_is_ordered_once_per_server_if_shards_have_one_owner(tmp_path: Path) -> None:
    async def actions(fleet: Fleet, load: Load, watch: LeaseWatch) -> None:
        if watch.owners():
            await spread_owners(fleet, watch, 3)
        await asyncio.sleep(4.0 if watch.owners() else 0.0)  # longer than two leases
        await load.purge(20, 2.0)
        owners = {owners_of_shard[-1][1] for owners_of_shard in watch.owners().values()}
        assert len(owners) >= (3 if watch.owners() else 0)
        if watch.owners():
            server_options = [
                "--feed",
                f"127.0.0.1:{fleet.control_servers[0].port}",
                "--tokens",
                str(fleet.folder / "tokens"),
            ]
            code, text = await run_command("fleet", "owners", *server_options)
            assert code == 0 and "orders-000" in text and "director-" in text

    (tmp_path / "on").mkdir()
    (tmp_path / "off").mkdir()
    # more directors than candidates for a shard: the others poll rarely, which must not look like an outage
    mean_with_owners, missing = run_scene(tmp_path / "on", actions, directors=7)
    mean_without_owners, missing_without_owners = run_scene(tmp_path / "off", actions, owners=False)
    assert missing == missing_without_owners == 0 and mean_with_owners < 1.2 and mean_without_owners > 3.5, (
        mean_with_owners,
        mean_without_owners,
    )


def test_killed_or_suspended_owners_are_replaced_without_losing_orders(tmp_path: Path) -> None:
    succession_times_s: list[float] = []
    handover_times_s: list[float] = []

    async def actions(fleet: Fleet, load: Load, watch: LeaseWatch) -> None:
        purging = asyncio.create_task(load.purge(30, 8.0))
        suspended = await director_with_most_shards(fleet, watch)
        assert suspended.process is not None
        started_s = time.time()
        suspended.process.send_signal(signal.SIGSTOP)
        succession_times_s.extend(await wait_for_successors(watch, started_s, suspended.name))
        # another one is killed; meanwhile the first is resumed, whose shards have other owners by then
        killed = await director_with_most_shards(fleet, watch)
        started_s = time.time()
        await fleet.end(killed, signal.SIGKILL)
        await asyncio.sleep(1.0)
        suspended.process.send_signal(signal.SIGCONT)
        succession_times_s.extend(await wait_for_successors(watch, started_s, killed.name))
        await fleet.restart(killed)
        await purging
        # a director that ends by SIGTERM releases its leases, so that nobody waits until they expire
        ending_director = await director_with_most_shards(fleet, watch)
        end_requested_s = time.time()
        await fleet.end(ending_director, signal.SIGTERM)
        ended = time.time()
        await watch.poll_now()
        assert ending_director.name not in watch.holders().values()
        exit_s = ended - end_requested_s
        handover_times_s.extend(
            gap - exit_s for gap in await wait_for_successors(watch, end_requested_s, ending_director.name)
        )
        await fleet.restart(ending_director)

    mean, missing = run_scene(tmp_path, actions)
    assert missing == 0 and mean < 2.5, mean
    assert len(succession_times_s) >= 2 and max(succession_times_s) < 1.5 + 1.0 + 0.5, succession_times_s
    # 2.0 s from SIGTERM, less the 0.8 s for which an ending process still serves clients (ACCEPT_PERIOD_S)
    assert handover_times_s and max(handover_times_s) < 2.0 - 0.8, handover_times_s


def test_orders_continue_without_a_majority_of_lease_servers_and_owners_return_with_it(
    tmp_path: Path,
) -> None:
    async def actions(fleet: Fleet, load: Load, watch: LeaseWatch) -> None:
        before = {work: owners_of_shard[-1][2] for work, owners_of_shard in watch.owners().items()}
        await inject_faults(fleet, "0 kill feeds:0-1 empty for 5")
        # a majority lost its disks: the third has the last numbers, from which the others continue
        await wait_until(lambda: watch.granted_count() == SHARDS, WAIT_S)
        assert all(owners_of_shard[-1][2] >= before[work] for work, owners_of_shard in watch.owners().items())
        await load.purge(5, 0.5)

    mean, missing = run_scene(tmp_path, actions)
    assert missing == 0, mean


def test_restarted_lease_server_with_empty_or_older_disk_reuses_no_number(tmp_path: Path) -> None:
    async def actions(fleet: Fleet, load: Load, watch: LeaseWatch) -> None:
        await inject_faults(fleet, "0 save feeds:*")
        for turn in range(3):
            mode = ("empty", "older", "kept")[turn]
            await inject_faults(fleet, f"0 kill directors:{turn}")
            await inject_faults(fleet, f"0 kill feeds:{turn} {mode}")
            await load.purge(3, 0.5)
        restarted = time.time()
        await asyncio.sleep(3.0)  # for a lease server that would reuse a number

        def all_numbers_known() -> bool:
            """Whether the last reply of every lease server since the restart has all works."""
            numbers = {
                snapshot.lease_server: snapshot.numbers
                for snapshot in sorted(watch.snapshots)
                if snapshot.at_s > restarted
            }
            return len(numbers) == 3 and all(len(known) == SHARDS for known in numbers.values())

        await wait_until(all_numbers_known, WAIT_S)

    mean, missing = run_scene(tmp_path, actions)
    assert missing == 0, mean


@pytest.mark.parametrize(("durations_s", "late_s"), [
    ((0.01, 0.02, 0.05), 0.0),
    ((0.01, 0.02, 0.5), 0.0),  # a single late lease server is not due to the machine
    ((0.01, 0.25, 0.5), 0.2),
    ((0.5, 0.25, 0.25), 0.2),
    ((9.0, 9.0, 9.0), 1.95),  # only within the given period
])  # fmt: skip
def test_delay_counts_as_machine_delay_only_if_a_majority_of_lease_servers_is_late(
    durations_s: tuple[float, ...], late_s: float
) -> None:
    polls = [[Poll(8.0, 8.04), Poll(11.0, 11.0 + duration_s), Poll(14.0, 15.0)] for duration_s in durations_s]
    assert majority_late_s(polls, 10.0, 13.0) == pytest.approx(late_s)


def test_even_number_of_lease_servers_is_rejected_at_start(tmp_path: Path) -> None:
    async def run_all() -> None:
        async with fleet_of(tmp_path, directors=1, control_servers=2, owners=True) as fleet:
            assert (
                fleet.directors[0].failed
                and "owners: 2 feeds; expected an odd number" in fleet.directors[0].failed[0]
            )

    asyncio.run(run_all())
    assert json.loads((tmp_path / "director-0.json5").read_text())["owners"]["shards"] == 8
