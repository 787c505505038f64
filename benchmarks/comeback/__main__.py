"""The command line of the benchmark."""

from __future__ import annotations

import sys

import uvloop

from benchmarks import conclude
from gladelane.lab.fleet.schedule_run import run_schedule
from gladelane.lab.fleet.shape import Shape
from gladelane.lab.losses import Plant

from .days import KILLED, LOST, SEED, days
from .first_restart import play_delayed_start
from .loss_search import PLANTS, search_planted, searched
from .report import is_full_service_late, summarise
from .runs import one_line, play_days


def main() -> int:
    """The exit code."""
    if "--line" in sys.argv:
        return one_line(sys.argv[1:])
    quick = "--quick" in sys.argv
    runs = play_days(quick)
    delayed = play_delayed_start(days(quick)[1].shape, runs[KILLED]["restart"].start_limit_s)
    before = uvloop.run(run_schedule(LOST, Shape(6, lost="serve"), SEED, 5.5))
    caught = search_planted()
    states = [searched(copies, Plant.NONE, 3 if quick else 4) for copies in (1, 2)]
    summary = summarise(quick, runs, delayed) | {
        "stale_after_loss_before": before["stale_strict"],
        "search_states": states,
        "planted": len(PLANTS),
        "planted_caught": caught,
    }
    wrong = {
        "stale": summary["stale_after_loss"] > 0,
        "the check proves nothing": before["stale_strict"] == 0,
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
    return conclude(summary, (name for name, is_wrong in wrong.items() if is_wrong))


if __name__ == "__main__":
    sys.exit(main())
