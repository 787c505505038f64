"""Real directors whose wall clock is stepped while they run: each request gets one final answer in time."""

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
READS, WRITES = "film", "sheet"  # the cache answers the ones, the origin hangs under the others
WAIT_MS = 500  # of a write
LATE_MS = 400.0  # that the test machine may add to an answer, beside the time for which it gave us no core
READS_A_STEP = 60
BUSY_SHARE = 0.2  # of the reads, that a busy test machine may have refused
PAUSE_S = 0.01
HEARD_S = 0.2  # for an event to be heard of
ASKS_MOST = 20
OLD_MS = 5000.0  # of a copy from before a purge


class WaitsForCores:
    """How long this process and the director's have waited for a core since it was made."""

    def __init__(self, director: Processes | None) -> None:
        others = director.all if director is not None else ()
        pids = ("self", *(process.pid for process in others))
        self._before_s = {pid: get_core_wait_s(pid) for pid in pids}

    def ms(self) -> float:
        """Nothing of a process that has ended."""
        return 1000.0 * sum(
            max(get_core_wait_s(pid) - before_s, 0.0) for pid, before_s in self._before_s.items()
        )


class Asker:
    """A client on one connection; every request has an id of its own."""

    def __init__(self, client: Client, director: Processes | None = None) -> None:
        """`director`: None if it runs in the test's own process."""
        self.client, self.director = client, director
        self.asked = 0

    async def ask(self, cls: str, wait_ms: int = 2000, **fields: str) -> Answer:
        self.asked += 1
        name = f"{id(self) & 0xFFFFFFFF:08x}{self.asked:08x}"
        plain = {"c": cls, "i": name, "o": name, "chunk": "0", "tag": "1", "m": "1", "d": str(wait_ms)}
        if cls == WRITES:
            plain["k"] = name * 2
        waits = WaitsForCores(self.director)
        answer = await self.client.ask({**plain, **fields})
        assert answer is not None, f"no answer to {plain}"
        assert answer.elapsed_ms <= wait_ms + LATE_MS + waits.ms()
        return answer

    async def served(self, **fields: str) -> Answer:
        """The answer to a read; one that is refused, as by a busy machine, is asked again."""
        for _ in range(ASKS_MOST):
            answer = await self.ask(READS, **fields)
            if answer.code == SERVED:
                return answer
            await asyncio.sleep(0.05)
        raise AssertionError(f"not served in {ASKS_MOST} tries: {fields}")

    def check_answers(self) -> None:
        """One final answer each."""
        assert dict(self.client.answers) == {stream: 1 for stream in range(1, self.asked + 1)}


class Stepped:
    """A director, its clients, and the wall clock of its machine."""

    def __init__(self, clock: SteppedClock, director: Processes, origin: ScriptedCache) -> None:
        self.clock, self.director, self.origin = clock, director, origin
        self.askers: list[Asker] = []

    async def asker(self) -> Asker:
        made = Asker(await Client.to("127.0.0.1", self.director.port), self.director)
        self.askers.append(made)
        return made

    async def step(self, by_ms: float) -> None:
        """Returns once a director has read the clock that was stepped: a new log line reads it."""
        self.clock.step(by_ms)
        for process in self.director.all:
            if process.returncode is None:
                process.send_signal(signal.SIGHUP)
        await wait_until(lambda: self.clock.readings)

    async def hanging_writes(self, wait_ms: int) -> list[asyncio.Task[Answer]]:
        """One that has reached the origin, and before it those that a busy machine had refused."""
        asker, writes = await self.asker(), []
        while not self.origin.received:
            writes.append(asyncio.create_task(asker.ask(WRITES, wait_ms)))
            await asyncio.sleep(0.05)
        return writes

    async def check_service(self, when: str) -> None:
        """Reads are served, and writes under which the origin hangs are answered in their time."""
        reader, writers = self.askers[0], self.askers[1:]
        writes = [asyncio.ensure_future(one.ask(WRITES, WAIT_MS)) for one in writers]
        codes = []
        for _ in range(READS_A_STEP):
            codes.append((await reader.ask(READS)).code)
            await asyncio.sleep(PAUSE_S)
        assert codes.count(SERVED) >= (1.0 - BUSY_SHARE) * len(codes), f"{when}: {codes}"
        assert {(await write).code for write in writes} <= {REFUSED, FAILED}, when


