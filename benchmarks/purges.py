"""Fleet-wide purges: whether any answer comes from a copy older than a purge, once the stated delay is over.

`python -m benchmarks.purges [--quick]`: directors and feeds as processes of their own on loopback, caches, a
hub, an origin and a notice board as stand-ins here. Purges go to either feed while directors are restarted,
feeds killed and the hub comes back with old copies; every answer's body is its copy's date. Then both feeds
are killed, to see what directors that are cut off ask of the origin. The same without feeds must show old
copies, else the check proves nothing. Exits with 1 if an answer was stale after the delay, one was lost, or
the check proved nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from bisect import bisect_left
from collections import Counter
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import conclude
from gladelane.control_plane.http import HttpStatusError, fetch
from gladelane.endpoints.address import Family
from gladelane.lab.client import Client
from gladelane.lab.fake_cache_store import FakeCacheStore, now_ms
from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.lab.fake_server import FakeServer, Fault
from gladelane.lab.fleet.rules import SLACK_MS, Made, Purged, stale
from gladelane.purges.active_purges import ActivePurges
from gladelane.purges.purge import IssuerSequence, Purge
from gladelane.purges.scope import parse
from gladelane.purges.wire import encode_purge, purge_decoder
from gladelane.storage import without_gc
from gladelane.storage.files import Folder
from gladelane.storage.log import recover

ROOT = Path(__file__).parent.parent
TOKEN = "benchmark-token-of-this-run"
DELAY_MS = 2000.0  # the stated delay
STRICT, LOOSE = "question-item", "video-part"
OBJECTS = 300
CUT_OFF_PER_S = 20.0


def object_id(number: int) -> str:
    return f"{number * 0x9E3779B97F4A7C15 & (2**64 - 1):016x}"


def group_of(number: int) -> int:
    return number % 16


class World:
    """The fleet: four caches, a hub, the origin, two feeds and three directors."""

    def __init__(self, folder: Path, directors: int, feeds: int) -> None:
        self.folder = folder
        self.board = FakeDiscovery()
        self.origin = FakeCacheStore()
        self.hub = FakeCacheStore({"bank": self.origin}, 0.02)
        self.caches = [FakeCacheStore({"depot": self.hub, "bank": self.origin}, 0.01) for _ in range(4)]
        self.standins: dict[str, FakeServer] = {}
        self.addresses: dict[str, str] = {}
        self.feeds: list[subprocess.Popen[bytes]] = []
        self.feed_ports: list[int] = []
        self.directors: list[subprocess.Popen[bytes]] = []
        self.ports: list[int] = []
        self.clients: list[Client | None] = [None] * directors
        self.usable = [False] * directors
        self.counts = directors, feeds
        self.restarts: Counter[str] = Counter()

    async def start(self, with_feeds: bool) -> None:
        shelves = {"depot": self.hub, "bank": self.origin}
        shelves |= {f"cache-{n}": shelf for n, shelf in enumerate(self.caches)}
        groups = {object_id(n): group_of(n) for n in range(OBJECTS)}
        for name, shelf in shelves.items():
            standin = self.standins[name] = FakeServer(name, shelf.answer)
            shelf.groups = groups
            standin.drop = shelf.drop
            self.addresses[name] = await standin.listen(Family.V4)
        board = await self.board.start()
        self.board.tell(
            {
                "pool": {
                    "generation": 1,
                    "reset": True,
                    "instances": [self._instance(name, 0.0) for name in shelves],
                }
            }
        )
        (self.folder / "tokens").write_text(f"bench {TOKEN}\n")
        if with_feeds:
            self.feed_ports = [free_port() for _ in range(self.counts[1])]
            self.feeds = [self._feed(n) for n in range(self.counts[1])]
            await asyncio.gather(*(self._feed_ready(n) for n in range(self.counts[1])))
        raw = json.loads((ROOT / "example" / "config.json").read_text())
        for n in range(self.counts[0]):
            self.ports.append(free_port())
            raw |= {"name": f"n{n}", "listen": f"127.0.0.1:{self.ports[n]}", "board": board}
            (self.folder / f"director-{n}.json").write_text(json.dumps(raw))
            operator = (
                {
                    "purges": {
                        "feeds": [f"127.0.0.1:{port}" for port in self.feed_ports],
                        "delay_ms": DELAY_MS,
                        "token_file": str(self.folder / "tokens"),
                        "dir": str(self.folder / f"kept-{n}"),
                        "strict": [STRICT],
                        "cut_off_per_s": CUT_OFF_PER_S,
                        "order_kinds": ["standard", "parent"],
                    }
                }
                if with_feeds
                else {}
            )
            (self.folder / f"operator-{n}.json5").write_text(json.dumps(operator))
            self.directors.append(self._director(n))
        await asyncio.gather(*(self._director_ready(n) for n in range(self.counts[0])))

    def _instance(self, name: str, started: float) -> dict[str, Any]:
        kind = {"depot": "parent", "bank": "origin"}.get(name, "standard")
        return {
            "instanceId": name,
            "hostPort": self.addresses[name],
            "machineType": kind,
            "zone": "branch" if kind == "standard" else "hub",
            "lifecycle": "in_service",
            "weight": 20,
            "startedAtMs": started,
        }

    def _feed(self, n: int) -> subprocess.Popen[bytes]:
        others = [f"127.0.0.1:{port}" for k, port in enumerate(self.feed_ports) if k != n]
        peers = [word for other in others for word in ("--peer", other)]
        command = [
            sys.executable,
            "-c",
            "from gladelane.cli import main; main()",
            "purge",
            "serve",
            "--first",
            "--dir",
            str(self.folder / f"feed-{n}"),
            "--tokens",
            str(self.folder / "tokens"),
            "--listen",
            f"127.0.0.1:{self.feed_ports[n]}",
            "--name",
            f"feed-{n}",
            *peers,
        ]
        return subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)

    async def _feed_ready(self, n: int) -> None:
        async with asyncio.timeout(20.0):
            while True:
                with contextlib.suppress(OSError, TimeoutError):
                    await fetch("127.0.0.1", self.feed_ports[n], "GET", "/status", TOKEN)
                    return
                await asyncio.sleep(0.05)

    def _director(self, n: int) -> subprocess.Popen[bytes]:
        path = self.folder / f"director-{n}.json"
        raw = json.loads(path.read_text())
        raw["known"] = self.board.known()
        path.write_text(json.dumps(raw))
        env = {**os.environ, "GW_CONFIG": str(path), "GW_OPERATOR": str(self.folder / f"operator-{n}.json5")}
        with open(self.folder / f"director-{n}.log", "ab") as log:
            return subprocess.Popen([sys.executable, "-m", "gladelane"], cwd=ROOT, env=env, stderr=log)

    async def _director_ready(self, n: int) -> None:
        async with asyncio.timeout(20.0):
            while True:
                with contextlib.suppress(OSError):
                    self.clients[n] = await Client.to("127.0.0.1", self.ports[n])
                    break
                await asyncio.sleep(0.02)
        self.usable[n] = True

    async def restart_director(self, n: int) -> None:
        self.usable[n] = False
        await asyncio.sleep(0.05)
        self.directors[n].send_signal(signal.SIGTERM)
        client, self.clients[n] = self.clients[n], None
        await asyncio.to_thread(self.directors[n].wait)
        if client is not None:
            await client.close()
        self.directors[n] = self._director(n)
        await self._director_ready(n)
        self.restarts["director"] += 1

    async def restart_feed(self, n: int) -> None:
        self.feeds[n].kill()
        await asyncio.to_thread(self.feeds[n].wait)
        await asyncio.sleep(0.2)
        self.feeds[n] = self._feed(n)
        await self._feed_ready(n)
        self.restarts["feed"] += 1

    async def restart_hub(self) -> None:
        """It comes back with the copies that it held some seconds before."""
        old = dict(self.hub.copies)
        await asyncio.sleep(1.0)
        await self.standins["depot"].set(self.addresses["depot"], Fault.REFUSED)
        gone = {**self._instance("depot", 0.0), "lifecycle": "terminated"}
        self.board.tell({"pool": {"instances": [gone]}})
        await asyncio.sleep(0.3)
        self.hub.copies = old
        await self.standins["depot"].set(self.addresses["depot"], Fault.NONE)
        self.board.tell({"pool": {"instances": [self._instance("depot", now_ms())]}})
        self.restarts["hub"] += 1

    async def close(self) -> None:
        for client in self.clients:
            if client is not None:
                await client.close()
        for process in (*self.directors, *self.feeds):
            process.kill()
            await asyncio.to_thread(process.wait)
        await self.board.close()
        for standin in self.standins.values():
            await standin.close()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Load:
    """Clients that ask for popular objects, and an operator who purges."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.rng = random.Random(seed)
        self.made: list[Made] = []
        self.purges: list[Purged] = []
        self.lost = self.refused = self.failed = self.asked = 0
        self.running = True
        self.weights = [1.0 / (n + 1) for n in range(OBJECTS)]

    async def ask(self) -> None:
        while self.running:
            n = self.rng.choices(range(OBJECTS), self.weights)[0]
            ready = [k for k, usable in enumerate(self.world.usable) if usable]
            client = self.world.clients[self.rng.choice(ready)] if ready else None
            if client is None:
                await asyncio.sleep(0.01)
                continue
            cls, part = (STRICT if n % 2 else LOOSE), self.rng.randrange(2)
            fields = {
                "c": cls,
                "i": f"{self.rng.getrandbits(64):016x}",
                "d": "1500",
                "o": object_id(n),
                "chunk": str(part),
                "tag": str(group_of(n)),
                "m": "4",
            }
            self.asked += 1
            sent = now_ms()
            answer = await client.ask(fields, patience_s=4.0)
            if answer is None:
                self.lost += 1
            elif answer.code == 0:
                dated = float(answer.body[1:] or 0)
                self.made.append(Made(cls, group_of(n), int(object_id(n), 16), part, sent, dated))
            elif answer.code == 1:
                self.refused += 1
                await asyncio.sleep(0.05)
            else:
                self.failed += 1
            await asyncio.sleep(0.002)

    def scope(self) -> tuple[str, dict[str, str]]:
        n = self.rng.randrange(OBJECTS)
        match self.rng.randrange(10):
            case 0:
                return f"group:{self.rng.randrange(16)} & class:{LOOSE}", {}
            case 1:
                return f"objects:{object_id(n)[:2]}* & parts:0", {}
            case 2:
                things = [object_id(self.rng.randrange(OBJECTS)) for _ in range(4)]
                return "tag:signs", {"signs": " | ".join(f"object:{thing}" for thing in things)}
            case 3:
                return f"objects:*{object_id(n)[-1]} & group:{group_of(n)}", {}
        return f"object:{object_id(n)}", {}

    async def purge(self, count: int, each_s: float) -> None:
        for turn in range(count):
            text, tags = self.scope()
            body = json.dumps({"scope": text, "tags": tags}).encode()
            while True:
                port = self.rng.choice(self.world.feed_ports)
                try:
                    told = json.loads(
                        await fetch(
                            "127.0.0.1", port, "POST", "/purges", TOKEN, body, {"Idempotency-Key": f"k{turn}"}
                        )
                    )
                    break
                except (OSError, HttpStatusError, TimeoutError):
                    await asyncio.sleep(0.02)
            self.purges.append(Purged(told["at_ms"], parse(told["scope"])))
            await asyncio.sleep(each_s)


