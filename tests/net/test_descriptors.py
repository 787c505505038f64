"""Shares of the file descriptors, and a director process with too few for its clients, admin callers and caches."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from contextlib import suppress
from pathlib import Path

import pytest
from harness import ScriptedCache, async_test, config, hit, running_director, wait_until
from hypothesis import given
from hypothesis import strategies as st

from gladelane.endpoints import connect, dialer, health_check
from gladelane.endpoints.address import Address
from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.lab.processes import Load, Processes
from gladelane.net import descriptors
from gladelane.net.descriptors import Shares, max_lingering, share_descriptors

OWN_DESCRIPTORS = descriptors.EVENT_LOOP + descriptors.SERVING + descriptors.ADMIN + descriptors.TRANSIENT
CACHES, CROWD_CLIENTS, ADMIN_CALLERS = 32, 120, 8


@pytest.mark.parametrize(
    ("limit", "inherited", "purge_servers", "shares"),
    [
        (4096, 3, 0, Shares(2457, 1024, 24)),  # unscaled: the rest covers what the process itself needs
        (1024, 3, 0, Shares(614, 256, 24)),
        (384, 3, 0, Shares(224, 93, 8)),
        # 76 clients and 32 upstream connections exceeded the limit by 6 to 11 with the admin endpoint in use
        (128, 3, 0, Shares(56, 23, 7)),
        (128, 20, 0, Shares(44, 18, 8)),  # inherited descriptors count
        (128, 3, 3, Shares(50, 20, 7)),
        (0, 3, 0, Shares(4, 2, 6)),
    ],
)
def test_shares_of_the_descriptors_by_limit(
    limit: int, inherited: int, purge_servers: int, shares: Shares
) -> None:
    assert share_descriptors(limit, inherited, purge_servers) == shares


@given(st.integers(64, 100_000), st.integers(3, 12), st.integers(0, 3))
def test_shares_and_the_needs_of_the_process_stay_within_the_limit(
    limit: int, inherited: int, purge_servers: int
) -> None:
    shares = share_descriptors(limit, inherited, purge_servers)
    own_descriptors = OWN_DESCRIPTORS + inherited + descriptors.PER_PURGE_SERVER * purge_servers
    shared_descriptors = shares.clients + max_lingering(shares.clients) + shares.upstream + shares.callers
    # each part gets its minimum whatever the limit is
    assert shared_descriptors + own_descriptors <= max(
        limit, own_descriptors + shared_descriptors if shares.upstream == descriptors.MIN_UPSTREAM else 0
    )


def test_a_dial_waits_until_the_connection_that_makes_room_for_it_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A connection that was asked to close used to count as closed while its socket was still open, so the next
    dial exceeded the cap."""
    max_connections, dialed_socks, open_at_dial = 2, [], []

    class CountingConnect(connect.Connect):
        def __init__(self, address: Address, done: connect.OnDone) -> None:
            open_at_dial.append(sum(sock.fileno() >= 0 for sock in dialed_socks))
            super().__init__(address, done)
            if self.sock is not None:
                dialed_socks.append(self.sock)

    monkeypatch.setattr(dialer, "Connect", CountingConnect)
    monkeypatch.setattr(health_check, "Connect", CountingConnect)

    @async_test
    async def scenario() -> None:
        caches = [ScriptedCache(hit) for _ in range(8)]
        addresses = {f"c{n}": await cache.start() for n, cache in enumerate(caches)}
        async with running_director(config(addresses)) as (node, client):
            node.upstream.cap = max_connections
            for number in range(1, 41):
                client.ask(number, o=f"{number * 7919:016x}", m="1")
                assert (await client.next())[2] == 0
        assert len(dialed_socks) > max_connections  # otherwise no connection had to make room
        assert max(open_at_dial) < max_connections

    scenario()


class LateDiscovery(FakeDiscovery):
    """Discovery that starts listening later on a port that it holds from the beginning: a bound socket that does
    not listen refuses connections, and no other process can get the port."""

    def __init__(self) -> None:
        super().__init__()
        self._sock = socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self.port = int(self._sock.getsockname()[1])

    async def start_listening(self) -> None:
        self._server = await asyncio.start_server(self._serve, sock=self._sock)


async def hold_connection(port: int, text: bytes) -> None:
    """Holds a connection on which it sends only `text`, and reconnects whenever it is closed."""
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(text)
            try:
                await reader.read()
            finally:
                writer.close()
        await asyncio.sleep(0.1)


def instances(caches: dict[str, str]) -> list[dict[str, object]]:
    return list(json.loads(config(caches))["known"]["notices"][0]["pool"]["instances"])


@pytest.mark.parametrize(("configured_limit", "process_limit"), [(128, 128), (1024, 128)])
def test_too_many_clients_starve_neither_discovery_nor_dials_nor_the_admin_endpoint(
    tmp_path: Path, configured_limit: int, process_limit: int
) -> None:
    """With 128 descriptors all three used to fail with EMFILE, and the director exited with 1 at SIGTERM, because
    its last step opens a file."""

    async def scenario() -> None:
        discovery, caches = LateDiscovery(), [ScriptedCache(hit) for _ in range(CACHES + 1)]
        cache_addresses = [await cache.start() for cache in caches]
        addresses = {f"c{n}": address for n, address in enumerate(cache_addresses[:-1])}
        raw = json.loads(config({**addresses, "r0": "127.0.0.1:1"}, board=f"127.0.0.1:{discovery.port}"))
        raw["limits"]["sockets"] = configured_limit
        director, tasks = Processes(tmp_path, raw), []
        try:
            await director.start(descriptors=process_limit)
            await director.serving()
            load = Load(director.port, clients=6)
            tasks = [asyncio.create_task(hold_connection(director.port, b"")) for _ in range(CROWD_CLIENTS)]
            tasks += [
                asyncio.create_task(hold_connection(director.ops[0], b"GET /he"))
                for _ in range(ADMIN_CALLERS)
            ]
            # half of the caches are dialed and clients wait for room; all admin callers are connected by then
            await wait_until(lambda: sum(bool(cache.connections) for cache in caches) >= 16, wait=20.0)
            await wait_until(lambda: "new clients wait" in director.log() or load.served > 300, wait=20.0)
            for _ in range(5):
                assert (await director.call("GET", "/healthcheck"))[0] == 200

            discovery.notices = [*raw["known"]["notices"]]
            discovery.tell(
                {
                    "pool": {
                        "generation": 2,
                        "reset": False,
                        "instances": instances({"c99": cache_addresses[-1]}),
                    }
                }
            )
            await discovery.start_listening()
            await wait_until(
                lambda: caches[-1].received, wait=20.0
            )  # the new list was received and its cache dialed
            assert (await director.call("GET", "/healthcheck"))[0] == 200
            await load.stop()
            # stopping the load may cut off a request, and a request on a reused connection may cross its close
            assert not [lost for lost in load.lost if lost.endswith(": 2")] and load.served > 100
            director.all[0].send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(director.all[0].wait(), 20.0) == 0
            assert [line for line in director.log().splitlines() if "Too many open files" in line] == []
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await director.end()
            await discovery.close()

    asyncio.run(scenario())
