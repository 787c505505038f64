"""Counts of what this process has done since it started, each counted once where it happens. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

SUCCESS, BUSY, FAILURE = 0, 1, 2  # places in a class's row, equal to the codes of answers
RESULT_NAMES = ("success", "busy", "failure")


@dataclass(slots=True)
class Metrics:
    """The counters behind `GET /stats`."""

    classes: dict[str, list[int]] = field(default_factory=dict)  # requests answered, by class and result
    inflight: int = 0  # requests accepted and not yet ended
    withdrawn: int = 0  # requests ended by the client, which get no answer
    unusable: int = 0  # requests answered as failed, of no class in the settings
    backend_calls: int = 0  # attempts whose last byte was written
    reconfig_ok: int = 0
    reconfig_failed: int = 0

    def know(self, classes: Iterable[str]) -> None:
        """Reports these classes from now on, also without requests; a class that is dropped keeps its row."""
        for name in classes:
            self.classes.setdefault(name, [0, 0, 0])

    def answered(self, cls: str | None, code: int) -> None:
        """Counts an answer by its class (None: unknown) and its code."""
        row = self.classes.get(cls) if cls is not None else None
        if row is None:
            self.unusable += 1
        else:
            row[code] += 1

    def lines(self, hosts_listed: int, hosts_down: int, more: Iterable[tuple[str, int]] = ()) -> str:
        """All counters as text, a `director.NAME=VALUE` a line; `more` holds those of further parts."""
        values: list[tuple[str, int]] = [
            (f"calls.{name}.{result}", count)
            for name, row in sorted(self.classes.items())
            for result, count in zip(RESULT_NAMES, row, strict=True)
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
            *more,
        ]
        return "".join(f"director.{name}={value}\n" for name, value in values)
