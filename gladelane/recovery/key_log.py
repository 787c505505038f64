"""The log of idempotency keys that a director uses. Each key is stored before the first byte of its attempt
is sent.

Records are appended without a sync: they survive a killed process but not a power cut, and cost one write
each. Two files are used alternately, because a key only matters for seconds. While the disk accepts no
writes, requests are still served and records wait in memory. A marker (an empty file, renamed in place, which
needs no disk space) then says that the folder is incomplete. A process that starts with such a folder rejects
new keys for as long as an unknown key may matter. If even the marker cannot be set, the running process
rejects new keys.

A record contains the time since the machine's boot, so steps of the wall clock do not affect it. If that time
cannot be used (after a reboot, or in a file of an older version), the attempt counts as one that may have run
at any time: it is past its window, and it is remembered for the full retention.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

import msgspec

from ..storage.boot import BootTimestamp, read_boot_clock
from ..storage.files import Disk
from ..storage.log import decode_record, encode_record
from ..storage.outage import Outage

log = logging.getLogger(__name__)

KEY_FILES = ("keys-0", "keys-1")
COMPLETE_MARKER, INCOMPLETE_MARKER = "whole", "lacks"  # stored names of the marker file


class KeyedAttempt(msgspec.Struct, array_like=True):
    """The stored form of one attempt; fields are stored by their position."""

    key: str
    at_ms: float  # Unix ms, by the process's clock
    store: str
    boot: str = ""  # with `since_boot_ms`: the same time as a BootTimestamp
    since_boot_ms: float = 0.0


class _PendingRecord(NamedTuple):
    """An encoded attempt that is not in the files yet."""

    at_ms: float
    record: bytes


class KeyLog:
    """Records which keys may have been used, when, and at which servers.

    `recovered_attempts` has the attempts of earlier processes by key: pairs of the time by this process's
    clock and the server's id."""

    def __init__(
        self,
        disk: Disk,
        clock: Callable[[], float],
        retention_ms: float,
        boot_clock: Callable[[], BootTimestamp] = read_boot_clock,
        was_unreadable: bool = False,
    ) -> None:
        """Reads the folder. `retention_ms` is how long a key matters. `boot_clock` gives the time since the
        machine's boot. `was_unreadable`: the earlier folder was damaged, so attempts may be unknown.

        Raises OSError if reading fails. A failed write is tried again later."""
        self._disk, self._clock, self._retention_ms, self._boot_clock = disk, clock, retention_ms, boot_clock
        self.recovered_attempts: dict[str, list[tuple[float, str]]] = {}
        self._outage = Outage(log, "idempotency keys")
        self._pending: deque[_PendingRecord] = deque()
        self._needs_rewrite = True  # the pending records are to replace the content of both files
        self._file_index = 0
        self._rotated_ms = clock()
        self._intact_bytes = 0  # of the current file, up to the end of its last complete record
        self._is_torn = False  # the current file may end in an incomplete record
        names = disk.names()
        self._marker = next(
            (marker for marker in (INCOMPLETE_MARKER, COMPLETE_MARKER) if marker in names), ""
        )
        is_incomplete = was_unreadable or self._marker == INCOMPLETE_MARKER
        self._incomplete_until_ms = clock() + retention_ms if is_incomplete else 0.0
        for name in KEY_FILES:
            if name in names:
                self._read(disk.read(name))
        for key, attempts in self.recovered_attempts.items():
            for at_ms, store in attempts:
                self._enqueue(key, at_ms, store)
        self._flush()

    @property
    def is_incomplete(self) -> bool:
        """Whether a key that may still matter could have been used by an earlier process and be unknown."""
        return self._clock() < self._incomplete_until_ms

    @property
    def would_lose_keys(self) -> bool:
        """Whether a key used now would be unknown after a restart, without a marker that tells so."""
        return self._outage.is_ongoing and self._marker != INCOMPLETE_MARKER

    def extend_retention(self, retention_ms: float) -> None:
        """Keeps keys for at least this long from now on, since new settings may have longer windows."""
        self._retention_ms = max(self._retention_ms, retention_ms)

    def write(self, key: str, at_ms: float, store: str) -> None:
        """Records an attempt that is about to begin. It does not raise if the write fails: see
        `would_lose_keys`."""
        self._enqueue(key, at_ms, store)
        self._flush()

    def write_pending(self) -> None:
        """Retries failed writes without waiting for the next key."""
        if self._pending or self._needs_rewrite or self._marker != COMPLETE_MARKER:
            self._flush()

    def _read(self, data: bytes) -> None:
        """Collects attempts up to the first torn record. The attempt of a torn record was never sent."""
        offset, now_ms, now = 0, self._clock(), self._boot_clock()
        while (record := decode_record(data, offset)) is not None:
            offset += len(encode_record(record[0], record[1]))
            attempt: KeyedAttempt = msgspec.msgpack.decode(record[1], type=KeyedAttempt)
            age_ms = BootTimestamp(attempt.boot, attempt.since_boot_ms).age_ms(now)
            if age_ms is None:
                self._add_recovered(attempt, now_ms - self._retention_ms)
                self._add_recovered(attempt, now_ms)
            elif age_ms <= self._retention_ms:
                self._add_recovered(attempt, now_ms - age_ms)

    def _add_recovered(self, attempt: KeyedAttempt, at_ms: float) -> None:
        self.recovered_attempts.setdefault(attempt.key, []).append((at_ms, attempt.store))

    def _enqueue(self, key: str, at_ms: float, store: str) -> None:
        now = self._boot_clock()
        since_boot_ms = now.since_boot_ms - (self._clock() - at_ms)
        data = msgspec.msgpack.encode(KeyedAttempt(key, at_ms, store, now.boot, since_boot_ms))
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
        if self._is_torn:  # reading stops at an incomplete record, so later records would be lost
            self._disk.truncate(name, self._intact_bytes)
        self._is_torn = True
        self._disk.append(name, data)
        self._is_torn = False
        self._intact_bytes += len(data)
        self._pending.clear()

    def _rewrite(self) -> None:
        """Replaces both files by one with the pending records. A crash before the rename leaves the old
        files."""
        first, second = KEY_FILES
        temporary, data = f"{first}.half", self._pending_bytes()
        with suppress(FileNotFoundError):
            self._disk.remove(temporary)
        try:
            self._disk.append(temporary, data)
        except OSError:
            with suppress(OSError):
                self._disk.remove(temporary)  # to free its disk space
            raise
        self._disk.replace(temporary, first)
        with suppress(OSError):  # if this fails, a restart reads the same attempts twice, which does no harm
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
        """Drops pending records that no longer matter, except the latest: writing that one shows whether the
        disk accepts writes again."""
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
