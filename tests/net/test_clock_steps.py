"""Director processes whose wall clock is stepped while they run: each request gets one final answer in time."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from core_wait_time import get_core_wait_s
from harness import ScriptedCache, async_test, config, hit, never_respond, running_director, wait_until

from gladelane.clock import Clock
from gladelane.discovery.events import Instance, ListChange, WatchEvent
from gladelane.endpoints.address import Family
from gladelane.lab.client import Answer, Client
from gladelane.lab.fake_cache_store import FakeCacheStore, PartKey, now_ms
from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.lab.fake_server import FakeServer
from gladelane.lab.preload.clock import SteppedClock
from gladelane.lab.processes import Processes

HOUR_MS = 3_600_000.0
STEPS_MS = (HOUR_MS, -HOUR_MS, 4000.0, -4000.0, 50.0, -50.0)
SERVED, REFUSED, FAILED = 0, 1, 2
READ_CLASS, WRITE_CLASS = "film", "sheet"  # the cache answers reads, the origin never answers writes
WRITE_DEADLINE_MS = 500
MAX_DELAY_MS = 400.0  # caused by a busy test machine, besides the measured wait for a CPU core
READS_PER_STEP = 60
MAX_REFUSED_SHARE = 0.2  # of the reads: a busy test machine may cause refusals
READ_INTERVAL_S = 0.01
PURGE_DELIVERY_S = 0.2  # for a purge to arrive at the director
MAX_READ_ATTEMPTS = 20
OLD_COPY_AGE_MS = 5000.0  # of copies made before a purge


class CoreWaitTimer:
    """Measures how long this process and the director processes waited for a CPU core since its creation."""

    def __init__(self, director: Processes | None) -> None:
        processes = director.all if director is not None else ()
        pids = ("self", *(process.pid for process in processes))
        self._before_s = {pid: get_core_wait_s(pid) for pid in pids}

    def ms(self) -> float:
        """The total wait so far; a process that has ended counts as 0."""
        return 1000.0 * sum(
            max(get_core_wait_s(pid) - before_s, 0.0) for pid, before_s in self._before_s.items()
        )


class CheckedClient:
    """A client on one connection that checks each answer; every request gets a new id."""

    def __init__(self, client: Client, director: Processes | None = None) -> None:
        """`director`: None if the director runs in the process of the test."""
        self.client, self.director = client, director
        self.request_count = 0

    async def ask(self, cls: str, wait_ms: int = 2000, **fields: str) -> Answer:
        self.request_count += 1
        id_ = f"{id(self) & 0xFFFFFFFF:08x}{self.request_count:08x}"
        all_fields = {"c": cls, "i": id_, "o": id_, "chunk": "0", "tag": "1", "m": "1", "d": str(wait_ms)}
        if cls == WRITE_CLASS:
            all_fields["k"] = id_ * 2
        core_waits = CoreWaitTimer(self.director)
        answer = await self.client.ask({**all_fields, **fields})
        assert answer is not None, f"no answer to {all_fields}"
        assert answer.elapsed_ms <= wait_ms + MAX_DELAY_MS + core_waits.ms()
        return answer

    async def read_until_served(self, **fields: str) -> Answer:
        """Reads until a read is served, since a busy machine may cause refusals. Returns its answer."""
        for _ in range(MAX_READ_ATTEMPTS):
            answer = await self.ask(READ_CLASS, **fields)
            if answer.code == SERVED:
                return answer
            await asyncio.sleep(0.05)
        raise AssertionError(f"not served in {MAX_READ_ATTEMPTS} attempts: {fields}")

    def check_answers(self) -> None:
        """Asserts that each request got exactly one final answer."""
        assert dict(self.client.answers) == {stream: 1 for stream in range(1, self.request_count + 1)}


class DirectorWithSteppedClock:
    """A director with a wall clock that can be stepped, and its clients."""

    def __init__(self, clock: SteppedClock, director: Processes, origin: ScriptedCache) -> None:
        self.clock, self.director, self.origin = clock, director, origin
        self.clients: list[CheckedClient] = []

    async def connect_client(self) -> CheckedClient:
        client = CheckedClient(await Client.to("127.0.0.1", self.director.port), self.director)
        self.clients.append(client)
        return client

    async def step(self, by_ms: float) -> None:
        """Steps the clock and waits until a director has read it: SIGHUP makes it write a dated log line."""
        self.clock.step(by_ms)
        for process in self.director.all:
            if process.returncode is None:
                process.send_signal(signal.SIGHUP)
        await wait_until(lambda: self.clock.readings)

    async def start_unanswered_writes(self, wait_ms: int) -> list[asyncio.Task[Answer]]:
        """Sends writes until one reaches the origin; those before it were refused by a busy machine."""
        client, writes = await self.connect_client(), []
        while not self.origin.received:
            writes.append(asyncio.create_task(client.ask(WRITE_CLASS, wait_ms)))
            await asyncio.sleep(0.05)
        return writes

    async def check_service(self, phase: str) -> None:
        """Asserts that reads are served, and that writes, which the origin never answers, end in time."""
        reading_client, writing_clients = self.clients[0], self.clients[1:]
        writes = [
            asyncio.ensure_future(client.ask(WRITE_CLASS, WRITE_DEADLINE_MS)) for client in writing_clients
        ]
        codes = []
        for _ in range(READS_PER_STEP):
            codes.append((await reading_client.ask(READ_CLASS)).code)
            await asyncio.sleep(READ_INTERVAL_S)
        assert codes.count(SERVED) >= (1.0 - MAX_REFUSED_SHARE) * len(codes), f"{phase}: {codes}"
        assert {(await write).code for write in writes} <= {REFUSED, FAILED}, phase


@asynccontextmanager
async def stepped_director(
    folder: Path, monkeypatch: pytest.MonkeyPatch, shift_ms: float = 0.0, raw: bytes = b""
) -> AsyncIterator[DirectorWithSteppedClock]:
    """Starts a director whose clock is wrong by `shift_ms` from the start, and waits until it serves. `raw` is
    its configuration; by default it has a cache that answers and an origin that never does."""
    clock = SteppedClock(folder)
    clock.step(shift_ms)
    for name, value in clock.environment.items():
        monkeypatch.setenv(name, value)
    origin = ScriptedCache(never_respond)
    raw = raw or config(
        {"c0": await ScriptedCache(hit).start(), "p0": "127.0.0.1:1", "r0": await origin.start()}
    )
    director = Processes(folder, json.loads(raw))
    site = DirectorWithSteppedClock(clock, director, origin)
    try:
        await director.start()
        await director.serving()
        yield site
        for client in site.clients:
            client.check_answers()
    finally:
        for client in site.clients:
            await client.client.close()
        await director.end()
        clock.close()


def test_clock_steps_under_load_lose_no_answer(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    @async_test
    async def scenario() -> None:
        async with stepped_director(tmp_path, monkeypatch) as site:
            for _ in range(4):
                await site.connect_client()
            await site.check_service("before any step")
            for by_ms in STEPS_MS:
                await site.step(by_ms)
                await site.check_service(f"after a step of {by_ms:.0f} ms")
            assert "Traceback" not in site.director.log()

    scenario()


def test_repeated_clock_steps_lose_no_answer(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    @async_test
    async def scenario() -> None:
        async with stepped_director(tmp_path, monkeypatch) as site:
            for _ in range(4):
                await site.connect_client()
            serving = asyncio.ensure_future(site.check_service("while the clock is stepped"))
            for number in range(10):
                await site.step(STEPS_MS[number % len(STEPS_MS)])
                await asyncio.sleep(0.05)
            await serving

    scenario()


@pytest.mark.parametrize("by_ms", [HOUR_MS, -HOUR_MS])
def test_requests_pending_during_a_clock_step_are_answered_at_their_deadline(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, by_ms: float
) -> None:
    @async_test
    async def scenario() -> None:
        async with stepped_director(tmp_path, monkeypatch) as site:
            writes = await site.start_unanswered_writes(WRITE_DEADLINE_MS)
            await site.step(by_ms)
            answers = [await write for write in writes]
            assert {answer.code for answer in answers} <= {REFUSED, FAILED}
            assert (
                max(answer.elapsed_ms for answer in answers) > WRITE_DEADLINE_MS / 2.0
            ), "ended before its deadline"

    scenario()


@pytest.mark.parametrize("shift_ms", [HOUR_MS, -HOUR_MS])
def test_a_clock_wrong_from_the_start_and_corrected_later_loses_no_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, shift_ms: float
) -> None:
    @async_test
    async def scenario() -> None:
        async with stepped_director(tmp_path, monkeypatch, shift_ms) as site:
            for _ in range(2):
                await site.connect_client()
            await site.check_service("with a wrong clock")
            await site.step(-shift_ms)
            await site.check_service("after the clock is corrected")

    scenario()


@pytest.mark.parametrize("by_ms", [HOUR_MS, -HOUR_MS])
def test_a_clock_step_after_sigterm_changes_neither_answers_nor_the_exit(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, by_ms: float
) -> None:
    @async_test
    async def scenario() -> None:
        async with stepped_director(tmp_path, monkeypatch) as site:
            process = site.director.all[0]
            writes = await site.start_unanswered_writes(1500)
            started_s, core_waits = asyncio.get_running_loop().time(), CoreWaitTimer(site.director)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            site.clock.step(by_ms)
            answers = [await write for write in writes]
            core_wait_ms = core_waits.ms()  # read before the process ends
            assert {answer.code for answer in answers} <= {REFUSED, FAILED}
            assert max(answer.elapsed_ms for answer in answers) > 1500 / 2.0, "ended before its deadline"
            assert await process.wait() == 0
            elapsed_s = asyncio.get_running_loop().time() - started_s
            assert elapsed_s < 1.5 + (MAX_DELAY_MS + core_wait_ms) / 1000.0 + 0.5
            assert site.clock.readings  # the last log line reads the stepped clock

    scenario()


def test_a_director_serves_at_once_after_sigstop_and_sigcont(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After such a pause, requests with short deadlines used to be refused for seconds, because the pause was
    taken for the usual lateness of timers."""

    @async_test
    async def scenario() -> None:
        async with stepped_director(tmp_path, monkeypatch) as site:
            process, client = site.director.all[0], await site.connect_client()
            await client.read_until_served()
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(2.0)
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.1)
            codes = [(await client.ask(READ_CLASS, 700)).code for _ in range(20)]
            assert codes.count(SERVED) >= (1.0 - MAX_REFUSED_SHARE) * len(codes), codes
            assert "loop late" in site.director.log()

    scenario()


