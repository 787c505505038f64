"""All settings that bind a director: those of its file, and others that some clients may still use. Pure.

A file binds its director from the moment it is read. The file before it goes on to bind for TRANSITION_MS,
since clients use it until then. Two processes of one director may have read different files; what binds one
of them binds the other too. All times are ms of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from ..routing.events import Settings
from .live_settings import LIVE_SETTINGS, TRANSITION_MS, transition_settings


@dataclass(frozen=True)
class OtherSettings:
    """Settings that are not those of the file in use, and bind until `until_ms`."""

    settings: Settings
    until_ms: float


class BindingSettings:
    """The settings of the file in use, and all others that bind. Only live settings of the others count."""

    def __init__(self, in_use: Settings) -> None:
        self._in_use = in_use
        self._others: list[OtherSettings] = []

    @property
    def in_use(self) -> Settings:
        """The settings of the file in use."""
        return self._in_use

    def replace_in_use(self, settings: Settings, now: float) -> None:
        """Takes a new file into use. The settings before it still bind for a while."""
        former, self._in_use = self._in_use, settings
        self.bind(former, now + TRANSITION_MS, now)

    def bind(self, settings: Settings, until_ms: float, now: float) -> None:
        """Makes settings bind until `until_ms`, but no longer than a former file does."""
        settings = self._with_live(settings)
        until_ms = min(until_ms, now + TRANSITION_MS)
        known = [other for other in self._others if other.settings == settings]
        until_ms = max([until_ms, *(other.until_ms for other in known)])
        self._others = [other for other in self._others if other not in known]
        self._others.append(OtherSettings(settings, until_ms))

    def others(self, now: float) -> list[OtherSettings]:
        """The other settings that bind at `now`, those that end first at the beginning."""
        self._others = [other for other in self._others if other.until_ms > now]
        return sorted(self._others, key=lambda other: other.until_ms)

    def in_force(self, now: float) -> Settings:
        """Settings that satisfy everything that binds at `now`."""
        settings = [self._with_live(other.settings) for other in self.others(now)]
        if not any(one != self._in_use for one in settings):
            return self._in_use
        combined = settings[0]
        for one in [*settings[1:], self._in_use]:
            combined = transition_settings(combined, one)
        return combined

    def next_end_ms(self, now: float) -> float | None:
        """When the next of the other settings stop to bind; None if there are none."""
        return min((other.until_ms for other in self.others(now)), default=None)

    def _with_live(self, settings: Settings) -> Settings:
        """The file's settings with the live ones of `settings`."""
        return replace(self._in_use, **{name: getattr(settings, name) for name in LIVE_SETTINGS})
