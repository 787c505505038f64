"""Steps the wall clock of running processes: the file that `clock.c` maps, and the environment it needs."""

from __future__ import annotations

import mmap
import struct
from pathlib import Path

from .build import compile_library

ENVIRONMENT = "GLADELANE_CLOCK_FILE"
NS_PER_MS = 1_000_000
_FORM = struct.Struct("=qq")  # shift in ns, number of shifted readings
_READINGS_AT = 8


class SteppedClock:
    """One wall clock, shared by all processes that were started with its `environment`."""

    def __init__(self, folder: Path) -> None:
        """Compiles the library into `folder`. Raises what `compile_library` raises."""
        self._path = folder / "clock"
        self._path.write_bytes(_FORM.pack(0, 0))
        self._library = compile_library("clock", folder)
        with open(self._path, "r+b") as file:
            self._shared = mmap.mmap(file.fileno(), _FORM.size)

    @property
    def environment(self) -> dict[str, str]:
        """The environment variables for a process."""
        return {"LD_PRELOAD": str(self._library), ENVIRONMENT: str(self._path)}

    @property
    def shift_ms(self) -> float:
        """The difference between the wall clock of the processes and that of the machine."""
        return float(_FORM.unpack(self._shared)[0]) / NS_PER_MS

    @property
    def readings(self) -> int:
        """The number of readings of the shifted wall clock since the last step."""
        return int(_FORM.unpack(self._shared)[1])

    def step(self, by_ms: float) -> None:
        """Steps the wall clock relative to its present shift, and resets the number of readings."""
        shift_ns = int((self.shift_ms + by_ms) * NS_PER_MS)
        self._shared[:_READINGS_AT] = struct.pack("=q", shift_ns)
        self._shared[_READINGS_AT:] = struct.pack("=q", 0)

    def close(self) -> None:
        """Closes the control file. Processes keep their present shift."""
        self._shared.close()
