"""The durable folder of a director: learnt state, written every few seconds off the serving path, and the log
of idempotency keys. What may be used of it is decided in `warm_start` and `routing.idempotency`.

Learnt state is stored as a snapshot of a write-ahead log and synced in a thread.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

import msgspec

from ..hot_restart.learned_state import take_snapshot
from ..routing.idempotency import KeyWindows, retention_for
from ..routing.router import Router
from ..storage.boot import BootMoment, boot_moment
from ..storage.files import Folder, rename_damaged_folder
from ..storage.log import MAX_RECORD_BYTES, CorruptLogError, WriteAheadLog, recover
from ..storage.outage import Outage
from .key_log import KeyLog
from .warm_start import (
    FORMAT,
    WarmStartDocument,
    apply_document,
    document_age_ms,
    reason_to_reject,
    settings_digest,
)

log = logging.getLogger(__name__)


class StateStore:
    """The folder of one director, open as long as the process runs."""

    def __init__(
        self,
        path: Path,
        name: str,
        router: Router,
        clock: Callable[[], float],
        every_ms: float,
        most_age_ms: float,
        moment: Callable[[], BootMoment] = boot_moment,
    ) -> None:
        """Opens the folder; a part of it whose content cannot be read is set aside. `name` is the director's,
        as in a hand-over. Raises OSError."""
        self._name, self._router, self._clock = name, router, clock
        self._every_ms, self._most_age_ms = every_ms, most_age_ms
        self._settings = settings_digest(router.settings)
        self._moment = moment
        self._stored: WarmStartDocument | None = None
        self._windows: KeyWindows | None = None
        self._most_keys = 0  # of the windows, while new keys may be admitted
        self.is_warm = False
        self._outage = Outage(log, "warm start: learnt state")
        path.mkdir(parents=True, exist_ok=True)
        self._open_learnt(path / "learnt")
        try:
            self._open_keys(path / "keys")
        except OSError:
            self._log.close()
            raise

    def _open_learnt(self, path: Path) -> None:
        try:
            self._log, self._stored = _read_log(path)
        except (CorruptLogError, msgspec.MsgspecError) as error:
            aside = rename_damaged_folder(path)
            log.warning("warm start: passed over, folder set aside as %s: %s", aside, error)
            self._log, self._stored = _read_log(path)

    def _open_keys(self, path: Path) -> None:
        retention_ms = retention_for(self._router.settings.classes.values())
        self._keys_disk = Folder(path)
        try:
            self.keys = KeyLog(self._keys_disk, self._clock, retention_ms, self._moment)
        except OSError:
            self._keys_disk.close()
            raise
        except msgspec.MsgspecError as error:
            self._keys_disk.close()
            aside = rename_damaged_folder(path)
            log.warning("warm start: keys passed over, folder set aside as %s: %s", aside, error)
            self._keys_disk = Folder(path)
            self.keys = KeyLog(self._keys_disk, self._clock, retention_ms, self._moment, was_unreadable=True)

    def take_over(self, windows: KeyWindows) -> None:
        """Restores what the folder holds; called once the router has its endpoint list, before any client is
        served."""
        windows.take_over(self.keys.found)
        self.follow(windows)
        document, self._stored = self._stored, None
        if document is None:
            log.info("warm start: nothing is kept, keys=%d", len(self.keys.found))
            return
        age_ms = document_age_ms(document, self._clock(), self._moment())
        reason = reason_to_reject(document, self._name, self._settings, age_ms, self._most_age_ms)
        reason = reason or apply_document(self._router, document, self._clock(), age_ms)
        if reason:
            log.warning("warm start: passed over: %s", reason)
            return
        self.is_warm = True
        log.info(
            "warm start: took stores=%d objects=%d keys=%d age_ms=%.0f",
            len(document.learned_state.stores),
            len(document.learned_state.objects),
            len(self.keys.found),
            age_ms,
        )

    def follow(self, windows: KeyWindows) -> None:
        """From here on each key is stored before its attempt begins."""
        self._windows, self._most_keys = windows, windows.max_keys
        windows.on_attempt = self._store_key
        self.watch_keys()

    def _store_key(self, key: str, at_ms: float, store: str) -> None:
        self.keys.write(key, at_ms, store)
        self._limit_keys()

    def watch_keys(self) -> None:
        """Called a few times a second: stores keys that could not be stored before."""
        self.keys.write_pending()
        self._limit_keys()

    def _limit_keys(self) -> None:
        """Rejects new keys while an unknown key may have been used, or would be unknown after a restart."""
        if self._windows is not None:
            must_reject = self.keys.is_incomplete or self.keys.would_lose_keys
            self._windows.max_keys = 0 if must_reject else self._most_keys

    async def run(self) -> None:
        """Writes learnt state every `every_ms` until cancelled."""
        while True:
            await asyncio.sleep(self._every_ms / 1000.0)
            await self.write()

    async def write(self) -> None:
        """Reads the learnt state in this loop; encodes and syncs it in a thread."""
        settings, moment = settings_digest(self._router.settings), self._moment()
        learnt = take_snapshot(self._router)
        document = WarmStartDocument(FORMAT, self._name, settings, self._clock(), learnt, *moment)
        try:
            await asyncio.to_thread(self._write, document)
        except (OSError, ValueError) as error:
            self._log.discard_uncommitted()
            self._outage.report_failure(error)
        else:
            self._outage.report_success()

    def _write(self, document: WarmStartDocument) -> None:
        data = msgspec.msgpack.encode(document)
        if len(data) > MAX_RECORD_BYTES:
            raise ValueError(f"{len(data)} bytes; expected {MAX_RECORD_BYTES} at most")
        # A snapshot is named after its record's number. Without a new record the new snapshot would replace
        # the only one that there is.
        self._log.append(b"")
        self._log.snapshot(data)

    def close(self) -> None:
        """Releases the folder for the next process."""
        self._log.close()
        self._keys_disk.close()


def _read_log(path: Path) -> tuple[WriteAheadLog, WarmStartDocument | None]:
    """Raises CorruptLogError, msgspec's errors and OSError, with the folder closed."""
    disk = Folder(path)
    try:
        opened, found = recover(disk)
        if found.snapshot is None:
            return opened, None
        return opened, msgspec.msgpack.decode(found.snapshot, type=WarmStartDocument)
    except BaseException:
        disk.close()
        raise
