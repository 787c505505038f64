"""All troubles at once, drawn by a seed: a whole director over real sockets in virtual time, its rules watched."""

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
from harness import Client, config, running_director, wait_until
from test_beyond_discovery import Discovery, State
from test_beyond_idle import ForgetfulCache, Trouble, three_classes
from virtual_time import VirtualClock, virtual

from gladelane.net.client_protocol import Type
from gladelane.net.config import read_config
from gladelane.server import Server

REFUSED = "127.0.0.1:1"
DAY_S = 10.0
CLIENTS, CACHES = 8, 4
SHORT_MS = 60
WINDOW_MS = 2000.0  # of the harness's keyed class
CROSSING_S = 0.05  # a request that crosses the end of a connection by no more is sent once more
LATE_S = 0.5
SERVED = 0


class TroubledCache(ForgetfulCache):
    """Answers after a while, drops what has no time left, and has each trouble for a time."""

    def __init__(self, rng: random.Random, day: Day) -> None:
        super().__init__()
        self.rng, self.day = rng, day
        self.hangs = False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        try:
            while line := (await reader.readline()).decode().split():
                if line[0] != "fetch":
                    continue
                await reader.readexactly(int(line[3]) + 2)
                fields = dict(pair.split("=", 1) for pair in line[2].split(","))
                self.day.ran[line[1]].append((time.monotonic(), fields["profile"]))
                is_dropped = int(fields["max"]) <= SHORT_MS and self.rng.random() < 0.7
                if writer in self.forgotten and self.trouble is Trouble.RESET_AT_WRITE:
                    writer.transport.abort()
                elif writer not in self.forgotten and not self.hangs and not is_dropped:
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
class Day:
    """What clients and caches saw."""

    ran: defaultdict[str, list[tuple[float, str]]] = field(default_factory=lambda: defaultdict(list))
    broken: list[str] = field(default_factory=list)
    served: int = 0
    asked: int = 0
    crossed: int = 0

    def judge(self) -> None:
        for id_, runs in self.ran.items():
            first_s, cls = min(runs)
            if cls == "order" and len(runs) > 1:
                self.broken.append(f"{id_} ran {len(runs)} times")
            if cls == "sheet" and (max(runs)[0] - first_s) * 1000.0 > WINDOW_MS:
                self.broken.append(f"{id_} ran again after its window")


class DayClient:
    """Asks, rests, and asks again, on a connection that it keeps while it can."""

    def __init__(self, number: int, node: Server, day: Day, seed: int) -> None:
        self.number, self.node, self.day = number, node, day
        self.rng = random.Random(seed * 100 + number)
        self.client: Client | None = None
        self.stream = 0

    async def live(self, until_s: float) -> None:
        asked = 0
        while time.monotonic() < until_s:
            asked += 1
            await self._ask(f"{self.number:08x}{asked:08x}")
            rests = self.rng.random() < 0.1
            await asyncio.sleep(self.rng.uniform(1.0, 4.5) if rests else self.rng.expovariate(1 / 0.08))
        if self.client is not None:
            self.client.writer.close()

    async def _ask(self, id_: str) -> None:
        self.day.asked += 1
        cls = self.rng.choices(("film", "sheet", "order"), (4, 3, 3))[0]
        wait_ms = self.rng.choice((15, 40, 60, 400, 1500, 2500))
        for _ in range(2):
            sent_s = time.monotonic()
            code = await self._try(id_, cls, wait_ms)
            took_s = time.monotonic() - sent_s
            if code is None:
                self.client = None
                if took_s <= CROSSING_S:
                    self.day.crossed += 1
                    continue
                self.day.broken.append(f"{id_} was lost after {took_s:.3f} s")
                return
            self.day.served += code == SERVED
            if took_s > wait_ms / 1000.0 + LATE_S:
                self.day.broken.append(f"{id_} was answered after {took_s:.3f} s of {wait_ms} ms")
            return
        self.day.broken.append(f"{id_} was lost twice")

    async def _try(self, id_: str, cls: str, wait_ms: int) -> int | None:
        """None: the connection ended instead."""
        try:
            if self.client is None:
                self.client, self.stream = await Client.connect(self.node.port), 0
            self.stream += 1
            self.client.ask(self.stream, i=id_, c=cls, k=id_, o=id_, d=str(wait_ms))
            while True:
                type_, stream, code, _, body = await self.client.next(10.0)
                if type_ != Type.ANSWER:
                    continue
                if stream != self.stream or (code == SERVED and body != id_.encode()):
                    self.day.broken.append(f"{id_} got another's answer, or one more")
                return code
        except (EOFError, OSError):
            return None


async def trouble(
    rng: random.Random, node: Server, caches: list[TroubledCache], discovery: list[Discovery], raws: list[Any]
) -> None:
    """One after another, some at once."""
    while True:
        await asyncio.sleep(rng.expovariate(1 / 0.25))
        cache = rng.choice(caches)
        match rng.randrange(5):
            case 0 | 1:
                cache.forget(rng.choice(list(Trouble)))
            case 2:
                cache.hangs = not cache.hangs and rng.random() < 0.5
            case 3:
                await rng.choice(discovery).become(rng.choice([State.UP, State.UP, *State]))
            case 4:
                for _ in range(rng.randrange(1, 4)):
                    node.reload(read_config(rng.choice(raws)))
        number = rng.randrange(CACHES)
        state = rng.choice(["in_service", "in_service", "terminating"])
        for one in discovery:
            one.tell_state(f"c{number}", state, raws_address(raws[0], number))


def raws_address(raw: bytes, number: int) -> str:
    instances = json.loads(raw)["known"]["notices"][0]["pool"]["instances"]
    return str(next(one["hostPort"] for one in instances if one["instanceId"] == f"c{number}"))


@pytest.mark.parametrize("seed", range(2))
def test_rules_hold_while_all_of_it_happens(seed: int, caplog: pytest.LogCaptureFixture) -> None:
    @virtual
    async def scene(clock: VirtualClock) -> None:
        rng, day = random.Random(seed), Day()
        caches = [TroubledCache(random.Random(seed * 10 + n), day) for n in range(CACHES)]
        origin = TroubledCache(random.Random(seed * 10 + 9), day)
        stores = {
            **{f"c{n}": await cache.start() for n, cache in enumerate(caches)},
            "r0": await origin.start(),
        }
        discovery = [Discovery(), Discovery()]
        boards = [await one.start() for one in discovery]
        raws = [configured(stores, board, most) for board in boards for most in (2, 4)]
        async with running_director(raws[0]) as (node, first):
            first.writer.close()
            task = asyncio.create_task(trouble(rng, node, [*caches, origin, origin], discovery, raws))
            until_s = time.monotonic() + DAY_S
            clients = [DayClient(number, node, day, seed) for number in range(CLIENTS)]
            await asyncio.gather(*(client.live(until_s) for client in clients))
            task.cancel()
            await wait_until(lambda: not node.director.live)
            for one in discovery:
                await one.become(State.REFUSES)
        day.judge()
        assert day.broken == []
        assert day.asked > 80 and day.served > 0.3 * day.asked

    with caplog.at_level(logging.ERROR):
        scene()
    faults = [
        r for r in caplog.records if r.name.startswith("gladelane") and not r.message.startswith("bad event")
    ]
    assert faults == []


def configured(stores: dict[str, str], board: str, most: int) -> bytes:
    raw = json.loads(three_classes(REFUSED, max_attempts=most))
    raw.update(board=board, known=json.loads(config(stores))["known"])
    return json.dumps(raw).encode()
