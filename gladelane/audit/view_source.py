"""Builds a director's current view from the components that hold its parts."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ..control_plane.positions import format_vector
from ..net.director import Director
from ..purges.subscription import PurgeSubscription
from ..routing.events import Settings
from .digests import program_digest, settings_digest
from .options import AuditOptions
from .view import View, list_digest


class _SettingsDigest(NamedTuple):
    settings: Settings
    digest: str


class _ListDigest(NamedTuple):
    rev: int
    digest: str


class ViewSource:
    """The current view of one director. Digests are cached until their source changes, since the view is
    read after each event that may change it."""

    def __init__(
        self, options: AuditOptions, director: Director, purges: PurgeSubscription, clock: Callable[[], float]
    ) -> None:
        """`clock` returns Unix ms. Raises OSError if the program's files cannot be read."""
        self._list_source, self._director, self._purges = options.list_source, director, purges
        self._clock = clock
        self.operator = options.digest  # digest of the operator's file
        self._program = program_digest()
        self._settings = _SettingsDigest(director.settings, settings_digest(director.settings))
        self._list = _ListDigest(-1, "")

    def read(self) -> View:
        """The view as it is now."""
        director, active_purges = self._director, self._purges.active
        return View(
            list_source=self._list_source,
            rev=director.rev,
            list=self._current_list_digest(),
            out=tuple(sorted(director.register.out)),
            purges=format_vector(active_purges.positions.vector()),
            low_watermark_ms=active_purges.low_watermark_ms(self._clock()),
            settings=self._current_settings_digest(),
            operator=self.operator,
            program=self._program,
        )

    def _current_settings_digest(self) -> str:
        settings = self._director.settings
        if self._settings.settings is not settings:
            self._settings = _SettingsDigest(settings, settings_digest(settings))
        return self._settings.digest

    def _current_list_digest(self) -> str:
        director = self._director
        if self._list.rev != director.rev:
            servers = {
                name: (instance.host_port, member.state.name, member.started_at_ms)
                for name, (instance, member) in director.known_endpoints().items()
            }
            self._list = _ListDigest(director.rev, list_digest(servers))
        return self._list.digest
