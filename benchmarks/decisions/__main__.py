"""The command line of the benchmark."""

from __future__ import annotations

import json
import sys
import time

from benchmarks import conclude

from .scenes import GOLDEN, NOT_GOLDEN, SCENES, golden, run_scene


def main() -> int:
    """Runs all scenes, prints their digests and returns the exit code."""
    argv = sys.argv[1:]
    quick = "--quick" in argv
    started_s = time.process_time()
    digests: dict[str, str] = {}
    actions = 0
    for name in SCENES:
        digest = run_scene(name, quick)
        digests[name], actions = digest.text(), actions + digest.actions
        print(f"{name}: {digest.actions} actions, {digest.text()}", flush=True)
    if "--record" in argv and quick:
        recorded = {name: text for name, text in digests.items() if name not in NOT_GOLDEN}
        GOLDEN.write_text(json.dumps(recorded, indent=1) + "\n")
    changed = [name for name, text in golden().items() if quick and digests[name] != text]
    figures = {
        "quick": quick,
        "actions": actions,
        "digests": digests,
        "seconds": round(time.process_time() - started_s, 1),
    }
    return conclude(figures, changed)


if __name__ == "__main__":
    sys.exit(main())
