"""Upgrades between real processes at one address, with clients that send requests during the upgrade."""

from __future__ import annotations

import asyncio
import json
import resource
import signal
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from channel_handler import RecordingHandler
from harness import Client, ScriptedCache, async_test, config, hit, wait_until

from gladelane.hot_restart.channel import Channel
from gladelane.hot_restart.decoding import HandoverError
from gladelane.hot_restart.messages import PROTOCOL_VERSION, Message, read_message
from gladelane.hot_restart.rendezvous_socket import SOCKET_NAME
from gladelane.lab.processes import Load, Processes

UNREACHABLE = "127.0.0.1:1"


@asynccontextmanager
async def running_director(folder: Path, raw: bytes) -> AsyncIterator[Processes]:
    """Starts the first process of a director, waits until it serves, and ends all processes afterwards."""
    director = Processes(folder, json.loads(raw))
    try:
        await director.start()
        await director.serving()
        yield director
    finally:
        await director.end()


async def config_with_cache(cache: ScriptedCache) -> bytes:
    """Returns the settings of a director whose only reachable server is this cache."""
    return config({"c0": await cache.start(), "p0": UNREACHABLE, "r0": UNREACHABLE})


def run_upgrades(tmp_path: Path, upgrade_count: int, fault: str = "") -> None:
    @async_test
    async def test() -> None:
        cache = ScriptedCache(hit)
        async with running_director(tmp_path, await config_with_cache(cache)) as director:
            load = Load(director.port)
            for _ in range(upgrade_count):
                await asyncio.sleep(0.2)
                if fault:
                    (tmp_path / SOCKET_NAME).unlink()
                before = load.served
                await director.start()
                await director.serving()
                director.all[-2].send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(director.all[-2].wait(), 6.0) == 0
                assert load.served > before
            await asyncio.sleep(0.2)
            await load.stop()
            assert not load.lost and load.crossed <= 2 * upgrade_count and load.served > 50, (
                load.lost,
                load.crossed,
                load.served,
            )
            assert ("has the listening socket" in director.log(0)) != bool(fault)

    test()


def test_successive_upgrades_lose_no_request(tmp_path: Path) -> None:
    run_upgrades(tmp_path, 3)


def test_an_upgrade_without_the_rendezvous_socket_loses_no_request(tmp_path: Path) -> None:
    run_upgrades(tmp_path, 1, fault="no rendezvous socket")


def test_a_failed_start_of_a_new_version_does_not_affect_the_old_one(tmp_path: Path) -> None:
    @async_test
    async def test() -> None:
        cache = ScriptedCache(hit)
        async with running_director(tmp_path, await config_with_cache(cache)) as director:
            load = Load(director.port)
            assert await (await director.start(board="nowhere")).wait() == 1
            assert "board" in director.log() or "nowhere" in director.log()
            await director.start()
            await director.serving()
            director.all[-1].kill()  # right after it is ready, while it has connections of its own
            await director.all[-1].wait()
            load.lost = []
            before = load.served
            await asyncio.sleep(0.3)
            await load.stop()
            assert (
                load.served > before
                and not load.lost
                and (await director.call("GET", "/healthcheck", 0))[0] == 200
            )

    test()


@pytest.mark.parametrize("line", [
    b"", b"nonsense", b"{}", b'{"kind":1}', json.dumps({"kind": "hello", "version": PROTOCOL_VERSION + 1, "name": "n0"}).encode(),
    json.dumps({"kind": "hello", "version": PROTOCOL_VERSION, "name": "n1"}).encode(),
])  # fmt: skip
def test_messages_of_other_directors_and_versions_are_rejected(line: bytes) -> None:
    with pytest.raises(HandoverError):
        read_message(line, "n0")


