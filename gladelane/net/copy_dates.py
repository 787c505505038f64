"""Decides from which date on copies may be served, by purges and by what is known of the platform's clocks.

Pure.
"""

from __future__ import annotations

import math

from ..clock import FreshCopies, PlatformDates, UnixMs, as_date
from ..discovery.events import WatchEvent
from ..routing.events import ClassSpec, Note, Request
from ..routing.freshness import PURGE_SLACK_MS
from .attempt_outcomes import AttemptOutcome
from .cache_protocol import Reply
from .copy_acceptance import AnswerBounds
from .exchange import Attempt
from .interfaces import DirectorContext
from .known_purges import NO_DATE, KnownPurges, min_date_by_purge_servers
from .new_attempt import REFRESH_HINT

#: Purges are kept this much longer than they are active, so that a successor that is starting receives them.
PURGE_RETENTION_SLACK_MS = 2000.0


def is_fresh_copy(attempt: Attempt, reply: Reply, is_origin: bool) -> bool:
    """Whether the origin made the copy for this attempt: the origin itself answered, or a cache reports
    that it has fetched the copy from the origin. Attempts that may only confirm an older copy do not count,
    since such a copy may keep its date."""
    client_request, spec = attempt.exchange.ask, attempt.exchange.spec
    if not attempt.written_ms or not spec.cacheable or reply.outcome is not AttemptOutcome.SERVED:
        return False
    if client_request.known or REFRESH_HINT in attempt.hints:
        return False
    return is_origin or reply.note is Note.FROM_ORIGIN


class CopyDates:
    """Holds the known purges, and estimates the platform's clocks from the dates that it sends."""

    def __init__(self, context: DirectorContext) -> None:
        self.platform = PlatformDates()
        self._fresh_copies = FreshCopies()
        self._purges = KnownPurges()
        self._context = context

    def record_purge(self, object_: int, group: int, dated: UnixMs, event: WatchEvent) -> float:
        """Records a purge from discovery and returns its age in ms. The age is computed from the platform's
        own dates. By our clock it would depend on two clocks, each of which may have been stepped, and a
        purge that only seems old would be ignored."""
        now = self._context.clock()
        self.platform.record_purge_date(dated, now)
        self.apply_offset()
        self._drop_expired_purges()
        self._purges.add(object_, group, dated, event, now)
        return self.platform.age_ms(dated, now)

    def record_reply(self, attempt: Attempt, reply: Reply, is_origin: bool) -> None:
        """Records the date of the copy in a reply."""
        now = self._context.clock()
        self.platform.record_copy_date(reply.dated_ms, now)
        self.apply_offset()
        if is_fresh_copy(attempt, reply, is_origin):
            self._fresh_copies.record_copy(reply.dated_ms, attempt.written_ms, now)

    def apply_offset(self) -> None:
        """Passes the known offset of the platform's clock to the router, which computes ages of servers with
        it."""
        if self.platform.is_known:
            self._context.router.cold.set_date_offset(self.platform.offset_ms)

    def latest(self) -> UnixMs:
        """The platform's current date, or a later one if it is not known exactly. Also called from the thread
        of the admin endpoint."""
        return self.platform.latest(self._context.clock())

    def purge_events(self) -> list[WatchEvent]:
        """The events of the purges that are still retained, in order of arrival."""
        self._drop_expired_purges()
        return self._purges.watch_events()

    def limit_copies(self, attempt: Attempt, now: float) -> None:
        """Sets the maximum age and the minimum date of copies that may answer an attempt."""
        request, spec = attempt.exchange.request, attempt.exchange.spec
        limit_ms = self._context.router.current_age_bound(now, request, spec.fresh_ms)
        if limit_ms:
            attempt.max_age_ms = min(attempt.max_age_ms or limit_ms, limit_ms)
        if not spec.cacheable:  # the answer to a write is no copy, so purges do not concern it
            return
        active_ms = self._context.settings.purge_done_ms + PURGE_SLACK_MS
        attempt.min_copy_date = self._purges.min_copy_date(request.object, request.group, now, active_ms)
        if self._context.guard is not None:
            self._limit_by_guard(attempt, self._context.guard.max_copy_age_ms(request.cls), spec, now)

    def answer_bounds(self, attempt: Attempt, now: float) -> AnswerBounds:
        """The bounds on the copy in a reply to an attempt that is to be passed on now. The purges of
        discovery bind only requests that are sent after them."""
        guard, request = self._context.guard, attempt.exchange.request
        if guard is None or not attempt.exchange.spec.cacheable:
            return AnswerBounds()
        part = request.cls, request.group, request.object - 1, request.part
        limits = guard.answer_limits(*part, attempt.written_ms)
        shift_ms = self._fresh_copies.shift_ms(now)
        by_purges = max(
            (min_date_by_purge_servers(by_date, by_age, now, shift_ms) for by_date, by_age in limits.purges),
            default=NO_DATE,
        )
        if not limits.has_all_purges:
            by_purges = max(by_purges, self._min_date_by_purge_servers(request, now, shift_ms))
        by_age = NO_DATE if math.isinf(limits.max_age_ms) else as_date(now - limits.max_age_ms + shift_ms)
        return AnswerBounds(by_purges, by_age)

    def _limit_by_guard(self, attempt: Attempt, max_age_ms: float, spec: ClassSpec, now: float) -> None:
        usual_ms = attempt.max_age_ms or spec.fresh_ms
        if not usual_ms or max_age_ms < usual_ms:  # 0 permits copies of any age
            attempt.max_age_ms = max_age_ms
        # A minimum date is needed too: a cache may answer from a fill for another attempt, with an older copy
        # than this attempt permits.
        shift_ms = self._fresh_copies.shift_ms(now)
        by_age = as_date(now - max_age_ms + shift_ms)
        by_purge_servers = self._min_date_by_purge_servers(attempt.exchange.request, now, shift_ms)
        attempt.min_copy_date = max(attempt.min_copy_date, by_age, by_purge_servers)

    def _min_date_by_purge_servers(self, request: Request, now: float, shift_ms: float) -> UnixMs:
        index = self._context.router.purges
        part = request.cls, request.group, request.object - 1, request.part
        return min_date_by_purge_servers(
            index.newest_purge_ms(*part, now), index.newest_purge_by_age_ms(*part, now), now, shift_ms
        )

    def _drop_expired_purges(self) -> None:
        retention_ms = self._context.settings.purge_done_ms + PURGE_RETENTION_SLACK_MS
        self._purges.drop_expired(self._context.clock(), retention_ms)
