"""The results of all cases of a run: figures, and the rules that were broken."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from gladelane.lab.call_faults import Verdict

COUNTED_FIELDS = ("lost", "duplicates", "unanswered", "crashes")  # lists of a `Verdict`


class CaseResult(NamedTuple):
    """The result of one case."""

    verdict: Verdict
    is_injected: bool  # whether the fault disturbed any call


@dataclass
class Tally:
    """The sum of all cases."""

    cases: int = 0
    figures: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys((*COUNTED_FIELDS, "not_injected"), 0)
    )
    stuck_after_ms_max: float = 0.0
    slowest: str = ""
    broken: list[str] = field(default_factory=list)

    def add(self, name: str, result: CaseResult) -> None:
        """Adds the result of the case with this name."""
        verdict = result.verdict
        self.cases += 1
        for key in COUNTED_FIELDS:
            self.figures[key] += len(getattr(verdict, key))
        self.figures["not_injected"] += not result.is_injected
        if verdict.stuck_after_ms > self.stuck_after_ms_max:
            self.stuck_after_ms_max, self.slowest = verdict.stuck_after_ms, name
        if not result.is_injected:
            self.broken.append(f"{name}: nothing was injected")
        self.broken += [f"{name}: {text}" for text in verdict.broken()]
