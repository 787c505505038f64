"""The hand-over as a file in $TMPDIR: replaced as a whole, so a reader sees the old one or the new one."""

from __future__ import annotations

import logging
import os
from contextlib import suppress
from pathlib import Path

from .checks import Unusable
from .handover import Handover, decode, encode

log = logging.getLogger(__name__)

NAME = "gladelane.handover"
MOST_BYTES = 8_000_000


def write(folder: str, document: Handover) -> bool:
    """No fsync: it is to outlive a process, not the machine. Whether it was written."""
    path = Path(folder) / NAME
    fresh = path.with_name(f"{NAME}.{os.getpid()}")
    try:
        with open(fresh, "wb", opener=lambda name, flags: os.open(name, flags, 0o600)) as file:
            file.write(encode(document))
        os.replace(fresh, path)
    except OSError as error:
        log.warning("upgrade: the hand-over is not written: %s", error)
        with suppress(OSError):
            os.unlink(fresh)  # half of one would only take memory
        return False
    return True


def read(folder: str, name: str, now: float) -> Handover | None:
    """None where there is none, or none that can be used, which is logged."""
    path = Path(folder) / NAME
    try:
        with open(path, "rb") as file:
            return decode(file.read(MOST_BYTES), name, now)
    except FileNotFoundError:
        return None
    except (OSError, Unusable) as error:
        log.warning("upgrade: the hand-over is passed over: %s", error)
        return None
