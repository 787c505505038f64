"""All cases, side by side: directors are shared where a case leaves them running."""

from __future__ import annotations

import asyncio
import random
import tempfile
from collections.abc import Iterable
from pathlib import Path

from gladelane.lab.call_faults import Scene

from .cases import Case
from .runner import FRESH, play_running
from .sites import Moment
from .tally import CaseResult, Tally

LANES = 4
SHUFFLE_SEED = 7  # of the cases with directors of their own: long ones are not all at the end


class Lanes:
    """Plays cases side by side; those under load and at rest share a director until one of them breaks it."""

    def __init__(self, library: Path, fault_s: float) -> None:
        self.library, self.fault_s = library, fault_s
        self.tally = Tally()

    async def run(self, cases: Iterable[Case]) -> None:
        """Returns once all cases are played."""
        cases = list(cases)
        running = [case for case in cases if case.moment not in FRESH]
        fresh = [case for case in cases if case.moment in FRESH]
        random.Random(SHUFFLE_SEED).shuffle(fresh)
        half = LANES // 2
        await asyncio.gather(
            *(self._shared(running[number::half]) for number in range(half)),
            *(self._fresh(fresh[number::half]) for number in range(half)),
        )

    async def _shared(self, cases: list[Case]) -> None:
        while cases:
            with tempfile.TemporaryDirectory(prefix="calls") as folder:
                scene = Scene(Path(folder), self.library)
                try:
                    await scene.prepare()
                    if await scene.starts():
                        await self._play_until_broken(scene, cases)
                finally:
                    await scene.close()

    async def _play_until_broken(self, scene: Scene, cases: list[Case]) -> None:
        """Takes cases off the list until one breaks the director: the next gets a new one."""
        while cases:
            case = cases.pop(0)
            result = await play_running(scene, case, self.fault_s)
            self._add(case.name, result)
            if result.verdict.crashes or result.verdict.is_stuck:
                return

    async def _fresh(self, cases: list[Case]) -> None:
        while cases:
            case = cases.pop(0)
            with tempfile.TemporaryDirectory(prefix="calls") as folder:
                scene = Scene(Path(folder), self.library)
                try:
                    await scene.prepare()
                    if case.moment is not Moment.START and not await scene.starts():
                        cases.append(case)
                        continue
                    self._add(case.name, await FRESH[case.moment](scene, case))
                finally:
                    await scene.close()

    def _add(self, name: str, result: CaseResult) -> None:
        self.tally.add(name, result)
        verdict = result.verdict
        outcome = "; ".join(verdict.broken()) or "ok"
        injected = "" if result.is_injected else " NOT INJECTED"
        print(f"{name}: {outcome} back_ms={verdict.stuck_after_ms:.0f}{injected}", flush=True)
