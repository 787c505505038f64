"""An operator who takes servers out and puts them back, and the checks of what the director promises."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from gladelane.lab.call_faults import Scene

ANSWER_S = 1.0  # the limit for the answer to a call, and the time after a call from which it is in force
USED_S = 5.0  # after being put back
#: Allowed for the observer: the fake servers read in the event loop of the clients and operators.
OBSERVER_S = 0.25
TARGETS = ("cache-1", "cache-2", "depot")


@dataclass
class Outage:
    """A time in which a server was out: from when the call that took it out was in force to the call back."""

    store: str
    from_s: float
    until_s: float = float("inf")


@dataclass
class Stops:
    """The times in which the process was stopped, for which no answer can be expected."""

    spans: list[tuple[float, float]] = field(default_factory=list)

    def overlap_s(self, from_s: float, until_s: float) -> float:
        """For how much of a time the process was stopped."""
        return sum(max(0.0, min(end, until_s) - max(start, from_s)) for start, end in self.spans)


class Operator:
    """Calls the admin endpoint of the process `process`, by its number. `problems` has the broken
    promises."""

    def __init__(self, scene: Scene, rng: random.Random, stops: Stops) -> None:
        self.problems: list[str] = []
        self.process = 0
        self.calls = 0
        self.slowest_s = 0.0
        self._scene, self._rng, self._stops = scene, rng, stops
        self._outages: list[Outage] = []
        self._is_stopping = False
        self._task = asyncio.create_task(self._work())

    async def stop(self) -> None:
        """Finishes the present round."""
        self._is_stopping = True
        await self._task
        self._check_outages()

    async def _work(self) -> None:
        while not self._is_stopping:
            store = self._rng.choice(TARGETS)
            answered_s = await self._call(store, "maint")
            outage = Outage(store, answered_s)
            self._outages.append(outage)
            await asyncio.sleep(self._rng.uniform(1.0, 2.5))
            outage.until_s = asyncio.get_running_loop().time()
            await self._call(store, "ready")
            if store != "depot":  # a parent is used for misses only
                await self._check_used(store)

    async def _call(self, store: str, action: str) -> float:
        """Makes a call and returns from when it is in force."""
        loop = asyncio.get_running_loop()
        called_s = loop.time()
        status, _ = await self._scene.director.call("POST", f"/caches/{store}/{action}", self.process)
        answered_s = loop.time()
        elapsed_s = answered_s - called_s - self._stops.overlap_s(called_s, answered_s)
        self.calls += 1
        self.slowest_s = max(self.slowest_s, elapsed_s)
        if status != 200:  # 0: no answer within the patience of the caller
            self._report(f"{action} {store}: status {status} after {elapsed_s:.2f} s", called_s)
        elif elapsed_s > ANSWER_S:
            self._report(f"{action} {store}: answered after {elapsed_s:.2f} s", called_s)
        limit_s = called_s + ANSWER_S
        limit_s += self._stops.overlap_s(called_s, float("inf"))
        return min(answered_s, limit_s)

    async def _check_used(self, store: str) -> None:
        loop, server = asyncio.get_running_loop(), self._scene.stores[store]
        from_s, seen = loop.time(), len(server.seen)
        while len(server.seen) == seen:
            await asyncio.sleep(0.02)
            waited_s = loop.time() - from_s
            if waited_s - self._stops.overlap_s(from_s, loop.time()) > USED_S:
                self._report(f"{store} is not used {USED_S} s after it was put back", from_s)
                return

    def _check_outages(self) -> None:
        """Finds requests that reached a server while it was out, or named it as their source."""
        for outage in self._outages:
            from_s = outage.from_s + OBSERVER_S
            for name, server in self._scene.stores.items():
                for seen in server.seen:
                    is_used = name == outage.store or seen.fields.get("parent") == outage.store
                    if is_used and from_s < seen.at < outage.until_s:
                        after_s = seen.at - outage.from_s
                        self._report(f"request {seen.id} to {outage.store} {after_s:.2f} s after", seen.at)

    def _report(self, text: str, at_s: float) -> None:
        self.problems.append(f"{text} (at {at_s:.2f} s)")
