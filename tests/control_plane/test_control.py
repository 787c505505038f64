"""The control server and what its parts share: routes, size limits, group commit and replication."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest

from gladelane.control_plane.errors import error_label
from gladelane.control_plane.event_stream import EventSink
from gladelane.control_plane.group_commit import GroupCommit
from gladelane.control_plane.http import HttpStatusError, Request, fetch, stream_response
from gladelane.control_plane.part import MAX_BODY_BYTES, MAX_LARGE_BODY_BYTES, Route, StreamRoute
from gladelane.control_plane.positions import Vector
from gladelane.control_plane.replication import (
    NotReplicatedError,
    PeerReport,
    PendingReplication,
    Replication,
)
from gladelane.control_plane.server import ControlServer
from gladelane.control_plane.tokens import Tokens
from gladelane.sse import EventStream

TOKEN = "a-token-of-the-operators"


class EchoPart:
    """A part that answers with a summary of each request, under its own path."""

    def __init__(self, path: str, calls: list[str]) -> None:
        self.path, self.calls = path, calls

    def routes(self) -> Sequence[Route]:
        return (
            Route("GET", self.path, self.echo),
            Route("POST", f"{self.path}/large", self.echo, MAX_LARGE_BODY_BYTES),
            Route("GET", f"{self.path}/broken", self.broken),
        )

    def streams(self) -> Sequence[StreamRoute]:
        return (StreamRoute(f"{self.path}/stream", self.count),)

    def start(self) -> None:
        self.calls.append(f"start {self.path}")

    async def close(self) -> None:
        self.calls.append(f"close {self.path}")

    async def echo(self, request: Request, caller: str) -> bytes:
        return f"{caller} {request.path} {request.query} {len(request.body)}".encode()

    async def broken(self, request: Request, caller: str) -> bytes:
        raise ValueError("not a number")

    async def count(self, request: Request, sink: EventSink) -> None:
        if request.query == "refuse":
            raise HttpStatusError(409, "not now")
        sink.send_header()
        for number in range(3):
            await sink.send(str(number).encode())


async def call(port: int, method: str, target: str, body: bytes = b"", token: str = TOKEN) -> str:
    """Returns the body of the response, or the status and the text of an error."""
    try:
        return (await fetch("127.0.0.1", port, method, target, token, body)).decode()
    except HttpStatusError as error:
        return f"{error.status} {error}"


def test_each_request_is_handled_by_the_part_with_its_route(tmp_path: Path) -> None:
    (tmp_path / "tokens").write_text(f"ops {TOKEN}\n")

    async def run() -> None:
        calls: list[str] = []
        server = ControlServer(Tokens(tmp_path / "tokens"), [EchoPart("/a", calls), EchoPart("/b", calls)])
        port = await server.start("127.0.0.1", 0)
        large = b"x" * (MAX_BODY_BYTES + 1)
        answers = {
            ("GET", "/a?x=1"): "ops /a x=1 0",
            ("GET", "/b"): "ops /b  0",
            ("POST", "/a"): "404 POST /a: no such thing here",
            ("GET", "/c"): "404 GET /c: no such thing here",
            ("POST", "/a/stream"): "404 POST /a/stream: no such thing here",
            ("GET", "/a/broken"): "400 not a number",
            ("GET", "/b/stream?refuse"): "409 not now",
        }
        for (method, target), expected in answers.items():
            assert await call(port, method, target) == expected
        assert await call(port, "POST", "/a/large", large) == f"ops /a/large  {len(large)}"
        assert await call(port, "GET", "/a", large) == f"413 a body of more than {MAX_BODY_BYTES} bytes"
        assert (await call(port, "GET", "/a", token="another-token-altogether")).startswith("401 expected")
        events = EventStream()
        parts = stream_response("127.0.0.1", port, "GET", "/b/stream", TOKEN)
        assert [text async for part in parts for text in events.feed(part)] == ["0", "1", "2"]
        with pytest.raises(HttpStatusError) as rejected:
            await fetch("127.0.0.1", port, "GET", "/c", TOKEN)
        assert error_label(rejected.value) == "Refused", "operators search logs for this name"
        await server.close()
        assert calls == ["start /a", "start /b", "close /a", "close /b"]
        with pytest.raises(OSError):
            await call(port, "GET", "/a")

    asyncio.run(run())


def test_group_commit_stores_queued_entries_in_one_batch_and_continues_after_a_failure() -> None:
    async def run() -> None:
        stored: list[list[int]] = []
        failed: list[tuple[list[int], str]] = []
        may_commit = asyncio.Event()

        async def commit(batch: list[int]) -> None:
            await may_commit.wait()
            if 3 in batch:
                raise OSError("the disk is full")
            stored.append(batch)

        committer: GroupCommit[int] = GroupCommit(
            commit, lambda batch, error: failed.append((batch, str(error))), 5, 3
        )
        task = asyncio.ensure_future(committer.run())
        committer.put(0)
        while not committer.is_empty():
            await asyncio.sleep(0)
        for number in range(1, 6):  # while the first is being stored
            committer.put(number)
        with pytest.raises(asyncio.QueueFull):
            committer.put(6)
        may_commit.set()
        while len(stored) + len(failed) < 3:
            await asyncio.sleep(0)
        assert stored == [[0], [4, 5]] and failed == [([1, 2, 3], "the disk is full")]
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("copies", "positions", "now_s", "outcome"),
    [
        (1, [], 0.0, "stored"),
        (2, [], 0.0, "waits"),
        (2, [None], 1.9, "waits"),
        (2, [{("a", 1): 4}], 1.9, "waits"),
        (2, [{("a", 2): 9}], 1.9, "waits"),
        (2, [{("a", 1): 5}], 0.0, "stored"),
        (3, [{("a", 1): 5}, None], 1.9, "waits"),
        (3, [{("a", 1): 5}, {("a", 1): 6}], 9.0, "stored"),
        (3, [{("a", 1): 5}, {("a", 1): 4}], 2.0, "late"),
    ],
)
def test_an_entry_is_answered_once_enough_servers_have_stored_it(
    copies: int, positions: list[Vector | None], now_s: float, outcome: str
) -> None:
    async def run() -> None:
        replication: Replication[str] = Replication(copies)
        replication.peers = {str(number): PeerReport(position) for number, position in enumerate(positions)}
        done: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        replication.add_pending(PendingReplication(("a", 1), 5, done, "stored", 2.0))
        replication.resolve_pending(now_s)
        if outcome == "late":
            with pytest.raises(NotReplicatedError, match=f"not at {copies} feeds yet") as late:
                done.result()
            assert late.value.status == 503 and error_label(late.value) == "NotReplicated"
        else:
            assert (done.result() if done.done() else "waits") == outcome

    asyncio.run(run())
