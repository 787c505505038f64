"""Golden requests to a control server and its responses, as listed in `control_calls.txt`.

A line `+ N` advances the clock by N ms. A line `>` holds the method, target and body of a request. A line
`<` holds the body of the response to it or, after an error, its status and text.
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
START_MS = 1_764_667_245_000.0


class Clock:
    def __init__(self) -> None:
        self.now_ms = START_MS

    def __call__(self) -> float:
        return self.now_ms


def make_purge_log(tokens: Tokens, clock: Clock) -> PurgeLog:
    return PurgeLog("feed-a", SimDisk(), tokens, clock=clock, is_first_start=True)


async def wait_until_stored(log: PurgeLog) -> None:
    """Waits until the event of the script is stored.

    The server responds to an event before it stores it, so a request that lists the active purges could
    come too early.
    """
    async with asyncio.timeout(10.0):
        while not log.active.positions.contains("feed-b", 5, 1):
            await asyncio.sleep(0.001)


async def run_script(tokens: Tokens) -> list[str]:
    clock, responses = Clock(), []
    log = make_purge_log(tokens, clock)
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
                    body_bytes = await fetch(
                        "127.0.0.1", port, method, target, TOKEN, body.strip().encode(), headers
                    )
                    responses.append(body_bytes.decode())
                except HttpStatusError as error:
                    responses.append(f"{error.status} {error}")
                if target == "/events":
                    await wait_until_stored(log)
    finally:
        await server.close()
    return responses


async def read_follower_stream(tokens: Tokens) -> list[str]:
    """Submits a purge and returns the first two events sent to a follower that has no purges yet."""
    server = ControlServer(tokens, [PurgePart(make_purge_log(tokens, Clock()))])
    port = await server.start("127.0.0.1", 0)
    received = b""
    try:
        body = b'{"scope":"group:17"}'
        await fetch("127.0.0.1", port, "POST", "/purges", TOKEN, body, {"Idempotency-Key": "key-1"})
        async with asyncio.timeout(10.0):
            async for chunk in stream_response("127.0.0.1", port, "GET", "/follow?from=", TOKEN):
                received += chunk
                if received.count(b"\n\n") >= 2:
                    break
    finally:
        await server.close()
    return received.decode().split("\n\n")[:2]


@pytest.fixture(scope="module")
def tokens(tmp_path_factory: pytest.TempPathFactory) -> Tokens:
    path = tmp_path_factory.mktemp("control") / "tokens"
    path.write_text(f"ops {TOKEN}\n")
    return Tokens(path)


@pytest.fixture(scope="module")
def responses(tokens: Tokens) -> list[str]:
    return asyncio.run(run_script(tokens))


def test_the_script_has_one_response_per_request() -> None:
    assert len(REQUESTS) == len(RESPONSES)


@pytest.mark.parametrize("index", range(len(REQUESTS)), ids=[request[:60] for request in REQUESTS])
def test_each_request_gets_the_expected_response(index: int, responses: list[str]) -> None:
    assert responses[index] == RESPONSES[index]


def test_a_follower_receives_missing_purges_and_then_the_current_positions(tokens: Tokens) -> None:
    assert asyncio.run(read_follower_stream(tokens)) == [
        'data: {"purges":[["feed-a",1764667245000,1,1764667245000.0,"group:17","key-1"]],"sent_ms":1764667245000.0}',
        'data: {"mark":"feed-a:1764667245000=1","name":"feed-a","sent_ms":1764667245000.0}',
    ]
