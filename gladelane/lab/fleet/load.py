"""The clients and operators of a run: an open loop of random requests, and purges."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import NamedTuple

from ...control_plane.http import HttpStatusError, fetch
from ...net.config import read_config
from ...purges.scope import parse
from ...routing.events import Status
from ..checks import Broken, Monitor
from ..fake_cache_store import now_ms
from ..fake_server import Seen
from ..processes import ROOT
from .event_loop_stalls import EventLoopStalls
from .fleet import TOKEN, Fleet
from .process import FleetProcess
from .run_checks import AcknowledgedPurge, ObservedAttempt, ObservedReply, Service
from .world import OBJECTS, group_of, object_id

CLASSES = read_config((ROOT / "example" / "config.json").read_bytes()).settings.classes
REQUEST_TIMEOUT_S = 2.5
WRITE_SHARE = 0.06  # of all requests
POLL_INTERVAL_RANGE_S = (0.15, 0.45)  # of clients that wait for a director
LATE_RETRY_S = 2.3  # delay until a client retries a write at a director that was killed meanwhile
ANSWER_GRACE_MS = 500.0
MAX_DEADLINE_MS = 1500.0


class Served(NamedTuple):
    """The times of a request that was served, Unix ms. `dated_ms`: the date of the copy; None for a write."""

    due_ms: float
    sent_ms: float
    answered_ms: float
    dated_ms: float | None


class Load:
    """Sends the requests of a run and records their results.

    - `counts["lost_by_kill"]`: requests without a reply that were pending in a killed or suspended process;
      `counts["lost"]`: other requests without a reply.
    - `late_s`: the largest delay between the due time of a request and its sending, which only a busy
      machine causes.
    """

    def __init__(self, fleet: Fleet, rng: Random) -> None:
        self.fleet, self.rng = fleet, rng
        self.replies: list[ObservedReply] = []
        self.purges: list[AcknowledgedPurge] = []
        self.attempts: list[ObservedAttempt] = []
        self._director_by_request: dict[str, str] = {}  # request id -> director, for the whole run
        self.service = Service()
        self.by_director: defaultdict[str, Service] = defaultdict(Service)
        self.counts: Counter[str] = Counter()
        self.late_s = 0.0
        self.stalls = EventLoopStalls(now_ms)
        self._stall_watch: asyncio.Task[None] | None = None
        self._extra_s, self._is_extended = 0.0, False
        self.violations: list[Broken] = []
        self.monitor = Monitor(1000.0, 2000.0, ANSWER_GRACE_MS, self.violations.append)
        self._pending: dict[str, tuple[str, int]] = {}  # id of a pending request -> director and number
        self._attempt_counts: Counter[str] = Counter()
        self._weights = [1.0 / (object_index + 1) ** 0.8 for object_index in range(OBJECTS)]
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0
        fleet.world.on_attempt = self._record_attempt

    def _record_attempt(self, store: str, seen: Seen) -> None:
        fields = seen.fields
        self.attempts.append(
            ObservedAttempt(
                self._director_by_request.get(seen.id, ""),
                now_ms(),
                store,
                fields.get("parent", ""),
                fields["profile"],
            )
        )
        director, number = self._pending.get(seen.id, ("", 0))
        if director:
            self._attempt_counts[seen.id] += 1
            attempt = self._attempt_counts[seen.id]
            self.monitor.sent(director, number, attempt, store, seen.fields.get("parent", ""), now_ms())
            self.monitor.ended(director, number, attempt, Status.OK, now_ms())

    async def run(self, per_s: float, seconds: float) -> None:
        """Sends requests at random times, independent of earlier results (open loop)."""
        loop = asyncio.get_running_loop()
        self._stall_watch = asyncio.create_task(self.stalls.watch())
        due = loop.time()
        end = due + seconds
        while due < end + self._extra_s or self._is_extended:
            due += self.rng.expovariate(per_s)
            await asyncio.sleep(max(due - loop.time(), 0.0))
            self.late_s = max(self.late_s, loop.time() - due)
            task = asyncio.create_task(self._request(time.time() * 1000.0 - (loop.time() - due) * 1000.0))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    @contextmanager
    def extended(self) -> Iterator[None]:
        """Extends `run` by the time spent in this block."""
        started_s, self._is_extended = time.monotonic(), True
        try:
            yield
        finally:
            self._extra_s, self._is_extended = self._extra_s + time.monotonic() - started_s, False

    async def settle(self) -> None:
        """Waits until all requests have ended, then stops the observers."""
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=2 * REQUEST_TIMEOUT_S + LATE_RETRY_S)
        for task in list(self._tasks):
            task.cancel()
        if self._stall_watch is not None:
            self._stall_watch.cancel()
        self.monitor.close(now_ms())

    async def _director(self) -> FleetProcess | None:
        """A random director that is up, or None; polls at random intervals, so that clients spread out."""
        until = time.monotonic() + REQUEST_TIMEOUT_S
        while time.monotonic() < until:
            ready = [
                director for director in self.fleet.directors if director.up and director.client is not None
            ]
            if ready:
                return self.rng.choice(ready)
            await asyncio.sleep(self.rng.uniform(*POLL_INTERVAL_RANGE_S))
        return None

    async def _request(self, due_ms: float) -> None:
        is_write = self.rng.random() < WRITE_SHARE
        object_index = self.rng.choices(range(OBJECTS), self._weights)[0]
        cls = "answer-submit" if is_write else ("question-item" if object_index % 2 else "video-part")
        key = f"{self.rng.getrandbits(128):032x}" if is_write else ""
        part = self.rng.randrange(2)
        director = await self._director()
        if director is None:
            self.counts["nobody"] += 1
            self.service.record_request(due_ms / 1000.0, CLASSES[cls].worth)
            return
        code, was_unresponsive = await self._ask(director, cls, object_index, part, key, due_ms)
        if code is None and was_unresponsive and is_write:
            await asyncio.sleep(max(LATE_RETRY_S - (now_ms() - due_ms) / 1000.0, 0.0))
            # a director without its former folder cannot know the key: no retry there after the window
            if (
                director.up
                and director.client is not None
                and director.has_former_folder
                and self.fleet.shape.warm
            ):
                self.counts["late_repeats"] += 1
                await self._ask(director, cls, object_index, part, key, now_ms())

    async def _ask(
        self, director: FleetProcess, cls: str, object_index: int, part: int, key: str, due_ms: float
    ) -> tuple[int | None, bool]:
        """The code of the reply, if any, and whether the director was killed or suspended meanwhile."""
        client, spec, sent_ms = director.client, CLASSES[cls], now_ms()
        assert client is not None
        self._number += 1
        number, id_ = self._number, f"{self.rng.getrandbits(64):016x}"
        deadline_ms = min(spec.deadline_ms, MAX_DEADLINE_MS)
        fields = _request_fields(cls, id_, deadline_ms, object_index, part, key)
        self._pending[id_] = director.name, number
        self._director_by_request[id_] = director.name
        self.monitor.request(director.name, number, spec, sent_ms + deadline_ms)
        self.counts["asked"] += 1
        for service in (self.service, self.by_director[director.name]):
            service.record_request(due_ms / 1000.0, spec.worth)
        answer = await client.ask(fields, timeout_s=REQUEST_TIMEOUT_S)
        now = now_ms()
        was_unresponsive = director.was_unresponsive(sent_ms, now)
        if answer is None:
            self.monitor.withdrawn(director.name, number)
            self.counts["lost_by_kill" if was_unresponsive else "lost"] += 1
            if not was_unresponsive:
                self.fleet.record_event("lost", f"{cls} {id_} at {director.name}")
        else:
            if was_unresponsive:  # a suspended process replies after it is resumed
                self.monitor.withdrawn(director.name, number)
            else:
                self.monitor.final(director.name, number, now, answer.code == 1)
            self.counts[("served", "refused", "failed")[answer.code]] += 1
            if answer.code == 0:
                dated_ms = None if key else float(answer.body[1:] or 0)
                self._record_served(director, cls, object_index, part, Served(due_ms, sent_ms, now, dated_ms))
        self._pending.pop(id_, None)
        self._attempt_counts.pop(id_, None)
        return (None if answer is None else answer.code), was_unresponsive

    def _record_served(
        self, director: FleetProcess, cls: str, object_index: int, part: int, served: Served
    ) -> None:
        spec = CLASSES[cls]
        if served.dated_ms is not None:
            object_number = int(object_id(object_index), 16)
            self.replies.append(
                ObservedReply(
                    cls,
                    group_of(object_index),
                    object_number,
                    part,
                    served.sent_ms,
                    served.dated_ms,
                    director.name,
                    served.answered_ms,
                )
            )
        if served.answered_ms - served.due_ms <= spec.aim_ms:
            for service in (self.service, self.by_director[director.name]):
                service.record_timely_reply(served.due_ms / 1000.0, spec.worth)

    # --- operators

    async def purge(self, count: int, seconds: float) -> None:
        """Sends purges, spread over a time; retries until a control server acknowledges them."""
        for turn in range(count):
            object_index = self.rng.randrange(OBJECTS)
            scope = (
                f"object:{object_id(object_index)}"
                if turn % 4
                else f"group:{group_of(object_index)} & parts:0"
            )
            body = json.dumps({"scope": scope}).encode()
            key = f"k{self.rng.getrandbits(64):x}"
            requested_ms = now_ms()  # of the first attempt, whose purge a retry may return
            while True:
                control_server = self.rng.choice(self.fleet.control_servers)
                try:
                    purge_reply = json.loads(
                        await fetch(
                            "127.0.0.1",
                            control_server.port,
                            "POST",
                            "/purges",
                            TOKEN,
                            body,
                            {"Idempotency-Key": key},
                        )
                    )
                    break
                except (OSError, HttpStatusError, TimeoutError):
                    self.counts["purges_again"] += 1
                    await asyncio.sleep(0.05)
            answered_ms = now_ms()
            at_ms = min(
                max(purge_reply["at_ms"], requested_ms), answered_ms
            )  # the server's clock may be wrong
            self.purges.append(
                AcknowledgedPurge(
                    at_ms,
                    parse(purge_reply["scope"]),
                    answered_ms,
                    purge_reply["issuer"],
                    purge_reply["epoch"],
                    purge_reply["seq"],
                    purge_reply["at_ms"],
                )
            )
            await asyncio.sleep(seconds / count)


def _request_fields(
    cls: str, id_: str, deadline_ms: float, object_index: int, part: int, key: str
) -> dict[str, str]:
    """The fields of a request. `key`: the idempotency key of a write, empty for a read."""
    fields = {
        "c": cls,
        "i": id_,
        "d": f"{deadline_ms:.0f}",
        "o": object_id(object_index),
        "chunk": str(part),
        "tag": str(group_of(object_index)),
        "m": "4",
    }
    if key:
        fields["k"] = key
    return fields
