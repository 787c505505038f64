"""Two real processes at one address, under load: what clients meet when one takes over from the other."""

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
from harness import Cache, Client, config, hit, trial, until

from gladelane.hot_restart.channel import Channel
from gladelane.hot_restart.decoding import HandoverError
from gladelane.hot_restart.messages import PROTOCOL_VERSION, Message, read_message
from gladelane.hot_restart.rendezvous_socket import SOCKET_NAME
from gladelane.lab.processes import Load, Processes

REFUSED = "127.0.0.1:1"


@asynccontextmanager
async def fleet(folder: Path, raw: bytes) -> AsyncIterator[Processes]:
    """With a first process that serves."""
    made = Processes(folder, json.loads(raw))
    try:
        await made.start()
        await made.serving()
        yield made
    finally:
        await made.end()


async def with_cache(cache: Cache) -> bytes:
    """Settings of a director whose one server that answers is this cache."""
    return config({"c0": await cache.start(), "p0": REFUSED, "r0": REFUSED})


def run_upgrades(tmp_path: Path, times: int, spoil: str = "") -> None:
    @trial
    async def test() -> None:
        cache = Cache(hit)
        async with fleet(tmp_path, await with_cache(cache)) as director:
            load = Load(director.port)
            for _ in range(times):
                await asyncio.sleep(0.2)
                if spoil:
                    (tmp_path / SOCKET_NAME).unlink()
                before = load.served
                await director.start()
                await director.serving()
                director.all[-2].send_signal(signal.SIGTERM)
                assert await asyncio.wait_for(director.all[-2].wait(), 6.0) == 0
                assert load.served > before
            await asyncio.sleep(0.2)
            await load.stop()
            assert not load.lost and load.crossed <= 2 * times and load.served > 50, (
                load.lost,
                load.crossed,
                load.served,
            )
            assert ("has the listening socket" in director.log(0)) != bool(spoil)

    test()


def test_upgrades_in_turn_lose_nothing(tmp_path: Path) -> None:
    run_upgrades(tmp_path, 3)


def test_without_the_rendezvous_socket_both_listen_by_themselves(tmp_path: Path) -> None:
    run_upgrades(tmp_path, 1, spoil="gone")


def test_a_new_version_that_cannot_start_leaves_the_old_one_as_it_was(tmp_path: Path) -> None:
    @trial
    async def test() -> None:
        cache = Cache(hit)
        async with fleet(tmp_path, await with_cache(cache)) as director:
            load = Load(director.port)
            assert await (await director.start(board="nowhere")).wait() == 1
            assert "board" in director.log() or "nowhere" in director.log()
            await director.start()
            await director.serving()
            director.all[-1].kill()  # right after its yes, with connections of its own
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
def test_who_is_not_this_director_in_this_version_is_given_nothing(line: bytes) -> None:
    with pytest.raises(HandoverError):
        read_message(line, "n0")


@trial
async def test_a_foreign_process_at_the_rendezvous_socket_is_passed_over() -> None:
    with tempfile.TemporaryDirectory() as folder:
        made = [Channel(folder, name, RecordingHandler()) for name in ("n0", "n1")]
        assert made[0].connect() is None  # nobody
        made[0].listen()
        meeting = asyncio.get_running_loop().run_in_executor(None, made[1].connect)
        assert await meeting is None and made[0].peer_count == made[1].peer_count == 0
        with pytest.raises(HandoverError):
            read_message(b'{"kind":"order","version":0}', "n0")
        assert read_message(b'{"kind":"order","word":"maint","store":"x"}', "n0") == Message(
            "order", operation="maint", store="x"
        )
        made[0].close()


async def asked(cache: Cache, port: int, first: int) -> int:
    """How many of twenty requests came to this cache. One that is refused, as on a slow machine, is asked
    again."""
    before = len(cache.seen)
    client, stream = await Client.to(port), 0
    for number in range(first, first + 20):
        code = 1
        while code == 1:
            stream += 1
            client.ask(stream, i=f"{first:08x}{stream:08x}", o=f"{number:016x}", m="1")
            while (frame := await client.next())[0] != 17:
                pass
            code = frame[2]
            await asyncio.sleep(0.02 * code)
        assert code == 0
    client.writer.close()
    return len(cache.seen) - before


@trial
async def test_an_upgrade_of_an_upgrade_while_the_first_still_leaves() -> None:
    held = Cache(lambda command: None if command[1]["thing"].endswith("ff") else hit(command))
    with tempfile.TemporaryDirectory() as folder:
        async with fleet(Path(folder), await with_cache(held)) as director:
            first = director.all[0]
            busy = await Client.to(director.port)
            asked = 0
            while (
                not held.seen
            ):  # it keeps the first process for a while; on a slow machine it is refused first
                asked += 1
                busy.ask(asked, i=f"aa{asked:014x}", o="00000000000000ff", d="2500", m="1")
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
            while len(answered) < asked:
                frame = await busy.next()
                if frame[0] == 17:
                    answered.append(frame[1])
                    assert frame[2] in (1, 2)  # no copy comes: the answer is of the process that took it
            assert sorted(answered) == list(range(1, asked + 1))
            assert await first.wait() == 0 and third.returncode is None
            before = load.served
            await asyncio.sleep(0.3)
            await load.stop()
            assert not load.lost and load.served > before and "took over" in director.log()


