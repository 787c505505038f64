"""Atomic replacement of files under disk faults, and empty files in a folder."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from gladelane.storage.files import Folder, replace_file


def test_after_a_failed_sync_the_content_is_written_to_a_new_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A second sync of the same file may succeed although the kernel has dropped its unwritten pages."""
    path, synced_inodes = tmp_path / "state", list[int]()
    replace_file(path, b"old")

    def fail_first_sync(descriptor: int) -> None:
        synced_inodes.append(os.fstat(descriptor).st_ino)
        if len(synced_inodes) == 1:
            raise OSError(5, "Input/output error")

    monkeypatch.setattr(os, "fsync", fail_first_sync)
    with pytest.raises(OSError, match="Input/output"):
        replace_file(path, b"new")
    assert path.read_bytes() == b"old"
    open_temporary = (tmp_path / "state.half").open(
        "rb"
    )  # so that the next file cannot reuse its inode number
    replace_file(path, b"new")
    open_temporary.close()
    assert path.read_bytes() == b"new" and synced_inodes[1] != synced_inodes[0]


def test_an_append_of_no_bytes_creates_an_empty_file(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    folder.append("state", b"")
    folder.replace("state", "other")
    assert folder.names() == ["other"]
