"""The handover document as a file in the folder that the processes of a director share."""

from __future__ import annotations

import logging
import os
import threading
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from ..storage.outage import Outage
from .decoding import HandoverError
from .handover import Handover, decode, encode

log = logging.getLogger(__name__)

FILE_NAME = "gladelane.handover"
FILE_MODE = 0o600
MAX_FILE_BYTES = 8_000_000


class FileStamp(NamedTuple):
    """Identifies one version of the file, so that versions are told apart without comparing clocks."""

    inode: int
    modified_ns: int


class HandoverFile:
    """The handover file of one folder, replaced atomically: readers see the old document or the new one."""

    def __init__(self, folder: str) -> None:
        self._path = Path(folder) / FILE_NAME
        self._outage = Outage(log, "upgrade: the hand-over")
        self._lock = threading.Lock()
        self._latest_number = 0  # the highest number of a document that was written

    def write_numbered(self, number: int, document: Handover) -> bool:
        """Does the same as `write`, from any thread. Skips a document if one with a higher number was written
        in the meantime, and then also returns true."""
        with self._lock:
            if number < self._latest_number:
                return True
            is_written = self.write(document)
            if is_written:
                self._latest_number = number
            return is_written

    def write(self, document: Handover) -> bool:
        """Writes the document and returns whether that succeeded; failures are logged. The file is not synced
        to the disk, since it has to outlive a process and not the machine."""
        temporary = self._path.with_name(f"{FILE_NAME}.{os.getpid()}")
        try:
            with open(temporary, "wb", opener=lambda name, flags: os.open(name, flags, FILE_MODE)) as file:
                file.write(encode(document))
            os.replace(temporary, self._path)
        except OSError as error:
            self._outage.report_failure(error)
            with suppress(OSError):
                os.unlink(temporary)  # a partial file takes space, often in memory (tmpfs)
            return False
        self._outage.report_success()
        return True

    def read(self, name: str) -> Handover | None:
        """Returns the document of the director `name`, or None if there is none or it is unusable; the latter
        is logged."""
        try:
            with open(self._path, "rb") as file:
                return decode(file.read(MAX_FILE_BYTES), name)
        except FileNotFoundError:
            return None
        except (OSError, HandoverError) as error:
            log.warning("upgrade: the hand-over is ignored: %s", error)
            return None

    def stamp(self) -> FileStamp | None:
        """Returns the current version of the file, or None if there is no file or it cannot be examined."""
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return FileStamp(status.st_ino, status.st_mtime_ns)
