"""Director processes that receive SIGTERM, or SIGHUP with a new configuration, at critical moments."""

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
from harness import REFUSED_ADDRESS, Client, ScriptedCache, config, hit, never_respond, wait_until
from test_discovery_outages import Discovery, DiscoveryState

from gladelane.lab.free_ports import free_port
from gladelane.net.client_protocol import FrameType

ROOT = Path(__file__).parent.parent.parent
DEADLINE_S = 1.0
#: By the protocol SIGKILL comes at least this long after SIGTERM.
KILL_DELAY_S = DEADLINE_S + 0.7
MAX_START_S = 20.0


def config_with_short_deadlines(
    caches: dict[str, str], discovery: str = REFUSED_ADDRESS, **changes: Any
) -> dict[str, Any]:
    """A configuration whose shutdown is short, since a director waits for open requests up to the longest deadline."""
    raw: dict[str, Any] = json.loads(config(caches, discovery))
    raw.update(changes)
    for spec in raw["settings"]["classes"]:
        spec["deadline_ms"] = DEADLINE_S * 1000.0
    return raw


class DirectorProcess:
    """A running director, its folder and the port on which it listens."""

    def __init__(self, process: asyncio.subprocess.Process, folder: Path, port: int) -> None:
        self.process, self.folder, self.port = process, folder, port
        self.pidfd = os.pidfd_open(process.pid)

    @property
    def log(self) -> str:
        return (self.folder / "log").read_text()

    def configure(self, text: bytes) -> None:
        """Replaces the configuration file atomically, as the platform does."""
        new_file = self.folder / "fresh.json"
        new_file.write_bytes(text)
        new_file.rename(self.folder / "config.json")

    def signal(self, *numbers: signal.Signals) -> None:
        """Sends the signals by a pidfd, because `asyncio.subprocess.Process.send_signal` reaps the process, and its exit
        code is lost."""
        for number in numbers:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.pidfd, number)

    async def wait_until_ready(self) -> None:
        async with asyncio.timeout(MAX_START_S):
            while "ready name=" not in self.log:
                assert self.process.returncode is None, self.log
                await asyncio.sleep(0.01)

    async def wait_until_exit(self, timeout_s: float = 10.0) -> int:
        async with asyncio.timeout(timeout_s):
            return await self.process.wait()


@asynccontextmanager
async def start_director(
    raw: dict[str, Any], folder: Path, command: Sequence[str] = (sys.executable, "-m", "gladelane")
) -> AsyncIterator[DirectorProcess]:
    port = free_port()
    (folder / "config.json").write_text(json.dumps({**raw, "listen": f"127.0.0.1:{port}"}))
    env = {**os.environ, "GW_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)}
    env.pop("GW_OPS", None)
    env.pop("GW_OPERATOR", None)
    with open(folder / "log", "wb") as log:
        process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, env=env, stderr=log)
    director = DirectorProcess(process, folder, port)
    try:
        yield director
    finally:
        director.signal(signal.SIGKILL)
        await process.wait()
        os.close(director.pidfd)


async def receive_code(client: Client, stream: int, timeout_s: float = 5.0) -> int:
    """The result code of the answer on a stream; other frames are skipped."""
    while True:
        type_, answered_stream, code, *_ = await client.next(timeout_s)
        if (type_, answered_stream) == (FrameType.ANSWER, stream):
            return code


