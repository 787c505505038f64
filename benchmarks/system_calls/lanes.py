"""Runs all cases in parallel; cases share a director where a case leaves it running."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections.abc import Iterable
from pathlib import Path

from gladelane.lab.call_faults import Scene

from .cases import Case
from .runner import FRESH_DIRECTOR_RUNNERS, run_on_serving_director
from .sites import Moment
from .tally import CaseResult, Tally

LANE_COUNT = 4
SHUFFLE_SEED = 7  # of the cases with directors of their own, so that the long ones are not all at the end


class Lanes:
    """Runs cases in parallel; those under load and when idle share a director until one of them breaks it."""

    def __init__(self, library: Path, fault_s: float) -> None:
        self.library, self.fault_s = library, fault_s
        self.tally = Tally()

    async def run(self, cases: Iterable[Case]) -> None:
        """Returns once all cases have run."""
        cases = list(cases)
        running = [case for case in cases if case.moment not in FRESH_DIRECTOR_RUNNERS]
        fresh = [case for case in cases if case.moment in FRESH_DIRECTOR_RUNNERS]
        random.Random(SHUFFLE_SEED).shuffle(fresh)
        half = LANE_COUNT // 2
        await asyncio.gather(
            *(self._run_on_shared_directors(running[number::half]) for number in range(half)),
            *(self._run_on_fresh_directors(fresh[number::half]) for number in range(half)),
        )

    async def _run_on_shared_directors(self, cases: list[Case]) -> None:
        while cases:
            with tempfile.TemporaryDirectory(prefix="calls") as folder:
                scene = Scene(Path(folder), self.library)
                try:
                    await scene.prepare()
                    if await scene.starts():
                        await self._run_until_broken(scene, cases)
                finally:
                    await scene.close()

    async def _run_until_broken(self, scene: Scene, cases: list[Case]) -> None:
        """Takes cases off the list until one breaks the director; the next case gets a new director."""
        while cases:
            case = cases.pop(0)
            result = await run_on_serving_director(scene, case, self.fault_s)
            self._add(case.name, result)
            if result.verdict.crashes or result.verdict.is_stuck:
                return

    async def _run_on_fresh_directors(self, cases: list[Case]) -> None:
        while cases:
            case = cases.pop(0)
            with tempfile.TemporaryDirectory(prefix="calls") as folder:
                scene = Scene(Path(folder), self.library)
                try:
                    await scene.prepare()
                    if case.moment is not Moment.START and not await scene.starts():
                        cases.append(case)
                        continue
                    self._add(case.name, await FRESH_DIRECTOR_RUNNERS[case.moment](scene, case))
                finally:
                    await scene.close()

    def _add(self, name: str, result: CaseResult) -> None:
        self.tally.add(name, result)
        verdict = result.verdict
        outcome = "; ".join(verdict.broken()) or "ok"
        injected = "" if result.is_injected else " NOT INJECTED"
        print(f"{name}: {outcome} back_ms={verdict.stuck_after_ms:.0f}{injected}", flush=True)
