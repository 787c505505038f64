"""Checks that routing decisions have not changed: digests of all actions of seeded runs in virtual time.

`python -m benchmarks.decisions [--quick]`. A refactoring or an optimisation leaves every digest unchanged; a
change of a decision, however rare, changes at least one of them. The file GOLDEN holds the digests of the
quick form; after an intended change of decisions, `--quick --record` writes them again.

- `site_hints`, `site_notes`: fleets of real routers with models of everything they talk to, configured like
  the two known deployments (sizes listed, and notes only of hits; no sizes listed, and notes of everything);
- `shared_zone`: a location that many directors share;
- `large_list`: one router with many caches of many weights, whose list changes; `larger_list`: the same with
  more caches than any usual fleet has (routing.store_list, MAX_CACHES_USED_ALIKE);
- `generated`: one router for each of the generated deployments, with outcomes drawn at random;
- `deployed` (printed, not in GOLDEN): generated fleets with the real `net.director`, so that changes of the
  director show here too.

Exits with 1 if a digest differs from the golden one.

`digest` hashes the actions, `fleets`, `script` and `routers` run the scenes, `scenes` lists them by name, and
`__main__` is the command line.
"""

from .scenes import NOT_GOLDEN, SCENES, golden, run_scene

__all__ = ["NOT_GOLDEN", "SCENES", "golden", "run_scene"]
