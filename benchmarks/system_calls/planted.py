"""Directors with a fault put in, which show that the watch notices what it is there for."""

from __future__ import annotations

import errno
import tempfile
from dataclasses import dataclass
from pathlib import Path

from gladelane.lab.call_faults import Scene
from gladelane.lab.processes import ROOT

from .cases import Case
from .runner import play_running
from .sites import SITES, Moment

PLANTED_TRIES = 3  # what a planted fault breaks may need a request that is under way just then


@dataclass(frozen=True)
class Plant:
    """A director in which something that the watch must notice was put: Python that is run in its process
    before it starts, and the case that brings it out."""

    name: str
    code: str
    case: Case


def _case(site: str, error: int) -> Case:
    return Case(next(one for one in SITES if one.name == site), error, Moment.LOAD)


PLANTS = (
    Plant(
        "accepting never goes on",
        "from gladelane.net import listener\n"
        "import asyncio\n"
        "listener.Listener._accept_later = lambda self: "
        "asyncio.get_running_loop().remove_reader(self.sock.fileno())\n",
        _case("accept of a client", errno.ENFILE),
    ),
    Plant(
        "a reset counts as proof that nothing ran",
        "from gladelane.net import attempt_outcomes as outcomes\n"
        "from gladelane.routing.events import Status\n"
        "outcomes.STATUS[outcomes.AttemptOutcome.RESET] = Status.CONNECT_FAILED\n",
        _case("read from a store", errno.ECONNRESET),
    ),
    Plant(
        "what was not served is not answered",
        "from gladelane.net import client_requests as c\n"
        "answer = c.ClientRequests._answer\n"
        "def only_served(self, stream, final, answered):\n"
        "    if final.code == 0 or stream % 2:\n"
        "        answer(self, stream, final, answered)\n"
        "c.ClientRequests._answer = only_served\n",
        _case("connect", errno.ENETUNREACH),
    ),
    Plant(
        "a dial without an address ends the process",
        "import errno, os\n"
        "from gladelane.endpoints import connect\n"
        "told = connect.Connect._finish\n"
        "connect.Connect._finish = lambda self, code: "
        "os._exit(3) if code == errno.EADDRNOTAVAIL else told(self, code)\n",
        _case("connect", errno.EADDRNOTAVAIL),
    ),
    Plant(
        "a client whose options cannot be set is closed",
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


async def play_planted(library: Path, fault_s: float) -> list[str]:
    """The names of those that the watch missed."""
    missed = []
    for plant in PLANTS:
        broken: list[str] = []
        for _ in range(PLANTED_TRIES):
            broken = broken or await play_plant(plant, library, fault_s)
        print(f"planted, {plant.name}: {'; '.join(broken[:3]) or 'MISSED'}", flush=True)
        if not broken:
            missed.append(plant.name)
    return missed


async def play_plant(plant: Plant, library: Path, fault_s: float) -> list[str]:
    """What the watch saw; nothing where its director's ports were taken by others."""
    with tempfile.TemporaryDirectory(prefix="calls") as folder:
        (Path(folder) / "sitecustomize.py").write_text(plant.code)
        scene = Scene(Path(folder), library, {"PYTHONPATH": f"{folder}:{ROOT}"})
        try:
            await scene.prepare()
            if not await scene.starts():
                return []
            result = await play_running(scene, plant.case, fault_s)
        finally:
            await scene.close()
    return result.verdict.broken()
