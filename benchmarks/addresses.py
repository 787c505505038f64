"""Servers with several addresses: what failing addresses cost, and whether anything is ever sent twice.

`python -m benchmarks.addresses [--quick]`, real sockets on loopback, stand-ins of this project. Requests go
through a whole director while each fault in turn strikes the first address of every server; dials are
measured alone, against a plain baseline that tries the listed addresses in turn, a full time-out each. Exits
with 1 if a request was doubled or lost, a keyed one came after its window, a family cost more servers than
stated, or a socket was left behind.
"""

from __future__ import annotations

import asyncio
import json
import random
import resource
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

import uvloop

from benchmarks import conclude
from gladelane.endpoints.address import Family, parse
from gladelane.endpoints.connect import Connect
from gladelane.endpoints.dialer import Dialer, Timer
from gladelane.endpoints.health import DialEnd
from gladelane.endpoints.plan import Endpoints, Options
from gladelane.endpoints.rules import Listing
from gladelane.lab.client import Answer, Client
from gladelane.lab.fake_server import UNIX_ONLY, FakeServer, Fault
from gladelane.lab.fleet.day import memory
from gladelane.net.config import read_config
from gladelane.net.exchange import Attempt
from gladelane.server import Server

T = TypeVar("T")
ROOT = Path(__file__).parent.parent
ORDER = (Family.UNIX, Family.V6, Family.V4)  # in which they are dialled by default
DIAL_MS = 1000.0
WINDOW_S = 2.0  # of answer-submit in example/config.json
FAMILY_MOST = 5  # servers of all that may pay for a family that is broken as a whole
CROSSING_S = (
    0.05  # in which a request may meet its connection's close, and is then asked again once (PROTOCOL)
)
FAULTS = [fault for fault in Fault if fault is not Fault.NONE]


def p99(values: list[float]) -> float:
    return round(statistics.quantiles(values, n=100, method="inclusive")[98], 3)


# --- requests through a director


class Fleet:
    """Six caches, a parent and the origin at three addresses each, and a director in front."""

    def __init__(self) -> None:
        self.standins = {
            name: FakeServer(name) for name in (*(f"cache-{n}" for n in range(6)), "depot", "bank")
        }
        self.addresses: dict[str, list[str]] = {}
        self.sent: Counter[tuple[str, str]] = Counter()  # by server and id, as the module ordered

    async def start(self) -> Server:
        raw = json.loads((ROOT / "example" / "config.json").read_text())
        raw["listen"], raw["board"], raw["limits"]["sockets"] = "127.0.0.1:0", "127.0.0.1:1", 4096
        instances = []
        for name, standin in self.standins.items():
            listed = self.addresses[name] = [await standin.listen(family) for family in ORDER]
            kind = {"depot": "parent", "bank": "origin"}.get(name, "standard")
            instances.append(
                {
                    "instanceId": name,
                    "hostPort": listed[-1],
                    "addresses": listed,
                    "machineType": kind,
                    "zone": "branch" if kind == "standard" else "hub",
                    "lifecycle": "in_service",
                    "weight": 5,
                }
            )
        raw["known"]["notices"][0]["pool"]["instances"] = instances
        node = Server(read_config(json.dumps(raw).encode()))
        send = node.upstream.send

        def counted(attempt: Attempt) -> None:
            self.sent[attempt.store, attempt.exchange.ask.id] += 1
            send(attempt)

        node.upstream.send = counted  # type: ignore[method-assign]
        await node.start()
        return node

    async def strike(self, fault: Fault) -> None:
        """The first address, and of all but Unix faults the second too at every other server."""
        for place, (name, listed) in enumerate(self.addresses.items()):
            await self.standins[name].set(listed[0], fault)
            if place % 2 and fault not in UNIX_ONLY:
                await self.standins[name].set(listed[1], fault)

    async def heal(self) -> None:
        for name, listed in self.addresses.items():
            for address in listed:
                await self.standins[name].set(address, Fault.NONE)

    def doubles(self) -> int:
        """Arrivals at a server beyond the attempts that the module ordered there."""
        arrived = Counter(
            {
                (name, seen): standin.times(seen)
                for name, standin in self.standins.items()
                for seen in {s.id for s in standin.seen}
            }
        )
        return sum(max(count - self.sent[key], 0) for key, count in arrived.items())

    def late_repeats(self) -> int:
        """Keyed requests that reached the origin again after the window in which it drops repeats."""
        first: dict[str, float] = {}
        late = 0
        for seen in self.standins["bank"].seen:
            key = seen.fields.get("replay")
            if key is not None:
                late += seen.at - first.setdefault(key, seen.at) > WINDOW_S
        return late


