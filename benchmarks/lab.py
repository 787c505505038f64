"""Measures the simulation: speed, determinism for a seed, and the growth of cost with the size of the fleet.

`python -m benchmarks.lab [--quick]` exits with 1 if runs with one seed differ between processes with
different hash seeds, a rule is broken, or an attempt is neither answered nor pending. Speeds are reported
only.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from math import log
from typing import Any

from benchmarks import conclude
from benchmarks.example_site import example_config
from gladelane.deployment.wire import settings_from_wire
from gladelane.lab.processes import ROOT
from gladelane.lab.virtual import Fleet, Plan
from gladelane.routing.events import Settings

RATE = 15.0  # requests per second for each cache: about the load of a cache in a branch location


def make_settings(locations: int, directors: int) -> Settings:
    """Returns the settings of a director of the first location."""
    raw = example_config()["settings"]
    zones = ["hub", *(f"z{n}" for n in range(locations))]
    family = {
        **raw["family_info"],
        "hub_of": [0] * len(zones),
        "inlet_kb_per_s": [0.0] * len(zones),
        "seats_by_zone": [0, *([directors] * locations)],
    }
    return settings_from_wire(
        {
            **raw,
            "areas": zones,
            "zone": "z0",
            "balancers": locations * directors,
            "family_info": family,
        }
    )


def make_fleet(locations: int, caches: int, directors: int, seed: int) -> Fleet:
    """Returns a fleet whose load is proportional to the number of caches."""
    parents = max(2, locations // 2)
    plan = Plan(
        make_settings(locations, directors),
        caches=caches,
        locations=locations,
        parents=parents,
        directors=directors,
        rate=RATE * caches * locations,
        objects=500 * locations,
        origin_workers=8 * locations,
        origin_max_requests=150 * locations,
        origin_link=30.0 * locations,
    )
    return Fleet(plan, seed)


def digest_of_run() -> str:
    """Returns the digest of a short run with a crash and a restart."""
    run = make_fleet(3, 3, 1, 7)
    run.line.at(2000.0, lambda: run.crash("z0c0"))
    run.line.at(5000.0, lambda: run.restart("z0c0"))
    run.run(8_000.0)
    return run.digest()


def digests_of_processes() -> set[str]:
    """Returns the digests of the same run in three processes with different hash seeds."""
    return {
        subprocess.run(
            [sys.executable, "-m", "benchmarks.lab", "--digest"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout.strip()
        for seed in ("0", "1", "2")
    }


def measure_speed(locations: int, caches: int, directors: int, virtual_ms: float) -> dict[str, Any]:
    """Runs a fleet of this size and returns its figures with the speed of the simulation."""
    run = make_fleet(locations, caches, directors, 1)
    started_s = time.process_time()
    run.run(virtual_ms)
    elapsed_s = time.process_time() - started_s
    return {
        "servers": len(run.members),
        "directors": len(run.directors),
        "rps": round(run.plan.rate),
        "requests": run.counts["asked"],
        "worth": round(run.served_weight / run.requested_weight, 3),
        "hits": round(run.counts["hits"] / max(run.counts["ok"], 1), 3),
        "broken": len(run.broken),
        "events_per_s": round(run.line.passed / elapsed_s),
        "s_per_virtual_s": round(elapsed_s / virtual_ms * 1000.0, 3),
        "us_per_request": round(elapsed_s / max(run.counts["asked"], 1) * 1e6, 1),
    }


def main() -> int:
    """Runs the benchmark and returns the exit code; `--digest` only prints the digest of one run."""
    if "--digest" in sys.argv[1:]:
        print(digest_of_run())
        return 0
    quick = "--quick" in sys.argv[1:]
    sizes = [(2, 4, 1), (4, 4, 1), (8, 4, 1), (16, 4, 2)] + ([] if quick else [(64, 5, 2), (200, 5, 1)])
    rows = [measure_speed(*size, 4_000.0) for size in sizes]
    for row in rows:
        print(json.dumps(row))
    first, last = rows[0], rows[-1]
    log_cost_growth = log(last["s_per_virtual_s"] / first["s_per_virtual_s"])
    digests = digests_of_processes()
    figures: dict[str, Any] = {
        "quick": quick,
        "events_per_s": first["events_per_s"],
        "requests": sum(row["requests"] for row in rows),
        "digest_same": len(digests) == 1,
        "rules_broken": sum(row["broken"] for row in rows),
        "large_servers": last["servers"],
        "large_directors": last["directors"],
        "large_rps": last["rps"],
        "large_s_per_virtual_s": last["s_per_virtual_s"],
        "growth_exponent": round(log_cost_growth / log(last["rps"] / first["rps"]), 3),
    }
    must_hold = {"digest_same": len(digests) == 1, "rules_broken": not figures["rules_broken"]}
    return conclude(figures, [name for name, holds in must_hold.items() if not holds])


if __name__ == "__main__":
    sys.exit(main())
