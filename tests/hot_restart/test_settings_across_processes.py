"""New settings beside a second process of the director: what binds one process binds the other."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from harness import CLASSES, FAMILY, Client, Command, ScriptedCache, async_test, config, hit

from gladelane.admin.live_settings import CLIENT_SWITCH_MS
from gladelane.hot_restart.decoding import HandoverError
from gladelane.hot_restart.messages import SETTINGS_BIND, UPDATE, Message, encode_message, read_message
from gladelane.hot_restart.shared_settings import decode_settings, encode_settings
from gladelane.lab.processes import Processes
from gladelane.net.client_protocol import FrameType
from gladelane.net.config import read_config
from gladelane.net.exchange import AnswerCode

Script = Callable[[Command], tuple[str, bytes] | None]
CLASS = "answer"
INTERVAL_S = 0.02  # between two requests
SETTLE_S = 0.5  # after the last request; its attempts come sooner
SWITCH_S = CLIENT_SWITCH_MS / 1000.0


def fail_answers(command: Command) -> tuple[str, bytes] | None:
    return ("crashed -", b"") if command[1]["profile"] == CLASS else hit(command)


def file_with(raw: dict[str, Any], effect: str, max_attempts: int = 4) -> dict[str, Any]:
    """The platform's file with a class of this effect; without the class if `effect` is empty."""
    classes = [*CLASSES]
    if effect:
        classes.append({**CLASSES[0], "name": CLASS, "effect": effect, "group": "all", "window_ms": 2000.0})
    settings = {**raw["settings"], "classes": classes}
    settings["family_info"] = {
        **FAMILY,
        "pass_on": [False] * len(classes),
        "good_for_ms": [0.0] * len(classes),
        "segmented": [False] * len(classes),
    }
    settings["limits"] = {**settings["limits"], "max_attempts": max_attempts}
    return {**raw, "settings": settings}


