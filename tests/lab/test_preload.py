"""The library that injects faults below a process: what it reaches, what it counts, and that it stops."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from harness import ScriptedCache, config, hit

from gladelane.lab.client import Client
from gladelane.lab.preload.build import compile_library
from gladelane.lab.preload.syscalls import (
    SHORT,
    Call,
    Fault,
    NothingInjectedError,
    Scope,
    SystemCallFaults,
)
from gladelane.lab.processes import Processes


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return compile_library("syscalls", tmp_path_factory.mktemp("preload"))


@pytest.fixture
def faults(library: Path, tmp_path: Path) -> SystemCallFaults:
    return SystemCallFaults(library, tmp_path / "faults")


def run(faults: SystemCallFaults, script: str) -> str:
    env = {**os.environ, **faults.environment()}
    done = subprocess.run([sys.executable, "-c", script], env=env, capture_output=True, text=True, check=True)
    return done.stdout.strip()


PAIR = "import os, socket; a, b = socket.socketpair(); "


@pytest.mark.parametrize(
    ("fault", "script", "said"),
    [
        (
            Fault(Call.SOCKET, errno.ENFILE),
            "import socket\ntry: socket.socket()\nexcept OSError as e: print(e.errno)",
            str(errno.ENFILE),
        ),
        (
            Fault(Call.WRITE, SHORT, scope=Scope.UNIX),
            PAIR + "print(a.send(b'abc'), os.write(a.fileno(), b'abc'))",
            "1 1",
        ),
        (
            Fault(Call.READ, SHORT, scope=Scope.UNIX),
            PAIR + "a.sendall(b'abcd'); print(b.recv(9), b.recvmsg(9)[0], os.read(b.fileno(), 9))",
            "b'a' b'b' b'c'",
        ),
        (
            Fault(Call.READ, errno.ETIMEDOUT, scope=Scope.UNIX),
            PAIR + "a.sendall(b'x')\ntry: b.recv(1)\nexcept OSError as e: print(e.errno)",
            str(errno.ETIMEDOUT),
        ),
        (
            Fault(Call.OPEN, errno.ENOSPC, scope=Scope.FILE, most=1),
            "import os\ntry: os.open('/dev/null', 0)\nexcept OSError as e: print(e.errno, os.open('/dev/null', 0) > 0)",
            f"{errno.ENOSPC} True",
        ),
    ],
)
def test_a_call_fails_as_it_was_told_to(
    faults: SystemCallFaults, fault: Fault, script: str, said: str
) -> None:
    # the interpreter's own start opens files: the fault comes on once the script runs
    begin = "import sys; print('ready', flush=True); sys.stdin.readline()\n"
    process = subprocess.Popen(
        [sys.executable, "-c", begin + script],
        env={**os.environ, **faults.environment()},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdin is not None and process.stdout is not None
    assert process.stdout.readline() == "ready\n"
    with faults.injecting(fault):
        out, _ = process.communicate("\n", timeout=20.0)
    assert out.strip() == said


def test_a_span_in_which_nothing_was_injected_is_an_error(faults: SystemCallFaults) -> None:
    fault = Fault(Call.ACCEPT, errno.EPROTO)
    with pytest.raises(NothingInjectedError, match="none of 0 calls"), faults.injecting(fault):
        pass


def test_after_the_span_no_call_fails(faults: SystemCallFaults) -> None:
    script = "import socket; socket.socket(); print('ok')"
    faults.start(Fault(Call.SOCKET, errno.ENFILE))
    faults.stop(Call.SOCKET)
    assert run(faults, script) == "ok"
    counts = faults.counts(Call.SOCKET)
    assert counts.injected == 0 and counts.made == 0 and counts.reached > 0


def test_a_fault_is_well_formed() -> None:
    with pytest.raises(ValueError, match="ACCEPT transfers nothing"):
        Fault(Call.ACCEPT, SHORT)
    with pytest.raises(ValueError, match="rate 0"):
        Fault(Call.READ, SHORT, rate=0)


def test_the_calls_of_a_real_director_are_reached_those_inside_libuv_too(
    tmp_path: Path, faults: SystemCallFaults
) -> None:
    """Which kinds of calls come by the library. Reads, writes and waits of the serving path are libuv's."""

    async def scene() -> None:
        cache = ScriptedCache(hit)
        director = Processes(tmp_path, json.loads(config({"c0": await cache.start()})), faults.environment())
        try:
            await director.start()
            await director.serving()
            client = await Client.to("127.0.0.1", director.port)
            ask = {"c": "film", "d": "2000", "chunk": "0", "tag": "1", "m": "1", "o": "1" * 16}
            with faults.injecting(Fault(Call.READ, SHORT), Fault(Call.WRITE, SHORT)):
                for number in range(1, 50):  # a director that is behind refuses
                    answer = await client.ask({**ask, "i": f"{number:016x}"})
                    assert answer is not None
                    if answer.code == 0:
                        break
            assert answer.code == 0 and answer.body == b"\x00bytes of " + b"1" * 16
            await client.close()
        finally:
            await director.end()

    asyncio.run(scene())
    reached = {call for call in Call if faults.counts(call).reached}
    assert reached >= set(Call) - {Call.SYNC}, "a director without folders syncs nothing"
