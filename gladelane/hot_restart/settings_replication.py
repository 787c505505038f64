"""Replication of settings between the processes of one director.

A file that one process has read binds the others as well: clients that use it may send requests to either.
The settings of the file that a process has in use bind the others for as long as it runs, which it shows by
sending them periodically (a lease); those of a file before it bind until a fixed time.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from ..admin.live_settings import TRANSITION_MS
from ..admin.settings_changes import SettingsChanges
from ..clock import Clock
from ..routing.events import Settings
from .channel import Channel
from .decoding import HandoverError
from .handover import StoredSettings
from .messages import FILES_READ, SETTINGS_BIND, UPDATE, Message
from .shared_settings import decode_settings, encode_settings

log = logging.getLogger(__name__)

RENEW_MS = 500.0  # interval between two renewals of the lease, which lasts for TRANSITION_MS


class SettingsReplication:
    """Sends what binds this process to its peers, and makes binding what they send. Times are ms of the local
    clock."""

    def __init__(
        self, channel: Channel, clock: Clock, changes: SettingsChanges, read_files: Callable[[], object]
    ) -> None:
        """`read_files` reads the configuration files of this process again."""
        self._channel = channel
        self._clock = clock
        self._changes = changes
        self._read_files = read_files

    # --- what this process tells

    def share_reload(self) -> None:
        """Tells the peers that this process has read its files because of a signal, which is meant for all
        processes of the director."""
        for message in (*self.messages(), Message(UPDATE, operation=FILES_READ)):
            self._channel.broadcast(message)

    def renew(self) -> None:
        """Renews the lease of the settings in use. To be called each RENEW_MS."""
        if self._channel.peer_count:
            self._channel.broadcast(self._in_use_message())

    def messages(self) -> tuple[Message, ...]:
        """Messages with everything that binds this process."""
        others = (self._message(other.settings, other.until_ms) for other in self._changes.others())
        return (*others, self._in_use_message())

    def stored(self) -> list[StoredSettings]:
        """Everything that binds this process, for the handover document."""
        stored = [
            StoredSettings(encode_settings(other.settings), other.until_ms)
            for other in self._changes.others()
        ]
        return [*stored, StoredSettings(encode_settings(self._changes.in_use), 0.0)]

    def _in_use_message(self) -> Message:
        return self._message(self._changes.in_use, self._clock.now() + TRANSITION_MS)

    def _message(self, settings: Settings, until_ms: float) -> Message:
        shared = self._clock.shared_clock()
        return Message(
            UPDATE,
            operation=SETTINGS_BIND,
            settings=encode_settings(settings).decode(),
            at_ms=float(self._clock.date(until_ms, shared)),
            boot_id=shared.boot_id,
            zero_ms=shared.zero_ms,
        )

    # --- what this process is told

    def receive(self, message: Message) -> None:
        """Applies a message about settings."""
        if message.operation == FILES_READ:
            self._read_files()
            return
        shift_ms = self._clock.shift_from(message.clock)
        latest_ms = self._clock.now() + TRANSITION_MS
        self._bind(message.settings.encode(), message.at_ms + shift_ms if shift_ms is not None else latest_ms)

    def take_over(
        self, stored: Iterable[StoredSettings], has_valid_times: bool, is_writer_running: bool
    ) -> None:
        """Makes binding what a predecessor has stored. The settings that it had in use bind if it is still
        running; otherwise it is unknown when they were replaced, and only those before them have an end."""
        latest_ms = self._clock.now() + TRANSITION_MS
        for settings in stored:
            if settings.until_ms or is_writer_running:
                is_dated = settings.until_ms and has_valid_times
                self._bind(settings.data, settings.until_ms if is_dated else latest_ms)

    def _bind(self, data: bytes, until_ms: float) -> None:
        if until_ms <= self._clock.now():
            return
        try:
            settings = decode_settings(data, self._changes.in_use)
        except HandoverError as error:
            log.warning("upgrade: settings of the other process are not understood: %s", error)
            return
        self._changes.bind(settings, until_ms)