@async_test
async def test_processes_of_different_directors_do_not_connect() -> None:
    with tempfile.TemporaryDirectory() as folder:
        channels = [Channel(folder, name, RecordingHandler()) for name in ("n0", "n1")]
        assert channels[0].connect() is None  # no process is running yet
        channels[0].listen()
        connecting = asyncio.get_running_loop().run_in_executor(None, channels[1].connect)
        assert await connecting is None and channels[0].peer_count == channels[1].peer_count == 0
        with pytest.raises(HandoverError):
            read_message(b'{"kind":"order","version":0}', "n0")
        assert read_message(b'{"kind":"order","word":"maint","store":"x"}', "n0") == Message(
            "order", operation="maint", store="x"
        )
        channels[0].close()


async def count_requests_to(cache: ScriptedCache, port: int, first_object: int) -> int:
    """Sends twenty requests and returns how many reached this cache. Requests that a slow machine refuses are
    repeated."""
    before = len(cache.received)
    client, stream = await Client.connect(port), 0
    for number in range(first_object, first_object + 20):
        code = 1
        while code == 1:
            stream += 1
            client.ask(stream, i=f"{first_object:08x}{stream:08x}", o=f"{number:016x}", m="1")
            while (frame := await client.next())[0] != 17:
                pass
            code = frame[2]
            await asyncio.sleep(0.02 * code)
        assert code == 0
    client.writer.close()
    return len(cache.received) - before


@async_test
async def test_a_second_upgrade_while_the_first_process_still_drains() -> None:
    slow_cache = ScriptedCache(lambda command: None if command[1]["thing"].endswith("ff") else hit(command))
    with tempfile.TemporaryDirectory() as folder:
        async with running_director(Path(folder), await config_with_cache(slow_cache)) as director:
            first = director.all[0]
            busy = await Client.connect(director.port)
            request_count = 0
            # An unanswered request keeps the first process running. A slow machine may refuse it at first.
            while not slow_cache.received:
                request_count += 1
                busy.ask(request_count, i=f"aa{request_count:014x}", o="00000000000000ff", d="2500", m="1")
                await asyncio.sleep(0.1)
            load = Load(director.port)
            second = await director.start()
            await director.serving()
            first.send_signal(signal.SIGTERM)
            third = await director.start()
            await director.serving()
            second.send_signal(signal.SIGTERM)
            assert await second.wait() == 0
            answered = []
            while len(answered) < request_count:
                frame = await busy.next()
                if frame[0] == 17:
                    answered.append(frame[1])
                    # There is no copy, so the process that accepted the request refuses it.
                    assert frame[2] in (1, 2)
            assert sorted(answered) == list(range(1, request_count + 1))
            assert await first.wait() == 0 and third.returncode is None
            before = load.served
            await asyncio.sleep(0.3)
            await load.stop()
            assert not load.lost and load.served > before and "took over" in director.log()


def test_an_old_process_that_ends_before_the_new_one_is_ready_loses_no_connection(tmp_path: Path) -> None:
    @async_test
    async def test() -> None:
        async with running_director(tmp_path, await config_with_cache(ScriptedCache(hit))) as director:
            old = director.all[0]
            load = Load(director.port)
            await director.start()
            await wait_until(lambda: "has the listening socket" in director.log(0), 20.0)
            old.send_signal(signal.SIGTERM)
            await director.serving()
            assert await old.wait() == 0
            before = load.served
            await asyncio.sleep(0.2)
            await load.stop()
            assert not load.lost and load.served > before

    test()


