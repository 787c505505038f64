"""Real processes that are told to end, or given new configurations, at awkward moments."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
import tomllib
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from harness import Client, ScriptedCache, config, hit, never_respond, wait_until
from test_beyond_discovery import Discovery, State

from gladelane.lab.free_ports import free_port
from gladelane.net.client_protocol import Type

ROOT = Path(__file__).parent.parent.parent
REFUSED = "127.0.0.1:1"
DEADLINE_S = 1.0
#: by the protocol SIGKILL comes no sooner after SIGTERM
KILL_S = DEADLINE_S + 0.7
START_S = 20.0


def short_deadlines(caches: dict[str, str], board: str = REFUSED, **changes: Any) -> dict[str, Any]:
    """What is waited for at an end is bounded by the longest deadline."""
    raw: dict[str, Any] = json.loads(config(caches, board))
    raw.update(changes)
    for one in raw["settings"]["classes"]:
        one["deadline_ms"] = DEADLINE_S * 1000.0
    return raw


class Running:
    def __init__(self, process: asyncio.subprocess.Process, folder: Path, port: int) -> None:
        self.process, self.folder, self.port = process, folder, port
        self.pidfd = os.pidfd_open(process.pid)

    @property
    def log(self) -> str:
        return (self.folder / "log").read_text()

    def configure(self, text: bytes) -> None:
        """Replaces the file as a whole, as the platform does."""
        fresh = self.folder / "fresh.json"
        fresh.write_bytes(text)
        fresh.rename(self.folder / "config.json")

    def signal(self, *numbers: signal.Signals) -> None:
        """By a descriptor: asyncio's own way reaps the process, and its exit code is lost."""
        for number in numbers:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.pidfd, number)

    async def ready(self) -> None:
        async with asyncio.timeout(START_S):
            while "ready name=" not in self.log:
                assert self.process.returncode is None, self.log
                await asyncio.sleep(0.01)

    async def ended(self, within_s: float = 10.0) -> int:
        async with asyncio.timeout(within_s):
            return await self.process.wait()


@asynccontextmanager
async def started(
    raw: dict[str, Any], folder: Path, command: Sequence[str] = (sys.executable, "-m", "gladelane")
) -> AsyncIterator[Running]:
    port = free_port()
    (folder / "config.json").write_text(json.dumps({**raw, "listen": f"127.0.0.1:{port}"}))
    env = {**os.environ, "GW_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
    env.pop("GW_OPS", None)
    env.pop("GW_OPERATOR", None)
    with open(folder / "log", "wb") as log:
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=env, stderr=log)
    running = Running(process, folder, port)
    try:
        yield running
    finally:
        running.signal(signal.SIGKILL)
        await process.wait()
        os.close(running.pidfd)


async def code_of(client: Client, stream: int, wait: float = 5.0) -> int:
    """Of the answer on a stream, past what it is told meanwhile."""
    while True:
        type_, answered, code, *_ = await client.next(wait)
        if (type_, answered) == (Type.ANSWER, stream):
            return code


def test_caches_that_hang_through_a_whole_shutdown_hold_up_neither_its_end_nor_an_answer(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        cache, loop = ScriptedCache(never_respond), asyncio.get_running_loop()
        async with started(short_deadlines({"c0": await cache.start(), "r0": REFUSED}), tmp_path) as running:
            await running.ready()
            kept = [await Client.connect(running.port) for _ in range(4)]
            for client in kept:
                client.ask(1, d="1000")
            await wait_until(lambda: len(cache.received) >= 4)
            running.signal(signal.SIGTERM)
            began_s = loop.time()
            streams = {client: 1 for client in kept}
            while loop.time() - began_s < 0.6:
                await asyncio.sleep(0.05)
                if loop.time() - began_s < 0.4:
                    kept.append(await Client.connect(running.port))
                    streams[kept[-1]] = 0
                for client in kept:
                    streams[client] += 1
                    client.ask(streams[client], i=f"{id(client) % 9999:08x}{streams[client]:08x}", d="1000")
            answered = {client: await all_answers(client) for client in kept}
            assert all(sorted(answered[client]) == list(range(1, streams[client] + 1)) for client in kept)
            assert await running.ended() == 0
            assert loop.time() - began_s < KILL_S
            assert "Traceback" not in running.log

    asyncio.run(scene())


async def all_answers(client: Client) -> list[int]:
    """The streams that were answered, to the end of the connection; its client leaves then, too."""
    streams = []
    with contextlib.suppress(EOFError):
        while True:
            type_, stream, *_ = await client.next()
            if type_ == Type.ANSWER:
                streams.append(stream)
    client.writer.close()
    return streams


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6])
def test_sigterm_during_the_start_ends_the_process_without_a_trace(after_s: float, tmp_path: Path) -> None:
    async def scene() -> None:
        async with started(short_deadlines({"r0": REFUSED}), tmp_path) as running:
            await asyncio.sleep(after_s)
            running.signal(signal.SIGTERM)
            code = await running.ended()
            # before Python has come to the program, the system's own way of ending it
            assert code in (0, -signal.SIGTERM) and "Traceback" not in running.log
            assert code == 0 or "ready name=" not in running.log

    asyncio.run(scene())


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.3, 0.4])
def test_a_new_configuration_during_the_start_is_used_and_does_not_end_it(
    after_s: float, tmp_path: Path
) -> None:
    # until the program had come to its first line the signal ended it; started as the deploy file says
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]

    async def scene() -> None:
        discoveries = Discovery(), Discovery()
        places = [await one.start() for one in discoveries]
        command = "/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)
        async with started(short_deadlines({"r0": REFUSED}, places[0]), tmp_path, command) as running:
            program = Path(f"/proc/{running.process.pid}/cmdline")
            await wait_until(
                lambda: b"-c" not in program.read_bytes().split(b"\0")
            )  # the shell has given way
            await asyncio.sleep(after_s)
            running.configure(
                json.dumps(
                    short_deadlines({"r0": REFUSED}, places[1], listen=f"127.0.0.1:{running.port}")
                ).encode()
            )
            running.signal(signal.SIGHUP)
            await running.ready()
            await wait_until(lambda: discoveries[1].calls_s)
            running.signal(signal.SIGTERM)
            assert await running.ended() == 0 and "Traceback" not in running.log
            for one in discoveries:
                await one.become(State.REFUSES)

    asyncio.run(scene())


