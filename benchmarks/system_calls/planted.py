"""Directors with a fault planted in their code, which show that the checks of the benchmark detect faults."""

from __future__ import annotations

import errno
import tempfile
from dataclasses import dataclass
from pathlib import Path

from gladelane.lab.call_faults import Scene
from gladelane.lab.processes import ROOT

from .cases import Case
from .runner import run_on_serving_director
from .sites import SITES, Moment

PLANTED_FAULT_TRIES = 3  # a planted fault may show only if a request is in progress at that moment


@dataclass(frozen=True)
class PlantedFault:
    """A fault that the checks must detect.

    `code` is Python that runs in the process of the director before the director starts, and `case` is the
    case in which the fault shows.
    """

    name: str
    code: str
    case: Case


def _case(site: str, error: int) -> Case:
    return Case(next(candidate for candidate in SITES if candidate.name == site), error, Moment.LOAD)


PLANTED_FAULTS = (
    PlantedFault(
        "accepting never resumes",
        "from gladelane.net import listener\n"
        "import asyncio\n"
        "listener.Listener._accept_later = lambda self: "
        "asyncio.get_running_loop().remove_reader(self.sock.fileno())\n",
        _case("accept of a client", errno.ENFILE),
    ),
    PlantedFault(
        "a reset counts as proof that the request did not run",
        "from gladelane.net import attempt_outcomes as outcomes\n"
        "from gladelane.routing.events import Status\n"
        "outcomes.STATUS[outcomes.AttemptOutcome.RESET] = Status.CONNECT_FAILED\n",
        _case("read from a store", errno.ECONNRESET),
    ),
    PlantedFault(
        "a request that was not served gets no answer",
        "from gladelane.net import client_requests as c\n"
        "answer = c.ClientRequests._answer\n"
        "def only_served(self, stream, final, answered):\n"
        "    if final.code == 0 or stream % 2:\n"
        "        answer(self, stream, final, answered)\n"
        "c.ClientRequests._answer = only_served\n",
        _case("connect", errno.ENETUNREACH),
    ),
    PlantedFault(
        "a dial without an address ends the process",
        "import errno, os\n"
        "from gladelane.endpoints import connect\n"
        "finish = connect.Connect._finish\n"
        "connect.Connect._finish = lambda self, code: "
        "os._exit(3) if code == errno.EADDRNOTAVAIL else finish(self, code)\n",
        _case("connect", errno.EADDRNOTAVAIL),
    ),
    PlantedFault(
        "a client whose socket options cannot be set is closed",
        "from gladelane.net import client_listener, streams\n"
        "import socket\n"
        "accept = streams.accept_stream\n"
        "async def strict(sock):\n"
        "    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)\n"
        "    return await accept(sock)\n"
        "client_listener.accept_stream = strict\n",
        _case("adoption of a client: setsockopt", errno.EINVAL),
    ),
)


async def run_planted_faults(library: Path, fault_s: float) -> list[str]:
    """Runs all planted faults; returns the names of those that the checks missed."""
    missed = []
    for planted in PLANTED_FAULTS:
        broken: list[str] = []
        for _ in range(PLANTED_FAULT_TRIES):
            broken = broken or await run_planted_fault(planted, library, fault_s)
        print(f"planted, {planted.name}: {'; '.join(broken[:3]) or 'MISSED'}", flush=True)
        if not broken:
            missed.append(planted.name)
    return missed


async def run_planted_fault(planted: PlantedFault, library: Path, fault_s: float) -> list[str]:
    """Returns the rules that were broken; none if the ports of the director were in use."""
    with tempfile.TemporaryDirectory(prefix="calls") as folder:
        (Path(folder) / "sitecustomize.py").write_text(planted.code)
        scene = Scene(Path(folder), library, {"PYTHONPATH": f"{folder}:{ROOT}"})
        try:
            await scene.prepare()
            if not await scene.starts():
                return []
            result = await run_on_serving_director(scene, planted.case, fault_s)
        finally:
            await scene.close()
    return result.verdict.broken()
