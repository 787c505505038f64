"""Counts over the clients of a benchmark."""

from __future__ import annotations

from collections.abc import Iterable

from gladelane.lab.client import Client


def count_answered_twice(clients: Iterable[Client]) -> int:
    """Counts the requests that were answered more than once."""
    return sum(times != 1 for client in clients for times in client.answers.values())
