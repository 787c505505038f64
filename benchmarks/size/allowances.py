"""The operators' table: how much more a large fleet may need than a small one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Allowance(NamedTuple):
    """A row of the table: so many times the small fleet's figure, plus so much, plus so much for each
    thousand caches."""

    times: float
    plus: float
    plus_a_thousand: float = 0.0

    def ratio(self, small: float, large: float, caches: int) -> float:
        """What is left of the large fleet's figure, as a multiple of the small one's."""
        return max(large - self.plus - self.plus_a_thousand * caches / 1000.0, 0.0) / max(small, 1e-9)


ALLOWANCES = {
    "cpu": Allowance(1.4, 0.02, 0.12),  # s
    "memory": Allowance(1.5, 8.0, 4.0),  # MB
    "descriptors": Allowance(2.0, 40.0),
    "connections": Allowance(2.5, 40.0),
    "list_bytes": Allowance(2.0, 64e3, 500e3),
}
SERVED_LEAST = 0.85


@dataclass
class Figures:
    """Of one day: means over its directors, but for `served`, a share of all requests."""

    cpu: float = 0.0
    memory: float = 0.0
    descriptors: float = 0.0
    connections: float = 0.0
    list_bytes: float = 0.0
    served: float = 0.0
