"""The operators' table: how many more resources a director may need in a large fleet than in a small one."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Allowance(NamedTuple):
    """A row of the table.

    The large fleet may need `times` the figure of the small fleet, plus `plus`, plus `plus_per_1000_caches`
    for each thousand caches.
    """

    times: float
    plus: float
    plus_per_1000_caches: float = 0.0

    def ratio(self, small: float, large: float, caches: int) -> float:
        """Returns the large fleet's figure less the fixed allowances, as a multiple of the small fleet's."""
        return max(large - self.plus - self.plus_per_1000_caches * caches / 1000.0, 0.0) / max(small, 1e-9)


ALLOWANCES = {
    "cpu": Allowance(1.4, 0.02, 0.12),  # s
    "memory": Allowance(1.5, 8.0, 4.0),  # MB
    "descriptors": Allowance(2.0, 40.0),
    "connections": Allowance(2.5, 40.0),
    "list_bytes": Allowance(2.0, 64e3, 500e3),
}
MIN_SERVED_RATIO = 0.85


@dataclass
class Figures:
    """The results of one day: means over its directors, except `served`, the share of all requests."""

    cpu: float = 0.0
    memory: float = 0.0
    descriptors: float = 0.0
    connections: float = 0.0
    list_bytes: float = 0.0
    served: float = 0.0
