"""Ports of fake servers, which stay theirs while a fault closes the listener."""

from __future__ import annotations

import asyncio
import random
import subprocess
import time
from pathlib import Path

import pytest

from gladelane.endpoints.address import Family, parse
from gladelane.lab.fake_server import FakeServer, Fault, Seen
from gladelane.lab.fleet.ports import release_port, reserve_port
from gladelane.lab.free_ports import MAX_CHOICES, free_port

OUTGOING = Path("/proc/sys/net/ipv4/ip_local_port_range")


async def answer(seen: Seen) -> tuple[str, bytes]:
    del seen
    return "served", b""


@pytest.mark.parametrize("family", [Family.V4, Family.V6])
def test_no_outgoing_connection_can_take_the_port_of_a_server_that_refuses(family: Family) -> None:
    """One did as a run's store came up anew: its listener could not be bound again."""
    first_outgoing = int(OUTGOING.read_text().split()[0])

    async def scene() -> None:
        server = FakeServer("s", answer)
        addresses = [await server.listen(family) for _ in range(20)]
        assert all(parse(address).port < first_outgoing for address in addresses)
        assert len(set(addresses)) == len(addresses)
        for fault in (Fault.REFUSED, Fault.NONE):
            for address in addresses:
                await server.set(address, fault)
        await server.close()

    asyncio.run(scene())


def test_a_server_refuses_while_a_process_that_is_being_started_holds_its_listener() -> None:
    # Guards against a fleet run that ends with EADDRINUSE: a forked process has the listener until its program runs.
    async def scenario() -> None:
        server = FakeServer("s", answer)
        address = await server.listen(Family.V4)
        start = asyncio.create_task(asyncio.to_thread(start_slowly))
        await asyncio.sleep(0.1)  # the process is forked, and its program does not run yet
        await server.set(address, Fault.REFUSED)
        await server.set(address, Fault.NONE)
        (await start).wait()
        await server.close()

    asyncio.run(scenario())


def start_slowly() -> subprocess.Popen[bytes]:
    """Starts a process whose program runs 0.4 s after the fork."""
    return subprocess.Popen(["true"], preexec_fn=lambda: time.sleep(0.4))


def test_a_reserved_port_is_not_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fake server took the port of a director that did not listen yet, and the director's clients asked there."""
    port = reserve_port(random.Random())

    class OnePort:
        def sample(self, ports: range, count: int) -> list[int]:
            return [port]

    monkeypatch.setattr("gladelane.lab.free_ports.SystemRandom", OnePort)
    with pytest.raises(OSError, match="no free port"):
        free_port()
    release_port(port)
    assert free_port() == port


def test_a_port_with_a_listener_is_not_free(monkeypatch: pytest.MonkeyPatch) -> None:
    port = free_port()

    class OnePort:
        def sample(self, ports: range, count: int) -> list[int]:
            assert port in ports and count == MAX_CHOICES
            return [port]

    monkeypatch.setattr("gladelane.lab.free_ports.SystemRandom", OnePort)
    assert free_port() == port

    async def scene() -> None:
        async with await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", port):
            with pytest.raises(OSError, match="no free port"):
                free_port()

    asyncio.run(scene())
