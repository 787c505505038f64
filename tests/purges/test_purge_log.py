"""Purge log servers on loopback: durable responses, resumption, peers, backlogs, and invalid requests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import ssl
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
import pytest
from harness import wait_until

from gladelane.control_plane import event_stream, positions, server
from gladelane.control_plane.http import HttpStatusError, fetch
from gladelane.control_plane.positions import Vector
from gladelane.control_plane.server import ControlServer
from gladelane.control_plane.tokens import TokenFileError, Tokens
from gladelane.lab.simdisk import SimDisk
from gladelane.purges import purge_stream, subscriber
from gladelane.purges.active_purges import ActivePurges
from gladelane.purges.batch import SERVER_RECORD_PREFIX
from gladelane.purges.control_part import PurgePart
from gladelane.purges.purge import IssuerSequence, Purge
from gladelane.purges.purge_log import PurgeLog
from gladelane.purges.subscriber import Subscriber
from gladelane.purges.wire import Event, encode_purge
from gladelane.storage.files import Folder
from gladelane.storage.log import recover

TOKEN = "a-token-of-the-operators"
ROOT = Path(__file__).parents[2]
WAIT_S = 30.0  # much longer than needed
NEVER_S = 3600.0
MAX_DELAY_S = 1.0


def unix_ms() -> float:
    return time.time() * 1000.0


def tokens(folder: Path) -> Tokens:
    path = folder / "tokens"
    if not path.exists():
        path.write_text(f"ops {TOKEN}\n")
    return Tokens(path)


class ServedLog(PurgeLog):
    """A purge log that is the only part of a control server."""

    port = 0

    async def serve(self, tls: ssl.SSLContext | None = None) -> int:
        self._control = ControlServer(self.tokens, [PurgePart(self)])
        self.port = await self._control.start("127.0.0.1", 0, tls)
        return self.port

    async def end(self) -> None:
        await self._control.close()


@asynccontextmanager
async def running_server(
    tmp: Path, name: str = "a", disk: Any = None, **overrides: Any
) -> AsyncIterator[ServedLog]:
    settings = {"is_first_start": True, "clock": unix_ms, **overrides}
    purge_server = ServedLog(name, SimDisk() if disk is None else disk, tokens(tmp), **settings)
    await purge_server.serve()
    try:
        yield purge_server
    finally:
        await purge_server.end()


async def send(port: int, scope: str, key: str = "", token: str = TOKEN, **tags: str) -> dict[str, Any]:
    body = json.dumps({"scope": scope, "tags": tags}).encode()
    response: dict[str, Any] = json.loads(
        await fetch("127.0.0.1", port, "POST", "/purges", token, body, {"Idempotency-Key": key})
    )
    return response


class RecordingSubscriber:
    """Subscribes to servers and applies what they send, as a director does."""

    def __init__(self, *ports: int) -> None:
        self.active = ActivePurges()
        self.subscribers = [Subscriber("127.0.0.1", port, lambda: TOKEN, self, unix_ms) for port in ports]
        self.tasks = [asyncio.ensure_future(one.run()) for one in self.subscribers]

    def known_vector(self) -> Vector:
        return self.active.positions.vector()

    def on_purges(self, purges: list[Purge], source: Subscriber) -> None:
        for purge in purges:
            self.active.apply(purge, unix_ms())

    def on_losses(self, event: Event, source: Subscriber) -> None:
        pass

    def on_position(self, vector: Vector, source: Subscriber) -> None:
        self.active.positions.advance_to(vector)

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def run(scenario: Any) -> None:
    asyncio.run(scenario)


def test_a_purge_is_sent_without_waiting_for_a_heartbeat(tmp_path: Path) -> None:
    """A purge must wake the streams. Otherwise it would wait for the next heartbeat, which never comes in this test. On a
    busy machine some purges may be late, but a missing wake-up would delay all of them."""

    async def scenario() -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(purge_stream, "HEARTBEAT_S", NEVER_S)
            patch.setattr(subscriber, "HEARTBEAT_TIMEOUT_S", NEVER_S)
            async with running_server(tmp_path) as purge_server:
                recorder = RecordingSubscriber(purge_server.port)
                await wait_until(lambda: recorder.subscribers[0].caught_up.is_set(), WAIT_S)
                delays_s: list[float] = []
                for group in range(1, 6):
                    await send(purge_server.port, f"group:{group}")
                    started = time.monotonic()
                    await wait_until(lambda group=group: len(recorder.active) == group, WAIT_S)  # type: ignore[misc]
                    delays_s.append(time.monotonic() - started)
                await recorder.close()
        assert min(delays_s) < MAX_DELAY_S, delays_s

    run(scenario())


def test_requests_with_the_same_idempotency_key_return_the_first_response(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_server(tmp_path) as purge_server:
            recorder = RecordingSubscriber(purge_server.port)
            await wait_until(lambda: recorder.subscribers[0].caught_up.is_set(), WAIT_S)
            first = await send(
                purge_server.port, "tag:signs & class:page", "k1", signs="objects:7f* | group:3"
            )
            assert (first["seq"], first["again"]) == (1, False)
            assert set(first["scope"].split(" | ")) == {"class:page & group:3", "class:page & objects:7f*"}
            await wait_until(lambda: len(recorder.active) == 1, WAIT_S)
            repeated = await send(purge_server.port, "class:page & objects:7f* | class:page & group:3", "k1")
            assert repeated["again"] and repeated["seq"] == 1 and len(purge_server.active) == 1
            responses = await asyncio.gather(*(send(purge_server.port, "group:9", "k2") for _ in range(8)))
            assert {b["seq"] for b in responses} == {2} and sum(not b["again"] for b in responses) == 1
            with pytest.raises(HttpStatusError, match="another scope") as rejected:
                await send(purge_server.port, "group:4", "k1")
            assert rejected.value.status == 409
            status = json.loads(await fetch("127.0.0.1", purge_server.port, "GET", "/status", TOKEN))
            assert (
                status["standing"] == 2
                and status["followers"] == 1
                and status["takes"]
                and not status["gaps"]
            )
            explanation = json.loads(
                await fetch(
                    "127.0.0.1",
                    purge_server.port,
                    "GET",
                    "/explain?object=7f00000000000000&class=page",
                    TOKEN,
                )
            )
            assert [purge[2] for purge in explanation] == [1]
            await recorder.close()

    run(scenario())


INVALID_REQUESTS = [
    ("POST", "/purges", b"{", "", 400), ("POST", "/purges", b"{}", "", 400), ("POST", "/purges", b'{"scope": "objects:*"}', "", 400),
    ("POST", "/purges", b'{"scope": 7}', "", 400), ("POST", "/purges", b'{"scope": "all", "x": 1}', "", 400),
    ("POST", "/purges", b"x" * 70_000, "", 413), ("GET", "/nothing", b"", "", 404), ("GET", "/follow?from=rubbish", b"", "", 400),
    ("GET", "/explain?object=zz", b"", "", 400), ("GET", "/status", b"", "wrong-token-wrong-token", 401), ("GET", "/status", b"", "x", 401),
    ("POST", "/purges", b'{"scope": "' + b" | ".join(b"objects:?%x?%x*1" % (n, n) for n in range(16)) + b'"}', "", 200),
    ("POST", "/purges", b'{"scope": "' + b" | ".join(f"objects:{n:07b}".replace("0", "?").encode() + b"*2" for n in range(80)) + b'"}', "", 400),
]  # fmt: skip


def test_invalid_requests_are_rejected_with_their_status_and_the_server_keeps_serving(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_server(tmp_path) as purge_server:
            for method, target, body, token, status in INVALID_REQUESTS:
                try:
                    await fetch("127.0.0.1", purge_server.port, method, target, token or TOKEN, body)
                    received_status = 200
                except HttpStatusError as error:
                    received_status = error.status
                    assert "\n" not in str(error)
                assert received_status == status, (method, target, body[:60], received_status)
            reader, writer = await asyncio.open_connection("127.0.0.1", purge_server.port)
            writer.write(b"\x00\xff\r\n\r\n")
            assert (await reader.read(64)).startswith(b"HTTP/1.1 400")
            writer.close()
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(server, "REQUEST_TIMEOUT_S", 0.1)
                reader, writer = await asyncio.open_connection("127.0.0.1", purge_server.port)
                writer.write(b"POST /purges HTTP/1.1\r\nHost: x\r\n")
                assert (await reader.read(64)).startswith(b"HTTP/1.1 408")
                writer.close()
            assert (await send(purge_server.port, "group:1"))["seq"] == 2

    run(scenario())


def test_tokens_rotate_without_a_restart_and_an_invalid_file_keeps_the_old_ones(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_server(tmp_path) as purge_server:
            for content, accepted_tokens, rejected_tokens in ((f"new {'n' * 20}\nops {TOKEN}\n", ["n" * 20, TOKEN], []), (f"new {'n' * 20}\n", ["n" * 20], [TOKEN]),
                                       ("broken\n", ["n" * 20], ["broken"])):  # fmt: skip
                (tmp_path / "tokens").write_text(content)
                for token in accepted_tokens:
                    assert await fetch("127.0.0.1", purge_server.port, "GET", "/status", token)
                for token in rejected_tokens:
                    with pytest.raises(HttpStatusError, match="known token"):
                        await fetch("127.0.0.1", purge_server.port, "GET", "/status", token)
            assert "line 1: expected" in purge_server.tokens.reload_error

    run(scenario())
    with pytest.raises(TokenFileError, match="line 1"):
        tokens(tmp_path)


def test_purges_that_a_stopped_server_did_not_send_are_sent_after_its_restart(tmp_path: Path) -> None:
    async def scenario() -> None:
        disk = SimDisk()
        async with running_server(tmp_path, disk=disk) as purge_server:
            recorder = RecordingSubscriber(purge_server.port)
            await wait_until(lambda: recorder.subscribers[0].caught_up.is_set(), WAIT_S)
            await send(purge_server.port, "group:1")
            await wait_until(lambda: len(recorder.active) == 1, WAIT_S)
            await recorder.close()
            await send(purge_server.port, "group:2", "key")
            epoch, vector = purge_server.epoch, recorder.active.positions.vector()
        async with running_server(tmp_path, disk=disk) as restarted:
            assert restarted.epoch > epoch and len(restarted.active) == 2
            assert (await send(restarted.port, "group:2", "key"))["again"]  # keys survive a restart
            await send(restarted.port, "group:3")
            late_recorder = RecordingSubscriber(restarted.port)
            late_recorder.active.positions.advance_to(vector)
            await wait_until(lambda: late_recorder.subscribers[0].caught_up.is_set(), WAIT_S)
            assert sorted(p.scope for p in late_recorder.active.purges_after({})) == ["group:2", "group:3"]
            await late_recorder.close()

    run(scenario())


def test_peers_send_each_other_missing_purges_also_after_one_is_restored_from_an_older_disk(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        old_disk, disk_b = SimDisk(), SimDisk()
        async with running_server(tmp_path, "a", old_disk) as a:
            await send(a.port, "group:1")
        restored = SimDisk()  # the content of a backup from that time
        restored._now, restored._stored = dict(old_disk._now), dict(old_disk._stored)
        async with running_server(tmp_path, "b", disk_b) as b:
            async with running_server(tmp_path, "a", old_disk) as a:
                b.subscribe_to_peer("127.0.0.1", a.port)
                a.subscribe_to_peer("127.0.0.1", b.port)
                await asyncio.gather(send(a.port, "group:2"), send(b.port, "group:3"))
                await wait_until(lambda: len(a.active) == len(b.active) == 3, WAIT_S)
            await send(b.port, "group:4")  # while a is down
            async with running_server(tmp_path, "a", restored) as restarted:
                assert sorted(p.scope for p in restarted.active.purges_after({})) == ["group:1"]
                restarted.subscribe_to_peer("127.0.0.1", b.port)
                await send(restarted.port, "group:5")
                b.subscribe_to_peer("127.0.0.1", restarted.port)
                await wait_until(lambda: len(restarted.active) == len(b.active) == 5, WAIT_S)
                assert restarted.active.positions.vector() == b.active.positions.vector()
                assert not restarted.active.positions.gaps() and not b.active.positions.gaps()
                # two servers, but each purge only once
                recorder = RecordingSubscriber(b.port, restarted.port)
                await wait_until(lambda: all(one.caught_up.is_set() for one in recorder.subscribers), WAIT_S)
                assert len(recorder.active) == 5
                await recorder.close()

    run(scenario())


def test_a_long_backlog_reaches_a_late_subscriber_and_a_slow_one_loses_nothing(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        disk = SimDisk()
        sequence = IssuerSequence("a", (), 0.0, time.time() * 1000.0)
        log = recover(disk)[0]
        for n in range(50_000):
            log.append(encode_purge(sequence.next(f"object:{n:016x}", time.time() * 1000.0)))
        log.commit()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(purge_stream, "MAX_RECENT", 20)
            patch.setattr(event_stream, "MAX_UNSENT_BYTES", 1000)
            async with running_server(tmp_path, disk=disk) as purge_server:
                reader, writer = await asyncio.open_connection("127.0.0.1", purge_server.port, limit=2**12)
                writer.write(
                    f"GET /follow?from= HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TOKEN}\r\n\r\n".encode()
                )
                await wait_until(
                    lambda: purge_server.stream.subscribers == 1, WAIT_S
                )  # and does not read for now
                recorder = RecordingSubscriber(purge_server.port)
                await wait_until(lambda: len(recorder.active) == 50_000, 60.0)
                for n in range(120):
                    await send(purge_server.port, f"group:{n}")
                await wait_until(lambda: len(recorder.active) == 50_120, WAIT_S)
                received_ids: set[tuple[str, int, int]] = set()
                while len(received_ids) < 50_120:
                    event = await asyncio.wait_for(read_event(reader), 10.0)
                    if b'"purges"' in event:
                        received_ids |= {
                            (p[0], p[1], p[2]) for p in json.loads(event[event.index(b"{") :])["purges"]
                        }
                writer.close()
                await recorder.close()

    run(scenario())


async def read_event(reader: asyncio.StreamReader) -> bytes:
    """Reads one event of any length."""
    received = b""
    while not received.endswith(b"\n\n"):
        received += await reader.read(1)
    return received


def test_a_full_disk_is_reported_to_the_sender_and_a_rejected_purge_is_not_recovered(tmp_path: Path) -> None:
    async def scenario() -> None:
        disk = SimDisk(capacity_bytes=400)
        async with running_server(tmp_path, disk=disk) as purge_server:
            stored = 0
            with pytest.raises(HttpStatusError, match="not stored") as rejected:
                while True:
                    await send(purge_server.port, "group:1")
                    stored += 1
            assert rejected.value.status == 507 and stored >= 2
            disk.capacity_bytes = 10_000
            assert (await send(purge_server.port, "group:2"))["seq"] == stored + 1
        async with running_server(tmp_path, disk=disk) as restarted:
            assert len(restarted.active) == stored + 1

    run(scenario())


def test_a_server_killed_at_any_moment_keeps_all_acknowledged_purges(tmp_path: Path) -> None:
    """A server process is killed by SIGKILL while many clients send purges, several times with the same folder."""

    async def scenario() -> None:
        code = ("import asyncio, sys, time\nfrom pathlib import Path\nfrom gladelane.storage.files import Folder\n"
                "from gladelane.control_plane.server import ControlServer\nfrom gladelane.control_plane.tokens import Tokens\n"
                "from gladelane.purges.control_part import PurgePart\nfrom gladelane.purges.purge_log import PurgeLog\n"
                "async def main():\n known = Tokens(sys.argv[2])\n"
                " purges = PurgeLog('a', Folder(sys.argv[1]), known, clock=lambda: time.time() * 1000.0, is_first_start=True)\n"
                " server = ControlServer(known, [PurgePart(purges)])\n"
                " print(await server.start('127.0.0.1', 0), flush=True)\n await asyncio.Event().wait()\nasyncio.run(main())")  # fmt: skip
        tokens(tmp_path)
        acknowledged: dict[str, int] = {}
        for turn in range(5):
            process = subprocess.Popen([sys.executable, "-c", code, str(tmp_path / "log"), str(tmp_path / "tokens")],
                                       cwd=ROOT, stdout=subprocess.PIPE, text=True)  # fmt: skip
            assert process.stdout is not None
            port = int(await asyncio.to_thread(process.stdout.readline))

            async def send_purges(n: int, port: int = port, turn: int = turn) -> None:
                with contextlib.suppress(OSError, HttpStatusError, TimeoutError):
                    for k in range(1000):
                        key = f"{turn}-{n}-{k}"
                        acknowledged[key] = (await send(port, f"group:{n}", key))["seq"]

            senders = [asyncio.ensure_future(send_purges(n)) for n in range(8)]
            await wait_until(
                lambda turn=turn: sum(key.startswith(f"{turn}-") for key in acknowledged) > 5, WAIT_S
            )  # type: ignore[misc]
            await asyncio.sleep(0.01 * turn)
            process.send_signal(signal.SIGKILL)
            await asyncio.gather(*senders)
            process.wait()
            process.stdout.close()
        folder = Folder(tmp_path / "log")
        restarted = PurgeLog("a", folder, tokens(tmp_path), clock=unix_ms)
        recovered = {p.key: p.seq for p in restarted.active.purges_after({})}
        assert len(acknowledged) > 25 and {key: recovered.get(key) for key in acknowledged} == acknowledged
        folder.close()

    run(scenario())
    assert os.listdir(tmp_path / "log")


def test_an_invalid_purge_of_a_peer_is_neither_stored_nor_applied(tmp_path: Path) -> None:
    async def scenario() -> None:
        disk = SimDisk()
        async with running_server(tmp_path, disk=disk) as purge_server:
            purge_server.receive(
                [
                    Purge("x", 1, 1, 1e12, "rubbish"),
                    Purge("", 1, 1, 1e12, "all"),
                    Purge("x", 1, 2, 1e12, "group:1"),
                ]
            )
            await wait_until(lambda: purge_server.active.positions.contains("x", 1, 2), WAIT_S)
        records = recover(disk)[1].records
        assert [
            msgspec.msgpack.decode(r, type=Purge).seq
            for r in records
            if not r.startswith(SERVER_RECORD_PREFIX)
        ] == [2]

    run(scenario())


def test_a_purge_beyond_the_limit_of_epochs_is_refused_and_the_server_starts_again(tmp_path: Path) -> None:
    """The fault: such a purge was stored and acknowledged, but sent to no subscriber, and no later start succeeded."""

    async def scenario() -> None:
        disk = SimDisk()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(positions, "MAX_STREAMS", 3)
            for number in range(3):
                async with running_server(tmp_path, disk=disk) as purge_server:
                    await send(purge_server.port, f"group:{number}")
                disk = disk.after_kill()
            for _ in range(2):
                async with running_server(tmp_path, disk=disk) as purge_server:
                    assert len(purge_server.active) == 3
                    with pytest.raises(HttpStatusError, match="more than 3 epochs") as caught:
                        await send(purge_server.port, "group:4")
                    assert caught.value.status == 507
                disk = disk.after_kill()

    run(scenario())


def test_a_purge_of_a_peer_beyond_the_limit_of_epochs_is_not_claimed_as_received(tmp_path: Path) -> None:
    """Otherwise the issuer would count a copy that does not exist, and a later start would fail."""

    async def scenario() -> None:
        disk = SimDisk()
        with pytest.MonkeyPatch.context() as patch:
            async with running_server(tmp_path, name="b") as issuer:
                await send(issuer.port, "group:1")
                patch.setattr(positions, "MAX_STREAMS", 0)
                async with running_server(tmp_path, disk=disk) as purge_server:
                    follower = purge_server.subscribe_to_peer("127.0.0.1", issuer.port)
                    await wait_until(lambda: "epochs" in follower.state, WAIT_S)
                    assert not purge_server.known_vector() and not follower.is_live
                disk = disk.after_kill()
                patch.undo()
                async with running_server(tmp_path, disk=disk) as purge_server:
                    assert not purge_server.known_vector()
                    follower = purge_server.subscribe_to_peer("127.0.0.1", issuer.port)
                    await wait_until(lambda: len(purge_server.active) == 1, WAIT_S)

    run(scenario())