def test_caches_that_hang_during_a_shutdown_delay_neither_its_end_nor_an_answer(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        cache, loop = ScriptedCache(never_respond), asyncio.get_running_loop()
        async with start_director(
            config_with_short_deadlines({"c0": await cache.start(), "r0": REFUSED_ADDRESS}), tmp_path
        ) as director:
            await director.wait_until_ready()
            clients = [await Client.connect(director.port) for _ in range(4)]
            for client in clients:
                client.ask(1, d="1000")
            await wait_until(lambda: len(cache.received) >= 4)
            director.signal(signal.SIGTERM)
            started_s = loop.time()
            streams = {client: 1 for client in clients}
            while loop.time() - started_s < 0.6:
                await asyncio.sleep(0.05)
                if loop.time() - started_s < 0.4:
                    clients.append(await Client.connect(director.port))
                    streams[clients[-1]] = 0
                for client in clients:
                    streams[client] += 1
                    client.ask(streams[client], i=f"{id(client) % 9999:08x}{streams[client]:08x}", d="1000")
            answered = {client: await receive_answered_streams(client) for client in clients}
            assert all(sorted(answered[client]) == list(range(1, streams[client] + 1)) for client in clients)
            assert await director.wait_until_exit() == 0
            assert loop.time() - started_s < KILL_DELAY_S
            assert "Traceback" not in director.log

    asyncio.run(scenario())


async def receive_answered_streams(client: Client) -> list[int]:
    """The streams that are answered until the connection ends. Then closes the client's side."""
    streams = []
    with contextlib.suppress(EOFError):
        while True:
            type_, stream, *_ = await client.next()
            if type_ == FrameType.ANSWER:
                streams.append(stream)
    client.writer.close()
    return streams


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6])
def test_sigterm_during_the_start_ends_the_process_without_a_traceback(
    after_s: float, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with start_director(config_with_short_deadlines({"r0": REFUSED_ADDRESS}), tmp_path) as director:
            await asyncio.sleep(after_s)
            director.signal(signal.SIGTERM)
            code = await director.wait_until_exit()
            # before the program has set its handlers, the signal's default action ends the process
            assert code in (0, -signal.SIGTERM) and "Traceback" not in director.log
            assert code == 0 or "ready name=" not in director.log

    asyncio.run(scenario())


@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.1, 0.2, 0.3, 0.4])
def test_sighup_with_a_new_configuration_during_the_start_applies_it_and_does_not_end_the_process(
    after_s: float, tmp_path: Path
) -> None:
    # SIGHUP ended the process until the program had run its first line. The command of the deploy file therefore ignores
    # SIGHUP at first.
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]

    async def scenario() -> None:
        discoveries = Discovery(), Discovery()
        addresses = [await discovery.start() for discovery in discoveries]
        command = "/bin/sh", "-c", run.replace(".venv/bin/python", sys.executable)
        async with start_director(
            config_with_short_deadlines({"r0": REFUSED_ADDRESS}, addresses[0]), tmp_path, command
        ) as director:
            program = Path(f"/proc/{director.process.pid}/cmdline")
            # wait until the shell has replaced itself by Python
            await wait_until(lambda: b"-c" not in program.read_bytes().split(b"\0"))
            await asyncio.sleep(after_s)
            director.configure(
                json.dumps(
                    config_with_short_deadlines(
                        {"r0": REFUSED_ADDRESS}, addresses[1], listen=f"127.0.0.1:{director.port}"
                    )
                ).encode()
            )
            director.signal(signal.SIGHUP)
            await director.wait_until_ready()
            await wait_until(lambda: discoveries[1].request_times_s)
            director.signal(signal.SIGTERM)
            assert await director.wait_until_exit() == 0 and "Traceback" not in director.log
            for discovery in discoveries:
                await discovery.set_state(DiscoveryState.REFUSES)

    asyncio.run(scenario())


def test_repeated_signals_do_not_disturb_a_shutdown(tmp_path: Path) -> None:
    # Earlier the process restored the default handlers before it ended, and a late signal killed it.
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        async with start_director(
            config_with_short_deadlines({"c0": await cache.start(), "r0": REFUSED_ADDRESS}), tmp_path
        ) as director:
            await director.wait_until_ready()
            client = await Client.connect(director.port)
            client.ask(1)
            assert await receive_code(client, 1) == 0
            director.signal(signal.SIGTERM)
            client.ask(2, i=f"{2:016x}")
            assert await receive_code(client, 2) == 0
            client.writer.close()
            while director.process.returncode is None:
                director.signal(signal.SIGTERM, signal.SIGHUP)
                await asyncio.sleep(0.001)
            assert director.process.returncode == 0 and "Traceback" not in director.log
            assert "stopped" in director.log

    asyncio.run(scenario())


