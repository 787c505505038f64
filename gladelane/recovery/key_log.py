"""The log of idempotency keys that a director is about to use, each stored before the first byte of its
attempt.

Records are appended without a sync: they outlive a killed process but not a power cut, and cost one write
each. Two files take turns, since a key matters for seconds only. While the disk accepts no writes, requests
go on and records wait in memory; a marker (an empty file, renamed in place, which needs no disk space) says
that the folder is incomplete. A process that starts with such a folder rejects new keys for as long as an
unknown key may matter. Where not even the marker can be set, the running process rejects new keys.

A record holds a reading of the clock that counts from the machine's boot, so steps of the wall clock do not
move it. Where that reading can't be used (another boot, a file of an older version), the attempt is taken as
one that may have run at any time: past its window, for as long as it may matter.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

import msgspec

from ..storage.boot import BootMoment, boot_moment
from ..storage.files import Disk
from ..storage.log import decode_record, encode_record
from ..storage.outage import Outage

log = logging.getLogger(__name__)

KEY_FILES = ("keys-0", "keys-1")
COMPLETE_MARKER, INCOMPLETE_MARKER = "whole", "lacks"  # names of the marker file


class KeyedAttempt(msgspec.Struct, array_like=True):
    """The stored form of one attempt; fields are stored by their position."""

    key: str
    at_ms: float  # Unix ms, by the process's clock
    store: str
    boot: str = ""  # with since_ms: the same moment as a BootMoment
    since_ms: float = 0.0


class _PendingRecord(NamedTuple):
    """An encoded attempt that is not in the files yet."""

    at_ms: float
    record: bytes


class KeyLog:
    """Which keys may have been used, where and when.

    `found` holds the attempts that earlier processes left, by key, as moments of this process's clock and ids
    of servers."""

    def __init__(
        self,
        disk: Disk,
        clock: Callable[[], float],
        retention_ms: float,
        moment: Callable[[], BootMoment] = boot_moment,
        was_unreadable: bool = False,
    ) -> None:
        """Reads the folder. `retention_ms` is how long a key matters. `was_unreadable`: an earlier folder
        could not be read, so attempts may be unknown. Raises OSError where reading fails; what cannot be
        written now is written later."""
        self._disk, self._clock, self._retention_ms, self._moment = disk, clock, retention_ms, moment
        self.found: dict[str, list[tuple[float, str]]] = {}
        self._outage = Outage(log, "keys")
        self._pending: deque[_PendingRecord] = deque()
        self._needs_rewrite = True  # the pending records are to replace all that the files hold
        self._file_index = 0
        self._rotated_ms = clock()
        self._intact_bytes = 0  # of the current file, up to the end of its last complete record
        self._is_torn = False  # the current file may end in half a record
        names = disk.names()
        self._marker = next(
            (marker for marker in (INCOMPLETE_MARKER, COMPLETE_MARKER) if marker in names), ""
        )
        is_incomplete = was_unreadable or self._marker == INCOMPLETE_MARKER
        self._incomplete_until_ms = clock() + retention_ms if is_incomplete else 0.0
        for name in KEY_FILES:
            if name in names:
                self._read(disk.read(name))
        for key, attempts in self.found.items():
            for at_ms, store in attempts:
                self._enqueue(key, at_ms, store)
        self._flush()

    @property
    def is_incomplete(self) -> bool:
        """Whether an unknown key may have been used before the start."""
        return self._clock() < self._incomplete_until_ms

    @property
    def would_lose_keys(self) -> bool:
        """Whether a key used now would be unknown after a restart, with no marker that says so."""
        return self._outage.is_ongoing and self._marker != INCOMPLETE_MARKER

    def write(self, key: str, at_ms: float, store: str) -> None:
        """Records an attempt that is about to begin. Never raises: see `would_lose_keys`."""
        self._enqueue(key, at_ms, store)
        self._flush()

    def write_pending(self) -> None:
        """Retries what could not be written, without waiting for the next key."""
        if self._pending or self._needs_rewrite or self._marker != COMPLETE_MARKER:
            self._flush()

    def _read(self, data: bytes) -> None:
        """Collects attempts up to a torn record, whose attempt never began."""
        offset, now_ms, now = 0, self._clock(), self._moment()
        while (record := decode_record(data, offset)) is not None:
            offset += len(encode_record(record[0], record[1]))
            attempt: KeyedAttempt = msgspec.msgpack.decode(record[1], type=KeyedAttempt)
            age_ms = BootMoment(attempt.boot, attempt.since_ms).age_ms(now)
            if age_ms is None:
                self._add_found(attempt, now_ms - self._retention_ms)
                self._add_found(attempt, now_ms)
            elif age_ms <= self._retention_ms:
                self._add_found(attempt, now_ms - age_ms)

    def _add_found(self, attempt: KeyedAttempt, at_ms: float) -> None:
        self.found.setdefault(attempt.key, []).append((at_ms, attempt.store))

    def _enqueue(self, key: str, at_ms: float, store: str) -> None:
        now = self._moment()
        since_ms = now.since_ms - (self._clock() - at_ms)
        data = msgspec.msgpack.encode(KeyedAttempt(key, at_ms, store, now.boot, since_ms))
        self._pending.append(_PendingRecord(at_ms, encode_record(0, data)))

    def _flush(self) -> None:
        try:
            if self._needs_rewrite:
                self._rewrite()
            elif self._pending:
                self._append()
        except OSError as error:
            self._outage.report_failure(error)
            self._drop_expired()
            self._set_marker(INCOMPLETE_MARKER)
        else:
            self._outage.report_success()
            if not self.is_incomplete:
                self._set_marker(COMPLETE_MARKER)

    def _append(self) -> None:
        self._rotate()
        name, data = KEY_FILES[self._file_index], self._pending_bytes()
        if self._is_torn:  # half a record would hide those behind it
            self._disk.truncate(name, self._intact_bytes)
        self._is_torn = True
        self._disk.append(name, data)
        self._is_torn = False
        self._intact_bytes += len(data)
        self._pending.clear()

    def _rewrite(self) -> None:
        """Writes one file with all that counts. A crash on the way leaves the old files."""
        first, second = KEY_FILES
        temporary, data = f"{first}.half", self._pending_bytes()
        with suppress(FileNotFoundError):
            self._disk.remove(temporary)
        try:
            self._disk.append(temporary, data)
        except OSError:
            with suppress(OSError):
                self._disk.remove(temporary)  # it would only take disk space
            raise
        self._disk.replace(temporary, first)
        with suppress(OSError):  # if it stays, its records are read again, and none of them is wrong
            if second in self._disk.names():
                self._disk.truncate(second, 0)
        self._needs_rewrite = self._is_torn = False
        self._file_index, self._intact_bytes = 0, len(data)
        self._pending.clear()

    def _rotate(self) -> None:
        """Switches to the other file once all records in it have expired."""
        if self._clock() - self._rotated_ms < 2 * self._retention_ms:
            return
        other = 1 - self._file_index
        if KEY_FILES[other] in self._disk.names():
            self._disk.truncate(KEY_FILES[other], 0)
        self._rotated_ms, self._file_index = self._clock(), other
        self._intact_bytes, self._is_torn = 0, False

    def _pending_bytes(self) -> bytes:
        return b"".join(pending.record for pending in self._pending)

    def _drop_expired(self) -> None:
        """The latest record stays: writing it shows whether the disk accepts writes again."""
        expired_ms = self._clock() - self._retention_ms
        while len(self._pending) > 1 and self._pending[0].at_ms < expired_ms:
            self._pending.popleft()

    def _set_marker(self, marker: str) -> None:
        if self._marker == marker:
            return
        with suppress(OSError):  # the next flush retries
            if self._marker:
                self._disk.replace(self._marker, marker)
            else:
                self._disk.append(marker, b"")
            self._marker = marker
