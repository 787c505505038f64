"""Atomic replacement of a file while the disk fails."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from gladelane.storage.files import Folder, replace_file


def test_a_file_whose_sync_failed_is_written_anew_as_another_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, synced = tmp_path / "state", list[int]()
    replace_file(path, b"old")

    def failing(descriptor: int) -> None:
        synced.append(os.fstat(descriptor).st_ino)
        if len(synced) == 1:
            raise OSError(5, "Input/output error")

    monkeypatch.setattr(os, "fsync", failing)
    with pytest.raises(OSError, match="Input/output"):
        replace_file(path, b"new")
    assert path.read_bytes() == b"old"
    keeps_the_inode = (tmp_path / "state.half").open("rb")  # so that the next file cannot be given its number
    replace_file(path, b"new")
    keeps_the_inode.close()
    assert path.read_bytes() == b"new" and synced[1] != synced[0]


def test_an_empty_file_is_made_as_on_a_simulated_disk(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    folder.append("state", b"")
    folder.replace("state", "other")
    assert folder.names() == ["other"]
