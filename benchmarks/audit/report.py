"""The figures of all runs, under the names that the report prints, and the rules that they break."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from gladelane.lab.fleet.audit_comparison import p99

from .lag import LagFigures, times_all_drained
from .scenario_run import ScenarioRun

EXTRA_RUN_S = 3.0  # for which a fleet runs in addition to the duration of its scenario
DETECTION_LIMIT_MS, ATTEMPT_LIMIT_US, QUERY_LIMIT_MS = 1_000, 4.0, 200.0


def total(runs: Sequence[ScenarioRun], name: str) -> int:
    """Returns the sum of a metric over all runs."""
    return sum(run.metrics[name] for run in runs)


def size_figures(runs: Sequence[ScenarioRun]) -> dict[str, Any]:
    """Returns the extent of the benchmark. The run without enforcement counts only in `runs`."""
    return {
        "directors": runs[0].scenario.shape.directors,
        "runs": len(runs) + 1,
        "faults": sum(run.scenario.schedule.count(";") + 1 for run in runs),
        "attempts": total(runs, "attempts"),
        "answers": total(runs, "answers"),
        "spans": total(runs, "spans"),
    }


def audit_figures(
    runs: Sequence[ScenarioRun], not_enforced: ScenarioRun, detected: Mapping[str, bool]
) -> dict[str, Any]:
    """Returns what the audit found. `detected`: whether each planted tampering was detected, by its name."""
    return {
        "contradictions": sum(len(run.metrics["contradictions"]) for run in runs),
        "wrong": sum(len(run.metrics["wrong"]) for run in runs),
        "feeds_the_same": all(run.metrics["same"] for run in runs),
        "planted": len(detected),
        "planted_caught": sum(detected.values()),
        "unknown_share": round(max(run.metrics["unknown_share"] for run in runs), 4),
        "acted_after_out": total(runs, "acted_after_out"),
        "acted_after_out_before": not_enforced.metrics["acted_after_out"],
    }


def lag_figures(runs: Sequence[ScenarioRun], lag: LagFigures) -> dict[str, Any]:
    """Returns how many directors were restricted, and how soon."""
    return {
        "detect_ms_p99": round(p99(lag.detected_ms)),
        "caught_up_ms_p99": round(p99(lag.readmitted_ms)),
        "stragglers": len(lag.detected_ms),
        "shut_out_wrongly": len(lag.wrongly_restricted),
        "most_out_at_once": max(run.metrics["most_out_at_once"] for run in runs),
        "branch_emptied": sum(times_all_drained(run) for run in runs),
    }


def service_figures(runs: Sequence[ScenarioRun], attempt_us: float) -> dict[str, Any]:
    """Returns how clients were served, and the cost of the audit."""
    hours = sum(run.scenario.shape.directors * (run.scenario.seconds + EXTRA_RUN_S) for run in runs) / 3600.0
    return {
        "stale": total(runs, "stale_strict"),
        "rules_broken": total(runs, "rules_broken"),
        "lost": total(runs, "lost"),
        "recheck_us": round(attempt_us, 2),
        "bytes_per_director_hour": round(total(runs, "stored_bytes") / hours),
        "report_bytes_per_director_hour": round(total(runs, "report_bytes") / hours),
    }


def broken_rules(figures: Mapping[str, Any]) -> list[str]:
    """Returns the names of the rules that the figures break."""
    broken = {
        "contradictions": figures["contradictions"] > 0,
        "what was reported does not fit": figures["wrong"] > 0,
        "feeds differ": not figures["feeds_the_same"],
        "planted reports not caught": figures["planted_caught"] < figures["planted"],
        "acted after out": figures["acted_after_out"] > 0,
        "the check proves nothing": figures["acted_after_out_before"] == 0,
        "shut out wrongly": figures["shut_out_wrongly"] > 0,
        "a branch emptied": figures["branch_emptied"] > 0,
        "detected late": not figures["stragglers"] or figures["detect_ms_p99"] > DETECTION_LIMIT_MS,
        "stale": figures["stale"] > 0,
        "rules": figures["rules_broken"] > 0,
        "lost": figures["lost"] > 0,
        "recheck": figures["recheck_us"] > ATTEMPT_LIMIT_US,
        "query": figures["query_ms"] > QUERY_LIMIT_MS,
        "search": "violation" in figures["search_states"]
        or len(figures["search_caught"]) < figures["search_planted"],
    }
    return [name for name, is_broken in broken.items() if is_broken]
