"""All faults at once, drawn from a seed, on a whole director over real sockets in virtual time. Checks its guarantees."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import pytest
from harness import REFUSED_ADDRESS, Client, config, running_director, wait_until
from test_discovery_outages import Discovery, DiscoveryState
from test_idle_cache_connections import ConnectionDroppingCache, ConnectionFault, config_with_three_classes
from virtual_time import VirtualClock, virtual

from gladelane.net.client_protocol import FrameType
from gladelane.net.config import read_config
from gladelane.server import Server

DURATION_S = 10.0
CLIENTS, CACHES = 8, 4
SHORT_MS = 60  # caches drop most requests with no more time left than this
WINDOW_MS = 2000.0  # of the keyed class of the harness
RESEND_S = 0.05  # a request whose connection ends within this time is sent once more
LATE_S = 0.5  # an answer up to this long after the deadline is allowed
SERVED = 0


class FaultyCache(ConnectionDroppingCache):
    """Answers after a random time, drops most requests with little time left, and shows each fault for a while."""

    def __init__(self, rng: random.Random, observed: Observations) -> None:
        super().__init__()
        self.rng, self.observed = rng, observed
        self.hangs = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        try:
            while line := (await reader.readline()).decode().split():
                if line[0] != "fetch":
                    continue
                await reader.readexactly(int(line[3]) + 2)
                fields = dict(pair.split("=", 1) for pair in line[2].split(","))
                self.observed.executions[line[1]].append((time.monotonic(), fields["profile"]))
                is_dropped = int(fields["max"]) <= SHORT_MS and self.rng.random() < 0.7
                if writer in self.dropped and self.fault is ConnectionFault.RESET_AT_WRITE:
                    writer.transport.abort()
                elif writer not in self.dropped and not self.hangs and not is_dropped:
                    asyncio.get_running_loop().call_later(
                        self.rng.expovariate(1 / 0.03), self._answer, writer, line[1]
                    )
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def _answer(self, writer: asyncio.StreamWriter, id_: str) -> None:
        if not writer.is_closing():
            writer.write(f"{id_} served digest=aa,dated=1,remark=h 16\r\n{id_}\r\n".encode())


@dataclass
class Observations:
    """What the clients and the caches observed."""

    executions: defaultdict[str, list[tuple[float, str]]] = field(default_factory=lambda: defaultdict(list))
    violations: list[str] = field(default_factory=list)
    served: int = 0
    requested: int = 0
    resent: int = 0

    def check_executions(self) -> None:
        """Records each request that caches executed more often, or over a longer time, than its class allows."""
        for id_, runs in self.executions.items():
            first_s, cls = min(runs)
            if cls == "order" and len(runs) > 1:
                self.violations.append(f"{id_} ran {len(runs)} times")
            if cls == "sheet" and (max(runs)[0] - first_s) * 1000.0 > WINDOW_MS:
                self.violations.append(f"{id_} ran again after its window")


class RandomClient:
    """Sends one request after another with random idle times, on one connection for as long as that stays open."""

    def __init__(self, number: int, node: Server, observed: Observations, seed: int) -> None:
        self.number, self.node, self.observed = number, node, observed
        self.rng = random.Random(seed * 100 + number)
        self.client: Client | None = None
        self.stream = 0

    async def run(self, until_s: float) -> None:
        request_count = 0
        while time.monotonic() < until_s:
            request_count += 1
            await self._request(f"{self.number:08x}{request_count:08x}")
            is_idle = self.rng.random() < 0.1
            await asyncio.sleep(self.rng.uniform(1.0, 4.5) if is_idle else self.rng.expovariate(1 / 0.08))
        if self.client is not None:
            self.client.writer.close()

    async def _request(self, id_: str) -> None:
        self.observed.requested += 1
        cls = self.rng.choices(("film", "sheet", "order"), (4, 3, 3))[0]
        wait_ms = self.rng.choice((15, 40, 60, 400, 1500, 2500))
        for _ in range(2):
            sent_s = time.monotonic()
            code = await self._send(id_, cls, wait_ms)
            elapsed_s = time.monotonic() - sent_s
            if code is None:
                self.client = None
                if elapsed_s <= RESEND_S:
                    self.observed.resent += 1
                    continue
                self.observed.violations.append(f"{id_} was lost after {elapsed_s:.3f} s")
                return
            self.observed.served += code == SERVED
            if elapsed_s > wait_ms / 1000.0 + LATE_S:
                self.observed.violations.append(f"{id_} was answered after {elapsed_s:.3f} s of {wait_ms} ms")
            return
        self.observed.violations.append(f"{id_} was lost twice")

    async def _send(self, id_: str, cls: str, wait_ms: int) -> int | None:
        """The result code, or None if the connection ended instead."""
        try:
            if self.client is None:
                self.client, self.stream = await Client.connect(self.node.port), 0
            self.stream += 1
            self.client.ask(self.stream, i=id_, c=cls, k=id_, o=id_, d=str(wait_ms))
            while True:
                type_, stream, code, _, body = await self.client.next(10.0)
                if type_ != FrameType.ANSWER:
                    continue
                if stream != self.stream or (code == SERVED and body != id_.encode()):
                    self.observed.violations.append(
                        f"{id_} got the answer to another request, or a second answer"
                    )
                return code
        except (EOFError, OSError):
            return None


async def cause_faults(
    rng: random.Random,
    node: Server,
    caches: list[FaultyCache],
    discoveries: list[Discovery],
    raw_configs: list[Any],
) -> None:
    """Causes random faults until cancelled, at random times."""
    while True:
        await asyncio.sleep(rng.expovariate(1 / 0.25))
        cache = rng.choice(caches)
        match rng.randrange(5):
            case 0 | 1:
                cache.drop_connections(rng.choice(list(ConnectionFault)))
            case 2:
                cache.hangs = not cache.hangs and rng.random() < 0.5
            case 3:
                await rng.choice(discoveries).set_state(
                    rng.choice([DiscoveryState.UP, DiscoveryState.UP, *DiscoveryState])
                )
            case 4:
                for _ in range(rng.randrange(1, 4)):
                    node.reload(read_config(rng.choice(raw_configs)))
        number = rng.randrange(CACHES)
        state = rng.choice(["in_service", "in_service", "terminating"])
        for discovery in discoveries:
            discovery.publish_member(f"c{number}", state, address_in_config(raw_configs[0], number))


def address_in_config(raw: bytes, number: int) -> str:
    instances = json.loads(raw)["known"]["notices"][0]["pool"]["instances"]
    return str(next(member["hostPort"] for member in instances if member["instanceId"] == f"c{number}"))


@pytest.mark.parametrize("seed", range(2))
def test_guarantees_hold_under_all_faults_at_once(seed: int, caplog: pytest.LogCaptureFixture) -> None:
    @virtual
    async def scenario(clock: VirtualClock) -> None:
        rng, observed = random.Random(seed), Observations()
        caches = [FaultyCache(random.Random(seed * 10 + n), observed) for n in range(CACHES)]
        origin = FaultyCache(random.Random(seed * 10 + 9), observed)
        stores = {
            **{f"c{n}": await cache.start() for n, cache in enumerate(caches)},
            "r0": await origin.start(),
        }
        discoveries = [Discovery(), Discovery()]
        discovery_addresses = [await discovery.start() for discovery in discoveries]
        raw_configs = [
            make_config(stores, discovery, max_attempts)
            for discovery in discovery_addresses
            for max_attempts in (2, 4)
        ]
        async with running_director(raw_configs[0]) as (node, first):
            first.writer.close()
            task = asyncio.create_task(
                cause_faults(rng, node, [*caches, origin, origin], discoveries, raw_configs)
            )
            until_s = time.monotonic() + DURATION_S
            clients = [RandomClient(number, node, observed, seed) for number in range(CLIENTS)]
            await asyncio.gather(*(client.run(until_s) for client in clients))
            task.cancel()
            await wait_until(lambda: not node.director.live)
            for discovery in discoveries:
                await discovery.set_state(DiscoveryState.REFUSES)
        observed.check_executions()
        assert observed.violations == []
        assert observed.requested > 80 and observed.served > 0.3 * observed.requested

    with caplog.at_level(logging.ERROR):
        scenario()
    errors = [
        r for r in caplog.records if r.name.startswith("gladelane") and not r.message.startswith("bad event")
    ]
    assert errors == []


def make_config(stores: dict[str, str], discovery: str, max_attempts: int) -> bytes:
    raw = json.loads(config_with_three_classes(REFUSED_ADDRESS, max_attempts=max_attempts))
    raw.update(board=discovery, known=json.loads(config(stores))["known"])
    return json.dumps(raw).encode()
