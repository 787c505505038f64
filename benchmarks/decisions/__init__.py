"""Whether the decisions are still the same: a digest of every action over seeded runs in virtual time.

`python -m benchmarks.decisions [--quick]`. A change that only makes the module faster or clearer leaves every
digest as it is; one that changes a decision, however seldom, changes at least one of them. GOLDEN has those
of the quick form; a change of decisions that is intended writes them anew with `--record`.

- `site_hints`, `site_notes`: fleets of real routers before models of all they talk to, in the manner of the
  two known deployments (sizes told and notes of hits only; no sizes told and notes of everything);
- `shared_zone`: a location that many directors share;
- `large_list`: one router before many caches of many weights, with changes of the list; `larger_list`: the
  same before more than any usual fleet has (routing.store_list, MAX_CACHES_USED_ALIKE);
- `generated`: one router for each of the generated deployments, under outcomes drawn at random;
- `deployed` (printed, not in GOLDEN): generated fleets with the real `net.director`, so changes of that show
  here too.

Exits with 1 if a digest is not the golden one.

`digest` takes in the actions, `fleets`, `script` and `routers` have the runs, `scenes` names them, and
`__main__` is the command line.
"""

from .scenes import NOT_GOLDEN, SCENES, golden, run_scene

__all__ = ["NOT_GOLDEN", "SCENES", "golden", "run_scene"]
