"""Failures right after a long time without requests, in virtual time over real sockets."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest
from conftest import BASE_SETTINGS
from harness import (
    REFUSED_ADDRESS,
    Client,
    ScriptedCache,
    config,
    hit,
    never_respond,
    running_director,
    wait_until,
)
from test_discovery_outages import Discovery, DiscoveryState
from virtual_time import VirtualClock, virtual

from gladelane.lab.virtual import Fleet, Plan
from gladelane.routing.events import Settings

IDLE_S = 660.0


async def stay_idle(clock: VirtualClock, duration_s: float = IDLE_S) -> None:
    clock.is_network_idle = True
    await asyncio.sleep(duration_s)
    clock.is_network_idle = False


@virtual
async def test_failures_right_after_eleven_idle_minutes_are_handled_as_at_any_time(
    clock: VirtualClock,
) -> None:
    # One test checks everything that idle time could break, since the idle time takes most of its running time.
    caches = [ScriptedCache(hit) for _ in range(3)]
    addresses = [await cache.start() for cache in caches]
    discovery = Discovery()
    discovery_address = await discovery.start()
    raw = config({"c0": addresses[0], "c1": addresses[1], "r0": REFUSED_ADDRESS}, discovery_address)
    async with running_director(raw) as (node, client):
        for stream in range(1, 31):
            client.ask(stream, o=f"{stream:016x}")
        assert {(await client.next())[2] for _ in range(30)} == {0}
        retries, hedges = node.director.router.budgets.retries, node.director.router.budgets.hedges
        await wait_until(lambda: discovery.request_times_s)
        await stay_idle(clock)

        # no connection is left open to clients or caches, the first watch still runs, and the budgets are unchanged
        assert not node.client_listener.connections and not any(node.upstream._pool.values())
        assert len(discovery.request_times_s) == 1
        assert (node.director.router.budgets.retries, node.director.router.budgets.hedges) == (
            retries,
            hedges,
        )

        # clients come back while one cache is gone, another one is replaced and a purge is published
        caches[0].server.close()
        discovery.publish_member("c1", "terminating", addresses[1])
        discovery.publish_member("c2", "in_service", addresses[2])
        last = discovery.publish(flush={"collection": 17, "ms": int(time.time() * 1000.0)})
        await wait_until(lambda: node.director.rev == last)
        fetch_counts = [len(cache.received) for cache in caches]
        late = await Client.connect(node.port)
        codes = []
        for stream in range(1, 41):
            late.ask(stream, i=f"{99 + stream:016x}", o=f"{stream:016x}", tag="18")
            codes.append((await late.next())[2])
        assert codes == [0] * 40
        assert [len(cache.received) for cache in caches] == [
            fetch_counts[0],
            fetch_counts[1],
            fetch_counts[2] + 40,
        ]
        late.ask(41, i=f"{990:016x}", tag="17")
        await late.next()
        assert 0 < int(caches[2].received[-1][1]["accept"]) < 1000

        # the only remaining cache stops answering: it is ejected after a few attempts, and used again when it answers
        caches[2].script = never_respond
        waiting_clients = [await Client.connect(node.port) for _ in range(4)]
        for number, client in enumerate(waiting_clients):
            client.ask(1, i=f"{1000 + number:016x}", d="800", tag="18")
        assert {(await client.next())[2] for client in waiting_clients} == {1}
        caches[2].script = hit
        await asyncio.sleep(1.0)
        late.ask(42, i=f"{2000:016x}", tag="18")
        assert (await late.next())[2] == 0
        for client in (late, *waiting_clients):
            client.writer.close()
        await discovery.set_state(DiscoveryState.REFUSES)


class PausableFleet(Fleet):
    """A fleet whose clients send no requests while `is_idle` is set."""

    is_idle = False

    def _arrive(self, zone: str) -> None:
        if self.is_idle:
            self.line.after(50.0, lambda: self._arrive(zone))
        else:
            super()._arrive(zone)


@pytest.mark.parametrize("weights", ["nominal", "none"])
def test_a_fleet_whose_caches_all_restart_cold_after_idle_time_is_served(weights: str) -> None:
    # If the list has no weights, directors learn the usual load of a warm server. Earlier it decayed to zero during the
    # idle time, and cold servers were sent nothing until they were warm: 0.00 of the requested weight was served in each
    # of 13 seconds, instead of 0.33 to 0.86.
    raw: dict[str, Any] = {**BASE_SETTINGS, "zone": "z0", "zones": ["hub", "z0", "z1"], "hub_of": [0, 0, 0], "weights": weights,
                           "seats_by_zone": [0, 1, 1], "proxies": 2}  # fmt: skip
    fleet = PausableFleet(Plan(Settings.read(raw), locations=2, rate=100.0), 3)
    fleet.run(8_000.0)
    fleet.is_idle = True
    resumed_ms = 8_000.0 + IDLE_S * 1000.0
    fleet.run(resumed_ms)
    fleet.is_idle = False
    for cache in fleet.caches:
        fleet.crash(cache)
        fleet.line.after(500.0, lambda cache=cache: fleet.restart(cache))
    fleet.run(resumed_ms + 3_000.0)  # the list shows the restarts 2 s after the crashes
    served_before, requested_before = fleet.served_weight, fleet.requested_weight
    fleet.run(resumed_ms + 10_000.0)
    assert fleet.served_weight - served_before > 0.3 * (fleet.requested_weight - requested_before)
    assert fleet.broken == []
