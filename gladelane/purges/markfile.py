"""A feed's mark: a small file on another disk than its folder, by which a start sees that the folder is
older than what was answered for. Decisions stand in `horizon`."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..durable.files import replace_file
from .horizon import Mark

MAX_BYTES = 4096


class BadMark(ValueError):
    """The file cannot be read as a mark."""


class MarkFile:
    def __init__(self, path: Path) -> None:
        self.path = path

    def read(self) -> Mark | None:
        """None where there is none yet. Raises BadMark and OSError."""
        try:
            with open(self.path, "rb") as file:
                return msgspec.json.decode(file.read(MAX_BYTES), type=Mark)
        except FileNotFoundError:
            return None
        except msgspec.MsgspecError as error:
            raise BadMark(f"{self.path}: {error}; expected a mark, or no file") from None

    def write(self, mark: Mark) -> None:
        """Raises OSError."""
        replace_file(self.path, msgspec.json.encode(mark))
