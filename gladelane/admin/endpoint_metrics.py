"""Counters of the admin endpoint since the process started. Pure.

Only the endpoint's thread changes them; other threads may read them.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, fields


@dataclass(slots=True)
class EndpointMetrics:
    """What became of connections to the endpoint, and of the requests on them."""

    connections: int = 0  # accepted
    accept_errors: int = 0  # failed calls of accept()
    replaced: int = 0  # connections closed without a response, for a new one
    timed_out: int = 0  # connections without a complete request in time
    requests: int = 0  # complete requests
    late: int = 0  # requests that the serving loop had not completed in time
    answered: int = 0  # responses, also to invalid requests

    def lines(self) -> list[tuple[str, int]]:
        """Names and values for `GET /stats`."""
        names = [f"admin_{field.name}" for field in fields(self)]
        return list(zip(names, astuple(self), strict=True))
