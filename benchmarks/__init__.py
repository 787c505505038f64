"""Benchmarks, one per module or package: `python -m benchmarks.NAME [--quick]`.

The last line that each of them prints is a JSON object with the results.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any


def conclude(figures: dict[str, Any], broken: Iterable[str]) -> int:
    """Prints the figures as JSON, with the names of the broken rules, and returns the exit code."""
    figures["broken"] = list(broken)
    print(json.dumps(figures))
    return 1 if figures["broken"] else 0
