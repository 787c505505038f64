"""The checkpoint file of a purge log server: a small file on another disk than the server's folder.

It shows at a start whether the folder lacks purges that were acknowledged; `loss_detection` decides that.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..storage.files import replace_file
from .loss_detection import Checkpoint

MAX_BYTES = 4096


class InvalidCheckpointError(ValueError):
    """A file that does not contain a checkpoint.

    Attributes: path; reason, why it cannot be decoded."""

    def __init__(self, path: Path, reason: str) -> None:
        """The message contains both."""
        self.path, self.reason = path, reason
        super().__init__(f"{path}: {reason}; expected a mark, or no file")


class CheckpointFile:
    """Reads and replaces the checkpoint at a path."""

    def __init__(self, path: Path) -> None:
        """`path`: of the file, which need not exist yet."""
        self.path = path

    def read(self) -> Checkpoint | None:
        """Reads the checkpoint, or returns None if there is no file yet. Raises InvalidCheckpointError and
        OSError."""
        try:
            with open(self.path, "rb") as file:
                return msgspec.json.decode(file.read(MAX_BYTES), type=Checkpoint)
        except FileNotFoundError:
            return None
        except msgspec.MsgspecError as error:
            raise InvalidCheckpointError(self.path, str(error)) from None

    def write(self, checkpoint: Checkpoint) -> None:
        """Replaces the file atomically. Raises OSError."""
        replace_file(self.path, msgspec.json.encode(checkpoint))