@asynccontextmanager
async def stepped(
    folder: Path, monkeypatch: pytest.MonkeyPatch, shift_ms: float = 0.0, raw: bytes = b""
) -> AsyncIterator[Stepped]:
    """With a first director that serves; its machine's clock is off by `shift_ms` when it starts. `raw` is its
    file, if not that of a cache that answers and an origin that hangs."""
    clock = SteppedClock(folder)
    clock.step(shift_ms)
    for name, value in clock.environment.items():
        monkeypatch.setenv(name, value)
    origin = ScriptedCache(never_respond)
    raw = raw or config(
        {"c0": await ScriptedCache(hit).start(), "p0": "127.0.0.1:1", "r0": await origin.start()}
    )
    director = Processes(folder, json.loads(raw))
    made = Stepped(clock, director, origin)
    try:
        await director.start()
        await director.serving()
        yield made
        for one in made.askers:
            one.check_answers()
    finally:
        for one in made.askers:
            await one.client.close()
        await director.end()
        clock.close()


def test_steps_under_load_cost_no_answer(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    @async_test
    async def test() -> None:
        async with stepped(tmp_path, monkeypatch) as made:
            for _ in range(4):
                await made.asker()
            await made.check_service("before any step")
            for by_ms in STEPS_MS:
                await made.step(by_ms)
                await made.check_service(f"after a step of {by_ms:.0f} ms")
            assert "Traceback" not in made.director.log()

    test()


def test_repeated_steps_cost_no_answer(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    @async_test
    async def test() -> None:
        async with stepped(tmp_path, monkeypatch) as made:
            for _ in range(4):
                await made.asker()
            serving = asyncio.ensure_future(made.check_service("while the clock is stepped"))
            for number in range(10):
                await made.step(STEPS_MS[number % len(STEPS_MS)])
                await asyncio.sleep(0.05)
            await serving

    test()


@pytest.mark.parametrize("by_ms", [HOUR_MS, -HOUR_MS])
def test_what_hangs_across_a_step_is_answered_in_its_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, by_ms: float
) -> None:
    @async_test
    async def test() -> None:
        async with stepped(tmp_path, monkeypatch) as made:
            writes = await made.hanging_writes(WAIT_MS)
            await made.step(by_ms)
            answers = [await write for write in writes]
            assert {answer.code for answer in answers} <= {REFUSED, FAILED}
            assert max(answer.elapsed_ms for answer in answers) > WAIT_MS / 2.0, "given up early"

    test()


@pytest.mark.parametrize("shift_ms", [HOUR_MS, -HOUR_MS])
def test_a_clock_that_is_wrong_from_the_start_and_set_right_costs_no_answer(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, shift_ms: float
) -> None:
    @async_test
    async def test() -> None:
        async with stepped(tmp_path, monkeypatch, shift_ms) as made:
            for _ in range(2):
                await made.asker()
            await made.check_service("with a wrong clock")
            await made.step(-shift_ms)
            await made.check_service("once it is set right")

    test()


@pytest.mark.parametrize("by_ms", [HOUR_MS, -HOUR_MS])
def test_a_step_after_sigterm_changes_neither_answers_nor_the_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, by_ms: float
) -> None:
    @async_test
    async def test() -> None:
        async with stepped(tmp_path, monkeypatch) as made:
            process = made.director.all[0]
            writes = await made.hanging_writes(1500)
            began, waits = asyncio.get_running_loop().time(), WaitsForCores(made.director)
            process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.1)
            made.clock.step(by_ms)
            answers = [await write for write in writes]
            waited_ms = waits.ms()  # while the process runs
            assert {answer.code for answer in answers} <= {REFUSED, FAILED}
            assert max(answer.elapsed_ms for answer in answers) > 1500 / 2.0, "given up early"
            assert await process.wait() == 0
            took_s = asyncio.get_running_loop().time() - began
            assert took_s < 1.5 + (LATE_MS + waited_ms) / 1000.0 + 0.5
            assert made.clock.readings  # its last line is dated

    test()