class Asking:
    """A client as the protocol has it: a connection that the director closed while nothing was open on it is
    replaced, and a request that met such a close is asked again, once. One that was open when its connection
    ended, or got no answer in time, is lost."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._connecting = asyncio.Lock()
        self.clients: list[Client] = []  # the latest is in use
        self.crossed = 0

    async def ask(self, fields: dict[str, str], body: bytes, patience_s: float) -> Answer | None:
        """None: it is lost."""
        for last_try in (False, True):
            try:
                client = await self._connected()
            except OSError:
                return None
            written = time.monotonic()
            answer = await client.ask(fields, body, patience_s)
            crossed = client.ended and time.monotonic() - written <= CROSSING_S
            if answer is not None or not crossed or last_try:
                return answer
            self.crossed += 1
        return None

    async def _connected(self) -> Client:
        """Raises OSError."""
        async with self._connecting:
            if not self.clients or self.clients[-1].ended:
                self.clients.append(await Client.to("127.0.0.1", self._port))
            return self.clients[-1]

    async def close(self) -> None:
        for client in self.clients:
            await client.close()


async def requests(count: int) -> dict[str, Any]:
    fleet = Fleet()
    node = await fleet.start()
    clients = [Asking(node.port) for _ in range(8)]
    rng, codes, lost, asked = random.Random(7), Counter[int](), 0, 0
    share = -(-count // len(FAULTS))

    async def worker(client: Asking, turns: int) -> None:
        nonlocal lost, asked
        for _ in range(turns):
            asked += 1
            fields = {
                "i": f"{rng.getrandbits(64):016x}",
                "d": "1400",
                "o": f"{rng.getrandbits(64):016x}",
                "chunk": "0",
                "tag": "3",
                "m": "4",
                "c": rng.choice(["video-part", "question-item"]),
            }
            if asked % 2:
                fields |= {"c": "answer-submit", "k": f"{rng.getrandbits(64):016x}", "d": "2500"}
            answer = await client.ask(fields, b"answers" if "k" in fields else b"", 5.0)
            if answer is None:
                lost += 1
            else:
                codes[answer.code] += 1

    began = time.perf_counter()
    for fault in FAULTS:
        await fleet.strike(fault)
        await asyncio.gather(*(worker(clients[n % 8], -(-share // 32)) for n in range(32)))
        await fleet.heal()
        await asyncio.sleep(0.05)
    took = time.perf_counter() - began
    await asyncio.sleep(0.2)
    connections = [client for asking in clients for client in asking.clients]
    many = sum(1 for client in connections for times in client.answers.values() if times != 1)
    late, live = fleet.late_repeats(), len(node.director.live)
    for client in clients:
        await client.close()
    await node.close()
    await asyncio.sleep(0.3)
    left = node.upstream._count + node.upstream._extra
    for standin in fleet.standins.values():
        await standin.close()
    return {
        "requests": asked,
        "doubles": fleet.doubles(),
        "lost": lost,
        "crossed": sum(client.crossed for client in clients),
        "reconnected": len(connections) - len(clients),
        "answered_twice": many,
        "late_repeats": late,
        "unfinished": live,
        "sockets_left": left,
        "fault_kinds": len(FAULTS),
        "served": codes[0],
        "refused": codes[1],
        "failed": codes[2],
        "arrivals": sum(len(standin.seen) for standin in fleet.standins.values()),
        "ordered": sum(fleet.sent.values()),
        "requests_per_s": round(asked / took),
    }


# --- dials alone


class Budget:
    """Sockets without a bound, and the loop's own clock."""

    def __init__(self) -> None:
        self.held = 0

    def clock(self) -> float:
        return time.monotonic() * 1000.0

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        delay = max(due_ms - self.clock(), 0.0) / 1000.0
        return asyncio.get_running_loop().call_later(delay, call)

    def spare_sockets(self) -> int:
        return 1000

    def hold(self, sockets: int) -> None:
        self.held += sockets


