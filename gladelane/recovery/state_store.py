"""The lasting folder of a director: what it learnt, every few seconds and off the serving path, and the keys
that it is about to try, each before its first byte. What is taken of it is decided in `warm` and
`routes/keys.py`.

Learnt things go through the log's snapshots, synced in a thread. Keys are appended unsynced: that outlives a
killed process, not a power cut, and costs one write; two files take turns, since a key matters for seconds
only."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path

import msgspec

from ..choice import Router
from ..durable.files import Disk, Folder, set_aside
from ..durable.log import MOST_RECORD, Damaged, Log, encode_record, record_at, recover
from ..routes.keys import KeyWindows, kept_for
from ..upgrade.learnt import take_snapshot
from .warm import FORMAT, Warm, apply, digest, unfit

log = logging.getLogger(__name__)

KEY_FILES = ("keys-0", "keys-1")


class Tried(msgspec.Struct, array_like=True):
    key: str
    at_ms: float
    store: str


class KeyLog:
    """Which keys may have run, where and when. `kept_ms`: as in KeyWindows."""

    def __init__(self, disk: Disk, now_ms: float, kept_ms: float) -> None:
        """Reads what is there. Raises OSError."""
        self._kept_ms = kept_ms
        self._disk = disk
        self.found: dict[str, list[tuple[float, str]]] = {}
        self._number = 0
        self._turned_ms = now_ms
        self._failed = False
        self._whole = 0  # bytes of the present file, up to the end of its last whole record
        for name in KEY_FILES:
            if name in disk.names():
                self._read(disk.read(name), now_ms)
                disk.truncate(name, 0)
        for key, tried in list(self.found.items()):  # one file from here on has all that still counts
            for at_ms, store in tried:
                self._append(Tried(key, at_ms, store))

    def _read(self, data: bytes, now_ms: float) -> None:
        at = 0
        while (record := record_at(data, at)) is not None:  # ends before a torn one, whose byte never left
            at += len(encode_record(record[0], record[1]))
            tried: Tried = msgspec.msgpack.decode(record[1], type=Tried)
            if now_ms - self._kept_ms <= tried.at_ms <= now_ms + self._kept_ms:
                self.found.setdefault(tried.key, []).append((tried.at_ms, tried.store))

    def write(self, key: str, at_ms: float, store: str) -> None:
        if at_ms - self._turned_ms >= 2 * self._kept_ms:  # the other file is begun anew
            self._turned_ms = at_ms
            self._number = 1 - self._number
            self._whole = 0
            try:
                if KEY_FILES[self._number] in self._disk.names():
                    self._disk.truncate(KEY_FILES[self._number], 0)
            except OSError as error:
                log.warning("keys: %s", error)
        self._append(Tried(key, at_ms, store))

    def _append(self, tried: Tried) -> None:
        record = encode_record(0, msgspec.msgpack.encode(tried))
        name = KEY_FILES[self._number]
        try:
            if self._failed:  # half a record would hide those behind it
                self._disk.truncate(name, self._whole)
            self._disk.append(name, record)
            self._failed = False
            self._whole += len(record)
        except OSError as error:
            if not self._failed:  # once a failure: the request goes on, a restart would not know its key
                log.error("keys not stored: %s", error)
            self._failed = True


class StateStore:
    """One director's. `name`: as in the hand-over."""

    def __init__(
        self,
        path: Path,
        name: str,
        router: Router,
        clock: Callable[[], float],
        every_ms: float,
        most_age_ms: float,
    ) -> None:
        """Opens the folder; one whose content cannot be read is set aside. Raises OSError."""
        self._name, self._router, self._clock = name, router, clock
        self._every_ms, self._most_age_ms = every_ms, most_age_ms
        self._settings = digest(router.settings)
        self._told: Warm | None = None
        self.took = False
        path.mkdir(parents=True, exist_ok=True)
        try:
            self._open(path)
        except (Damaged, msgspec.MsgspecError) as error:
            self._disk.close()
            aside = set_aside(path / "learnt")
            log.warning("warm start: passed over, folder set aside as %s: %s", aside, error)
            self._open(path)
        self._keys_disk = Folder(path / "keys")
        kept_ms = kept_for(router.settings.classes.values())
        try:
            self.keys = KeyLog(self._keys_disk, clock(), kept_ms)
        except (OSError, msgspec.MsgspecError) as error:
            self._keys_disk.close()
            aside = set_aside(path / "keys")
            log.warning("warm start: keys passed over, folder set aside as %s: %s", aside, error)
            self._keys_disk = Folder(path / "keys")
            self.keys = KeyLog(self._keys_disk, clock(), kept_ms)

    def _open(self, path: Path) -> None:
        self._disk = Folder(path / "learnt")
        self._log: Log
        self._log, found = recover(self._disk)
        if found.snapshot is not None:
            self._told = msgspec.msgpack.decode(found.snapshot, type=Warm)

    def take_over(self, keys: KeyWindows) -> None:
        """Once the router has heard its list, and before anybody is served."""
        keys.take_over(self.keys.found)
        told, self._told = self._told, None
        if told is None:
            log.info("warm start: nothing is kept, keys=%d", len(self.keys.found))
            return
        now = self._clock()
        why = unfit(told, self._name, self._settings, now, self._most_age_ms)
        why = why or apply(self._router, told, now)
        if why:
            log.warning("warm start: passed over: %s", why)
            return
        self.took = True
        log.info(
            "warm start: took stores=%d objects=%d keys=%d age_ms=%.0f",
            len(told.learnt.stores),
            len(told.learnt.objects),
            len(self.keys.found),
            now - told.written_ms,
        )

    async def run(self) -> None:
        while True:
            await asyncio.sleep(self._every_ms / 1000.0)
            try:
                await self.write()
            except (OSError, ValueError) as error:
                log.warning("warm start: not stored: %s", error)

    async def write(self) -> None:
        """Looked at in this loop, encoded and synced in a thread. Raises OSError."""
        settings = digest(self._router.settings)
        document = Warm(FORMAT, self._name, settings, self._clock(), take_snapshot(self._router))
        await asyncio.to_thread(self._write, document)

    def _write(self, document: Warm) -> None:
        data = msgspec.msgpack.encode(document)
        if len(data) > MOST_RECORD:
            raise ValueError(f"{len(data)} bytes; expected {MOST_RECORD} at most")
        # a snapshot stands at a record's number: one that stays the same would be replaced while it is the
        # only one
        self._log.append(b"")
        self._log.snapshot(data)

    def close(self) -> None:
        self._log.close()
        self._keys_disk.close()
