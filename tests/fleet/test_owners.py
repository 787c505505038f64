"""One owner a shard with several real processes: directors that are killed and stopped, keepers that lose their disks and their
majority; held against the keepers' answers and the servers' books of orders."""

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
from test_coming_back import fleet_of, said, struck

from gladelane.lab.fleet.fleet import Fleet
from gladelane.lab.fleet.load import Load
from gladelane.lab.fleet.owned import Call, Watch, followed, majority_late_s, ordered, orders, settled
from gladelane.lab.fleet.process import FleetProcess

SHARDS = 8
WAIT_S = 30.0  # many times what it takes


def scene(
    folder: Path,
    act: Callable[[Fleet, Load, Watch], Awaitable[None]],
    owners: bool = True,
    directors: int = 4,
) -> tuple[float, int]:
    """Orders a purge and server, and pairs without any, once all has settled."""

    async def whole() -> tuple[float, int]:
        async with fleet_of(
            folder, directors=directors, control_servers=3, copies=1, owners=owners, shards=SHARDS
        ) as fleet:
            load, watch = Load(fleet, random.Random(4)), Watch(fleet)
            try:
                if owners:
                    assert await settled(watch, SHARDS), watch.looks[-3:]
                await act(fleet, load, watch)
                await ordered(fleet, load)
                await asyncio.sleep(1.5)  # for what is ordered twice
                assert watch.reused() == []
                return orders(fleet, load)
            finally:
                await watch.stop()

    return asyncio.run(whole())


async def busiest(fleet: Fleet, watch: Watch) -> FleetProcess:
    """The director with the most shards, once all are held. Who has which hangs on who started first."""
    await wait_until(lambda: watch.granted_count() == SHARDS, WAIT_S)
    holder, _ = Counter(watch.holders().values()).most_common(1)[0]
    return next(one for one in fleet.directors if one.name == holder)


async def spread(fleet: Fleet, watch: Watch, least: int) -> None:
    """Until so many directors own shards: the first to start may have taken most before others were there.
    Once all are, what one of them gives back goes to several."""
    async with asyncio.timeout(2 * WAIT_S):
        while len(set(watch.holders().values())) < least:
            leaver = await busiest(fleet, watch)
            left = time.time()
            await fleet.end(leaver, signal.SIGTERM)
            await followed(watch, left, leaver.name)
            await fleet.restart(leaver)


def test_a_purge_is_ordered_once_a_server_where_each_shard_has_one_owner(tmp_path: Path) -> None:
    async def act(fleet: Fleet, load: Load, watch: Watch) -> None:
        if watch.owners():
            await spread(fleet, watch, 3)
        await asyncio.sleep(4.0 if watch.owners() else 0.0)  # longer than two leases
        await load.purge(20, 2.0)
        owners = {told[-1][1] for told in watch.owners().values()}
        assert len(owners) >= (3 if watch.owners() else 0)
        if watch.owners():
            feed = [
                "--feed",
                f"127.0.0.1:{fleet.control_servers[0].port}",
                "--tokens",
                str(fleet.folder / "tokens"),
            ]
            code, text = await said("fleet", "owners", *feed)
            assert code == 0 and "orders-000" in text and "director-" in text

    (tmp_path / "on").mkdir()
    (tmp_path / "off").mkdir()
    # more directors than may be next for a shard: those further off ask seldom, and do not take the keepers for gone
    with_owners, missing = scene(tmp_path / "on", act, directors=7)
    without, none = scene(tmp_path / "off", act, owners=False)
    assert missing == none == 0 and with_owners < 1.2 and without > 3.5, (with_owners, without)


