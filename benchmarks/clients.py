"""What several benchmarks count at their clients."""

from __future__ import annotations

from collections.abc import Iterable

from gladelane.lab.client import Client


def count_answered_twice(clients: Iterable[Client]) -> int:
    """Requests that got an answer more than once."""
    return sum(times != 1 for client in clients for times in client.answers.values())
