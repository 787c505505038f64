"""The command line of the benchmark."""

from __future__ import annotations

import sys

import uvloop

from benchmarks import conclude
from gladelane.lab.fleet.schedule_run import run_schedule
from gladelane.lab.fleet.shape import Shape
from gladelane.lab.losses import Plant

from .first_restart import run_delayed_start
from .loss_search import PLANTS, search_planted, search_states
from .report import is_full_service_late, summarise
from .runs import run_scenarios, run_single_schedule
from .scenarios import ALL_LOST, KILLED, SEED, scenarios


def main() -> int:
    """Runs the benchmark, prints its results and returns the exit code."""
    if "--line" in sys.argv:
        return run_single_schedule(sys.argv[1:])
    quick = "--quick" in sys.argv
    runs = run_scenarios(quick)
    delayed = run_delayed_start(scenarios(quick)[1].shape, runs[KILLED]["restart"].start_limit_s)
    without_watermarks = uvloop.run(run_schedule(ALL_LOST, Shape(6, lost="serve"), SEED, 5.5))
    caught = search_planted()
    states = [search_states(copies, Plant.NONE, 3 if quick else 4) for copies in (1, 2)]
    summary = summarise(quick, runs, delayed) | {
        "stale_after_loss_before": without_watermarks["stale_strict"],
        "search_states": states,
        "planted": len(PLANTS),
        "planted_caught": caught,
    }
    broken = {
        "stale": summary["stale_after_loss"] > 0,
        "the check proves nothing": without_watermarks["stale_strict"] == 0,
        "doubles": summary["doubles"] > 0,
        "lost beyond the kill": summary["lost_beyond_kill"] > 0,
        "rules": summary["rules_broken"] > 0,
        "pushed over": bool(summary["pushed_over"]),
        "sent to a drained cache": summary["after_drain"] > 0,
        "search": len(caught) < len(PLANTS) or any(isinstance(found, str) for found in states),
        "nobody filled a feed again": summary["reseeded"] == 0,
        "the figure of full service misses a late start": not delayed.is_noticed,
        "full service late": is_full_service_late(runs),
    }
    return conclude(summary, (name for name, is_broken in broken.items() if is_broken))


if __name__ == "__main__":
    sys.exit(main())