def test_a_shutdown_while_all_caches_drain_answers_every_accepted_request(tmp_path: Path) -> None:
    async def scenario() -> None:
        cache, origin, discovery = ScriptedCache(hit), ScriptedCache(hit), Discovery()
        address = await cache.start()
        stores = {"c0": address, "r0": await origin.start()}
        raw = config_with_short_deadlines(stores, await discovery.start())
        async with start_director(raw, tmp_path) as director:
            await director.wait_until_ready()
            await wait_until(lambda: discovery.request_times_s)
            clients = [await Client.connect(director.port) for _ in range(8)]
            for stream in range(1, 31):
                if stream == 10:
                    discovery.publish_member("c0", "terminating", address)
                if stream == 12:
                    director.signal(signal.SIGTERM)
                if stream == 14:
                    director.signal(signal.SIGHUP)
                for number, client in enumerate(clients):
                    client.ask(stream, i=f"{number:08x}{stream:08x}", c="film" if number % 2 else "sheet",
                               k=f"{number:016x}{stream:016x}", d="1000")  # fmt: skip
                await asyncio.sleep(0.01)
            streams = [await receive_answered_streams(client) for client in clients]
            assert all(sorted(answered) == list(range(1, 31)) for answered in streams)
            assert await director.wait_until_exit() == 0 and "Traceback" not in director.log
            await discovery.set_state(DiscoveryState.REFUSES)

    asyncio.run(scenario())


def test_after_many_configurations_in_a_row_the_last_valid_one_is_in_force(tmp_path: Path) -> None:
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        discoveries = [Discovery() for _ in range(4)]
        addresses = [await discovery.start() for discovery in discoveries]
        stores = {"c0": await cache.start(), "r0": REFUSED_ADDRESS}
        async with start_director(config_with_short_deadlines(stores, addresses[0]), tmp_path) as director:
            await director.wait_until_ready()

            def config_text(address: str, **limits: Any) -> bytes:
                raw = config_with_short_deadlines(stores, address, listen=f"127.0.0.1:{director.port}")
                raw["settings"]["limits"].update(limits)
                return json.dumps(raw).encode()

            client = await Client.connect(director.port)
            valid_configs = [config_text(addresses[1 + n % 2], max_attempts=2 + n % 5) for n in range(8)] + [
                config_text(addresses[3])
            ]
            stream = 0
            for whole in valid_configs:
                for text in (whole[: len(whole) // 2], whole, b""):
                    if not text and whole == valid_configs[-1]:
                        continue  # the last file is complete
                    director.configure(text)
                    director.signal(signal.SIGHUP)
                    await asyncio.sleep(0.002)
                code = 1
                while code:  # on a machine that stalls the director refuses requests for a moment
                    stream += 1
                    client.ask(stream, i=f"{stream:016x}")
                    code = await receive_code(client, stream)
                    assert code in (0, 1) and stream < 200
                    await asyncio.sleep(0.01 * code)
            await wait_until(lambda: discoveries[3].request_times_s)
            discoveries[3].publish(flush={"collection": 17, "ms": int(time.time() * 1000.0)})
            while (
                "accept" not in cache.received[-1][1]
            ):  # the purge that the last discovery published is applied
                stream += 1
                client.ask(stream, i=f"{stream:016x}")
                await receive_code(client, stream)
            assert director.process.returncode is None and "Traceback" not in director.log
            # at least half, since simultaneous signals are delivered once
            assert director.log.count("reload failed") >= len(valid_configs) / 2
            request_counts = [-1]
            while request_counts != (
                request_counts := [len(discovery.request_times_s) for discovery in discoveries]
            ):
                await asyncio.sleep(0.3)  # a request that is in transit may be read late
            await asyncio.sleep(1.0)
            # the earlier discovery servers get no more requests
            assert [len(discovery.request_times_s) for discovery in discoveries[:3]] == request_counts[:3]
            director.signal(signal.SIGTERM)
            client.writer.close()
            assert await director.wait_until_exit() == 0
            for discovery in discoveries:
                await discovery.set_state(DiscoveryState.REFUSES)

    asyncio.run(scenario())
