"""Observes what the directors of a generated deployment write, for the monitors and the digest of a run."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from hashlib import blake2b
from typing import Any

from ..net.exchange import AnswerCode
from ..routing.events import Settings, Status
from .checks import Broken, Monitor, Reach
from .deployed_stores import Store, object_of
from .deployments import group_of
from .model.timeline import Timeline
from .virtual_sender import Sent


class WireObserver:
    """A `virtual_sender.Watcher` for all directors. `report` is called with each breach."""

    def __init__(
        self,
        settings: Settings,
        line: Timeline,
        stores: Mapping[str, Store],
        monitor: Monitor,
        reach: Reach,
        report: Callable[[Broken], None],
    ) -> None:
        self.settings, self.line, self.stores = settings, line, stores
        self.monitor, self.reach, self._report = monitor, reach, report
        self._digest = blake2b(digest_size=16)

    def written(self, sent: Sent) -> None:
        """A director wrote an attempt."""
        number, now = sent.attempt.exchange.request.id, self.line.now
        self._trace("sent", sent.director, number, sent.attempt.number, sent.store, sent.source)
        source = self.stores[sent.source].member if sent.source else None
        self.reach.sent(sent.director, sent.zone, self.stores[sent.store].member, source, now)
        self.monitor.sent(sent.director, number, sent.attempt.number, sent.store, sent.source, now)

    def ended(self, sent: Sent, status: Status, dated_ms: float | None) -> None:
        """A written attempt ended."""
        number, object_ = sent.attempt.exchange.request.id, object_of(sent)
        cacheable = sent.attempt.exchange.spec.cacheable
        self.monitor.ended(
            sent.director,
            number,
            sent.attempt.number,
            status,
            self.line.now,
            object_,
            dated_ms if cacheable else None,
            group_of(object_),
        )

    def cancelled(self, sent: Sent) -> None:
        """A director cancelled a written attempt."""
        if not self.settings.cancel:
            what = f"{sent.attempt.exchange.request.id} is cancelled, which is not allowed"
            self._report(Broken("cancel", self.line.now, sent.director, what))

    def answered(self, director: str, number: int, code: AnswerCode) -> None:
        """A client got its final answer."""
        self._trace("final", director, number, code)

    def digest(self) -> str:
        """Of every written attempt and final answer so far, with its time."""
        return self._digest.hexdigest()

    def _trace(self, *words: Any) -> None:
        self._digest.update(f"{self.line.now:.6f} {words}\n".encode())