# --- dates set by discovery and caches


class StaleCacheStore(FakeCacheStore):
    """A cache that ignores, while `serves_any_copy` is set, how old a copy the request accepts."""

    serves_any_copy = False

    def _cached_date(self, key: PartKey, accept: float) -> float | None:
        return super()._cached_date(key, 0.0 if self.serves_any_copy else accept)


@pytest.mark.parametrize("shift_ms", [HOUR_MS, -HOUR_MS, 0.0])
def test_a_purge_applies_with_a_fast_or_slow_clock_and_after_clock_steps(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, shift_ms: float
) -> None:
    @async_test
    async def scenario() -> None:
        origin, discovery = FakeCacheStore(), FakeDiscovery()
        cache = StaleCacheStore({"r0": origin})
        addresses = {
            name: await FakeServer(name, cache_store.answer).listen(Family.V4)
            for name, cache_store in {"c0": cache, "r0": origin}.items()
        }
        raw = json.loads(config(addresses, await discovery.start()))
        for notice in raw["known"]["notices"]:
            discovery.tell({"pool": notice["pool"]})

        def copy_date_ms(answer: Answer) -> float:
            return float(answer.body[1:])

        async def check_purge(client: CheckedClient) -> None:
            # a new object each time: the previous purge may still apply
            object_id = f"{len(discovery.notices):016x}"
            cache.copies[object_id, 3] = now_ms() - OLD_COPY_AGE_MS
            answer = await client.read_until_served(o=object_id, chunk="3")
            # the old copy is served before the purge
            assert copy_date_ms(answer) < now_ms() - OLD_COPY_AGE_MS / 2.0
            purged_ms = now_ms()
            discovery.tell({"flush": {"asset": object_id, "ms": int(purged_ms)}})
            await asyncio.sleep(PURGE_DELIVERY_S)
            cache.serves_any_copy = True
            answer = await client.ask(READ_CLASS, o=object_id, chunk="3", wait_ms=300)
            assert answer.code != SERVED, f"a copy from before the purge was served: {answer}"
            cache.serves_any_copy = False
            assert copy_date_ms(await client.read_until_served(o=object_id, chunk="3")) >= purged_ms - 1.0

        async with stepped_director(tmp_path, monkeypatch, shift_ms, json.dumps(raw).encode()) as site:
            client = await site.connect_client()
            await check_purge(client)
            for by_ms in (-2.0 * shift_ms or HOUR_MS, 4000.0, -4000.0):
                await site.step(by_ms)
                await check_purge(client)
        await discovery.close()

    scenario()


