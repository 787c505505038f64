"""One case: a director under its fault, and what that came to. Each moment is played in its own way."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace

from gladelane.lab.call_faults import ERROR_LINE, LEAVE_S, Scene, Verdict, calling
from gladelane.lab.preload.syscalls import Fault

from .cases import Case
from .sites import Moment
from .tally import CaseResult

FIRST_CALL_S = 1.0  # within which a fault has to have disturbed its first call
FIRST_DIAL_S = 5.0  # the same where connections are dropped again until it has
REDIAL_S = 0.1  # between two drops: the director has dialled anew by then
WARM_S = 0.1  # of load, before a fault begins
START_S = 15.0  # within which a director serves, or has said why not


async def play_running(scene: Scene, case: Case, fault_s: float) -> CaseResult:
    """Under load, or while connections rest."""
    scene.begin_case()
    fault = case.fault(scene)
    is_over = False
    clients = scene.clients()
    caller = asyncio.create_task(calling(scene.director, lambda: is_over))
    await asyncio.sleep(WARM_S)
    if case.moment is Moment.IDLE:
        await clients.stop()
    clients.breaks_connections = case.breaks_clients
    scene.faults.start(fault)
    await scene.drop_connections()
    if case.moment is Moment.IDLE:
        await _one_newcomer(scene)
    await _first_injection(scene, fault, FIRST_CALL_S if case.moment is Moment.IDLE else REDIAL_S)
    if case.moment is Moment.LOAD:
        await _drop_until_injected(scene, fault)
    await asyncio.sleep(fault_s)
    scene.faults.stop(fault.call)
    recovered_ms = await scene.recovery_ms()
    clients.breaks_connections = False
    await clients.stop()
    is_over = True
    await caller
    verdict = scene.verdict(clients)
    _note_recovery(verdict, recovered_ms)
    return CaseResult(verdict, _is_injected(scene, fault))


async def _first_injection(scene: Scene, fault: Fault, within_s: float = FIRST_CALL_S) -> None:
    """Returns once a call was disturbed, or after `within_s`."""
    with suppress(TimeoutError):
        async with asyncio.timeout(within_s):
            while not _is_injected(scene, fault):
                await asyncio.sleep(0.005)


async def _drop_until_injected(scene: Scene, fault: Fault) -> None:
    """Returns once a call was disturbed, or after FIRST_DIAL_S. After one drop the director dials a few times
    and keeps those connections: at a low rate all of these dials may go well."""
    began_s = asyncio.get_running_loop().time()
    while not _is_injected(scene, fault) and asyncio.get_running_loop().time() - began_s < FIRST_DIAL_S:
        await scene.drop_connections()
        await _first_injection(scene, fault, REDIAL_S)


async def _one_newcomer(scene: Scene) -> None:
    """Comes and goes, and asks nothing: all else is at rest."""
    with suppress(OSError):
        _, writer = await asyncio.open_connection("127.0.0.1", scene.director.port)
        await asyncio.sleep(0.05)
        writer.close()


async def play_shutdown(scene: Scene, case: Case) -> CaseResult:
    """The fault is on from just after SIGTERM until the process has ended."""
    scene.begin_case()
    fault = case.fault(scene)
    clients = scene.clients()
    await asyncio.sleep(WARM_S)
    clients.breaks_connections = case.breaks_clients
    ending = asyncio.create_task(scene.end_process(0))
    scene.faults.start(fault)
    await asyncio.sleep(LEAVE_S)
    await clients.stop()
    complaint = await ending
    scene.faults.stop(fault.call)
    verdict = scene.verdict(clients)
    verdict.crashes += [complaint] if complaint else []
    return CaseResult(verdict, _is_injected(scene, fault))


async def play_start(scene: Scene, case: Case) -> CaseResult:
    """It serves, or says in one line why not and ends with an error."""
    fault = replace(case.fault(scene), port=0)
    scene.faults.start(fault)
    process = await scene.director.start()
    verdict = Verdict()
    try:
        async with asyncio.timeout(START_S):
            await scene.director.serving()
        await _first_injection(scene, fault)
        scene.faults.stop(fault.call)
        _note_recovery(verdict, await scene.recovery_ms())
        verdict.crashes += [text] if (text := await scene.end_process(0)) else []
    except RuntimeError:
        verdict.crashes += _complaints_of_refused_start(process.returncode or 0, scene.director.log())
    except TimeoutError:
        verdict.is_stuck = True
    scene.faults.stop(fault.call)
    if "Traceback" in scene.director.log():
        verdict.crashes.append("a traceback at the start")
    return CaseResult(verdict, _is_injected(scene, fault))


def _complaints_of_refused_start(code: int, log: str) -> list[str]:
    lines = [line for line in log.splitlines() if line.startswith(ERROR_LINE)]
    found = [] if code == 1 else [f"exit code {code} at the start"]
    return found if len(lines) == 1 else [*found, "no clear line says why it does not start"]


async def play_hand_over(scene: Scene, case: Case) -> CaseResult:
    """A new version starts beside the old one under the fault; then the old one is told to end."""
    scene.begin_case()
    clients = scene.clients()
    await asyncio.sleep(WARM_S)
    fault = case.fault(scene)
    scene.faults.start(fault)
    verdict = Verdict()
    try:
        async with asyncio.timeout(START_S):
            await scene.start()
        is_new_up = True
    except RuntimeError:
        verdict.crashes += _complaints_of_refused_start(
            scene.director.all[1].returncode or 0, scene.director.log()
        )
        is_new_up = False
    scene.faults.stop(fault.call)
    complaint = await scene.end_process(0) if is_new_up else ""
    recovered_ms = await scene.recovery_ms() if is_new_up else 0.0
    await clients.stop()
    watched = scene.verdict(clients)
    watched.crashes += [*verdict.crashes, *([complaint] if complaint else [])]
    _note_recovery(watched, recovered_ms)
    return CaseResult(watched, _is_injected(scene, fault))


def _is_injected(scene: Scene, fault: Fault) -> bool:
    return scene.faults.counts(fault.call).injected > 0


def _note_recovery(verdict: Verdict, recovered_ms: float | None) -> None:
    verdict.is_stuck = recovered_ms is None
    verdict.stuck_after_ms = recovered_ms or 0.0


#: the moments for which each case needs a director of its own
FRESH: dict[Moment, Callable[[Scene, Case], Awaitable[CaseResult]]] = {
    Moment.START: play_start,
    Moment.SHUTDOWN: play_shutdown,
    Moment.HAND_OVER: play_hand_over,
}
