"""The durable folder of a director: learned state, written every few seconds in a worker thread, and the log
of idempotency keys.

`warm_start` and `routing.idempotency` decide what the next process uses of it. Learned state is stored as the
snapshot of a write-ahead log.
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
from ..storage.boot import BootTimestamp, read_boot_clock
from ..storage.files import Folder, rename_damaged_folder
from ..storage.log import MAX_RECORD_BYTES, CorruptLogError, WriteAheadLog, recover
from ..storage.outage import Outage
from ..worker_threads import run_in_thread
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
    """The durable folder of one director, open until `close`."""

    def __init__(
        self,
        path: Path,
        name: str,
        router: Router,
        clock: Callable[[], float],
        write_interval_ms: float,
        max_age_ms: float,
        boot_clock: Callable[[], BootTimestamp] = read_boot_clock,
    ) -> None:
        """Opens the folder. A subfolder whose content is damaged is renamed, and an empty one takes its
        place.

        `name` is the director's name as in a hand-over, `boot_clock` gives the time since the machine's boot.
        Raises OSError."""
        self._name, self._router, self._clock = name, router, clock
        self._every_ms, self._most_age_ms = write_interval_ms, max_age_ms
        self._settings = settings_digest(router.settings)
        self._boot_clock = boot_clock
        self._found_document: WarmStartDocument | None = None
        self._windows: KeyWindows | None = None
        self._configured_max_keys = 0  # the windows' `max_keys` while new keys are not rejected
        self.is_warm = False
        self._outage = Outage(log, "warm start: learned state")
        path.mkdir(parents=True, exist_ok=True)
        self._open_learned_state(path / "learnt")
        try:
            self._open_keys(path / "keys")
        except OSError:
            self._log.close()
            raise

    def _open_learned_state(self, path: Path) -> None:
        try:
            self._log, self._found_document = _read_log(path)
        except (CorruptLogError, msgspec.MsgspecError) as error:
            renamed = rename_damaged_folder(path)
            log.warning("warm start: learned state damaged, folder renamed to %s: %s", renamed, error)
            self._log, self._found_document = _read_log(path)

    def _open_keys(self, path: Path) -> None:
        retention_ms = retention_for(self._router.settings.classes.values())
        self._keys_folder = Folder(path)
        try:
            self.keys = KeyLog(self._keys_folder, self._clock, retention_ms, self._boot_clock)
        except OSError:
            self._keys_folder.close()
            raise
        except msgspec.MsgspecError as error:
            self._keys_folder.close()
            renamed = rename_damaged_folder(path)
            log.warning("warm start: keys damaged, folder renamed to %s: %s", renamed, error)
            self._keys_folder = Folder(path)
            self.keys = KeyLog(
                self._keys_folder, self._clock, retention_ms, self._boot_clock, was_unreadable=True
            )

    def restore(self, windows: KeyWindows) -> None:
        """Restores learned state and keys; called once the router has its endpoint list, before any client is
        served."""
        windows.take_over(self.keys.recovered_attempts)
        self.start_storing_keys(windows)
        document, self._found_document = self._found_document, None
        if document is None:
            log.info("warm start: no learned state stored, keys=%d", len(self.keys.recovered_attempts))
            return
        age_ms = document_age_ms(document, self._clock(), self._boot_clock())
        reason = reason_to_reject(document, self._name, self._settings, age_ms, self._most_age_ms)
        reason = reason or apply_document(self._router, document, self._clock(), age_ms)
        if reason:
            log.warning("warm start: learned state not used: %s", reason)
            return
        self.is_warm = True
        log.info(
            "warm start: learned state restored, stores=%d objects=%d keys=%d age_ms=%.0f",
            len(document.learned_state.stores),
            len(document.learned_state.objects),
            len(self.keys.recovered_attempts),
            age_ms,
        )

    def start_storing_keys(self, windows: KeyWindows) -> None:
        """From now on stores each key of the windows before its attempt begins."""
        self._windows, self._configured_max_keys = windows, windows.max_keys
        windows.on_attempt = self._store_key
        self.watch_keys()

    def _store_key(self, key: str, at_ms: float, store: str) -> None:
        if self._windows is not None:
            self.keys.extend_retention(self._windows.retention_ms)
        self.keys.write(key, at_ms, store)
        self._limit_keys()

    def watch_keys(self) -> None:
        """Stores keys that could not be stored before; called a few times a second."""
        self.keys.write_pending()
        self._limit_keys()

    def _limit_keys(self) -> None:
        """Makes the windows reject new keys while used keys may be unknown, or would be lost by a restart."""
        if self._windows is not None:
            must_reject = self.keys.is_incomplete or self.keys.would_lose_keys
            self._windows.max_keys = 0 if must_reject else self._configured_max_keys

    async def run(self) -> None:
        """Writes learned state every `write_interval_ms` until cancelled."""
        while True:
            await asyncio.sleep(self._every_ms / 1000.0)
            await self.write()

    async def write(self) -> None:
        """Takes a snapshot of the learned state in the event loop; encodes and syncs it in a worker
        thread."""
        settings, timestamp = settings_digest(self._router.settings), self._boot_clock()
        learned_state = take_snapshot(self._router)
        document = WarmStartDocument(FORMAT, self._name, settings, self._clock(), learned_state, *timestamp)
        try:
            await run_in_thread(self._write, document)
        except (OSError, ValueError) as error:
            self._log.discard_uncommitted()
            self._outage.report_failure(error)
        else:
            self._outage.report_success()

    def _write(self, document: WarmStartDocument) -> None:
        data = msgspec.msgpack.encode(document)
        if len(data) > MAX_RECORD_BYTES:
            raise ValueError(f"{len(data)} bytes; expected {MAX_RECORD_BYTES} at most")
        # A snapshot's file is named by the index of the next record. Without a new record the new snapshot
        # would overwrite the only existing one.
        self._log.append(b"")
        self._log.snapshot(data)

    def close(self) -> None:
        """Closes and unlocks the folder, so that the next process can open it."""
        self._log.close()
        self._keys_folder.close()


def _read_log(path: Path) -> tuple[WriteAheadLog, WarmStartDocument | None]:
    """Opens the log in a folder and decodes its snapshot, if it has one.

    Raises CorruptLogError, msgspec.MsgspecError and OSError, after closing the folder."""
    disk = Folder(path)
    try:
        opened, found = recover(disk)
        if found.snapshot is None:
            return opened, None
        return opened, msgspec.msgpack.decode(found.snapshot, type=WarmStartDocument)
    except BaseException:
        disk.close()
        raise
