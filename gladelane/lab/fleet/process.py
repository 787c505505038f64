"""One process of a fleet and its successors under the same name, on the same port and in the same folder."""

from __future__ import annotations

import asyncio
import math
import signal
import subprocess
import time
from dataclasses import dataclass, field
from pathlib import Path

from .client_pool import Pool

NOTICED_MS = 300.0  # for clients to see that a process is gone, or for it to catch up


@dataclass
class HeldUp:
    """A period in which a process answers nothing, Unix ms."""

    start_ms: float
    end_ms: float


@dataclass(eq=False)
class Life:
    """One process and its successors. up: it answers; kept: it found the folder of the one before it. ups and
    downs: when one began to answer and when one was ended; stops and resumes: when one was sent SIGSTOP and,
    if it lived on until then, SIGCONT. Unix s."""

    name: str
    port: int
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    up: bool = False
    kept: bool = True
    starts: int = 0
    client: Pool | None = None
    door: int = 0
    failed: list[str] = field(default_factory=list)
    spawning: asyncio.Lock = field(default_factory=asyncio.Lock)
    ups: list[float] = field(default_factory=list)
    downs: list[float] = field(default_factory=list)
    stops: list[float] = field(default_factory=list)
    resumes: list[float] = field(default_factory=list)
    stopped: subprocess.Popen[bytes] | None = None  # the process that stands still, until it is resumed
    held_up: list[HeldUp] = field(default_factory=list)

    def stop(self) -> None:
        """SIGSTOP, if a process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGSTOP)
            self.stopped = self.process
            self.stops.append(time.time())

    def resume(self) -> None:
        """SIGCONT. A successor of the process that was stopped never stood still, so its date is not kept."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            if self.stopped is self.process:
                self.resumes.append(time.time())
        self.stopped = None

    def hold_up(self, until_ms: float = math.inf) -> None:
        """From now on what it had open may never be answered, or late."""
        now_ms = time.time() * 1000.0
        self.held_up.append(HeldUp(now_ms, max(until_ms, now_ms + NOTICED_MS)))

    def end_hold_up(self) -> None:
        """It runs again, and has some time to catch up."""
        for period in self.held_up:
            period.end_ms = min(period.end_ms, time.time() * 1000.0 + NOTICED_MS)

    def was_held_up(self, sent_ms: float, now_ms: float) -> bool:
        """Whether a request that was open for so long was open at a process that was killed or stopped."""
        return any(one.start_ms <= now_ms and sent_ms <= one.end_ms for one in self.held_up)
