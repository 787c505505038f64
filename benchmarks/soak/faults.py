"""The faults of a soak test. Each acts on one scene for a while and ends by itself."""

from __future__ import annotations

import asyncio
import errno
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from gladelane.lab.call_faults import Scene
from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.lab.preload.syscalls import SHORT, Call, Fault, Scope

from .callers import Behaviour, Callers
from .operators import Stops


@dataclass(frozen=True)
class Target:
    """A director under faults, and the times in which it was stopped."""

    scene: Scene
    rng: random.Random
    stops: Stops


#: Returns the details of the fault, for the report.
Apply = Callable[[Target], Awaitable[str]]

CALL_FAULTS = (
    Fault(Call.ACCEPT, errno.EMFILE, 0.7),
    Fault(Call.ACCEPT, errno.ECONNABORTED, 0.5),
    Fault(Call.CONNECT, errno.EADDRNOTAVAIL, 0.5),
    Fault(Call.OPEN, errno.EMFILE, 0.5, Scope.ANY),
    Fault(Call.WAIT, errno.EINTR, 0.5, Scope.ANY),
    Fault(Call.READ, SHORT, 0.2),
    Fault(Call.WRITE, SHORT, 0.2),
    Fault(Call.GETSOCKOPT, errno.ENOBUFS, 0.5),
)
CROWD = 200
BUSY_PROCESSES = 4


async def few_callers(target: Target) -> str:
    """Callers of one kind, about as many as the endpoint has connections; all leave at once."""
    return await _call(target, target.rng.randrange(4, 30), target.rng.uniform(0.5, 3.0))


async def crowd_of_callers(target: Target) -> str:
    """Many more callers than the endpoint has connections."""
    return await _call(target, CROWD, target.rng.uniform(1.0, 3.0))


async def _call(target: Target, count: int, duration_s: float) -> str:
    behaviour = target.rng.choice(list(Behaviour))
    callers = Callers(target.scene.director.ops[-1], count, behaviour, target.rng)
    await asyncio.sleep(duration_s)
    await callers.end()
    return f"{count} {behaviour.name}"


async def stop_process(target: Target) -> str:
    """SIGSTOP, and SIGCONT after a while, beside callers."""
    process, loop = target.scene.director.all[-1], asyncio.get_running_loop()
    count, behaviour = target.rng.randrange(1, 30), target.rng.choice(list(Behaviour))
    callers = Callers(target.scene.director.ops[-1], count, behaviour, target.rng)
    started_s = loop.time()
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(target.rng.uniform(0.2, 1.2))
    target.stops.spans.append((started_s, loop.time()))
    process.send_signal(signal.SIGCONT)
    await asyncio.sleep(target.rng.uniform(0.0, 0.5))
    await callers.end()
    return f"{count} {behaviour.name}"


async def series_of_signals(target: Target) -> str:
    """SIGHUP several times, with a cut file in between and the whole one last."""
    path = target.scene.folder / f"config{len(target.scene.director.ops)}.json"
    whole = path.read_text()
    for _ in range(target.rng.randrange(3, 12)):
        path.write_text(whole[: target.rng.randrange(len(whole))] if target.rng.random() < 0.5 else whole)
        target.scene.director.all[-1].send_signal(signal.SIGHUP)
        await asyncio.sleep(target.rng.uniform(0.0, 0.1))
    path.write_text(whole)
    target.scene.director.all[-1].send_signal(signal.SIGHUP)
    return ""


async def failing_calls(target: Target) -> str:
    """One kind of system call fails now and then."""
    fault = target.rng.choice(CALL_FAULTS)
    target.scene.faults.start(fault)
    await asyncio.sleep(target.rng.uniform(0.5, 2.5))
    target.scene.faults.stop(fault.call)
    return f"{fault.call.name} {fault.error}"


async def lost_discovery(target: Target) -> str:
    """The connections to discovery end, several times."""
    for _ in range(target.rng.randrange(1, 6)):
        target.scene.discovery.drop()
        await asyncio.sleep(target.rng.uniform(0.0, 0.5))
    return ""


async def moved_discovery(target: Target) -> str:
    """A new configuration names another discovery server, which knows the same, and later the first
    again."""
    path = target.scene.folder / f"config{len(target.scene.director.ops)}.json"
    whole = path.read_text()
    other = FakeDiscovery()
    for event in target.scene.discovery.notices:
        other.tell({key: value for key, value in event.items() if key != "rev"})
    path.write_text(whole.replace(target.scene.director.raw["board"], await other.start()))
    target.scene.director.all[-1].send_signal(signal.SIGHUP)
    await asyncio.sleep(target.rng.uniform(0.5, 2.0))
    path.write_text(whole)
    target.scene.director.all[-1].send_signal(signal.SIGHUP)
    await asyncio.sleep(0.2)
    await other.close()
    return ""


async def taken_processor(target: Target) -> str:
    """Other processes use the processors."""
    duration_s = target.rng.uniform(0.5, 2.0)
    program = f"import time\nend = time.time() + {duration_s}\nwhile time.time() < end: pass"
    busy = [
        await asyncio.create_subprocess_exec(sys.executable, "-c", program) for _ in range(BUSY_PROCESSES)
    ]
    for process in busy:
        await process.wait()
    return ""


FAULTS: tuple[Apply, ...] = (
    few_callers,
    stop_process,
    series_of_signals,
    failing_calls,
    lost_discovery,
    moved_discovery,
    taken_processor,
)
