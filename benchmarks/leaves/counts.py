"""What was seen at one place: leaves, and attempts that began after them."""

from __future__ import annotations

import asyncio
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from gladelane.lab.fake_server import FakeServer

LIMIT_S = 0.1  # the operators': no attempt begins later after its client has left


@dataclass
class Leaves:
    """What was seen at one place. Times are seconds of the loop."""

    wanted: int = 0
    left: dict[str, float] = field(default_factory=dict)  # by the request's id, when the leave had been sent
    beats: list[float] = field(default_factory=list)
    unanswered: int = 0
    are_complete: asyncio.Event = field(default_factory=asyncio.Event)  # once as many as wanted have left

    def note(self, ids: Iterable[str], at_s: float) -> None:
        """These requests have been left by now."""
        for id_ in ids:
            self.left.setdefault(id_, at_s)
        if len(self.left) >= self.wanted:
            self.are_complete.set()

    def count(self, servers: list[FakeServer], since: dict[str, int]) -> dict[str, Any]:
        """By the names of the report. `since`: how many attempts each server had seen before."""
        late: list[tuple[float, float]] = []  # after the leave: at the earliest, and as seen
        attempts = whole_over = 0
        for server in servers:
            for seen in server.seen[since[server.name] :]:
                attempts += 1
                left = self.left.get(seen.id)
                if left is None:
                    continue
                if seen.first_byte_s > left:
                    late.append((self._earliest(seen.first_byte_s) - left, seen.first_byte_s - left))
                whole_over += seen.first_byte_s - left <= LIMIT_S < seen.last_byte_s - left
        return {
            "leaves": len(self.left),
            "attempts": attempts,
            "begun_after": len(late),
            "over": sum(earliest > LIMIT_S for earliest, _ in late),
            "unclear": sum(earliest <= LIMIT_S < seen for earliest, seen in late),
            "whole_over": whole_over,
            "unanswered": self.unanswered,
            "longest_ms": round(max((seen for _, seen in late), default=0.0) * 1000.0, 1),
        }

    def _earliest(self, at: float) -> float:
        """When this process looked the last time before."""
        place = bisect_left(self.beats, at)
        return self.beats[place - 1] if place else at