class Scene:
    """A director whose processes share one file, and clients that each send one request of the class."""

    def __init__(self, folder: Path, raw: dict[str, Any], origin: ScriptedCache) -> None:
        self.path = folder / "shared.json"
        self.director = Processes(folder, raw, {"GW_CONFIG": str(self.path)})
        self.raw = {**raw, "listen": self.director.raw["listen"]}
        self.origin = origin
        self.written_s: dict[str, float] = {}  # when the request with this id was written
        self.codes: dict[str, int] = {}
        self.changed_s = 0.0  # when the latest signal was sent
        self._tasks: list[asyncio.Task[None]] = []

    def write_file(self, effect: str, max_attempts: int = 4) -> None:
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(file_with(self.raw, effect, max_attempts)))
        temporary.replace(self.path)

    def reload(self, process: int) -> None:
        self.changed_s = time.monotonic()
        self.director.all[process].send_signal(signal.SIGHUP)

    async def upgrade(self) -> None:
        """Starts a process, and ends the one before it once the new one serves."""
        await self.director.start()
        await self.director.serving()
        self.director.all[-2].send_signal(signal.SIGTERM)

    def start_clients(self) -> None:
        self._tasks.append(asyncio.create_task(self._send_requests()))

    async def _send_requests(self) -> None:
        for number in range(1, 10_000):
            self._tasks.append(asyncio.create_task(self._send_request(f"{number:016x}")))
            await asyncio.sleep(INTERVAL_S)

    async def _send_request(self, id_: str) -> None:
        with suppress(OSError, EOFError):
            client = await Client.connect(self.director.port)
            client.ask(1, c=CLASS, i=id_, o=id_, m="1")
            self.written_s[id_] = time.monotonic()
            while (frame := await client.next())[0] != FrameType.ANSWER:
                pass  # a process that is about to end asks its clients to leave
            self.codes[id_] = frame[2]
            client.writer.close()

    async def stop_clients(self) -> None:
        await asyncio.sleep(SETTLE_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def attempts(self, start_s: float, end_s: float) -> dict[str, int]:
        """The number of attempts for each request that was written in this time."""
        ids = [command[0] for command in self.origin.received]
        return {
            id_: ids.count(id_) for id_, written_s in self.written_s.items() if start_s <= written_s < end_s
        }

    async def sleep_until(self, moment_s: float) -> None:
        await asyncio.sleep(max(moment_s - time.monotonic(), 0.0))


@asynccontextmanager
async def scene(
    folder: Path, effect: str, max_attempts: int = 4, script: Script = fail_answers
) -> AsyncIterator[Scene]:
    """A director that serves with this file."""
    origin = ScriptedCache(script)
    address = await origin.start()
    one = Scene(folder, json.loads(config({"c0": address, "r0": address})), origin)
    one.write_file(effect, max_attempts)
    try:
        await one.director.start()
        await one.director.serving()
        yield one
    finally:
        await one.stop_clients()
        await one.director.end()


async def expect_one_attempt_until_switch(one: Scene) -> None:
    """Until clients use the new file, no request is attempted twice. A process that takes longer to start than
    clients take to switch has no request to judge."""
    await one.sleep_until(one.changed_s + SWITCH_S)
    await asyncio.sleep(SETTLE_S)
    attempts = one.attempts(0.0, one.changed_s + SWITCH_S)
    assert set(attempts.values()) <= {0, 1}, attempts


@pytest.mark.parametrize(
    ("first", "second"), [(("fragile", 4), ("retryable", 4)), (("retryable", 1), ("retryable", 8))]
)
def test_a_process_started_beside_new_settings_keeps_to_those_before(
    tmp_path: Path, first: tuple[str, int], second: tuple[str, int]
) -> None:
    """It knew the new file alone and repeated requests that must not run twice."""

    @async_test
    async def test() -> None:
        async with scene(tmp_path, *first) as one:
            one.write_file(*second)
            one.reload(0)
            one.start_clients()
            await one.upgrade()
            await expect_one_attempt_until_switch(one)

    test()


def test_a_process_started_beside_a_chain_of_settings_keeps_to_all_of_them(tmp_path: Path) -> None:
    @async_test
    async def test() -> None:
        async with scene(tmp_path, "fragile") as one:
            one.write_file("dedup")
            one.reload(0)
            first_changed_s = one.changed_s
            await asyncio.sleep(0.3)
            one.write_file("retryable")
            one.reload(0)
            one.changed_s = first_changed_s
            one.start_clients()
            await one.upgrade()
            await expect_one_attempt_until_switch(one)

    test()


@pytest.mark.parametrize("delay_s", [0.05, 0.6])
@pytest.mark.parametrize("is_file_early", [False, True])
def test_settings_that_come_while_a_process_starts_do_not_free_it_of_those_before(
    tmp_path: Path, is_file_early: bool, delay_s: float
) -> None:
    """The signal goes to the old process; the new one may have read either file."""

    @async_test
    async def test() -> None:
        async with scene(tmp_path, "fragile") as one:
            if is_file_early:
                one.write_file("retryable")
            one.start_clients()
            await one.director.start()
            await asyncio.sleep(delay_s)
            one.write_file("retryable")
            one.reload(0)
            await one.director.serving()
            one.director.all[0].send_signal(signal.SIGTERM)
            await expect_one_attempt_until_switch(one)

    test()


def test_a_process_killed_after_new_settings_leaves_what_still_binds(tmp_path: Path) -> None:
    @async_test
    async def test() -> None:
        async with scene(tmp_path, "fragile") as one:
            one.write_file("retryable")
            one.reload(0)
            await asyncio.sleep(0.1)
            one.director.all[0].kill()
            await one.director.start()
            await one.director.serving()
            one.start_clients()
            await expect_one_attempt_until_switch(one)

    test()


@pytest.mark.parametrize("process", [0, 1])
def test_a_signal_to_one_process_brings_the_new_settings_to_the_other(tmp_path: Path, process: int) -> None:
    """The other one stayed with the file that it had read."""

    @async_test
    async def test() -> None:
        async with scene(tmp_path, "retryable") as one:
            await one.director.start()
            await one.director.serving()
            one.write_file("fragile")
            one.reload(process)
            await asyncio.sleep(0.2)
            one.start_clients()
            await asyncio.sleep(0.5)
            one.director.all[0].send_signal(signal.SIGTERM)
            await one.sleep_until(one.changed_s + SWITCH_S + 1.5)  # the lease of the old process has ended
            await asyncio.sleep(SETTLE_S)
            attempts = one.attempts(one.changed_s + SWITCH_S, time.monotonic() - SETTLE_S)
            assert attempts and set(attempts.values()) <= {0, 1}, attempts
            figures = await one.director.figures(1)
            assert figures["reconfig_ok"] == process  # counted where the signal came

    test()


@pytest.mark.parametrize(("first", "second"), [("", "retryable"), ("retryable", "")])
def test_a_class_that_is_added_or_dropped_beside_an_upgrade_is_known(
    tmp_path: Path, first: str, second: str
) -> None:
    """A request that names the class failed: it is unusable for a process that does not know the class."""

    @async_test
    async def test() -> None:
        async with scene(tmp_path, first, script=hit) as one:
            await one.director.start()
            await one.director.serving()
            one.write_file(second)
            one.reload(0)
            binds_from_s = one.changed_s + (SWITCH_S if second else 0.1)
            binds_until_s = one.changed_s + SWITCH_S + (1.0 if second else 0.0)
            await one.sleep_until(one.changed_s + 0.1)
            one.start_clients()
            await one.sleep_until(binds_from_s + 0.3)
            one.director.all[0].send_signal(signal.SIGTERM)
            await one.sleep_until(binds_until_s)
            await asyncio.sleep(SETTLE_S)
            requests = one.attempts(binds_from_s, binds_until_s)
            codes = [one.codes.get(id_) for id_ in requests]
            assert requests and set(codes) == {AnswerCode.SERVED}, codes

    test()


def test_settings_survive_the_way_to_another_process() -> None:
    raw = json.loads(config({"r0": "127.0.0.1:1"}))
    sent = read_config(json.dumps(file_with(raw, "fragile", 3)).encode()).settings
    own = read_config(json.dumps(file_with(raw, "retryable", 8)).encode()).settings
    assert decode_settings(encode_settings(sent), own) == sent
    message = Message(UPDATE, operation=SETTINGS_BIND, settings=encode_settings(sent).decode(), at_ms=1.0)
    line = encode_message(message)
    assert line.count(b"\n") == 1 and read_message(line.strip(), "n0") == message


@pytest.mark.parametrize("data", [b"", b"{}", b"[]", b'{"classes":{"film":{"effect":"unheard of"}}}'])
def test_settings_that_are_not_understood_are_an_error(data: bytes) -> None:
    own = read_config(config({"r0": "127.0.0.1:1"})).settings
    with pytest.raises(HandoverError):
        decode_settings(data, own)
