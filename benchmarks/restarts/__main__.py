"""The command line of the benchmark, and its report."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from dataclasses import asdict

from .discovery import Discovery
from .scene import READY_SHARE, Scene, measure

MANY, QUICK = (10, 50, 200), (10, 50)


async def run(quick: bool) -> int:
    """Plays all scenes, one after the other, and reports; the exit code."""
    kinds = [(how, False) for how in Discovery] + [(Discovery.UP, True)]
    results = []
    for count in QUICK if quick else MANY:
        for how, killed in kinds:
            results.append(await measure(Scene(count, how, killed)))
            print(json.dumps(asdict(results[-1])), flush=True)
    failed = sum(one.ended > 0 or one.in_time < READY_SHARE for one in results)
    rows = [asdict(one) for one in results]
    print(json.dumps({"cores": os.cpu_count(), "failed": failed, "results": rows}))
    return 1 if failed else 0


def main() -> int:
    """The exit code."""
    return asyncio.run(run("--quick" in sys.argv[1:]))


if __name__ == "__main__":
    sys.exit(main())
