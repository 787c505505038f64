"""One owner a shard with several real processes: directors that are killed and stopped, keepers that lose their disks and their
majority; held against the keepers' answers and the servers' books of orders."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness import until
from test_coming_back import fleet_of, said, struck

from gladelane.lab.fleet.fleet import Fleet
from gladelane.lab.fleet.load import Load
from gladelane.lab.fleet.owned import Watch, ordered, orders, settled

SHARDS = 8


def scene(
    folder: Path,
    act: Callable[[Fleet, Load, Watch], Awaitable[None]],
    owners: bool = True,
    directors: int = 4,
) -> tuple[float, int]:
    """Orders a purge and server, and pairs without any, once all has settled."""

    async def whole() -> tuple[float, int]:
        async with fleet_of(
            folder, directors=directors, feeds=3, copies=1, owners=owners, shards=SHARDS
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


def test_a_purge_is_ordered_once_a_server_where_each_shard_has_one_owner(tmp_path: Path) -> None:
    async def act(fleet: Fleet, load: Load, watch: Watch) -> None:
        await asyncio.sleep(4.0 if watch.owners() else 0.0)  # longer than two leases
        await load.purge(20, 2.0)
        owners = {told[-1][1] for told in watch.owners().values()}
        assert len(owners) >= (3 if watch.owners() else 0)
        if watch.owners():
            feed = ["--feed", f"127.0.0.1:{fleet.feeds[0].port}", "--tokens", str(fleet.folder / "tokens")]
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

    async def act(fleet: Fleet, load: Load, watch: Watch) -> None:
        purging = asyncio.create_task(load.purge(30, 8.0))
        await struck(
            fleet, "0 stop directors:0 for 4"
        )  # longer than a lease: its successor is at work when it wakes
        stopped = time.time()
        await asyncio.sleep(3.0)
        gaps.extend(watch.gaps(stopped, {"director-0"}))
        killed = time.time()
        await struck(fleet, "0 kill directors:1 for 4")
        gaps.extend(watch.gaps(killed, {"director-1"}))
        await purging
        # one that leaves on purpose hands over at once
        left = time.time()
        await struck(fleet, "0 term directors:2")
        await asyncio.sleep(1.0)
        assert max(watch.gaps(left, {"director-2"}), default=0.0) < 2.0

    mean, missing = scene(tmp_path, act)
    assert missing == 0 and mean < 2.5, mean
    assert gaps and max(gaps) < 1.5 + 1.0 + 0.5, gaps


def test_without_a_majority_of_keepers_all_send_and_with_one_again_one_does(tmp_path: Path) -> None:
    async def act(fleet: Fleet, load: Load, watch: Watch) -> None:
        before = {work: told[-1][2] for work, told in watch.owners().items()}
        await struck(fleet, "0 kill feeds:0-1 empty for 5")
        # a majority lost its disks: what stands is told by the third, and numbers go on from there
        await until(lambda: watch.held_now() == SHARDS, 15.0)
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
        await asyncio.sleep(3.0)
        numbers = [look.numbers for look in sorted(watch.looks)[-12:]]
        assert all(set(told) == set(numbers[0]) for told in numbers), "all have learnt all"

    mean, missing = scene(tmp_path, act)
    assert missing == 0, mean


def test_an_even_number_of_keepers_is_refused_at_the_start(tmp_path: Path) -> None:
    async def whole() -> None:
        async with fleet_of(tmp_path, directors=1, feeds=2, owners=True) as fleet:
            assert (
                fleet.directors[0].failed
                and "owners: 2 feeds; expected an odd number" in fleet.directors[0].failed[0]
            )

    asyncio.run(whole())
    assert json.loads((tmp_path / "director-0.json5").read_text())["owners"]["shards"] == 8
