"""Measurements, one a module: `python -m benchmarks.NAME [--quick]`. The last line is one JSON object."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any


def conclude(figures: dict[str, Any], broken: Iterable[str]) -> int:
    """Prints them with the invariants that were broken; the exit code."""
    figures["broken"] = list(broken)
    print(json.dumps(figures))
    return 1 if figures["broken"] else 0
