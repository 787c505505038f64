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
    """Distinguishes one version of the file from the next without comparing clocks."""

    inode: int
    modified_ns: int


class HandoverFile:
    """The file of one folder. It is replaced atomically: a reader sees the old document or the new one."""

    def __init__(self, folder: str) -> None:
        self._path = Path(folder) / FILE_NAME
        self._outage = Outage(log, "upgrade: the hand-over")
        self._lock = threading.Lock()
        self._latest = 0  # the greatest number of a document that was written

    def write_numbered(self, number: int, document: Handover) -> bool:
        """As `write`, from any thread. A document is passed over where one of a greater number was written
        meanwhile."""
        with self._lock:
            if number < self._latest:
                return True
            is_written = self.write(document)
            if is_written:
                self._latest = number
            return is_written

    def write(self, document: Handover) -> bool:
        """Whether the document was written; failures are logged. It is not synced to the disk, since it has
        to outlive a process and not the machine."""
        temporary = self._path.with_name(f"{FILE_NAME}.{os.getpid()}")
        try:
            with open(temporary, "wb", opener=lambda name, flags: os.open(name, flags, FILE_MODE)) as file:
                file.write(encode(document))
            os.replace(temporary, self._path)
        except OSError as error:
            self._outage.report_failure(error)
            with suppress(OSError):
                os.unlink(temporary)  # the folder is often in memory
            return False
        self._outage.report_success()
        return True

    def read(self, name: str) -> Handover | None:
        """The document of the director `name`. None where there is none, or an unusable one, which is
        logged."""
        try:
            with open(self._path, "rb") as file:
                return decode(file.read(MAX_FILE_BYTES), name)
        except FileNotFoundError:
            return None
        except (OSError, HandoverError) as error:
            log.warning("upgrade: the hand-over is passed over: %s", error)
            return None

    def stamp(self) -> FileStamp | None:
        """The present version of the file; None where there is none or it cannot be examined."""
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return FileStamp(status.st_ino, status.st_mtime_ns)