class Stalls:
    """How long this process stood still, ms: what the machine took from it is no cost of an address."""

    STEP_S = 0.005

    def __init__(self) -> None:
        self.total_ms = 0.0
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(self.STEP_S)
            self.total_ms += max(time.monotonic() - began - self.STEP_S, 0.0) * 1000.0

    def close(self) -> None:
        self._task.cancel()


async def family_pays(
    server: str, endpoints: Endpoints, budget: Budget, stalls: Stalls, broken: Family
) -> bool:
    """Whether a server's dial pays for a broken family: it leads with it, or takes half the time that a race
    gives its first address, without the time that the process stood still."""
    leads = endpoints.plan(server, budget.clock()).addresses[0].family is broken
    stood_ms = stalls.total_ms
    took_ms = await dial(server, endpoints, budget)
    return leads or took_ms - (stalls.total_ms - stood_ms) > endpoints.options.delay_first_ms / 2.0


async def dial(server: str, endpoints: Endpoints, budget: Budget) -> float:
    """The ms until a connection is up."""
    began = budget.clock()
    plan = endpoints.plan(server, began)
    race = Dialer(server, plan, endpoints, budget, DIAL_MS)
    won = await race.winner()
    took = budget.clock() - began
    if isinstance(won, DialEnd):
        raise RuntimeError(f"{server}: {won.name}")
    race.written()
    won[0].close()
    race.close()
    return took


async def plain(addresses: list[str]) -> float:
    """The baseline: the listed order, a full time-out each, nothing learnt."""
    began = time.monotonic()
    for text in addresses:
        up: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        connect = Connect(parse(text), lambda sock, _end, up=up: up.set_result(sock))  # type: ignore[misc]
        try:
            async with asyncio.timeout(DIAL_MS / 1000.0):
                sock = await up
        except TimeoutError:
            connect.cancel()
            continue
        if sock is not None:
            sock.close()
            return (time.monotonic() - began) * 1000.0
    raise RuntimeError("no address came up")


