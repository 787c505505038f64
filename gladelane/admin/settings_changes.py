"""Applies the settings that bind to a director, while they change."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from ..routing.events import Settings
from .binding_settings import BindingSettings, OtherSettings
from .live_settings import describe_changes

log = logging.getLogger("gladelane")


class ConfiguredDirector(Protocol):
    """The part of a director that settings are applied to."""

    settings: Settings

    def retune(self, settings: Settings) -> None:
        """Changes the settings for new requests."""


class Timer(Protocol):
    """A callback that was scheduled."""

    def cancel(self) -> None:
        """Prevents the callback."""


class SettingsChanges:
    """Keeps a director at the settings in force. Times are ms of `clock`."""

    def __init__(
        self,
        in_use: Settings,
        director: ConfiguredDirector,
        clock: Callable[[], float],
        schedule: Callable[[float, Callable[[], None]], Timer],
    ) -> None:
        """`schedule` runs a callback at a time."""
        self._binding = BindingSettings(in_use)
        self._director = director
        self._clock = clock
        self._schedule = schedule
        self._timer: Timer | None = None

    @property
    def in_use(self) -> Settings:
        """The settings of the file in use."""
        return self._binding.in_use

    def others(self) -> list[OtherSettings]:
        """The other settings that bind now."""
        return self._binding.others(self._clock())

    def replace_in_use(self, settings: Settings) -> None:
        """Takes the settings of a new file into use. Clients switch to them a little later; until then,
        requests that conform to either are accepted."""
        log.info("reloaded settings: %s", "; ".join(describe_changes(self.in_use, settings)))
        self._binding.replace_in_use(settings, self._clock())
        self._apply()

    def bind(self, settings: Settings, until_ms: float) -> None:
        """Makes settings that another process of this director has, or had, bind here until `until_ms`."""
        is_new = settings not in (self.in_use, *(other.settings for other in self.others()))
        self._binding.bind(settings, until_ms, self._clock())
        if is_new:
            changes = describe_changes(self.in_use, settings)
            log.info("settings of another process bind as well: %s", "; ".join(changes))
        self._apply()

    def _apply(self) -> None:
        now = self._clock()
        settings = self._binding.in_force(now)
        if settings != self._director.settings:
            self._director.retune(settings)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        end_ms = self._binding.next_end_ms(now)
        if end_ms is not None:
            self._timer = self._schedule(end_ms, self._apply)
