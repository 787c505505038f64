"""Faults of the folder of a process between two starts, and of a full disk. The functions block."""

from __future__ import annotations

import os
import resource
import shutil
from collections.abc import Sequence
from pathlib import Path

from .process import FleetProcess

TORN_BYTES = 7  # cut from the end of each log, as by an incomplete write
NO_LIMIT = -1


def _saved_folder(one: FleetProcess) -> Path:
    return one.folder.with_name(f"{one.name}.saved")


def save_folder(one: FleetProcess) -> None:
    """Saves a copy of the folder, from which an older state can be restored."""
    copy = _saved_folder(one)
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(one.folder, copy, ignore=shutil.ignore_patterns("tmp", "LOCK"))


def damage_folder(one: FleetProcess, damage: str, control_servers: Sequence[FleetProcess]) -> None:
    """Damages a folder.

    `damage`: torn, empty, older (as saved) or swapped (with that of another control server).
    """
    if damage == "torn":
        for path in one.folder.rglob("*.log"):
            os.truncate(path, max(path.stat().st_size - TORN_BYTES, 0))
        return
    source = one
    if damage == "swapped":
        source = next(other for other in control_servers if other is not one)
    shutil.rmtree(one.folder)
    one.folder.mkdir()
    saved = _saved_folder(one)
    if damage == "older" and saved.exists():
        shutil.copytree(saved, one.folder, dirs_exist_ok=True)
    elif damage == "swapped":
        ignored = shutil.ignore_patterns("LOCK")
        shutil.copytree(source.folder, one.folder, dirs_exist_ok=True, ignore=ignored)


def limit_file_size(one: FleetProcess, max_bytes: int) -> bool:
    """Simulates a full disk by a limit on the size of files, which applies to root as well.

    Returns whether there was a running process.
    """
    if one.process is None or one.process.poll() is not None:
        return False
    resource.prlimit(one.process.pid, resource.RLIMIT_FSIZE, (max_bytes, NO_LIMIT))
    return True
