"""The figures of all runs, under the names that the report prints."""

from __future__ import annotations

import math
from typing import Any

from .first_restart import DelayedStart, Restart
from .scenarios import COLD, COLD_AT_S, KILLED, WARM, WARM_AFTER_S, scenarios


def finite_or_none(seconds: float) -> float | None:
    """Returns None, null in JSON, for a service that did not recover during the run: JSON has no infinity."""
    return None if math.isinf(seconds) else seconds


def full_service_figures(runs: dict[str, dict[str, Any]], delayed: DelayedStart) -> dict[str, Any]:
    """Returns the recovery times and their limits, under the names of the report."""
    restart: Restart = runs[KILLED]["restart"]
    full_service_s = {name: run["full_service_s"] for name, run in runs.items()}
    cold_s = [runs[KILLED]["full_by_fault"][f"{COLD_AT_S} {COLD}"]]
    cold_s += [full_service_s[name] for name in ("all directors, cold",) if name in full_service_s]
    return {
        "full_service_s": {name: finite_or_none(seconds) for name, seconds in full_service_s.items()},
        "full_service_warm_s": finite_or_none(full_after_warm_restart(runs)),
        "import_s": round(restart.import_s, 2),
        "warm_start_s": finite_or_none(round(restart.start_s, 2)),
        "warm_start_limit_s": round(restart.start_limit_s, 2),
        "full_service_cold_s": finite_or_none(max(cold_s)),
        "planted_delay_s": delayed.delay_s,
        "full_service_with_delay_s": finite_or_none(delayed.full_service_s),
        "start_limit_with_delay_s": round(delayed.restart.start_limit_s, 2),
    }


def full_after_warm_restart(runs: dict[str, dict[str, Any]]) -> float:
    """Returns the time from the warm restart until full service."""
    seconds: float = runs[KILLED]["full_by_fault"][f"{WARM_AFTER_S} {WARM}"]
    return seconds


def is_full_service_late(runs: dict[str, dict[str, Any]]) -> bool:
    """Whether a run never returned to full service, or the first restart took too long."""
    restart: Restart = runs[KILLED]["restart"]
    is_any_unrecovered = any(math.isinf(run["full_service_s"]) for run in runs.values())
    return is_any_unrecovered or restart.is_late(full_after_warm_restart(runs))


def summarise(quick: bool, runs: dict[str, dict[str, Any]], delayed: DelayedStart) -> dict[str, Any]:
    """Returns the totals of all runs, under the names of the report."""

    def total(name: str) -> int:
        return sum(run[name] for run in runs.values())

    return {
        "quick": quick,
        "directors": scenarios(quick)[1].shape.directors,
        "runs": len(runs) + 2,
        "killed": total("killed"),
        "kills": total("kills"),
        "disk_faults": total("disk_faults"),
        "answers": total("answers"),
        "purges": total("purges"),
        "stale_after_loss": total("stale_strict"),
        "stale_of_other_classes": total("stale_other"),
        "doubles": total("doubles"),
        "late_repeats": total("late_repeats"),
        "lost_by_kill": total("lost_by_kill"),
        "lost_beyond_kill": total("lost"),
        "rules_broken": total("rules_broken"),
        **full_service_figures(runs, delayed),
        "origin_peak_over_usual": runs[KILLED]["origin_peak_over_usual"],
        "origin_peak": max(run["origin_peak"] for run in runs.values()),
        "origin_limit": 900,
        "pushed_over": sorted({name for run in runs.values() for name in run["pushed_over"]}),
        "after_drain": total("after_drain"),
        "reseeded": total("reseeded"),
    }
