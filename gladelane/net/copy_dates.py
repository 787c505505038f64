"""From which date on a copy may be served, by purges and by what is known of the platform's clocks. Pure."""

from __future__ import annotations

from ..clock import FreshCopies, PlatformDates, UnixMs, as_date
from ..discovery.events import WatchEvent
from ..routing.events import ClassSpec, Note, Request
from ..routing.freshness import PURGE_SLACK_MS
from .attempt_outcomes import AttemptOutcome
from .cache_protocol import Reply
from .exchange import Attempt
from .interfaces import DirectorContext
from .known_purges import KnownPurges, oldest_by_purge_servers
from .new_attempt import REFRESH_HINT

DATE_SLACK_MS = 5.0  # dates and ages are rounded to ms on the wire
PURGE_RETENTION_SLACK_MS = 2000.0  # a purge is kept for longer than it is active, for a successor's start


def is_fresh_copy(attempt: Attempt, reply: Reply, is_origin: bool) -> bool:
    """Whether the origin made the copy for this attempt: the origin answered itself, or a cache says that it
    did. A copy that was only confirmed to be valid may keep its date."""
    ask, spec = attempt.exchange.ask, attempt.exchange.spec
    if not attempt.written_ms or not spec.cacheable or reply.outcome is not AttemptOutcome.SERVED:
        return False
    if ask.known or REFRESH_HINT in attempt.hints:
        return False
    return is_origin or reply.note is Note.FROM_ORIGIN


class CopyDates:
    """The known purges, and what dates from the platform say about its clocks."""

    def __init__(self, context: DirectorContext) -> None:
        self.platform = PlatformDates()
        self._fresh_copies = FreshCopies()
        self._purges = KnownPurges()
        self._context = context

    def record_purge(self, object_: int, group: int, dated: UnixMs, event: WatchEvent) -> float:
        """Records a purge from discovery and returns its age in ms. The age is limited by the platform's own
        dates: by our clock it would depend on two clocks that may have been stepped, and a purge that seems
        old would be ignored."""
        now = self._context.clock()
        self.platform.record_purge_date(dated, now)
        self.apply_offset()
        self._drop_expired_purges()
        self._purges.add(object_, group, dated, event, now)
        return self.platform.age_ms(dated, now)

    def record_reply(self, attempt: Attempt, reply: Reply, is_origin: bool) -> None:
        """Records the date of a reply's copy."""
        now = self._context.clock()
        self.platform.record_copy_date(reply.dated_ms, now)
        self.apply_offset()
        if is_fresh_copy(attempt, reply, is_origin):
            self._fresh_copies.record_copy(reply.dated_ms, attempt.written_ms, now)

    def apply_offset(self) -> None:
        """Has the router count the ages of servers by what is known of the platform's clock."""
        if self.platform.is_known:
            self._context.router.cold.set_date_offset(self.platform.offset_ms)

    def latest(self) -> UnixMs:
        """The platform's date now, rather too late than too early. Called from the admin endpoint's thread
        too."""
        return self.platform.latest(self._context.clock())

    def purge_events(self) -> list[WatchEvent]:
        """The events of the purges that are still active, in order of arrival."""
        self._drop_expired_purges()
        return self._purges.watch_events()

    def limit_copies(self, attempt: Attempt, now: float) -> None:
        """Sets the age and the date that copies for an attempt may have."""
        request, spec = attempt.exchange.request, attempt.exchange.spec
        limit_ms = self._context.router.age_now(now, request, spec.fresh_ms)
        if limit_ms:
            attempt.max_age_ms = min(attempt.max_age_ms or limit_ms, limit_ms)
        if not spec.cacheable:  # a write has no copy, so its answer is not judged by one
            return
        active_ms = self._context.settings.purge_done_ms + PURGE_SLACK_MS
        attempt.oldest = self._purges.newest_date(request.object, request.group, now, active_ms)
        if self._context.guard is not None:
            self._limit_by_guard(attempt, self._context.guard.max_copy_age_ms(request.cls), spec, now)

    def _limit_by_guard(self, attempt: Attempt, max_age_ms: float, spec: ClassSpec, now: float) -> None:
        usual_ms = attempt.max_age_ms or spec.fresh_ms
        if not usual_ms or max_age_ms < usual_ms:  # 0: copies of any age would do
            attempt.max_age_ms = max_age_ms
        # a cache may answer from a fill for another attempt, with an older copy than this one permits
        shift_ms = self._fresh_copies.shift_ms(now)
        by_age = as_date(now - max_age_ms + shift_ms)
        by_purge_servers = self._oldest_by_purge_servers(attempt.exchange.request, now, shift_ms)
        attempt.oldest = max(attempt.oldest, by_age, by_purge_servers)

    def _oldest_by_purge_servers(self, request: Request, now: float, shift_ms: float) -> UnixMs:
        index = self._context.router.purges
        part = request.cls, request.group, request.object - 1, request.part
        return oldest_by_purge_servers(
            index.newest_purge_ms(*part, now), index.newest_purge_by_age_ms(*part, now), now, shift_ms
        )

    def _drop_expired_purges(self) -> None:
        retention_ms = self._context.settings.purge_done_ms + PURGE_RETENTION_SLACK_MS
        self._purges.drop_expired(self._context.clock(), retention_ms)