def test_who_is_ended_before_the_new_ones_yes_leaves_newcomers_to_the_shared_queue(tmp_path: Path) -> None:
    @trial
    async def test() -> None:
        async with fleet(tmp_path, await with_cache(Cache(hit))) as director:
            old = director.all[0]
            load = Load(director.port)
            await director.start()
            await until(lambda: "has the listening socket" in director.log(0), 20.0)
            old.send_signal(signal.SIGTERM)
            await director.serving()
            assert await old.wait() == 0
            before = load.served
            await asyncio.sleep(0.2)
            await load.stop()
            assert not load.lost and load.served > before

    test()


@pytest.mark.parametrize("how", ["usual", "killed", "torn", "between", "to the new one"])
def test_a_cache_that_is_out_stays_out_across_an_upgrade(tmp_path: Path, how: str) -> None:
    @trial
    async def test() -> None:
        one, two = Cache(hit), Cache(hit)
        raw = config({"c0": await one.start(), "c1": await two.start(), "p0": REFUSED, "r0": REFUSED})
        async with fleet(tmp_path, raw) as director:
            old = director.all[0]
            assert await asked(one, director.port, 1000)
            if how in ("usual", "killed", "torn"):
                assert (await director.call("POST", "/caches/c0/maint"))[0] == 200
            if how in ("killed", "torn"):
                old.kill()
                await old.wait()
            if how == "torn":
                path = tmp_path / "gladelane.handover"
                path.write_bytes(path.read_bytes()[:-3])
            await director.start()
            await director.serving()
            if how == "between":
                assert (await director.call("POST", "/caches/c0/maint", 0))[0] == 200
            elif how == "to the new one":
                assert (await director.call("POST", "/caches/c0/maint", 1))[0] == 200
                director.all[1].kill()  # and the old one goes on
                await director.all[1].wait()
                assert await asked(one, director.port, 2000) == 0
                await director.start()
                await director.serving()
            await asyncio.sleep(0.1)
            if how == "torn":  # nothing of it is taken, and that is said once
                assert director.log().count("hand-over is ignored: ends at byte") == 1
                assert (await director.figures())["hosts_down"] == 0
                return
            if how != "killed":
                old.send_signal(signal.SIGTERM)
                assert await old.wait() == 0
            assert await asked(one, director.port, 3000) == 0, director.log()
            assert "hosts_down=1" in (await director.call("GET", "/stats"))[1]
            assert (await director.call("POST", "/caches/c0/ready"))[0] == 200
            assert "hosts_down=0" in (await director.call("GET", "/stats"))[1]

    test()


def test_a_drain_goes_over_and_ends_at_the_new_process(tmp_path: Path) -> None:
    @trial
    async def test() -> None:
        async with fleet(tmp_path, await with_cache(Cache(hit))) as director:
            old = director.all[0]
            assert (await director.call("POST", "/healthcheck/fail"))[0] == 200
            await director.start()
            await director.serving()
            old.send_signal(signal.SIGTERM)
            await old.wait()
            for word, code in (("", 1), ("ok", 0), ("fail", 1), ("ok", 0)):
                if word:
                    assert (await director.call("POST", f"/healthcheck/{word}"))[0] == 200
                client = await Client.to(director.port)
                client.send(32, 0, b"\x00")
                assert (await client.next())[:3] == (33, 0, code)

    test()


def test_files_at_sighup_are_counted_and_the_door_answers_while_descriptors_are_out(tmp_path: Path) -> None:
    @trial
    async def test() -> None:
        raw = json.loads(await with_cache(Cache(hit)))
        raw["limits"]["sockets"] = 128
        async with fleet(tmp_path, json.dumps(raw).encode()) as director:
            path, whole = tmp_path / "config1.json", (tmp_path / "config1.json").read_text()
            told = await director.figures()
            assert (told["reconfig_ok"], told["reconfig_failed"]) == (0, 0)
            for text in (whole[:-20], whole.replace('"max_attempts": ', '"max_attempts": 0'), whole):
                path.write_text(text)
                before = director.log().count("reload")
                director.all[0].send_signal(signal.SIGHUP)
                await until(lambda before=before: director.log().count("reload") > before)
            told = await director.figures()
            assert (told["reconfig_ok"], told["reconfig_failed"]) == (1, 2)
            resource.prlimit(director.all[0].pid, resource.RLIMIT_NOFILE, (128, 128))
            crowd = [await Client.to(director.port) for _ in range(150)]  # more than it may hold
            callers = [await asyncio.open_connection("127.0.0.1", director.ops[0]) for _ in range(30)]
            for _ in range(10):
                assert (await director.call("GET", "/healthcheck"))[0] == 200
            assert director.resource_usage()[1] <= 128
            for _, writer in [*callers, *((client.reader, client.writer) for client in crowd)]:
                writer.close()

    test()