@pytest.mark.parametrize("shift_ms", [HOUR_MS, -HOUR_MS, 0.0])
def test_a_purge_in_the_configuration_applies_with_a_fast_or_slow_clock(
    monkeypatch: pytest.MonkeyPatch, shift_ms: float
) -> None:
    monkeypatch.setattr("gladelane.server.Clock", lambda: Clock(lambda: time.time() + shift_ms / 1000.0))

    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        raw = json.loads(config({"c0": await cache.start(), "r0": "127.0.0.1:1"}))
        purge = {"rev": 2, "flush": {"collection": 17, "ms": int(now_ms()) - 50}}
        raw["known"] = {"rev": 2, "notices": [*raw["known"]["notices"], purge]}
        started_ms = now_ms()
        async with running_director(json.dumps(raw).encode()) as (_, client):
            client.ask(1, tag="17")
            await client.next()
            assert 1 <= int(cache.received[0][1]["accept"]) <= now_ms() - started_ms + 1.0

    scenario()


@pytest.mark.parametrize("shift_ms", [HOUR_MS, -HOUR_MS, 0.0])
def test_the_age_of_a_server_is_right_with_a_fast_or_slow_clock(
    monkeypatch: pytest.MonkeyPatch, shift_ms: float
) -> None:
    monkeypatch.setattr("gladelane.server.Clock", lambda: Clock(lambda: time.time() + shift_ms / 1000.0))

    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": "127.0.0.1:1"})) as (node, _):
            started_ms = now_ms() - 100.0
            new_instance = Instance(
                "c1", "127.0.0.1:1", "edge", "box", "in_service", started_at_ms=started_ms
            )
            node.director.apply_watch_event(WatchEvent(2, ListChange([new_instance])))
            await asyncio.sleep(0.1)
            cold, store = node.director.router.cold, node.director.router.stores["c1"]
            # the date is kept as discovery states it, since it identifies one start of the server
            assert store.member.started_at_ms == started_ms
            age_ms = cold._age_ms(store.member, store.observed_start, node.clock.now())
            assert 95.0 <= age_ms <= now_ms() - started_ms

    scenario()