def test_owners_that_are_killed_or_stopped_are_followed_and_none_of_their_orders_is_lost(
    tmp_path: Path,
) -> None:
    gaps: list[float] = []
    left: list[float] = []

    async def act(fleet: Fleet, load: Load, watch: Watch) -> None:
        purging = asyncio.create_task(load.purge(30, 8.0))
        sleeper = await busiest(fleet, watch)
        assert sleeper.process is not None
        began = time.time()
        sleeper.process.send_signal(signal.SIGSTOP)
        gaps.extend(await followed(watch, began, sleeper.name))
        # another one dies; the first wakes in between, and its successors are at work
        killed = await busiest(fleet, watch)
        began = time.time()
        await fleet.end(killed, signal.SIGKILL)
        await asyncio.sleep(1.0)
        sleeper.process.send_signal(signal.SIGCONT)
        gaps.extend(await followed(watch, began, killed.name))
        await fleet.restart(killed)
        await purging
        # one that leaves on purpose gives back what it has: nobody waits for its leases to run out
        leaver = await busiest(fleet, watch)
        leaving = time.time()
        await fleet.end(leaver, signal.SIGTERM)
        ended = time.time()
        await watch.look_now()
        assert leaver.name not in watch.holders().values()
        gone = ended - leaving
        left.extend(gap - gone for gap in await followed(watch, leaving, leaver.name))
        await fleet.restart(leaver)

    mean, missing = scene(tmp_path, act)
    assert missing == 0 and mean < 2.5, mean
    assert len(gaps) >= 2 and max(gaps) < 1.5 + 1.0 + 0.5, gaps
    # 2.0 s from SIGTERM, less the 0.8 s for which a process that ends still takes clients (ACCEPT_PERIOD_S)
    assert left and max(left) < 2.0 - 0.8, left


def test_without_a_majority_of_keepers_all_send_and_with_one_again_one_does(tmp_path: Path) -> None:
    async def act(fleet: Fleet, load: Load, watch: Watch) -> None:
        before = {work: told[-1][2] for work, told in watch.owners().items()}
        await struck(fleet, "0 kill feeds:0-1 empty for 5")
        # a majority lost its disks: what stands is told by the third, and numbers go on from there
        await wait_until(lambda: watch.granted_count() == SHARDS, WAIT_S)
        assert all(told[-1][2] >= before[work] for work, told in watch.owners().items())
        await load.purge(5, 0.5)

    mean, missing = scene(tmp_path, act)
    assert missing == 0, mean


def test_a_keeper_back_with_an_empty_or_older_disk_grants_no_number_again(tmp_path: Path) -> None:
    async def act(fleet: Fleet, load: Load, watch: Watch) -> None:
        await struck(fleet, "0 save feeds:*")
        for turn in range(3):
            how = ("empty", "older", "kept")[turn]
            await struck(fleet, f"0 kill directors:{turn}")
            await struck(fleet, f"0 kill feeds:{turn} {how}")
            await load.purge(3, 0.5)
        restarted = time.time()
        await asyncio.sleep(3.0)  # for a keeper that would grant a number again

        def learnt() -> bool:
            """Whether every keeper's last answer since then names all works."""
            numbers = {look.lease_server: look.numbers for look in sorted(watch.looks) if look.at > restarted}
            return len(numbers) == 3 and all(len(known) == SHARDS for known in numbers.values())

        await wait_until(learnt, WAIT_S)

    mean, missing = scene(tmp_path, act)
    assert missing == 0, mean


@pytest.mark.parametrize(("took_s", "late_s"), [
    ((0.01, 0.02, 0.05), 0.0),
    ((0.01, 0.02, 0.5), 0.0),  # one keeper alone is no machine that is busy
    ((0.01, 0.25, 0.5), 0.2),
    ((0.5, 0.25, 0.25), 0.2),
    ((9.0, 9.0, 9.0), 1.95),  # none but the time that is asked for
])  # fmt: skip
def test_time_is_the_machines_where_a_majority_of_keepers_answers_late(
    took_s: tuple[float, ...], late_s: float
) -> None:
    calls = [[Call(8.0, 8.04), Call(11.0, 11.0 + took), Call(14.0, 15.0)] for took in took_s]
    assert majority_late_s(calls, 10.0, 13.0) == pytest.approx(late_s)


def test_an_even_number_of_keepers_is_refused_at_the_start(tmp_path: Path) -> None:
    async def whole() -> None:
        async with fleet_of(tmp_path, directors=1, control_servers=2, owners=True) as fleet:
            assert (
                fleet.directors[0].failed
                and "owners: 2 feeds; expected an odd number" in fleet.directors[0].failed[0]
            )

    asyncio.run(whole())
    assert json.loads((tmp_path / "director-0.json5").read_text())["owners"]["shards"] == 8
