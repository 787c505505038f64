"""The figures of all runs, by the names of the report, and the rules that they break."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from gladelane.lab.fleet.audit_comparison import p99

from .lag import LagFigures, times_all_drained
from .play import PlayedDay

AROUND_DAY_S = 3.0  # that a fleet runs beside the seconds of its line
DETECTION_LIMIT_MS, ATTEMPT_LIMIT_US, QUERY_LIMIT_MS = 1_000, 4.0, 200.0


def total(played: Sequence[PlayedDay], name: str) -> int:
    """The sum of a metric over all days."""
    return sum(one.metrics[name] for one in played)


def size_figures(played: Sequence[PlayedDay]) -> dict[str, Any]:
    """How much was played; the run that is not enforced counts among the runs only."""
    return {
        "directors": played[0].day.shape.directors,
        "runs": len(played) + 1,
        "faults": sum(one.day.line.count(";") + 1 for one in played),
        "attempts": total(played, "attempts"),
        "answers": total(played, "answers"),
        "spans": total(played, "spans"),
    }


def audit_figures(
    played: Sequence[PlayedDay], not_enforced: PlayedDay, noticed: Mapping[str, bool]
) -> dict[str, Any]:
    """What the audit found. `noticed`: by the name of an alteration."""
    return {
        "contradictions": sum(len(one.metrics["contradictions"]) for one in played),
        "wrong": sum(len(one.metrics["wrong"]) for one in played),
        "feeds_the_same": all(one.metrics["same"] for one in played),
        "planted": len(noticed),
        "planted_caught": sum(noticed.values()),
        "unknown_share": round(max(one.metrics["unknown_share"] for one in played), 4),
        "acted_after_out": total(played, "acted_after_out"),
        "acted_after_out_before": not_enforced.metrics["acted_after_out"],
    }


def lag_figures(played: Sequence[PlayedDay], lag: LagFigures) -> dict[str, Any]:
    """Who was kept out, and how soon."""
    return {
        "detect_ms_p99": round(p99(lag.detected_ms)),
        "caught_up_ms_p99": round(p99(lag.readmitted_ms)),
        "stragglers": len(lag.detected_ms),
        "shut_out_wrongly": len(lag.wrongly_restricted),
        "most_out_at_once": max(one.metrics["most_out_at_once"] for one in played),
        "branch_emptied": sum(times_all_drained(one) for one in played),
    }


def service_figures(played: Sequence[PlayedDay], attempt_us: float) -> dict[str, Any]:
    """What clients had of it, and what it costs."""
    hours = sum(one.day.shape.directors * (one.day.seconds + AROUND_DAY_S) for one in played) / 3600.0
    return {
        "stale": total(played, "stale_strict"),
        "rules_broken": total(played, "rules_broken"),
        "lost": total(played, "lost"),
        "recheck_us": round(attempt_us, 2),
        "bytes_per_director_hour": round(total(played, "stored_bytes") / hours),
        "report_bytes_per_director_hour": round(total(played, "report_bytes") / hours),
    }


def broken_rules(figures: Mapping[str, Any]) -> list[str]:
    """The names of the rules that the figures break."""
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
