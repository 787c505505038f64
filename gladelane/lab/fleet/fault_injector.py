"""Carries out the steps of a fault schedule on the processes, links and servers of a fleet."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

from .faults import Step
from .folders import NO_LIMIT, damage_folder, limit_file_size, save_folder
from .process import Life
from .relay import Relay, State

if TYPE_CHECKING:
    from .fleet import Fleet

SLOW_FILL_S = 0.25  # of a server that is slow
KEPT_FOLDERS = ("kept", "torn", "readonly")  # after these a process finds the folder of the one before it


class FaultInjector:
    """The faults of one fleet. What a step lasts for goes on beside it."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks: set[asyncio.Task[None]] = set()

    async def strike(self, step: Step) -> None:
        """Carries a step out."""
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
                self._disturb_board(step)
            case "store" | "drain":
                await asyncio.gather(*(self._change_server(whom, step) for whom in step.whom))

    def close(self) -> None:
        """Ends what is still going on."""
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
            one.hold_up()
        self._later(step.last, partial(self._resume_processes, step))

    def _resume_processes(self, step: Step) -> None:
        for whom in step.whom:
            one = self._fleet.of(whom)
            self._fleet.counts[signal.SIGCONT.name] += 1
            one.resume()
            one.end_hold_up()

    async def _restart(self, one: Life, step: Step) -> None:
        """Ends a process, does to its folder what the step says, and starts it."""
        fleet = self._fleet
        number = signal.SIGKILL if step.word == "kill" else signal.SIGTERM
        fleet.counts["kills"] += number is signal.SIGKILL
        await fleet.end(one, number)
        one.kept = step.how in KEPT_FOLDERS
        if step.last:
            await asyncio.sleep(step.last)
        if step.how == "readonly":
            await self._start_readonly(one)
        elif step.how != "kept":
            fleet.counts["disk_faults"] += 1
            await asyncio.to_thread(damage_folder, one, step.how, fleet.feeds)
        await fleet.again(one)

    # --- disks

    async def _start_readonly(self, one: Life) -> None:
        """The folder's lock cannot be opened for writing: a start that fails, and one that does not."""
        lock = one.folder / "purges" / "LOCK"
        self._fleet.counts["disk_faults"] += 1
        lock.unlink(missing_ok=True)
        lock.mkdir(parents=True)
        await self._fleet.again(one)
        if one.up:  # it runs all the same: the next life finds it complete
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

    def _disturb_board(self, step: Step) -> None:
        world = self._fleet.world
        if step.how == "late":
            world.hold_board(True)
            self._later(step.last, lambda: world.hold_board(False))
            return
        relays = [relay for (_, far), relay in self._fleet.links.items() if far == "board"]
        for relay in relays:
            relay.set(State.CLOSED)
        self._later(step.last, partial(heal, relays))

    # --- servers

    async def _change_server(self, whom: tuple[str, int], step: Step) -> None:
        world = self._fleet.world
        name = {"hub": "depot", "origin": "bank"}.get(whom[0], f"cache-{whom[1]}")
        store = world.shelves[name]
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
                slow = world.hub if name == "bank" else store  # what comes from there takes its way back
                usual_s, slow.fill_s = slow.fill_s, SLOW_FILL_S
                self._later(step.last, lambda: setattr(slow, "fill_s", usual_s))


def heal(relays: Iterable[Relay]) -> None:
    """Ends the fault of these links."""
    for relay in relays:
        relay.set(State.OPEN)
