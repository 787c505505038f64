"""Feeds a director's activity log: starts a new interval whenever the director's view changes."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..net.director import Director
from .activity_log import ActivityInterval, ActivityLog, ClassTotals
from .options import AuditOptions
from .view import View, view_id
from .view_source import ViewSource


class ActivityRecorder:
    """The activity log of the running process, and the views that its intervals refer to."""

    def __init__(
        self,
        options: AuditOptions,
        name: str,
        start: int,
        director: Director,
        source: ViewSource,
        clock: Callable[[], float],
    ) -> None:
        """`name` is the director's name, `start` the number of this process. `clock` returns Unix ms."""
        self._director, self._source, self._clock = director, source, clock
        self.view = source.read()
        self.view_id = view_id(self.view)
        self._views = {self.view_id: self.view}
        value_by_class = {cls: spec.worth for cls, spec in director.settings.classes.items()}
        self.log = ActivityLog(name, start, self.view_id, value_by_class, clock(), options.log_bytes)

    def refresh_view(self) -> None:
        """Begins a new interval if the view has changed."""
        view = self._source.read()
        if view == self.view:
            return
        self.view, self.view_id = view, view_id(view)
        self._views[self.view_id] = view
        self.log.close_interval(self.view_id, self._totals(), self._clock())

    def stop(self) -> None:
        """Closes the last interval at the end of the process."""
        self.log.close_interval(self.view_id, self._totals(), self._clock(), "stopped")

    def checkpoint(self) -> ActivityInterval:
        """The open interval as it is now."""
        return self.log.checkpoint(self._totals(), self._clock())

    def views_of(self, intervals: Iterable[ActivityInterval]) -> dict[str, View]:
        """The views to which `intervals` refer, by id, as far as they are known."""
        # a dict, since the order must not vary
        view_ids = dict.fromkeys(interval.view for interval in intervals)
        return {name: self._views[name] for name in view_ids if name in self._views}

    def all_views(self) -> dict[str, View]:
        """All known views, by id."""
        return dict(self._views)

    def drop_unused_views(self) -> None:
        """Drops the views to which no interval refers any more."""
        used = {interval.view for interval in self.log.intervals()} | {self.view_id}
        self._views = {name: view for name, view in self._views.items() if name in used}

    def _totals(self) -> ClassTotals:
        return self._director.metrics.classes