def test_signals_that_come_again_and_again_change_nothing_of_an_end(tmp_path: Path) -> None:
    # the last of them met a process that had given its handlers back, and was its end
    async def scene() -> None:
        cache = ScriptedCache(hit)
        async with started(short_deadlines({"c0": await cache.start(), "r0": REFUSED}), tmp_path) as running:
            await running.ready()
            client = await Client.connect(running.port)
            client.ask(1)
            assert await code_of(client, 1) == 0
            running.signal(signal.SIGTERM)
            client.ask(2, i=f"{2:016x}")
            assert await code_of(client, 2) == 0
            client.writer.close()
            while running.process.returncode is None:
                running.signal(signal.SIGTERM, signal.SIGHUP)
                await asyncio.sleep(0.001)
            assert running.process.returncode == 0 and "Traceback" not in running.log
            assert "stopped" in running.log

    asyncio.run(scene())


def test_a_process_told_to_end_while_all_caches_drain_answers_what_it_has_taken(tmp_path: Path) -> None:
    async def scene() -> None:
        cache, origin, discovery = ScriptedCache(hit), ScriptedCache(hit), Discovery()
        address = await cache.start()
        stores = {"c0": address, "r0": await origin.start()}
        raw = short_deadlines(stores, await discovery.start())
        async with started(raw, tmp_path) as running:
            await running.ready()
            await wait_until(lambda: discovery.calls_s)
            clients = [await Client.connect(running.port) for _ in range(8)]
            for stream in range(1, 31):
                if stream == 10:
                    discovery.tell_state("c0", "terminating", address)
                if stream == 12:
                    running.signal(signal.SIGTERM)
                if stream == 14:
                    running.signal(signal.SIGHUP)
                for number, client in enumerate(clients):
                    client.ask(stream, i=f"{number:08x}{stream:08x}", c="film" if number % 2 else "sheet",
                               k=f"{number:016x}{stream:016x}", d="1000")  # fmt: skip
                await asyncio.sleep(0.01)
            streams = [await all_answers(client) for client in clients]
            assert all(sorted(answered) == list(range(1, 31)) for answered in streams)
            assert await running.ended() == 0 and "Traceback" not in running.log
            await discovery.become(State.REFUSES)

    asyncio.run(scene())


def test_configurations_in_a_row_leave_the_last_good_one(tmp_path: Path) -> None:
    async def scene() -> None:
        cache = ScriptedCache(hit)
        discoveries = [Discovery() for _ in range(4)]
        places = [await one.start() for one in discoveries]
        stores = {"c0": await cache.start(), "r0": REFUSED}
        async with started(short_deadlines(stores, places[0]), tmp_path) as running:
            await running.ready()

            def text(place: str, **changes: Any) -> bytes:
                raw = short_deadlines(stores, place, listen=f"127.0.0.1:{running.port}")
                raw["settings"]["limits"].update(changes)
                return json.dumps(raw).encode()

            client = await Client.connect(running.port)
            good = [text(places[1 + n % 2], max_attempts=2 + n % 5) for n in range(8)] + [text(places[3])]
            stream = 0
            for whole in good:
                for given in (whole[: len(whole) // 2], whole, b""):
                    if not given and whole == good[-1]:
                        continue  # the last one is whole
                    running.configure(given)
                    running.signal(signal.SIGHUP)
                    await asyncio.sleep(0.002)
                code = 1
                while code:  # a machine that stalls has it turn requests away for a moment
                    stream += 1
                    client.ask(stream, i=f"{stream:016x}")
                    code = await code_of(client, stream)
                    assert code in (0, 1) and stream < 200
                    await asyncio.sleep(0.01 * code)
            await wait_until(lambda: discoveries[3].calls_s)
            discoveries[3].tell(flush={"collection": 17, "ms": int(time.time() * 1000.0)})
            while "accept" not in cache.received[-1][1]:  # what is told there is heard
                stream += 1
                client.ask(stream, i=f"{stream:016x}")
                await code_of(client, stream)
            assert running.process.returncode is None and "Traceback" not in running.log
            assert running.log.count("reload failed") >= len(good) / 2  # signals that come at once are one
            calls = [-1]
            while calls != (calls := [len(one.calls_s) for one in discoveries]):
                await asyncio.sleep(0.3)  # a call that was on its way may be read late
            await asyncio.sleep(1.0)
            # nobody asks the ones before any more
            assert [len(one.calls_s) for one in discoveries[:3]] == calls[:3]
            running.signal(signal.SIGTERM)
            client.writer.close()
            assert await running.ended() == 0
            for one in discoveries:
                await one.become(State.REFUSES)

    asyncio.run(scene())