def stale_by_scan(made: list[Made], purges: list[Purged], delay_ms: float, most: int) -> int:
    """The same by the plainest scan over some of the answers: the index must not vouch for itself."""
    step = max(len(made) // most, 1)
    return sum(
        any(
            at + delay_ms <= a.sent_ms
            and a.dated_ms + SLACK_MS < at
            and scope.covers(a.cls, a.group, a.object, a.part)
            for at, scope, *_ in purges
        )
        for a in made[::step]
    )


def delays(made: list[Made], purges: list[Purged]) -> list[float]:
    """For each purge, how long after it the last answer from an older copy was sent; 0: none was."""
    made = sorted(made, key=lambda answer: answer.sent_ms)
    sent = [answer.sent_ms for answer in made]
    found = []
    for at, scope, *_ in purges:
        late = 0.0
        for a in made[bisect_left(sent, at) : bisect_left(sent, at + 2 * DELAY_MS)]:
            if a.dated_ms + SLACK_MS < at and scope.covers(a.cls, a.group, a.object, a.part):
                late = a.sent_ms - at
        found.append(late)
    return found


def peak(times: list[float], start: float, end: float) -> float:
    """The most in any second."""
    bins = Counter(int(at - start) for at in times if start <= at < end)
    return float(max(bins.values(), default=0))


async def run(count: int, each_s: float, restarts: int, with_feeds: bool, seed: int) -> dict[str, Any]:
    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory(prefix="gl") as folder:
        world = World(Path(folder), 3, 2)
        try:
            await world.start(with_feeds)
            load = Load(world, seed)
            workers = [asyncio.create_task(load.ask()) for _ in range(24)]
            await asyncio.sleep(1.0)
            began = loop.time()
            if with_feeds:
                purger = asyncio.create_task(load.purge(count, each_s))
                for turn in range(restarts):
                    match turn % 3:
                        case 0:
                            await world.restart_director(turn // 3 % 3)
                        case 1:
                            await world.restart_feed(turn // 3 % 2)
                        case 2:
                            await world.restart_hub()
                await purger
            else:  # what would have been purged, and is told to nobody
                for _ in range(count):
                    text, tags = load.scope()
                    load.purges.append(Purged(now_ms(), parse(text, tags)))
                    await asyncio.sleep(each_s)
            await asyncio.sleep(DELAY_MS / 1000.0 + 0.5)
            ended = loop.time()
            figures: dict[str, Any] = {}
            if with_feeds:
                normal = peak(world.origin.asked, began, ended)
                before = load.refused
                for feed in world.feeds:
                    feed.kill()
                await asyncio.sleep(DELAY_MS / 1000.0 + 1.0)
                start = loop.time()
                await asyncio.sleep(3.0)
                figures["origin_peak_ratio"] = round(peak(world.origin.asked, start, loop.time()) / normal, 2)
                figures["refused_cut_off"] = load.refused - before
                await asyncio.gather(*(world.restart_feed(n) for n in range(2)))
                await asyncio.sleep(1.5)
            load.running = False
            await asyncio.gather(*workers)
            twice = sum(
                1
                for client in world.clients
                if client is not None
                for times in client.answers.values()
                if times != 1
            )
            late = delays(load.made, load.purges)
            return figures | {
                "purges": len(load.purges),
                "answers": len(load.made),
                "asked": load.asked,
                "refused": load.refused,
                "failed": load.failed,
                "lost": load.lost,
                "answered_twice": twice,
                "stale": len(stale(load.made, load.purges, DELAY_MS)),
                "restarts": dict(world.restarts),
                "stale_by_scan": stale_by_scan(load.made, load.purges, DELAY_MS, 2000),
                "delay_ms_p99": round(statistics.quantiles(late, n=100, method="inclusive")[98], 1),
                "delay_ms_most": round(max(late), 1),
                "dropped_by_order": sum(shelf.dropped for shelf in (*world.caches, world.hub)),
                "joined_fills": sum(shelf.joins for shelf in world.caches),
            }
        finally:
            await world.close()


# --- data structures


def mixed(rng: random.Random) -> str:
    match rng.randrange(20):
        case n if n < 10:
            return f"object:{rng.getrandbits(64):016x}"
        case n if n < 12:
            return f"objects:{rng.getrandbits(40):010x}* & class:{STRICT}"
        case n if n < 15:
            return f"objects:{rng.getrandbits(48):012x}*"
        case 15:
            return f"group:{rng.randrange(256)} & objects:{rng.getrandbits(32):08x}*"
        case n if n < 18:
            low = rng.getrandbits(63)
            return f"objects:{low:016x}..{low + rng.getrandbits(40):016x}"
        case 18:
            return f"object:{rng.getrandbits(64):016x} & parts:{rng.randrange(5)}"
    return f"objects:*{rng.getrandbits(16):04x}"


def structures(count: int) -> dict[str, Any]:
    rng = random.Random(3)
    now = now_ms()
    stamps = IssuerSequence("bench", (), 0.0, now)
    purges = [stamps.next(parse(mixed(rng)).text(), now + n / 100.0) for n in range(count)]
    tracemalloc.start()
    standing = ActivePurges(keeps_purges=False)
    for purge in purges[: count // 5]:
        standing.apply(purge, now)
    held = tracemalloc.get_traced_memory()[0] / (count // 5)
    tracemalloc.stop()
    standing = ActivePurges(keeps_purges=False)
    for purge in purges:
        standing.apply(purge, now)
    popular = [rng.getrandbits(64) for _ in range(20_000)]
    chosen = rng.choices(popular, [1.0 / (n + 1) for n in range(len(popular))], k=50_000)
    asked = [(STRICT, rng.randrange(256), thing, 0) for thing in chosen]
    took = []
    for _ in range(3):
        began = time.perf_counter()
        for request in asked:
            standing.index.newest(*request, now)
        took.append((time.perf_counter() - began) / len(asked) * 1e6)
    scopes = [(purge.at_ms, parse(purge.scope)) for purge in purges]
    began = time.perf_counter()
    for request in asked[:2]:
        scan = max((at for at, scope in scopes if scope.covers(*request)), default=0.0)
        assert scan == standing.index.newest(*request, now)
    scanned = (time.perf_counter() - began) / 2 * 1e6
    with tempfile.TemporaryDirectory(prefix="gl") as folder:
        disk = Folder(folder)
        log, _ = recover(disk, "never")
        for purge in purges:
            log.append(encode_purge(purge))
        log.commit()
        log.close()
        began = time.perf_counter()
        found = recover(Folder(folder))[1]
        recovery = (time.perf_counter() - began) * 1000.0
        began = time.perf_counter()
        again = ActivePurges()
        with without_gc():
            for record in found.records:
                again.apply(purge_decoder.decode(record), now)
        rebuilt = (time.perf_counter() - began) * 1000.0
    assert len(found.records) == count and isinstance(purges[0], Purge)
    return {
        "standing": count,
        "lookup_us": round(min(took), 2),
        "lookup_us_scan": round(scanned),
        "bytes_per_purge": round(held),
        "recovery_ms": round(recovery + rebuilt),
        "recovery_log_ms": round(recovery),
    }


def main() -> int:
    quick = "--quick" in sys.argv[1:]
    figures: dict[str, Any] = {"quick": quick}
    count, each_s, restarts = (300, 0.02, 3) if quick else (5_000, 0.02, 50)
    figures |= uvloop.run(run(count, each_s, restarts, True, 5))
    off = uvloop.run(run(40 if quick else 300, 0.02, 0, False, 6))
    figures["stale_after_delay"] = figures.pop("stale")
    figures["stale_without_bound"] = off["stale"]
    figures |= structures(100_000)
    broken = [n for n in ("stale_after_delay", "stale_by_scan", "lost", "answered_twice") if figures[n]]
    if not figures["stale_without_bound"]:
        broken.append("stale_without_bound")
    if figures["lookup_us_scan"] < 100 * figures["lookup_us"]:
        broken.append("lookup_us")
    return conclude(figures, broken)


if __name__ == "__main__":
    sys.exit(main())
