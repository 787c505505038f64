"""Trouble that begins after a long time without a request, in virtual time over real sockets."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from conftest import BASE_SETTINGS
from harness import Client, ScriptedCache, config, hit, never_respond, running_director, wait_until
from test_beyond_discovery import Discovery, State
from virtual_time import VirtualClock, virtual

from gladelane.lab.virtual import Fleet, Plan
from gladelane.routing.events import Settings

REFUSED = "127.0.0.1:1"
QUIET_S = 660.0


async def stay_quiet(clock: VirtualClock, seconds: float = QUIET_S) -> None:
    clock.is_quiet = True
    await asyncio.sleep(seconds)
    clock.is_quiet = False


@virtual
async def test_trouble_right_after_eleven_quiet_minutes_is_met_as_on_any_day(clock: VirtualClock) -> None:
    # one long wait for all that it may spoil: it is most of the test's time
    caches = [ScriptedCache(hit) for _ in range(3)]
    places = [await cache.start() for cache in caches]
    discovery = Discovery()
    board = await discovery.start()
    raw = config({"c0": places[0], "c1": places[1], "r0": REFUSED}, board)
    async with running_director(raw) as (node, client):
        for stream in range(1, 31):
            client.ask(stream, o=f"{stream:016x}")
        assert {(await client.next())[2] for _ in range(30)} == {0}
        retries, hedges = node.director.router.budgets.retries, node.director.router.budgets.hedges
        await wait_until(lambda: discovery.calls_s)
        await stay_quiet(clock)

        # nothing is left open at either side, the watch is the one that began, and budgets are as they were
        assert not node.client_listener.connections and not any(node.upstream._pool.values())
        assert len(discovery.calls_s) == 1
        assert (node.director.router.budgets.retries, node.director.router.budgets.hedges) == (
            retries,
            hedges,
        )

        # one cache has gone, one is replaced at its address, a purge is told; all in the moment clients come back
        caches[0].server.close()
        discovery.tell_state("c1", "terminating", places[1])
        discovery.tell_state("c2", "in_service", places[2])
        last = discovery.tell(flush={"collection": 17, "ms": int(time.time() * 1000.0)})
        await wait_until(lambda: node.director.rev == last)
        seen = [len(cache.received) for cache in caches]
        late = await Client.connect(node.port)
        codes = []
        for stream in range(1, 41):
            late.ask(stream, i=f"{99 + stream:016x}", o=f"{stream:016x}", tag="18")
            codes.append((await late.next())[2])
        assert codes == [0] * 40
        assert [len(cache.received) for cache in caches] == [seen[0], seen[1], seen[2] + 40]
        late.ask(41, i=f"{990:016x}", tag="17")
        await late.next()
        assert 0 < int(caches[2].received[-1][1]["accept"]) < 1000

        # the only cache left hangs: it is left alone after a few, and found again
        caches[2].script = never_respond
        hung = [await Client.connect(node.port) for _ in range(4)]
        for number, one in enumerate(hung):
            one.ask(1, i=f"{1000 + number:016x}", d="800", tag="18")
        assert {(await one.next())[2] for one in hung} == {1}
        caches[2].script = hit
        await asyncio.sleep(1.0)
        late.ask(42, i=f"{2000:016x}", tag="18")
        assert (await late.next())[2] == 0
        for one in (late, *hung):
            one.writer.close()
        await discovery.become(State.REFUSES)


class QuietFleet(Fleet):
    """One whose clients ask for nothing while it is quiet."""

    is_quiet = False

    def _arrive(self, zone: str) -> None:
        if self.is_quiet:
            self.line.after(50.0, lambda: self._arrive(zone))
        else:
            super()._arrive(zone)


@pytest.mark.parametrize("weights", ["nominal", "none"])
def test_after_a_quiet_time_a_fleet_whose_servers_all_come_back_cold_is_served(weights: str) -> None:
    # where the list tells no sizes the usual load of warm servers was learnt down to nothing meanwhile, and cold
    # ones were sent nothing until they were warm: 0.00 of the worth in each of 13 seconds, 0.33 to 0.86 now
    raw: dict[str, Any] = {**BASE_SETTINGS, "zone": "z0", "zones": ["hub", "z0", "z1"], "hub_of": [0, 0, 0], "weights": weights,
                           "seats_by_zone": [0, 1, 1], "proxies": 2}  # fmt: skip
    fleet = QuietFleet(Plan(Settings.read(raw), locations=2, rate=100.0), 3)
    fleet.run(8_000.0)
    fleet.is_quiet = True
    back_ms = 8_000.0 + QUIET_S * 1000.0
    fleet.run(back_ms)
    fleet.is_quiet = False
    for cache in fleet.caches:
        fleet.crash(cache)
        fleet.line.after(500.0, lambda cache=cache: fleet.restart(cache))
    fleet.run(back_ms + 3_000.0)  # the restarts are told 2 s after the crashes
    served, asked = fleet.served_weight, fleet.requested_weight
    fleet.run(back_ms + 10_000.0)
    assert fleet.served_weight - served > 0.3 * (fleet.requested_weight - asked)
    assert fleet.broken == []
