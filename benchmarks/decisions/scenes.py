"""The scenes by name, and their recorded digests."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from pathlib import Path

from .digest import ActionDigest, recorded_actions
from .fleets import run_deployed, run_shared_zone, run_site_hints, run_site_notes
from .routers import LARGER_CACHES, run_generated, run_large_list

GOLDEN = Path(__file__).with_name("decisions.json")
SCENES: dict[str, Callable[[bool], None]] = {
    "site_hints": run_site_hints,
    "site_notes": run_site_notes,
    "shared_zone": run_shared_zone,
    "large_list": run_large_list,
    "larger_list": partial(run_large_list, caches=LARGER_CACHES),
    "generated": run_generated,
    "deployed": run_deployed,
}
NOT_GOLDEN = frozenset({"deployed"})


def run_scene(name: str, quick: bool = True) -> ActionDigest:
    """Runs a scene and returns the digest of its actions."""
    with recorded_actions() as digest:
        SCENES[name](quick)
    return digest


def golden() -> dict[str, str]:
    """Reads the recorded digests, by scene."""
    digests: dict[str, str] = json.loads(GOLDEN.read_text())
    return digests
