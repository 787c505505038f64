"""Golden bytes of whole conversations with a control server, in `control_calls.txt`: requests and responses.

A line that begins with `+` lets so many ms pass; with `>` it is a request's method, target and body; with `<`
its response's body, or the status and the text of a refusal.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from gladelane.audit.server import AuditServer
from gladelane.control_plane.http import HttpStatusError, fetch, stream_response
from gladelane.control_plane.server import ControlServer
from gladelane.control_plane.tokens import Tokens
from gladelane.lab.simdisk import SimDisk
from gladelane.leases.server import LeaseServer
from gladelane.purges.control_part import PurgePart
from gladelane.purges.purge_log import PurgeLog

SCRIPT = (Path(__file__).parent / "control_calls.txt").read_text().splitlines()
REQUESTS = [line[2:] for line in SCRIPT if line.startswith("> ")]
RESPONSES = [line[2:] for line in SCRIPT if line.startswith("< ")]
TOKEN = "a-token-of-24-characters"
BEGAN_MS = 1_764_667_245_000.0


class Clock:
    def __init__(self) -> None:
        self.now_ms = BEGAN_MS

    def __call__(self) -> float:
        return self.now_ms


def purge_log(tokens: Tokens, clock: Clock) -> PurgeLog:
    return PurgeLog("feed-a", SimDisk(), tokens, clock=clock, is_first_start=True)


async def until_stored(log: PurgeLog) -> None:
    """Events are answered before they are stored: what asks for the purges that stand must not come first."""
    async with asyncio.timeout(10.0):
        while not log.active.positions.contains("feed-b", 5, 1):
            await asyncio.sleep(0.001)


async def played(tokens: Tokens) -> list[str]:
    clock, responses = Clock(), []
    log = purge_log(tokens, clock)
    audit = AuditServer("feed-a", SimDisk(), tokens.first_token, clock)
    leases = LeaseServer("feed-a", SimDisk(), tokens.first_token, clock, 3000.0, [], is_first_start=True)
    server = ControlServer(tokens, [PurgePart(log), audit, leases])
    port = await server.start("127.0.0.1", 0)
    try:
        for line in SCRIPT:
            if line.startswith("+ "):
                clock.now_ms += float(line[2:])
            elif line.startswith("> "):
                method, target, body = (line[2:] + " ").split(" ", 2)
                headers = {"Idempotency-Key": "key-1"}
                try:
                    told = await fetch(
                        "127.0.0.1", port, method, target, TOKEN, body.strip().encode(), headers
                    )
                    responses.append(told.decode())
                except HttpStatusError as error:
                    responses.append(f"{error.status} {error}")
                if target == "/events":
                    await until_stored(log)
    finally:
        await server.close()
    return responses


async def followed(tokens: Tokens) -> list[str]:
    """A purge is asked for; then what a follower that knows nothing is told."""
    server = ControlServer(tokens, [PurgePart(purge_log(tokens, Clock()))])
    port = await server.start("127.0.0.1", 0)
    told = b""
    try:
        body = b'{"scope":"group:17"}'
        await fetch("127.0.0.1", port, "POST", "/purges", TOKEN, body, {"Idempotency-Key": "key-1"})
        async with asyncio.timeout(10.0):
            async for part in stream_response("127.0.0.1", port, "GET", "/follow?from=", TOKEN):
                told += part
                if told.count(b"\n\n") >= 2:
                    break
    finally:
        await server.close()
    return told.decode().split("\n\n")[:2]


@pytest.fixture(scope="module")
def tokens(tmp_path_factory: pytest.TempPathFactory) -> Tokens:
    path = tmp_path_factory.mktemp("control") / "tokens"
    path.write_text(f"ops {TOKEN}\n")
    return Tokens(path)


@pytest.fixture(scope="module")
def responses(tokens: Tokens) -> list[str]:
    return asyncio.run(played(tokens))


def test_each_request_has_a_response() -> None:
    assert len(REQUESTS) == len(RESPONSES)


@pytest.mark.parametrize("place", range(len(REQUESTS)), ids=[request[:60] for request in REQUESTS])
def test_the_response_to_a_request(place: int, responses: list[str]) -> None:
    assert responses[place] == RESPONSES[place]


def test_a_follower_is_told_what_it_lacks_and_then_a_mark(tokens: Tokens) -> None:
    assert asyncio.run(followed(tokens)) == [
        'data: {"purges":[["feed-a",1764667245000,1,1764667245000.0,"group:17","key-1"]],"sent_ms":1764667245000.0}',
        'data: {"mark":"feed-a:1764667245000=1","name":"feed-a","sent_ms":1764667245000.0}',
    ]
