"""What this process has done since it started, counted once each where it happens. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

SUCCESS, BUSY, FAILURE = 0, 1, 2  # places in a class's row, as the answers' codes
WORDS = ("success", "busy", "failure")


@dataclass(slots=True)
class Figures:
    classes: dict[str, list[int]] = field(default_factory=dict)
    inflight: int = 0  # taken and not yet ended
    withdrawn: int = 0  # ended by the client, who is owed nothing
    unusable: int = 0  # answered as failed, of no class that the settings have
    backend_calls: int = 0  # attempts whose last byte was written
    reconfig_ok: int = 0
    reconfig_failed: int = 0

    def know(self, classes: Iterable[str]) -> None:
        """Classes are reported once they are known, with no call yet; one that is dropped keeps its row."""
        for name in classes:
            self.classes.setdefault(name, [0, 0, 0])

    def answered(self, cls: str | None, code: int) -> None:
        row = self.classes.get(cls) if cls is not None else None
        if row is None:
            self.unusable += 1
        else:
            row[code] += 1

    def lines(self, hosts_listed: int, hosts_down: int, more: Iterable[tuple[str, int]] = ()) -> str:
        figures: list[tuple[str, int]] = [
            (f"calls.{name}.{word}", count)
            for name, row in sorted(self.classes.items())
            for word, count in zip(WORDS, row, strict=True)
        ]
        figures += [
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
        return "".join(f"director.{name}={count}\n" for name, count in figures)
