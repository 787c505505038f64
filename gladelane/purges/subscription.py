"""A director's subscription to the fleet's purges.

It subscribes to every purge log server, applies the purges that it receives, and stores them if a folder is
set. The decisions are made in `active_purges`, `copy_limits`, `backfill` and `orders`.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Mapping

from ..control_plane.positions import InvalidPositionError, Vector
from ..control_plane.tokens import Tokens
from ..storage.files import Disk
from ..supervision import Supervisor
from .active_purges import ActivePurges
from .answer_limits import AnswerLimits
from .backfill_sender import FOLLOWS, BackfillSender
from .copy_limits import CopyLimits
from .cutoff import CutOff, Link
from .index import scope_index
from .options import Options
from .order_sender import OrderSender
from .orders import Orders
from .purge import InvalidPurgeError, Purge, log_invalid_purge
from .purge_index import PurgeIndex
from .receipt import Receipt
from .refetch_budget import PartKey, RefetchBudget
from .scope import InvalidScopeError
from .subscriber import Subscriber
from .subscription_store import SubscriptionStore
from .wire import Event

log = logging.getLogger(__name__)

INTERVAL_S = 0.2  # between two checks of the link to the servers, and between two writes
EXPIRY_INTERVALS = 300  # checks of the link between two removals of expired purges
MAX_ORDERS_IN_FLIGHT = 8
FORWARDING_MS = 20.0  # allowance for the time that an answer takes from here to its client


class PurgeSubscription:
    """The purges of a director, and the limits that they set for its requests.

    Attributes: options; clock, which returns Unix ms; active; orders, to cache servers; refetch_budget, for
    copies that became invalid; store; subscribers, one for each server; superseded_answers, the number of
    answers that were not passed on; supervisor of the tasks; on_change, called when the purges, the position
    or the low watermark changed."""

    def __init__(
        self,
        options: Options,
        index: PurgeIndex,
        clock: Callable[[], float],
        disk: Disk | None = None,
        directors: int = 1,
        rng: random.Random | None = None,
    ) -> None:
        """Recovers from the disk, if there is one. `directors`: how many share the origin. Raises
        CorruptLogError, TokenFileError, OSError, and TypeError for an index that does not support scopes."""
        self.options, self.clock = options, clock
        self.on_change: Callable[[], None] = lambda: None
        rng = rng or random.Random()
        now_ms = clock()
        self.active = ActivePurges(scope_index(index), True, options.retention_ms, options.skew_ms)
        self.orders = Orders(options.orders_per_s, MAX_ORDERS_IN_FLIGHT, now_ms)
        share_per_s = options.origin_per_s / max(directors, 1)
        self.refetch_budget = RefetchBudget(share_per_s or options.cut_off_per_s, share_per_s, now_ms, rng)
        self._tokens = Tokens(options.token_file)
        self.store = SubscriptionStore(disk, self.active, now_ms)
        self.subscribers = [
            Subscriber(host, port, self._tokens.first_token, self, clock) for host, port in options.servers
        ]
        self._limits = CopyLimits(options, self.active, self.refetch_budget, self.subscribers, now_ms)
        self._backfill = BackfillSender(self.active, self.subscribers, self._tokens.first_token, rng)
        self.superseded_answers = 0
        self.supervisor = Supervisor()
        self._update_low_watermark()
        if options.order_kinds:
            self.orders.add(self.active.purges_after({}))

    def start(self, order_sender: OrderSender | None = None) -> None:
        """Starts receiving and storing purges. `order_sender` is run if the options name kinds of servers
        that accept orders."""
        for subscriber in self.subscribers:
            self.supervisor.start(f"purges from {subscriber.host}:{subscriber.port}", subscriber.run)
        if order_sender is not None and self.options.order_kinds:
            self.supervisor.start("purge orders", order_sender.run)
        # a separate task stores, so that a slow disk does not delay the detection of being cut off
        self.supervisor.start("link to purge servers", self._check_regularly)
        self.supervisor.start("storing received purges", self._save_regularly)

    async def ready(self) -> None:
        """Waits until one server has sent everything, but at most `start_wait_ms`. After that the director
        serves, and strict classes are limited as they are while it is cut off."""
        waits = [asyncio.create_task(subscriber.caught_up.wait()) for subscriber in self.subscribers]
        timeout_s = self.options.start_wait_ms / 1000.0
        done, pending = await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        for wait in pending:
            wait.cancel()
        if not done:
            log.error("not caught up with any feed within ms=%.0f", self.options.start_wait_ms)
        self.check_link()

    async def close(self) -> None:
        """Cancels all tasks, and stores all pending records."""
        await self.supervisor.close()
        await self._backfill.close()
        await self.store.close()

    # --- what servers send

    def known_vector(self) -> Vector:
        """Returns the position from which a stream resumes."""
        return self.active.positions.vector()

    def on_purges(self, purges: list[Purge], source: Subscriber) -> None:
        """Applies purges, corrected for the clocks by which they were sent and received."""
        receipt = Receipt(source.server_clock_ms, source.is_live, self._limits.newest_date_ms)
        self.receive(purges, receipt)

    def receive(self, purges: list[Purge], receipt: Receipt | None = None) -> None:
        """Applies purges. Invalid ones are logged and skipped."""
        now_ms = self.clock()
        for purge in purges:
            try:
                is_new = self.active.apply(purge, now_ms, receipt)
            except (InvalidPurgeError, InvalidPositionError, InvalidScopeError) as error:
                log_invalid_purge(log, purge, error)
                continue
            if not is_new:
                continue
            self.store.add_purge(purge)
            if self.options.order_kinds:
                self.orders.add((purge,))
        self.on_change()

    def on_losses(self, event: Event, source: Subscriber) -> None:  # noqa: ARG002  part of the protocol
        """Merges losses. Raises InvalidPurgeError."""
        changed = self.active.low_watermark.merge(event.losses, self.clock())
        if changed:
            self.store.add_losses(changed)
            self._update_low_watermark()

    def on_position(self, vector: Vector, source: Subscriber) -> None:
        """Adopts the position up to which a server has sent everything."""
        self._backfill.on_position(vector, source)
        self.adopt_position(vector)

    def adopt_position(self, vector: Vector) -> None:
        """Marks everything up to a position as known."""
        if not self.active.positions.covers(vector):
            self.active.positions.advance_to(vector)
            self.store.add_position(vector)
            self.on_change()

    def _update_low_watermark(self) -> None:
        if self._limits.update_low_watermark(self.clock()):
            self.on_change()

    def own_token(self) -> str:
        """Returns the token by which this director authenticates to servers."""
        return self._tokens.first_token()

    def resubscribe(self) -> None:
        """Subscribes to all servers again, from the beginning."""
        for subscriber in self.subscribers:
            subscriber.restart()

    def listed(self, runs: Mapping[str, tuple[str, float]]) -> None:
        """Sets the cache servers of the endpoint list. `runs`: the kind of each server and the start of its
        process."""
        kinds = self.options.order_kinds
        self.orders.set_servers({name: run for name, (kind, run) in runs.items() if kind in kinds})

    # --- limits for requests

    @property
    def cut_off(self) -> CutOff:
        """The state of the link to the servers."""
        return self._limits.cut_off

    @property
    def low_watermark_ms(self) -> float:
        """The time before which copies may be older than a lost purge, in Unix ms; 0.0 if none is missing."""
        return self._limits.low_watermark_ms

    def max_copy_age_ms(self, cls: str) -> float:
        """Returns the age above which no copy may be used for a class."""
        self._check_link_if_due()
        return self._limits.max_copy_age_ms(cls, self.clock())

    def answer_limits(self, cls: str, group: int, object_: int, part: int, written_ms: float) -> AnswerLimits:
        """Returns the limits on a copy that answers now. `written_ms`: when the request for it was written;
        objects are numbered from 0."""
        self._check_link_if_due()
        now_ms = self.clock()
        accepted_until_ms = now_ms + FORWARDING_MS - self.options.delay_ms
        recent = self.active.recent
        return AnswerLimits(
            self._limits.max_age_at_answer_ms(cls, now_ms),
            recent.accepted_until(cls, group, object_, part, written_ms, accepted_until_ms),
            recent.is_complete_since(written_ms),
        )

    def admits(self, cls: str, part: PartKey, weight: float) -> float:
        """Returns 0.0 if a request is admitted, or the time in ms after which to retry it."""
        self._check_link_if_due()
        return self._limits.admit(cls, part, weight, self.clock())

    def answered(self, cls: str, part: PartKey, dated_ms: float, in_time: bool) -> None:
        """Records that an attempt ended. `dated_ms`: the date of the copy, 0.0 if there was none."""
        self._limits.record_answer(cls, part, dated_ms, in_time)

    def superseded(self) -> None:
        """Counts an answer that was not passed on because of a limit that came after its request was sent."""
        self.superseded_answers += 1

    def check_link(self) -> None:
        """Updates the state of the link to the servers."""
        if self._limits.update_link(self.clock()):
            self.on_change()

    def _check_link_if_due(self) -> None:
        """Updates the state of the link at once if it is over, and not only at the next regular check."""
        if self._limits.is_update_due(self.clock()):
            self.check_link()

    @property
    def follows(self) -> bool:
        """Whether the director is not cut off: some server has recently sent everything that it has."""
        return self.cut_off.link is not Link.CUT_OFF

    def lines(self) -> list[tuple[str, int]]:
        """Returns the metrics."""
        return [
            ("purges_standing", len(self.active)),
            ("purges_known_since_ms", int(self.low_watermark_ms)),
            ("feeds_followed", sum(subscriber.state == FOLLOWS for subscriber in self.subscribers)),
            ("renewals", self.refetch_budget.refetched),
            ("renewals_refused", self.refetch_budget.rejected),
            ("renewals_bind", int(self.refetch_budget.is_active)),
            ("reseeded", self._backfill.sent),
            ("answers_superseded", self.superseded_answers),
        ]

    # --- background

    async def _check_regularly(self) -> None:
        checks = 0
        while True:
            await asyncio.sleep(INTERVAL_S)
            self.check_link()
            self._backfill.start_due(self.clock())
            checks += 1
            if checks % EXPIRY_INTERVALS == 0:
                self.active.expire(self.clock())
                self.orders.compact(self.active.purges_after({}), len(self.active))

    async def _save_regularly(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S)
            await self.store.save()
