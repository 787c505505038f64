"""Shares of the descriptors, and a real process under a small limit whose clients, callers and caches want more."""

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

OWN = descriptors.EVENT_LOOP + descriptors.SERVING + descriptors.ADMIN + descriptors.TRANSIENT
CACHES, CROWD, CALLERS = 32, 120, 8


@pytest.mark.parametrize(
    ("limit", "inherited", "feeds", "shares"),
    [
        (4096, 3, 0, Shares(2457, 1024, 24)),  # as they were: what the process needs is in the rest
        (1024, 3, 0, Shares(614, 256, 24)),
        (384, 3, 0, Shares(224, 93, 8)),
        (128, 3, 0, Shares(56, 23, 7)),  # were 76 and 32: 6 to 11 over the limit with the admin endpoint
        (128, 20, 0, Shares(44, 18, 8)),  # what the start leaves open counts
        (128, 3, 3, Shares(50, 20, 7)),
        (0, 3, 0, Shares(4, 2, 6)),
    ],
)
def test_shares_by_limit(limit: int, inherited: int, feeds: int, shares: Shares) -> None:
    assert share_descriptors(limit, inherited, feeds) == shares


@given(st.integers(64, 100_000), st.integers(3, 12), st.integers(0, 3))
def test_shares_and_what_the_process_needs_stay_within_the_limit(
    limit: int, inherited: int, feeds: int
) -> None:
    shares = share_descriptors(limit, inherited, feeds)
    own = OWN + inherited + descriptors.PER_PURGE_SERVER * feeds
    held = shares.clients + max_lingering(shares.clients) + shares.upstream + shares.callers
    # the least of each is given whatever the limit
    assert held + own <= max(limit, own + held if shares.upstream == descriptors.MIN_UPSTREAM else 0)


def test_a_dial_waits_until_the_connection_that_makes_room_for_it_is_really_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # a connection that was told to close counted as gone, and was open when the next one was dialled
    cap, dialled, open_at_dial = 2, [], []

    class Counted(connect.Connect):
        def __init__(self, address: Address, done: connect.OnDone) -> None:
            open_at_dial.append(sum(sock.fileno() >= 0 for sock in dialled))
            super().__init__(address, done)
            if self.sock is not None:
                dialled.append(self.sock)

    monkeypatch.setattr(dialer, "Connect", Counted)
    monkeypatch.setattr(health_check, "Connect", Counted)

    @async_test
    async def scene() -> None:
        caches = [ScriptedCache(hit) for _ in range(8)]
        listed = {f"c{n}": await cache.start() for n, cache in enumerate(caches)}
        async with running_director(config(listed)) as (node, client):
            node.upstream.cap = cap
            for number in range(1, 41):
                client.ask(number, o=f"{number * 7919:016x}", m="1")
                assert (await client.next())[2] == 0
        assert len(dialled) > cap  # else none had to make room
        assert max(open_at_dial) < cap

    scene()


class ReturningBoard(FakeDiscovery):
    """Discovery at one port, down and back. The port is its own from the start: a socket that does not listen
    refuses calls, and nobody else is given its port meanwhile."""

    def __init__(self) -> None:
        super().__init__()
        self._sock = socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self.port = int(self._sock.getsockname()[1])

    async def come(self) -> None:
        self._server = await asyncio.start_server(self._serve, sock=self._sock)


async def crowd(port: int, text: bytes) -> None:
    """Holds a connection, says no more than that, and comes again whenever it is closed."""
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


@pytest.mark.parametrize(("told", "allowed"), [(128, 128), (1024, 128)])
def test_a_crowd_beyond_the_descriptors_starves_neither_discovery_nor_dials_nor_the_admin_endpoint(
    tmp_path: Path, told: int, allowed: int
) -> None:
    # at 128 all of them failed with EMFILE, and the director ended with 1 at SIGTERM: its last step opens a file

    async def scene() -> None:
        board, caches = ReturningBoard(), [ScriptedCache(hit) for _ in range(CACHES + 1)]
        addresses = [await cache.start() for cache in caches]
        listed = {f"c{n}": address for n, address in enumerate(addresses[:-1])}
        raw = json.loads(config({**listed, "r0": "127.0.0.1:1"}, board=f"127.0.0.1:{board.port}"))
        raw["limits"]["sockets"] = told
        director, tasks = Processes(tmp_path, raw), []
        try:
            await director.start(descriptors=allowed)
            await director.serving()
            load = Load(director.port, clients=6)
            tasks = [asyncio.create_task(crowd(director.port, b"")) for _ in range(CROWD)]
            tasks += [asyncio.create_task(crowd(director.ops[0], b"GET /he")) for _ in range(CALLERS)]
            # every cache has been dialled, all callers have come, and more clients than there is room for
            await wait_until(lambda: sum(bool(cache.connections) for cache in caches) >= 16, wait=20.0)
            await wait_until(lambda: "new clients wait" in director.log() or load.served > 300, wait=20.0)
            for _ in range(5):
                assert (await director.call("GET", "/healthcheck"))[0] == 200

            board.notices = [*raw["known"]["notices"]]
            board.tell(
                {"pool": {"generation": 2, "reset": False, "instances": instances({"c99": addresses[-1]})}}
            )
            await board.come()
            await wait_until(
                lambda: caches[-1].received, wait=20.0
            )  # the list is followed, and its cache dialled
            assert (await director.call("GET", "/healthcheck"))[0] == 200
            await load.stop()
            # a request of the load may be cut off by its own stop, and a kept one cross a close
            assert not [lost for lost in load.lost if lost.endswith(": 2")] and load.served > 100
            director.all[0].send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(director.all[0].wait(), 20.0) == 0
            assert [line for line in director.log().splitlines() if "Too many open files" in line] == []
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await director.end()
            await board.close()

    asyncio.run(scene())
