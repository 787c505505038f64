"""The clients of a generated deployment: what they request, how long they wait, and when they retry."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..net.director import Director
from ..net.exchange import AnswerCode, ClientRequest, Exchange, FinalAnswer
from ..routing.events import ClassSpec, Effect
from .checks import Broken, Monitor
from .deployed_stores import body_of
from .deployments import OBJECTS_OF_CLASS, Deployment, group_of
from .model.stores import PartKey
from .model.timeline import Timeline

ZIPF = 0.9  # exponent of the popularity of objects within a class


@dataclass(slots=True, eq=False)
class DirectorHandle:
    """A director as its clients see it. `admitted` counts its requests, which the director numbers the same
    way."""

    name: str
    director: Director
    admitted: int = 0


@dataclass(slots=True, eq=False)
class _Client:
    """One client's request, with all its attempts."""

    place: int  # of its class in the settings
    part_key: PartKey
    key: str
    due_ms: float  # deadline of all attempts
    retries_left: int
    first_ms: float = 0.0


class ClientSide:
    """All clients of a deployment. `traced` is called with each final answer, `report` with each breach."""

    def __init__(
        self,
        deployment: Deployment,
        line: Timeline,
        rng: random.Random,
        directors: list[DirectorHandle],
        monitor: Monitor,
        size: Callable[[PartKey], float],
        traced: Callable[[str, int, AnswerCode], None],
        report: Callable[[Broken], None],
    ) -> None:
        self.deployment, self.line, self.rng = deployment, line, rng
        self.directors, self.monitor, self.size = directors, monitor, size
        self._traced, self._report = traced, report
        self.specs: list[ClassSpec] = list(deployment.settings(0).classes.values())
        self.counts: Counter[str] = Counter()
        self.waiting = 0  # clients that will retry
        self._clients = 0
        self._popular = [_zipf(load.objects) for load in deployment.classes]
        self._until = line.now + deployment.duration_ms
        self.line.after(self._gap(), self._arrive)

    def _gap(self) -> float:
        return self.rng.expovariate(self.deployment.rate / 1000.0)

    def _arrive(self) -> None:
        plan = self.deployment
        if self.line.now > self._until:
            return
        self.line.after(self._gap(), self._arrive)
        shares = [load.share for load in plan.classes]
        place = self.rng.choices(range(len(shares)), shares)[0]
        load, spec = plan.classes[place], self.specs[place]
        object_ = self.rng.choices(range(load.objects), cum_weights=self._popular[place])[0]
        self._clients += 1
        key = f"{self._clients:032x}" if spec.effect is Effect.KEYED else ""
        part_key = place * OBJECTS_OF_CLASS + object_, self.rng.randrange(load.parts)
        due = self.line.now + spec.deadline_ms
        client = _Client(place, part_key, key, due, plan.clients.retries, self.line.now)
        self._send(client)

    def _send(self, client: _Client) -> None:
        plan, now = self.deployment, self.line.now
        spec = self.specs[client.place]
        wait = min(self.rng.uniform(plan.clients.patience, 1.0) * spec.deadline_ms, client.due_ms - now)
        if wait < 1.0:
            return
        handle = self.rng.choice(self.directors)
        handle.admitted += 1
        number = handle.admitted  # the director numbers its requests alike
        object_, part = client.part_key
        self.counts["asked"] += 1
        ask = ClientRequest(
            id=f"{self.counts['asked']:016x}",
            cls=spec.name,
            wait_ms=wait,
            object=f"{object_:016x}",
            part=part,
            group=group_of(object_),
            size_kb=self.size(client.part_key) if plan.sizes_listed else 0.0,
            key=client.key,
        )
        self.monitor.request(handle.name, number, spec, now + wait, client.key)
        exchange = handle.director.admit(ask, partial(self._deliver, handle, number, client))
        if self.rng.random() < plan.clients.leave_chance:
            self.line.after(wait * self.rng.random(), partial(self._leave_early, handle, number, exchange))

    def _leave_early(self, handle: DirectorHandle, number: int, exchange: Exchange) -> None:
        if not exchange.done:
            self.monitor.withdrawn(handle.name, number)
            handle.director.handle_disconnect(exchange)

    def _deliver(self, handle: DirectorHandle, number: int, client: _Client, final: FinalAnswer) -> None:
        self._traced(handle.name, number, final.code)
        self.monitor.final(handle.name, number, self.line.now, refused=final.code is AnswerCode.REFUSED)
        self.counts[final.code.name.lower()] += 1
        if final.code is AnswerCode.SERVED:
            if final.body != body_of(*client.part_key):
                what = f"{number} is answered with what no cache made for it"
                self._report(Broken("answer", self.line.now, handle.name, what))
        elif client.retries_left and self._may_retry(client, final):
            client.retries_left -= 1
            wait = self.deployment.clients.wait_ms + final.retry_after_ms
            self.waiting += 1
            self.line.after(wait, partial(self._retry, client))

    def _retry(self, client: _Client) -> None:
        self.waiting -= 1
        self._send(client)

    def _may_retry(self, client: _Client, final: FinalAnswer) -> bool:
        """Whether the attempt had no effect or may be repeated. A key protects only within its
        window, and across directors only if its group is "all"."""
        spec: ClassSpec = self.specs[client.place]
        if final.code is AnswerCode.REFUSED or spec.effect is Effect.SAFE:
            return True
        within = self.line.now - client.first_ms < spec.window_ms
        return spec.effect is Effect.KEYED and spec.group == "all" and within


def _zipf(count: int) -> list[float]:
    total, sums = 0.0, []
    for place in range(1, count + 1):
        total += place**-ZIPF
        sums.append(total)
    return sums
