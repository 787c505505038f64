"""A process of a fleet and its successors, with the same name, port and folder."""

from __future__ import annotations

import asyncio
import math
import signal
import subprocess
import time
from dataclasses import dataclass, field
from pathlib import Path

from .client_pool import ClientPool

NOTICED_MS = 300.0  # until clients notice that a process ended, or until a resumed one has caught up


@dataclass
class UnresponsivePeriod:
    """A period in which a process does not reply, Unix ms."""

    start_ms: float
    end_ms: float


@dataclass(eq=False)
class FleetProcess:
    """A process and its successors after restarts. All times are Unix s.

    - `up`: the process replies.
    - `has_former_folder`: it found the folder that its predecessor left.
    - `ups`, `downs`: when a process started to reply, and when one was ended.
    - `stops`, `resumes`: when a process was sent SIGSTOP, and SIGCONT if it still existed then.
    """

    name: str
    port: int
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    up: bool = False
    has_former_folder: bool = True
    starts: int = 0
    client: ClientPool | None = None
    admin_port: int = 0
    failed: list[str] = field(default_factory=list)
    spawning: asyncio.Lock = field(default_factory=asyncio.Lock)
    ups: list[float] = field(default_factory=list)
    downs: list[float] = field(default_factory=list)
    stops: list[float] = field(default_factory=list)
    resumes: list[float] = field(default_factory=list)
    stopped: subprocess.Popen[bytes] | None = None  # the suspended process, until it is resumed
    unresponsive_periods: list[UnresponsivePeriod] = field(default_factory=list)

    def stop(self) -> None:
        """Sends SIGSTOP, if a process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGSTOP)
            self.stopped = self.process
            self.stops.append(time.time())

    def resume(self) -> None:
        """Sends SIGCONT. Recorded only for the process that was suspended, not for a successor of it."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            if self.stopped is self.process:
                self.resumes.append(time.time())
        self.stopped = None

    def begin_unresponsive_period(self, until_ms: float = math.inf) -> None:
        """Records that from now on pending requests may get no reply, or a late one."""
        now_ms = time.time() * 1000.0
        self.unresponsive_periods.append(UnresponsivePeriod(now_ms, max(until_ms, now_ms + NOTICED_MS)))

    def end_unresponsive_period(self) -> None:
        """Records that the process runs again; it gets NOTICED_MS to catch up."""
        for period in self.unresponsive_periods:
            period.end_ms = min(period.end_ms, time.time() * 1000.0 + NOTICED_MS)

    def was_unresponsive(self, sent_ms: float, now_ms: float) -> bool:
        """Whether a request pending in this period may have been affected by a kill or a suspension."""
        return any(one.start_ms <= now_ms and sent_ms <= one.end_ms for one in self.unresponsive_periods)
