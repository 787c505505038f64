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

SLOW_FILL_S = 0.25  # of a slow server
PRESERVING_WAYS = ("kept", "torn", "readonly")  # these ways leave the folder to the next process


class FaultInjector:
    """Injects the faults of one fleet. A step with a duration is ended later, in the background."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks: set[asyncio.Task[None]] = set()

    async def strike(self, step: Step) -> None:
        """Executes a step."""
        fleet = self._fleet
        fleet.note(step.word, step.text)
        match step.word:
            case "kill" | "term":
                await asyncio.gather(*(self._restart(fleet.of(whom), step) for whom in step.whom))
            case "stop":
                self._stop_processes(step)
            case "save":
                for whom in step.whom:
                    await asyncio.to_thread(save_folder, fleet.of(whom))
            case "full":
                self._fill_disks(step)
            case "cut":
                self._cut_links(step)
            case "board":
                self._disturb_discovery(step)
            case "store" | "drain":
                await asyncio.gather(*(self._change_server(whom, step) for whom in step.whom))

    def close(self) -> None:
        """Cancels the pending ends of steps."""
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
        for whom in step.whom:
            one = self._fleet.of(whom)
            self._fleet.counts[signal.SIGSTOP.name] += 1
            one.stop()
            one.begin_unresponsive_period()
        self._later(step.last, partial(self._resume_processes, step))

    def _resume_processes(self, step: Step) -> None:
        for whom in step.whom:
            one = self._fleet.of(whom)
            self._fleet.counts[signal.SIGCONT.name] += 1
            one.resume()
            one.end_unresponsive_period()

    async def _restart(self, one: FleetProcess, step: Step) -> None:
        """Ends a process, damages its folder as the step says, and starts it again."""
        fleet = self._fleet
        number = signal.SIGKILL if step.word == "kill" else signal.SIGTERM
        fleet.counts["kills"] += number is signal.SIGKILL
        await fleet.end(one, number)
        one.has_former_folder = step.how in PRESERVING_WAYS
        if step.last:
            await asyncio.sleep(step.last)
        if step.how == "readonly":
            await self._start_readonly(one)
        elif step.how != "kept":
            fleet.counts["disk_faults"] += 1
            await asyncio.to_thread(damage_folder, one, step.how, fleet.control_servers)
        await fleet.restart(one)

    # --- disks

    async def _start_readonly(self, one: FleetProcess) -> None:
        """Starts a process whose lock file cannot be opened for writing, then removes the fault."""
        lock = one.folder / "purges" / "LOCK"
        self._fleet.counts["disk_faults"] += 1
        lock.unlink(missing_ok=True)
        lock.mkdir(parents=True)
        await self._fleet.restart(one)
        if one.up:  # it started nevertheless; the next process finds the folder complete
            await self._fleet.end(one, signal.SIGKILL)
        lock.rmdir()

    def _fill_disks(self, step: Step) -> None:
        self._limit_files(step, 0)
        self._later(step.last, partial(self._limit_files, step, NO_LIMIT))

    def _limit_files(self, step: Step, most_bytes: int) -> None:
        for whom in step.whom:
            self._fleet.counts["disk_faults"] += limit_file_size(self._fleet.of(whom), most_bytes)

    # --- links and discovery

    def _cut_links(self, step: Step) -> None:
        relays = [self._fleet.links[self._name(a), self._name(b)] for a, b in step.links]
        for relay in relays:
            relay.set(State(step.how))
        if step.last:
            self._later(step.last, partial(heal, relays))

    def _name(self, whom: tuple[str, int]) -> str:
        return "board" if whom[0] == "board" else self._fleet.of(whom).name

    def _disturb_discovery(self, step: Step) -> None:
        world = self._fleet.world
        if step.how == "late":
            world.hold_discovery(True)
            self._later(step.last, lambda: world.hold_discovery(False))
            return
        relays = [relay for (_, far), relay in self._fleet.links.items() if far == "board"]
        for relay in relays:
            relay.set(State.CLOSED)
        self._later(step.last, partial(heal, relays))

    # --- servers

    async def _change_server(self, whom: tuple[str, int], step: Step) -> None:
        world = self._fleet.world
        name = {"hub": "depot", "origin": "bank"}.get(whom[0], f"cache-{whom[1]}")
        store = world.stores[name]
        match step.how:
            case "save":
                world.saved[name] = dict(store.copies)
            case "back":
                store.copies = dict(world.saved.get(name, {}))
            case "renew":
                await world.renew(name)
            case "out" | "in":
                world.drain(name, step.how == "out")
            case "slow":
                slow = world.hub if name == "bank" else store  # fills from the origin pass through the hub
                usual_s, slow.fill_s = slow.fill_s, SLOW_FILL_S
                self._later(step.last, lambda: setattr(slow, "fill_s", usual_s))


def heal(relays: Iterable[Relay]) -> None:
    """Opens these links again."""
    for relay in relays:
        relay.set(State.OPEN)
