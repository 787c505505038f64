"""Counters of this process since it started. Each event is counted once, where it happens. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

SUCCESS, BUSY, FAILURE = 0, 1, 2  # indices in the counts of a class, equal to the codes of answers
RESULT_NAMES = ("success", "busy", "failure")


@dataclass(slots=True)
class Metrics:
    """The counters behind `GET /stats`."""

    classes: dict[str, list[int]] = field(default_factory=dict)  # answered requests by class and result
    inflight: int = 0  # requests that were accepted and have not ended yet
    withdrawn: int = 0  # requests that the client cancelled, which get no answer
    unusable: int = 0  # requests of a class that the settings do not have, answered as failed
    backend_calls: int = 0  # attempts whose last byte was written
    reconfig_ok: int = 0
    reconfig_failed: int = 0

    def add_classes(self, classes: Iterable[str]) -> None:
        """Includes these classes in the output, also without requests. A class that is dropped from the
        settings stays included."""
        for name in classes:
            self.classes.setdefault(name, [0, 0, 0])

    def answered(self, cls: str | None, code: int) -> None:
        """Counts an answer by its class (None: unknown) and its code."""
        counts = self.classes.get(cls) if cls is not None else None
        if counts is None:
            self.unusable += 1
        else:
            counts[code] += 1

    def render(self, hosts_listed: int, hosts_down: int, extra: Iterable[tuple[str, int]] = ()) -> str:
        """Returns all counters as text with one `director.NAME=VALUE` per line. `extra` holds the metrics of
        other components."""
        values: list[tuple[str, int]] = [
            (f"calls.{name}.{result}", count)
            for name, counts in sorted(self.classes.items())
            for result, count in zip(RESULT_NAMES, counts, strict=True)
        ]
        values += [
            ("inflight", self.inflight),
            ("backend_calls", self.backend_calls),
            ("hosts_listed", hosts_listed),
            ("hosts_down", hosts_down),
            ("reconfig_ok", self.reconfig_ok),
            ("reconfig_failed", self.reconfig_failed),
            ("withdrawn", self.withdrawn),
            ("unusable", self.unusable),
            *extra,
        ]
        return "".join(f"director.{name}={value}\n" for name, value in values)
