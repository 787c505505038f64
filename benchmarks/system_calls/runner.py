"""Runs one case: a director under a fault, with a procedure for each moment, and its result."""

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

FIRST_FAILURE_TIMEOUT_S = 1.0  # a fault has to disturb its first call within this time
FIRST_DIAL_FAILURE_TIMEOUT_S = (
    5.0  # the same, if connections are dropped repeatedly until a call is disturbed
)
REDIAL_INTERVAL_S = 0.1  # between two drops: by then the director has dialled again
WARM_UP_S = 0.1  # of load before a fault starts
START_TIMEOUT_S = 15.0  # until a director serves, or has logged why it does not


async def run_on_serving_director(scene: Scene, case: Case, fault_s: float) -> CaseResult:
    """Runs a case under load, or while connections are idle."""
    scene.begin_case()
    fault = case.fault(scene)
    is_over = False
    clients = scene.clients()
    caller = asyncio.create_task(calling(scene.director, lambda: is_over))
    await asyncio.sleep(WARM_UP_S)
    if case.moment is Moment.IDLE:
        await clients.stop()
    clients.breaks_connections = case.breaks_clients
    scene.faults.start(fault)
    await scene.drop_connections()
    if case.moment is Moment.IDLE:
        await _connect_and_leave(scene)
    await _wait_for_injection(
        scene, fault, FIRST_FAILURE_TIMEOUT_S if case.moment is Moment.IDLE else REDIAL_INTERVAL_S
    )
    if case.moment is Moment.LOAD:
        await _drop_connections_until_injected(scene, fault)
    await asyncio.sleep(fault_s)
    scene.faults.stop(fault.call)
    recovered_ms = await scene.recovery_ms()
    clients.breaks_connections = False
    await clients.stop()
    is_over = True
    await caller
    verdict = scene.verdict(clients)
    _record_recovery(verdict, recovered_ms)
    return CaseResult(verdict, _is_injected(scene, fault))


async def _wait_for_injection(scene: Scene, fault: Fault, within_s: float = FIRST_FAILURE_TIMEOUT_S) -> None:
    """Returns once a call was disturbed, or after `within_s`."""
    with suppress(TimeoutError):
        async with asyncio.timeout(within_s):
            while not _is_injected(scene, fault):
                await asyncio.sleep(0.005)


async def _drop_connections_until_injected(scene: Scene, fault: Fault) -> None:
    """Returns once a call was disturbed, or after FIRST_DIAL_FAILURE_TIMEOUT_S.

    After one drop the director dials a few times and keeps those connections: at a low rate all of these
    dials may succeed.
    """
    started_s = asyncio.get_running_loop().time()
    while (
        not _is_injected(scene, fault)
        and asyncio.get_running_loop().time() - started_s < FIRST_DIAL_FAILURE_TIMEOUT_S
    ):
        await scene.drop_connections()
        await _wait_for_injection(scene, fault, REDIAL_INTERVAL_S)


async def _connect_and_leave(scene: Scene) -> None:
    """Opens a connection and closes it without a request, while all other connections are idle."""
    with suppress(OSError):
        _, writer = await asyncio.open_connection("127.0.0.1", scene.director.port)
        await asyncio.sleep(0.05)
        writer.close()


async def run_shutdown(scene: Scene, case: Case) -> CaseResult:
    """The fault is on from just after SIGTERM until the process has ended."""
    scene.begin_case()
    fault = case.fault(scene)
    clients = scene.clients()
    await asyncio.sleep(WARM_UP_S)
    clients.breaks_connections = case.breaks_clients
    ending = asyncio.create_task(scene.end_process(0))
    scene.faults.start(fault)
    await asyncio.sleep(LEAVE_S)
    await clients.stop()
    problem = await ending
    scene.faults.stop(fault.call)
    verdict = scene.verdict(clients)
    verdict.crashes += [problem] if problem else []
    return CaseResult(verdict, _is_injected(scene, fault))


async def run_start(scene: Scene, case: Case) -> CaseResult:
    """Starts a director under the fault: it has to serve, or to log one clear line and exit with an error."""
    fault = replace(case.fault(scene), port=0)
    scene.faults.start(fault)
    process = await scene.director.start()
    verdict = Verdict()
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            await scene.director.serving()
        await _wait_for_injection(scene, fault)
        scene.faults.stop(fault.call)
        _record_recovery(verdict, await scene.recovery_ms())
        verdict.crashes += [text] if (text := await scene.end_process(0)) else []
    except RuntimeError:
        verdict.crashes += _problems_of_refused_start(process.returncode or 0, scene.director.log())
    except TimeoutError:
        verdict.is_stuck = True
    scene.faults.stop(fault.call)
    if "Traceback" in scene.director.log():
        verdict.crashes.append("a traceback at the start")
    return CaseResult(verdict, _is_injected(scene, fault))


def _problems_of_refused_start(code: int, log: str) -> list[str]:
    lines = [line for line in log.splitlines() if line.startswith(ERROR_LINE)]
    problems = [] if code == 1 else [f"exit code {code} at the start"]
    return problems if len(lines) == 1 else [*problems, "no clear line says why the director does not start"]


async def run_hand_over(scene: Scene, case: Case) -> CaseResult:
    """Starts a new version beside the old one under the fault; then the old one gets SIGTERM."""
    scene.begin_case()
    clients = scene.clients()
    await asyncio.sleep(WARM_UP_S)
    fault = case.fault(scene)
    scene.faults.start(fault)
    verdict = Verdict()
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            await scene.start()
        is_new_serving = True
    except RuntimeError:
        verdict.crashes += _problems_of_refused_start(
            scene.director.all[1].returncode or 0, scene.director.log()
        )
        is_new_serving = False
    scene.faults.stop(fault.call)
    problem = await scene.end_process(0) if is_new_serving else ""
    recovered_ms = await scene.recovery_ms() if is_new_serving else 0.0
    await clients.stop()
    final_verdict = scene.verdict(clients)
    final_verdict.crashes += [*verdict.crashes, *([problem] if problem else [])]
    _record_recovery(final_verdict, recovered_ms)
    return CaseResult(final_verdict, _is_injected(scene, fault))


def _is_injected(scene: Scene, fault: Fault) -> bool:
    return scene.faults.counts(fault.call).injected > 0


def _record_recovery(verdict: Verdict, recovered_ms: float | None) -> None:
    verdict.is_stuck = recovered_ms is None
    verdict.stuck_after_ms = recovered_ms or 0.0


#: The moments for which each case needs a director of its own, and the procedure for each.
FRESH_DIRECTOR_RUNNERS: dict[Moment, Callable[[Scene, Case], Awaitable[CaseResult]]] = {
    Moment.START: run_start,
    Moment.SHUTDOWN: run_shutdown,
    Moment.HAND_OVER: run_hand_over,
}