async def crowd(calls: list[Callable[[], Coroutine[Any, Any, T]]], at_once: int) -> list[T]:
    """All of them, so many at once."""
    gate = asyncio.Semaphore(at_once)

    async def one(call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        async with gate:
            return await call()

    return await asyncio.gather(*(one(call) for call in calls))


def known(server: str, listed: list[str]) -> Endpoints:
    endpoints = Endpoints(random.Random(3))
    endpoints.update([Listing(server, listed[-1], addresses=tuple(listed))], complete=True)
    return endpoints


async def dials(quick: bool) -> dict[str, float]:
    standin, budget = FakeServer("s"), Budget()
    listed = [await standin.listen(Family.V6), await standin.listen(Family.V4)]
    many = 100 if quick else 1000
    good = await crowd([lambda: dial("s", known("s", listed), budget) for _ in range(many)], 1)
    base = statistics.median(good)
    await standin.set(listed[0], Fault.BLACK_HOLE)
    first = await crowd([lambda: dial("s", known("s", listed), budget) for _ in range(many)], 16)
    endpoints = known("s", listed)
    await dial("s", endpoints, budget)
    learnt = await crowd([lambda: dial("s", endpoints, budget) for _ in range(many * 4)], 1)
    baseline = await crowd([lambda: plain(listed) for _ in range(many)], 50)
    await standin.close()
    return {
        "dial_ms_p50": round(base, 3),
        "first_dial_added_ms_p99": p99([v - base for v in first]),
        "learnt_added_ms_p99": p99([v - base for v in learnt]),
        "plain_added_ms_p99": p99([v - base for v in baseline]),
        "dial_sockets_left": budget.held,
    }


async def family(servers: int) -> dict[str, int]:
    """All of one family dropped: how many of the servers' first dials pay for it."""
    standins = [FakeServer(f"s{n}") for n in range(servers)]
    listed: dict[str, list[str]] = {}
    for standin in standins:
        listed[standin.name] = [await standin.listen(Family.V6), await standin.listen(Family.V4)]
    for start in range(0, servers, 50):
        holes = (s.set(listed[s.name][0], Fault.BLACK_HOLE) for s in standins[start : start + 50])
        await asyncio.gather(*holes)
    budget, endpoints = Budget(), Endpoints(random.Random(3))
    endpoints.update([Listing(name, texts[1], addresses=tuple(texts)) for name, texts in listed.items()])
    pays = endpoints.options.delay_first_ms / 2.0
    stalls = Stalls()
    paid = await crowd(
        [lambda n=n: family_pays(n, endpoints, budget, stalls, Family.V6) for n in listed],  # type: ignore[misc]
        8,
    )
    stalls.close()
    base = await crowd([lambda t=t: plain(t) for t in listed.values()], 250)  # type: ignore[misc]
    bare = await crowd([lambda n=n: dial(n, known(n, listed[n]), budget) for n in listed], 250)  # type: ignore[misc]
    for standin in standins:
        await standin.close()
    return {
        "family_servers": servers,
        "family_paid": sum(paid),
        "family_paid_plain": sum(v > pays for v in base),
        "family_paid_race_without_memory": sum(v > pays for v in bare),
    }


# --- data structures


def picks(servers: int = 2000, each: int = 8, count: int = 200_000) -> dict[str, float]:
    """Picks over a large list, one in twenty after something was learnt."""
    rng = random.Random(11)
    listings = [
        Listing(
            f"s{n}",
            f"10.{n >> 8}.{n & 255}.1:80",
            addresses=(
                *(f"10.{n >> 8}.{n & 255}.{k}:80" for k in range(2, each // 2 + 1)),
                *(f"[2001:db8:{n:x}::{k}]:80" for k in range(1, each // 2 + 1)),
            ),
        )
        for n in range(servers)
    ]
    tracemalloc.start()
    endpoints = Endpoints(rng, Options())
    endpoints.update(listings, complete=True)
    for listing in listings:
        for address in endpoints.registry.addresses(listing.server):
            endpoints.health.connected(listing.server, address, rng.uniform(0.5, 30.0))
        endpoints.plan(listing.server, 0.0)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    names = [listing.server for listing in listings]
    chosen = [rng.choice(names) for _ in range(count)]
    began = time.perf_counter()
    for place, server in enumerate(chosen):
        if not place % 20:
            address = endpoints.registry.addresses(server)[place % each]
            if place % 3:
                endpoints.health.failed(server, address, DialEnd.REFUSED, float(place))
            else:
                endpoints.health.connected(server, address, 3.0)
        plan = endpoints.plan(server, float(place))
        if plan.address_to_check is not None:  # as the pool does, and it gets through
            endpoints.health.check_started(server, plan.address_to_check)
            endpoints.health.connected(server, plan.address_to_check, 3.0)
    mixed = time.perf_counter() - began
    began = time.perf_counter()
    for server in names * 5:
        endpoints._plans.pop(server, None)
        endpoints.plan(server, float(count))
    fresh = time.perf_counter() - began
    return {
        "pick_us": round(mixed / count * 1e6, 2),
        "pick_anew_us": round(fresh / len(names) / 5 * 1e6, 1),
        "bytes_per_address": round(held / servers / each),
    }


def main() -> int:
    quick = "--quick" in sys.argv[1:]
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    # socket files come and go with each fault: on a disk that others write to that may hold this process up
    tempfile.tempdir = memory()
    servers = min(500, (hard - 500) // 6)  # a listener, its fillers and a good listener each, and the dials
    metrics: dict[str, Any] = {"quick": quick}
    metrics |= uvloop.run(requests(2_000 if quick else 20_000))
    metrics |= uvloop.run(dials(quick))
    metrics |= uvloop.run(family(servers))
    metrics |= picks()
    broken = [
        name
        for name in (
            "doubles",
            "lost",
            "answered_twice",
            "late_repeats",
            "unfinished",
            "sockets_left",
            "dial_sockets_left",
        )
        if metrics[name]
    ]
    if metrics["family_paid"] > FAMILY_MOST:
        broken.append("family_paid")
    return conclude(metrics, broken)


if __name__ == "__main__":
    sys.exit(main())
