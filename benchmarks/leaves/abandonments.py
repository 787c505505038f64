"""Counts the abandoned requests of a scenario, and the attempts that began afterwards."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from gladelane.lab.fake_server import FakeServer

LIMIT_S = 0.1  # the operators' requirement: no attempt begins later than this after its request was abandoned


@dataclass
class Abandonments:
    """The abandoned requests of one scenario. Times are in seconds of the event loop's clock."""

    wanted: int = 0
    #: request id -> when the client's message had been sent
    abandoned_s: dict[str, float] = field(default_factory=dict)
    checks_s: list[float] = field(default_factory=list)  # when arrivals were checked
    unanswered: int = 0
    #: set once `wanted` requests have been abandoned
    are_complete: asyncio.Event = field(default_factory=asyncio.Event)

    def record(self, request_ids: Iterable[str], at_s: float) -> None:
        """Records that these requests have been abandoned by this time."""
        for request_id in request_ids:
            self.abandoned_s.setdefault(request_id, at_s)
        if len(self.abandoned_s) >= self.wanted:
            self.are_complete.set()

    def count(self, servers: list[FakeServer], since: dict[str, int]) -> dict[str, Any]:
        """Returns the counts under the names of the report.

        `since` is the number of attempts that each server had received before the scenario.
        """
        # time from abandonment to start: the lower bound, and as detected
        late: list[tuple[float, float]] = []
        attempts = whole_over = 0
        for server in servers:
            for request in server.seen[since[server.name] :]:
                attempts += 1
                abandoned_s = self.abandoned_s.get(request.id)
                if abandoned_s is None:
                    continue
                if request.first_byte_s > abandoned_s:
                    late.append(
                        (
                            self._earliest_s(request.first_byte_s) - abandoned_s,
                            request.first_byte_s - abandoned_s,
                        )
                    )
                whole_over += (
                    request.first_byte_s - abandoned_s <= LIMIT_S < request.last_byte_s - abandoned_s
                )
        return {
            "leaves": len(self.abandoned_s),
            "attempts": attempts,
            "begun_after": len(late),
            "over": sum(earliest_s > LIMIT_S for earliest_s, _ in late),
            "unclear": sum(earliest_s <= LIMIT_S < detected_s for earliest_s, detected_s in late),
            "whole_over": whole_over,
            "unanswered": self.unanswered,
            "longest_ms": round(max((detected_s for _, detected_s in late), default=0.0) * 1000.0, 1),
        }

    def _earliest_s(self, at_s: float) -> float:
        """Returns the time of the last check for arrivals before `at_s`, or `at_s` if there was none."""
        index = bisect_left(self.checks_s, at_s)
        return self.checks_s[index - 1] if index else at_s
