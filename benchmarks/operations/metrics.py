"""Compares the reported metrics with what clients and servers counted, with every kind of answer."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from functools import partial

from benchmarks.example_site import request_fields
from gladelane.lab.client import Client
from gladelane.lab.fake_server import Said, Seen

from .site import SERVER_NAMES, serve_site

ANSWERS = (*["served digest=aa,dated=1,remark=h"] * 5, "overload -", "crashed -", "not_here -")
OUTCOMES = ("success", "busy", "failure")  # indexed by the code of an answer
DEADLINE_MS = 2000
OBJECTS = 40
REQUESTS_PER_INVALID = 50  # one of this many requests is invalid
FINAL_UPDATE_S = 0.3


@dataclass(frozen=True)
class MetricFigures:
    """The results. The fields have the names of the report.

    `figures_apart` has the reported and the counted value of each metric for which they differ.
    """

    figures_requests: int
    figures_answers: dict[str, int]
    figures_apart: dict[str, list[int | None]]


async def _answer_for_request(server_index: int, seen: Seen) -> Said:
    """Returns an answer that depends on the request and on the server."""
    return ANSWERS[(int(seen.id, 16) + server_index) % len(ANSWERS)], b"x"


def _request_fields(number: int, class_name: str) -> dict[str, str]:
    size_kb = "x" if number % REQUESTS_PER_INVALID == 0 else "1"
    object_id = f"{number % OBJECTS:016x}"
    fields = request_fields(class_name, f"{number:016x}", DEADLINE_MS, object_id, size_kb=size_kb)
    return {**fields, "k": f"{number:032x}"}


async def measure_metrics(count: int) -> MetricFigures:
    """Sends `count` requests, one after the other, and compares the metrics afterwards."""
    counted: Counter[str] = Counter()
    answers = [partial(_answer_for_request, server_index) for server_index in range(len(SERVER_NAMES))]
    async with serve_site(answers) as (site, director):
        client = await Client.to("127.0.0.1", director.port)
        try:
            for number in range(1, count + 1):
                class_name = site.class_names[number % len(site.class_names)]
                answer = await client.ask(_request_fields(number, class_name))
                outcome = OUTCOMES[answer.code] if answer is not None else "none"
                counted[f"calls.{class_name}.{outcome}"] += 1
            await asyncio.sleep(FINAL_UPDATE_S)
            reported = await director.figures()
        finally:
            await client.close()
    counted["backend_calls"] = sum(len(server.seen) for server in site.servers)
    counted["inflight"] = 0
    differences = {
        name: [reported.get(name), value] for name, value in counted.items() if reported.get(name) != value
    }
    return MetricFigures(count, dict(counted), differences)
