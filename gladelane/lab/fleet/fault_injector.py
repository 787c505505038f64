"""Executes the steps of a fault schedule on the processes, links and servers of a fleet."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

from .faults import Step
from .folders import NO_LIMIT, damage_folder, limit_file_size, save_folder
from .process import FleetProcess
from .relay import Relay, State

if TYPE_CHECKING:
    from .fleet import Fleet

SLOW_FILL_S = 0.25  # the fill time of a slow server
PRESERVING_MODES = ("kept", "torn", "readonly")  # these modes leave the folder to the next process


class FaultInjector:
    """Injects the faults of one fleet. A fault with a duration is ended later, in the background."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks: set[asyncio.Task[None]] = set()

    async def inject(self, step: Step) -> None:
        """Executes a step."""
        fleet = self._fleet
        fleet.record_event(step.action, step.text)
        match step.action:
            case "kill" | "term":
                await asyncio.gather(
                    *(self._restart(fleet.process_of(target), step) for target in step.targets)
                )
            case "stop":
                self._stop_processes(step)
            case "save":
                for target in step.targets:
                    await asyncio.to_thread(save_folder, fleet.process_of(target))
            case "full":
                self._fill_disks(step)
            case "cut":
                self._cut_links(step)
            case "board":
                self._disturb_discovery(step)
            case "store" | "drain":
                await asyncio.gather(*(self._change_server(target, step) for target in step.targets))

    def close(self) -> None:
        """Cancels the pending ends of faults."""
        for task in list(self._tasks):
            task.cancel()

    def _later(self, after_s: float, act: Callable[[], object]) -> None:
        async def wait() -> None:
            await asyncio.sleep(after_s)
            act()

        task = asyncio.create_task(wait())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- processes

    def _stop_processes(self, step: Step) -> None:
        for target in step.targets:
            process = self._fleet.process_of(target)
            self._fleet.counts[signal.SIGSTOP.name] += 1
            process.stop()
            process.begin_unresponsive_period()
        self._later(step.duration_s, partial(self._resume_processes, step))

    def _resume_processes(self, step: Step) -> None:
        for target in step.targets:
            process = self._fleet.process_of(target)
            self._fleet.counts[signal.SIGCONT.name] += 1
            process.resume()
            process.end_unresponsive_period()

    async def _restart(self, process: FleetProcess, step: Step) -> None:
        """Ends a process, damages its folder as the step says, and starts it again."""
        fleet = self._fleet
        signal_number = signal.SIGKILL if step.action == "kill" else signal.SIGTERM
        fleet.counts["kills"] += signal_number is signal.SIGKILL
        await fleet.end(process, signal_number)
        process.has_former_folder = step.mode in PRESERVING_MODES
        if step.duration_s:
            await asyncio.sleep(step.duration_s)
        if step.mode == "readonly":
            await self._start_readonly(process)
        elif step.mode != "kept":
            fleet.counts["disk_faults"] += 1
            await asyncio.to_thread(damage_folder, process, step.mode, fleet.control_servers)
        await fleet.restart(process)

    # --- disks

    async def _start_readonly(self, process: FleetProcess) -> None:
        """Starts a process whose lock file cannot be opened for writing, then removes the fault."""
        lock = process.folder / "purges" / "LOCK"
        self._fleet.counts["disk_faults"] += 1
        lock.unlink(missing_ok=True)
        lock.mkdir(parents=True)
        await self._fleet.restart(process)
        if process.up:  # it started nevertheless; the next process finds the folder complete
            await self._fleet.end(process, signal.SIGKILL)
        lock.rmdir()

    def _fill_disks(self, step: Step) -> None:
        self._limit_files(step, 0)
        self._later(step.duration_s, partial(self._limit_files, step, NO_LIMIT))

    def _limit_files(self, step: Step, max_bytes: int) -> None:
        for target in step.targets:
            self._fleet.counts["disk_faults"] += limit_file_size(self._fleet.process_of(target), max_bytes)

    # --- links and discovery

    def _cut_links(self, step: Step) -> None:
        relays = [self._fleet.links[self._process_name(a), self._process_name(b)] for a, b in step.links]
        for relay in relays:
            relay.set(State(step.mode))
        if step.duration_s:
            self._later(step.duration_s, partial(heal, relays))

    def _process_name(self, target: tuple[str, int]) -> str:
        return "board" if target[0] == "board" else self._fleet.process_of(target).name

    def _disturb_discovery(self, step: Step) -> None:
        world = self._fleet.world
        if step.mode == "late":
            world.hold_discovery(True)
            self._later(step.duration_s, lambda: world.hold_discovery(False))
            return
        relays = [relay for (_, far), relay in self._fleet.links.items() if far == "board"]
        for relay in relays:
            relay.set(State.CLOSED)
        self._later(step.duration_s, partial(heal, relays))

    # --- servers

    async def _change_server(self, target: tuple[str, int], step: Step) -> None:
        world = self._fleet.world
        name = {"hub": "depot", "origin": "bank"}.get(target[0], f"cache-{target[1]}")
        store = world.stores[name]
        match step.mode:
            case "save":
                world.saved[name] = dict(store.copies)
            case "back":
                store.copies = dict(world.saved.get(name, {}))
            case "renew":
                await world.simulate_restart(name)
            case "out" | "in":
                world.drain(name, step.mode == "out")
            case "slow":
                slow = world.hub if name == "bank" else store  # fills from the origin pass through the hub
                usual_s, slow.fill_s = slow.fill_s, SLOW_FILL_S
                self._later(step.duration_s, lambda: setattr(slow, "fill_s", usual_s))


def heal(relays: Iterable[Relay]) -> None:
    """Opens these links again."""
    for relay in relays:
        relay.set(State.OPEN)
