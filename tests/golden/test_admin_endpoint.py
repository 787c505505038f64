"""Golden bytes of the admin endpoint: each request that operators send, and the whole response to it."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path

import pytest
from harness import config, running_director

from gladelane.admin.metrics import Metrics

CACHES = {"c/1 ä": "127.0.0.1:9", "r1": "127.0.0.1:9"}
EXPECTED = "/healthcheck, /stats, /healthcheck/fail, /healthcheck/ok, /caches/ID/maint, /caches/ID/ready"
STATS = (
    "director.calls.film.success=0\ndirector.calls.film.busy=0\ndirector.calls.film.failure=0\n"
    "director.calls.sheet.success=0\ndirector.calls.sheet.busy=0\ndirector.calls.sheet.failure=0\n"
    "director.inflight=0\ndirector.backend_calls=0\ndirector.hosts_listed=2\ndirector.hosts_down=0\n"
    "director.reconfig_ok=0\ndirector.reconfig_failed=0\ndirector.withdrawn=0\ndirector.unusable=0\n"
)
#: method and target -> status and text; the order is that in which they are sent to one director
CALLS: dict[tuple[str, str], tuple[int, str]] = {
    ("GET", "/healthcheck"): (200, "takes clients\n"),
    ("GET", "/stats"): (200, STATS),
    ("GET", "/stats?format=text"): (200, STATS),
    ("GET", "http://127.0.0.1/healthcheck"): (200, "takes clients\n"),
    ("POST", "/caches/c%2F1%20%C3%A4/maint"): (200, "done\n"),
    ("POST", "/caches/c%2F1%20%C3%A4/ready"): (200, "done\n"),
    ("POST", "/caches/c9/maint"): (404, "nobody has this id\n"),
    ("POST", "/caches/c9/ready"): (404, "nobody has this id\n"),
    ("POST", "/healthcheck/fail"): (200, "done\n"),
    ("POST", "/healthcheck/ok"): (200, "done\n"),
    ("GET", "/nowhere"): (404, f"no such path; expected one of {EXPECTED}\n"),
    ("POST", "/caches/c1/reload"): (404, f"no such path; expected one of {EXPECTED}\n"),
    ("POST", "/healthcheck"): (405, "POST is not for this path; expected GET\n"),
    ("POST", "/stats"): (405, "POST is not for this path; expected GET\n"),
    ("GET", "/healthcheck/fail"): (405, "GET is not for this path; expected POST\n"),
    ("GET", "/healthcheck/ok"): (405, "GET is not for this path; expected POST\n"),
    ("GET", "/caches/c1/maint"): (405, "GET is not for this path; expected POST\n"),
    ("POST", "/caches/%FF/maint"): (400, "the id is no UTF-8\n"),
    ("POST", "/caches//ready"): (400, "the id is unusable; expected 1 to 256 printable bytes\n"),
}


def send(port: int, data: bytes) -> bytes:
    with socket.create_connection(("127.0.0.1", port), timeout=10.0) as caller:
        caller.sendall(data)
        answer = b""
        while part := caller.recv(4096):
            answer += part
        return answer


def request(method: str, target: str) -> bytes:
    return f"{method} {target} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode()


def response(status: int, text: str) -> bytes:
    head = f"HTTP/1.1 {status} \r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: {len(text)}\r\n"
    return f"{head}Connection: close\r\n\r\n{text}".encode()


def answers(calls: list[bytes]) -> list[bytes]:
    """Of one director with two caches, to calls that come one after the other."""

    async def run() -> list[bytes]:
        platform = {**json.loads(config(CACHES)), "ops": "127.0.0.1:0"}
        async with running_director(json.dumps(platform).encode()) as (node, _):
            assert node.admin_endpoint is not None
            return [await asyncio.to_thread(send, node.admin_endpoint.port, call) for call in calls]

    return asyncio.run(run())


@pytest.fixture(scope="module")
def seen(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[str, str], bytes]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setenv("TMPDIR", str(tmp_path_factory.mktemp("director")))
        got = answers([request(*call) for call in CALLS])
    return dict(zip(CALLS, got, strict=True))


@pytest.mark.parametrize("call", CALLS, ids=" ".join)
def test_the_whole_response_to_a_call(call: tuple[str, str], seen: dict[tuple[str, str], bytes]) -> None:
    assert seen[call] == response(*CALLS[call])


def test_what_a_call_changes_shows_in_the_next_answers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    targets = ("/caches/r1/maint", "/stats", "/caches/r1/ready", "/stats")
    calls = [request("GET" if target == "/stats" else "POST", target) for target in targets]
    assert answers(calls) == [
        response(200, "done\n"),
        response(200, STATS.replace("hosts_down=0", "hosts_down=1")),
        response(200, "done\n"),
        response(200, STATS),
    ]


def test_the_lines_of_figures_with_those_of_further_parts() -> None:
    metrics = Metrics()
    metrics.add_classes(["film"])
    metrics.answered("film", 0)
    metrics.answered("film", 1)
    metrics.answered("film", 2)
    metrics.answered(None, 2)
    assert metrics.render(5, 1, [("more.words", 7)]) == (
        "director.calls.film.success=1\ndirector.calls.film.busy=1\ndirector.calls.film.failure=1\n"
        "director.inflight=0\ndirector.backend_calls=0\ndirector.hosts_listed=5\ndirector.hosts_down=1\n"
        "director.reconfig_ok=0\ndirector.reconfig_failed=0\ndirector.withdrawn=0\ndirector.unusable=1\n"
        "director.more.words=7\n"
    )
