"""The laboratory: how fast virtual time goes, whether one seed is one run, and how cost grows with the fleet.

`python -m benchmarks.lab [--quick]`. Exits with 1 if runs of one seed differ between processes and hash
seeds, a rule is broken, or a try is neither answered nor open. Paces are told, and fail nothing.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from math import log
from pathlib import Path
from typing import Any

from benchmarks import conclude
from gladelane.deployment.wire import settings_from_wire
from gladelane.lab.virtual import Fleet, Plan
from gladelane.routing.events import Settings

ROOT = Path(__file__).parent.parent
RATE = 15.0  # requests a second and cache: about what a branch's caches carry


def settings(locations: int, directors: int) -> Settings:
    raw = json.loads((ROOT / "example" / "config.json").read_text())["settings"]
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


def fleet(locations: int, caches: int, directors: int, seed: int) -> Fleet:
    parents = max(2, locations // 2)
    plan = Plan(
        settings(locations, directors),
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


def digest() -> str:
    run = fleet(3, 3, 1, 7)
    run.line.at(2000.0, lambda: run.crash("z0c0"))
    run.line.at(5000.0, lambda: run.restart("z0c0"))
    run.run(8_000.0)
    return run.digest()


def digests() -> set[str]:
    """Of one seed in three processes with hash seeds of their own."""
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


def pace(locations: int, caches: int, directors: int, virtual_ms: float) -> dict[str, Any]:
    run = fleet(locations, caches, directors, 1)
    began = time.process_time()
    run.run(virtual_ms)
    took = time.process_time() - began
    return {
        "servers": len(run.members),
        "directors": len(run.directors),
        "rps": round(run.plan.rate),
        "requests": run.counts["asked"],
        "worth": round(run.served_weight / run.requested_weight, 3),
        "hits": round(run.counts["hits"] / max(run.counts["ok"], 1), 3),
        "broken": len(run.broken),
        "events_per_s": round(run.line.passed / took),
        "s_per_virtual_s": round(took / virtual_ms * 1000.0, 3),
        "us_per_request": round(took / max(run.counts["asked"], 1) * 1e6, 1),
    }


def main() -> int:
    if "--digest" in sys.argv[1:]:
        print(digest())
        return 0
    quick = "--quick" in sys.argv[1:]
    sizes = [(2, 4, 1), (4, 4, 1), (8, 4, 1), (16, 4, 2)] + ([] if quick else [(64, 5, 2), (200, 5, 1)])
    table = [pace(*size, 4_000.0) for size in sizes]
    for row in table:
        print(json.dumps(row))
    first, last = table[0], table[-1]
    cost = log(last["s_per_virtual_s"] / first["s_per_virtual_s"])
    same = digests()
    figures: dict[str, Any] = {
        "quick": quick,
        "events_per_s": first["events_per_s"],
        "requests": sum(row["requests"] for row in table),
        "digest_same": len(same) == 1,
        "rules_broken": sum(row["broken"] for row in table),
        "large_servers": last["servers"],
        "large_directors": last["directors"],
        "large_rps": last["rps"],
        "large_s_per_virtual_s": last["s_per_virtual_s"],
        "growth_exponent": round(cost / log(last["rps"] / first["rps"]), 3),
    }
    must_hold = {"digest_same": len(same) == 1, "rules_broken": not figures["rules_broken"]}
    return conclude(figures, [name for name, holds in must_hold.items() if not holds])


if __name__ == "__main__":
    sys.exit(main())