def test_a_director_that_stood_still_serves_at_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Short requests were refused for seconds after a stop: the stop was taken for how late timers are."""

    @async_test
    async def test() -> None:
        async with stepped(tmp_path, monkeypatch) as made:
            process, asker = made.director.all[0], await made.asker()
            await asker.served()
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(2.0)
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.1)
            codes = [(await asker.ask(READS, 700)).code for _ in range(20)]
            assert codes.count(SERVED) >= (1.0 - BUSY_SHARE) * len(codes), codes
            assert "loop late" in made.director.log()

    test()


# --- dates of the platform


class LyingShelf(FakeCacheStore):
    """Answers with the copy that it holds, however old; `lies`: whether it does so now."""

    lies = False

    def _cached_date(self, thing: PartKey, accept: float) -> float | None:
        return super()._cached_date(thing, 0.0 if self.lies else accept)


@pytest.mark.parametrize("shift_ms", [HOUR_MS, -HOUR_MS, 0.0])
def test_a_purge_holds_whichever_way_the_clock_is_wrong_and_is_stepped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, shift_ms: float
) -> None:
    @async_test
    async def test() -> None:
        origin, board = FakeCacheStore(), FakeDiscovery()
        cache = LyingShelf({"r0": origin})
        addresses = {
            name: await FakeServer(name, shelf.answer).listen(Family.V4)
            for name, shelf in {"c0": cache, "r0": origin}.items()
        }
        raw = json.loads(config(addresses, await board.start()))
        for notice in raw["known"]["notices"]:
            board.tell({"pool": notice["pool"]})

        def dated(answer: Answer) -> float:
            return float(answer.body[1:])

        async def check_purge(asker: Asker) -> None:
            thing = f"{len(board.notices):016x}"  # another one each time: the last purge may still bind
            cache.copies[thing, 3] = now_ms() - OLD_MS
            answer = await asker.served(o=thing, chunk="3")
            assert dated(answer) < now_ms() - OLD_MS / 2.0  # served as it is, before the purge
            purged = now_ms()
            board.tell({"flush": {"asset": thing, "ms": int(purged)}})
            await asyncio.sleep(HEARD_S)
            cache.lies = True
            answer = await asker.ask(READS, o=thing, chunk="3", wait_ms=300)
            assert answer.code != SERVED, f"a copy from before the purge was passed on: {answer}"
            cache.lies = False
            assert dated(await asker.served(o=thing, chunk="3")) >= purged - 1.0

        async with stepped(tmp_path, monkeypatch, shift_ms, json.dumps(raw).encode()) as made:
            asker = await made.asker()
            await check_purge(asker)
            for by_ms in (-2.0 * shift_ms or HOUR_MS, 4000.0, -4000.0):
                await made.step(by_ms)
                await check_purge(asker)
        await board.close()

    test()


@pytest.mark.parametrize("shift_ms", [HOUR_MS, -HOUR_MS, 0.0])
def test_a_purge_of_the_start_file_binds_whichever_way_our_clock_is_wrong(
    monkeypatch: pytest.MonkeyPatch, shift_ms: float
) -> None:
    monkeypatch.setattr("gladelane.server.Clock", lambda: Clock(lambda: time.time() + shift_ms / 1000.0))

    @async_test
    async def test() -> None:
        cache = ScriptedCache(hit)
        raw = json.loads(config({"c0": await cache.start(), "r0": "127.0.0.1:1"}))
        purge = {"rev": 2, "flush": {"collection": 17, "ms": int(now_ms()) - 50}}
        raw["known"] = {"rev": 2, "notices": [*raw["known"]["notices"], purge]}
        began = now_ms()
        async with running_director(json.dumps(raw).encode()) as (_, client):
            client.ask(1, tag="17")
            await client.next()
            assert 1 <= int(cache.received[0][1]["accept"]) <= now_ms() - began + 1.0

    test()


@pytest.mark.parametrize("shift_ms", [HOUR_MS, -HOUR_MS, 0.0])
def test_a_server_ages_from_its_start_whichever_way_our_clock_is_wrong(
    monkeypatch: pytest.MonkeyPatch, shift_ms: float
) -> None:
    monkeypatch.setattr("gladelane.server.Clock", lambda: Clock(lambda: time.time() + shift_ms / 1000.0))

    @async_test
    async def test() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": "127.0.0.1:1"})) as (node, _):
            began = now_ms() - 100.0
            late = Instance("c1", "127.0.0.1:1", "edge", "box", "in_service", started_at_ms=began)
            node.director.apply_watch_event(WatchEvent(2, ListChange([late])))
            await asyncio.sleep(0.1)
            cold, store = node.director.router.cold, node.director.router.stores["c1"]
            assert (
                store.member.started_at_ms == began
            )  # as the platform has it: it tells one start from another
            age_ms = cold._age_ms(store.member, store.observed_start, node.clock.now())
            assert 95.0 <= age_ms <= now_ms() - began

    test()
