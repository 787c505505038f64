"""Steps the wall clock of running processes: the file that `clock.c` maps, and the environment it needs."""

from __future__ import annotations

import mmap
import struct
from pathlib import Path

from .build import compile_library

ENVIRONMENT = "GLADELANE_CLOCK_FILE"
NS_PER_MS = 1_000_000
_FORM = struct.Struct("=qq")  # shift in ns, count of shifted readings
_READINGS_AT = 8


class SteppedClock:
    """One wall clock, shared by all processes that were started with its `environment`."""

    def __init__(self, folder: Path) -> None:
        """Compiles the library into `folder`. Raises as `compile_library`."""
        self._path = folder / "clock"
        self._path.write_bytes(_FORM.pack(0, 0))
        self._library = compile_library("clock", folder)
        with open(self._path, "r+b") as file:
            self._shared = mmap.mmap(file.fileno(), _FORM.size)

    @property
    def environment(self) -> dict[str, str]:
        """What a process is to be started with."""
        return {"LD_PRELOAD": str(self._library), ENVIRONMENT: str(self._path)}

    @property
    def shift_ms(self) -> float:
        """How far the processes' wall clock is from the machine's."""
        return float(_FORM.unpack(self._shared)[0]) / NS_PER_MS

    @property
    def readings(self) -> int:
        """How often a process has read a shifted wall clock since the last step."""
        return int(_FORM.unpack(self._shared)[1])

    def step(self, by_ms: float) -> None:
        """Steps the wall clock, on from where it stands; the readings count from 0 again."""
        shift_ns = int((self.shift_ms + by_ms) * NS_PER_MS)
        self._shared[:_READINGS_AT] = struct.pack("=q", shift_ns)
        self._shared[_READINGS_AT:] = struct.pack("=q", 0)

    def close(self) -> None:
        """Lets go of the control file; processes keep the shift that they have."""
        self._shared.close()
