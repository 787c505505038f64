"""What happens to the folder of a process between two of its lives, and to a disk that is full. Blocks."""

from __future__ import annotations

import os
import resource
import shutil
from collections.abc import Sequence
from pathlib import Path

from .process import Life

TORN_BYTES = 7  # of the last write, which ended half way
NO_LIMIT = -1


def _saved_folder(one: Life) -> Path:
    return one.folder.with_name(f"{one.name}.saved")


def save_folder(one: Life) -> None:
    """Copies the folder, for one that comes back older."""
    copy = _saved_folder(one)
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(one.folder, copy, ignore=shutil.ignore_patterns("tmp", "LOCK"))


def damage_folder(one: Life, how: str, feeds: Sequence[Life]) -> None:
    """`how`: torn, empty, older (as it was saved) or swapped (with a copy of another control server's)."""
    if how == "torn":
        for path in one.folder.rglob("*.log"):
            os.truncate(path, max(path.stat().st_size - TORN_BYTES, 0))
        return
    source = one
    if how == "swapped":
        source = next(other for other in feeds if other is not one)
    shutil.rmtree(one.folder)
    one.folder.mkdir()
    saved = _saved_folder(one)
    if how == "older" and saved.exists():
        shutil.copytree(saved, one.folder, dirs_exist_ok=True)
    elif how == "swapped":
        left_out = shutil.ignore_patterns("LOCK")
        shutil.copytree(source.folder, one.folder, dirs_exist_ok=True, ignore=left_out)


def limit_file_size(one: Life, most_bytes: int) -> bool:
    """A file that may not grow is a full disk to whoever writes; root's rights do not change that. Returns
    whether there was a process to limit."""
    if one.process is None or one.process.poll() is not None:
        return False
    resource.prlimit(one.process.pid, resource.RLIMIT_FSIZE, (most_bytes, NO_LIMIT))
    return True