@pytest.mark.parametrize(
    "scenario",
    [
        "before the upgrade",
        "old process killed",
        "handover truncated",
        "during the upgrade",
        "at the new process",
    ],
)
def test_a_cache_in_maintenance_stays_out_of_service_across_an_upgrade(tmp_path: Path, scenario: str) -> None:
    @async_test
    async def test() -> None:
        cache, other_cache = ScriptedCache(hit), ScriptedCache(hit)
        raw = config(
            {"c0": await cache.start(), "c1": await other_cache.start(), "p0": UNREACHABLE, "r0": UNREACHABLE}
        )
        async with running_director(tmp_path, raw) as director:
            old = director.all[0]
            assert await count_requests_to(cache, director.port, 1000)
            if scenario in ("before the upgrade", "old process killed", "handover truncated"):
                assert (await director.call("POST", "/caches/c0/maint"))[0] == 200
            if scenario in ("old process killed", "handover truncated"):
                old.kill()
                await old.wait()
            if scenario == "handover truncated":
                path = tmp_path / "gladelane.handover"
                path.write_bytes(path.read_bytes()[:-3])
            await director.start()
            await director.serving()
            if scenario == "during the upgrade":
                assert (await director.call("POST", "/caches/c0/maint", 0))[0] == 200
            elif scenario == "at the new process":
                assert (await director.call("POST", "/caches/c0/maint", 1))[0] == 200
                director.all[1].kill()  # while the old process continues
                await director.all[1].wait()
                assert await count_requests_to(cache, director.port, 2000) == 0
                await director.start()
                await director.serving()
            await asyncio.sleep(0.1)
            if scenario == "handover truncated":  # the whole file is ignored, which is logged once
                assert director.log().count("hand-over is ignored: ends at byte") == 1
                assert (await director.figures())["hosts_down"] == 0
                return
            if scenario != "old process killed":
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
            assert await count_requests_to(cache, director.port, 3000) == 0, director.log()
            assert "hosts_down=1" in (await director.call("GET", "/stats"))[1]
            assert (await director.call("POST", "/caches/c0/ready"))[0] == 200
            assert "hosts_down=0" in (await director.call("GET", "/stats"))[1]

    test()


def test_a_drain_is_handed_over_and_can_be_ended_at_the_new_process(tmp_path: Path) -> None:
    @async_test
    async def test() -> None:
        async with running_director(tmp_path, await config_with_cache(ScriptedCache(hit))) as director:
            old = director.all[0]
            assert (await director.call("POST", "/healthcheck/fail"))[0] == 200
            await director.start()
            await director.serving()
            old.send_signal(signal.SIGTERM)
            await old.wait()
            for action, code in (("", 1), ("ok", 0), ("fail", 1), ("ok", 0)):
                if action:
                    assert (await director.call("POST", f"/healthcheck/{action}"))[0] == 200
                client = await Client.connect(director.port)
                client.send(32, 0, b"\x00")
                assert (await client.next())[:3] == (33, 0, code)

    test()


def test_reloads_are_counted_and_the_admin_endpoint_answers_without_free_descriptors(tmp_path: Path) -> None:
    @async_test
    async def test() -> None:
        raw = json.loads(await config_with_cache(ScriptedCache(hit)))
        raw["limits"]["sockets"] = 128
        async with running_director(tmp_path, json.dumps(raw).encode()) as director:
            path, valid_text = tmp_path / "config1.json", (tmp_path / "config1.json").read_text()
            figures = await director.figures()
            assert (figures["reconfig_ok"], figures["reconfig_failed"]) == (0, 0)
            for text in (
                valid_text[:-20],
                valid_text.replace('"max_attempts": ', '"max_attempts": 0'),
                valid_text,
            ):
                path.write_text(text)
                before = director.log().count("reload")
                director.all[0].send_signal(signal.SIGHUP)
                await wait_until(lambda before=before: director.log().count("reload") > before)
            figures = await director.figures()
            assert (figures["reconfig_ok"], figures["reconfig_failed"]) == (1, 2)
            resource.prlimit(director.all[0].pid, resource.RLIMIT_NOFILE, (128, 128))
            # more connections than the process may have open
            clients = [await Client.connect(director.port) for _ in range(150)]
            callers = [await asyncio.open_connection("127.0.0.1", director.ops[0]) for _ in range(30)]
            for _ in range(10):
                assert (await director.call("GET", "/healthcheck"))[0] == 200
            assert director.resource_usage()[1] <= 128
            for _, writer in [*callers, *((client.reader, client.writer) for client in clients)]:
                writer.close()

    test()
