"""What the process reports, against what this side counted, with every kind of answer."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from functools import partial

from benchmarks.example_site import request_fields
from gladelane.lab.client import Client
from gladelane.lab.fake_server import Said, Seen

from .site import NAMES, serving_site

ANSWERS = (*["served digest=aa,dated=1,remark=h"] * 5, "overload -", "crashed -", "not_here -")
OUTCOMES = ("success", "busy", "failure")  # by the code of an answer
DEADLINE_MS = 2000
OBJECTS = 40
INVALID_EVERY = 50  # requests, one is not valid
LAST_COUNTS_S = 0.3


@dataclass(frozen=True)
class MetricFigures:
    """The names are those of the report. `figures_apart`: reported and counted, where they differ."""

    figures_requests: int
    figures_answers: dict[str, int]
    figures_apart: dict[str, list[int | None]]


async def _answer_by_turn(place: int, seen: Seen) -> Said:
    """An answer that depends on the request and on the server."""
    return ANSWERS[(int(seen.id, 16) + place) % len(ANSWERS)], b"x"


def _fields(number: int, class_name: str) -> dict[str, str]:
    size_kb = "x" if number % INVALID_EVERY == 0 else "1"
    object_id = f"{number % OBJECTS:016x}"
    fields = request_fields(class_name, f"{number:016x}", DEADLINE_MS, object_id, size_kb=size_kb)
    return {**fields, "k": f"{number:032x}"}


async def measure_metrics(count: int) -> MetricFigures:
    """After so many requests, one after the other."""
    counted: Counter[str] = Counter()
    answers = [partial(_answer_by_turn, place) for place in range(len(NAMES))]
    async with serving_site(answers) as (site, director):
        client = await Client.to("127.0.0.1", director.port)
        try:
            for number in range(1, count + 1):
                class_name = site.class_names[number % len(site.class_names)]
                answer = await client.ask(_fields(number, class_name))
                outcome = OUTCOMES[answer.code] if answer is not None else "none"
                counted[f"calls.{class_name}.{outcome}"] += 1
            await asyncio.sleep(LAST_COUNTS_S)
            reported = await director.figures()
        finally:
            await client.close()
    counted["backend_calls"] = sum(len(server.seen) for server in site.servers)
    counted["inflight"] = 0
    apart = {
        name: [reported.get(name), value] for name, value in counted.items() if reported.get(name) != value
    }
    return MetricFigures(count, dict(counted), apart)
