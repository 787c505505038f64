"""Requests through a whole director while each fault in turn affects the servers' addresses."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass

from benchmarks.clients import count_answered_twice
from benchmarks.example_site import request_fields
from gladelane.lab.fake_server import Fault
from gladelane.server import Server

from .clients import ReconnectingClient
from .fleet import Fleet

FAULTS = [fault for fault in Fault if fault is not Fault.NONE]
CLIENTS, WORKERS = 8, 32
READ_CLASSES, WRITE_CLASS = ("video-part", "question-item"), "answer-submit"
READ_DEADLINE_MS, WRITE_DEADLINE_MS = 1400, 2500
ANSWER_TIMEOUT_S = 5.0
FAULT_INTERVAL_S = 0.05  # between two faults
SETTLE_S, CLOSE_S = 0.2, 0.3  # wait before requests are counted, and before open sockets are counted
SERVED, REFUSED, FAILED = range(3)  # answer codes


@dataclass(frozen=True)
class RequestFigures:
    """The figures, under the names of the report."""

    requests: int
    doubles: int
    lost: int
    crossed: int
    reconnected: int
    answered_twice: int
    late_repeats: int
    unfinished: int
    sockets_left: int
    fault_kinds: int
    served: int
    refused: int
    failed: int
    arrivals: int
    ordered: int
    requests_per_s: int


class Load:
    """Alternating reads and writes, from workers that share the clients."""

    def __init__(self, port: int) -> None:
        self.clients = [ReconnectingClient(port) for _ in range(CLIENTS)]
        self._rng = random.Random(7)
        self.codes: Counter[int] = Counter()
        self.lost = self.sent = 0

    async def run(self, requests_per_worker: int) -> None:
        """Sends this number of requests from every worker."""
        await asyncio.gather(
            *(self._work(self.clients[n % CLIENTS], requests_per_worker) for n in range(WORKERS))
        )

    async def _work(self, client: ReconnectingClient, count: int) -> None:
        for _ in range(count):
            self.sent += 1
            fields = self._draw_fields(is_write=self.sent % 2 == 1)
            answer = await client.ask(fields, b"answers" if "k" in fields else b"", ANSWER_TIMEOUT_S)
            if answer is None:
                self.lost += 1
            else:
                self.codes[answer.code] += 1

    def _draw_fields(self, is_write: bool) -> dict[str, str]:
        rng = self._rng
        request_id, object_id = f"{rng.getrandbits(64):016x}", f"{rng.getrandbits(64):016x}"
        class_name, deadline_ms = rng.choice(READ_CLASSES), READ_DEADLINE_MS
        if is_write:
            class_name, deadline_ms = WRITE_CLASS, WRITE_DEADLINE_MS
        fields = request_fields(class_name, request_id, deadline_ms, object_id, group=3, size_kb="4")
        return {**fields, "k": f"{rng.getrandbits(64):016x}"} if is_write else fields

    async def close(self) -> None:
        """Closes all connections."""
        for client in self.clients:
            await client.close()


async def measure_requests(count: int) -> RequestFigures:
    """Sends about `count` requests, the same number under each fault, and returns the figures."""
    fleet = Fleet()
    director = await fleet.start()
    load = Load(director.port)
    requests_per_fault = -(-count // len(FAULTS))
    began_s = time.perf_counter()
    for fault in FAULTS:
        await fleet.inject_fault(fault)
        await load.run(-(-requests_per_fault // WORKERS))
        await fleet.clear_faults()
        await asyncio.sleep(FAULT_INTERVAL_S)
    elapsed_s = time.perf_counter() - began_s
    await asyncio.sleep(SETTLE_S)
    late_repeats, unfinished = fleet.count_late_repeats(), len(director.director.live)
    sockets_left = await _close(load, director)
    await fleet.close()
    connections = [client for one in load.clients for client in one.clients]
    return RequestFigures(
        requests=load.sent,
        doubles=fleet.count_doubles(),
        lost=load.lost,
        crossed=sum(client.crossed for client in load.clients),
        reconnected=len(connections) - len(load.clients),
        answered_twice=count_answered_twice(connections),
        late_repeats=late_repeats,
        unfinished=unfinished,
        sockets_left=sockets_left,
        fault_kinds=len(FAULTS),
        served=load.codes[SERVED],
        refused=load.codes[REFUSED],
        failed=load.codes[FAILED],
        arrivals=fleet.count_arrivals(),
        ordered=fleet.sent.total(),
        requests_per_s=round(load.sent / elapsed_s),
    )


async def _close(load: Load, director: Server) -> int:
    """Closes clients and director; returns how many sockets to servers are still open a moment later."""
    await load.close()
    await director.close()
    await asyncio.sleep(CLOSE_S)
    return director.upstream._count + director.upstream._extra_sockets
