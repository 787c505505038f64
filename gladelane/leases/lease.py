"""The client's state machine for a lease: which request is due when, and until when the lease is held. Pure.

    IDLE -> QUERYING -> CLAIMING -> HELD

A client first asks all servers for the highest fencing token of the resource, and for its holder. If a
majority answers and nobody holds the lease, the client claims the next token at all servers. The lease is
held once a majority of servers has granted it. Its duration is counted from the time before the first claim
was sent, less the clock drift. A claim that fails is released, and the next attempt waits for a random time,
so that clients which failed together do not collide again. While another client holds the lease, a client of
a near rank asks again after half a lease duration at the latest, since the holder may have released the
lease. If the lease ends sooner than that, the client waits until its end, and clients of a lower rank then
ask earlier.

Query and claim follow the two phases of Paxos; see `acceptor` for the source.
"""

from __future__ import annotations

import random
from enum import Enum

from .messages import LeaseReply, LeaseRequest
from .quorum import holder_expiry_ms, majority

RENEWAL_FRACTION = 1.0 / 3.0  # of the duration, after which a lease is renewed
REPLY_TIMEOUT_MS = 400.0
MIN_RETRY_MS, MAX_RETRY_MS = 50.0, 350.0  # after a failed attempt
RECHECK_FRACTION = 1.0 / 2.0  # of the duration, after which a near rank checks whether a lease was released
MAX_RECHECK_JITTER_FRACTION = 1.0 / 6.0  # of the duration; checks come earlier to desynchronize the clients
MAX_NEAR_RANK = 4  # clients up to this rank take over from one another
NEAR_RANK_DELAY_MS = 150.0  # of each near rank relative to the rank before it
FAR_RANK_DELAY_MS = 20.0  # of each far rank relative to the rank before it
FAR_RANK_WAIT_LEASES = 5.0  # lease durations for which a far rank waits while a lease is active


class LeasePhase(Enum):
    """The state of a client with regard to one lease."""

    IDLE = "idle"
    QUERYING = "querying"
    CLAIMING = "claiming"
    HELD = "held"


def rank_delay_ms(rank: int) -> float:
    """Returns how much later than rank 0 a client of this rank asks for a lease."""
    return NEAR_RANK_DELAY_MS * min(rank, MAX_NEAR_RANK) + FAR_RANK_DELAY_MS * max(rank - MAX_NEAR_RANK, 0)


class Lease:
    """The state machine of one client for the lease on one resource.

    Times are in milliseconds of the client's clock, which is monotonic. The caller sends each request that a
    method returns to all servers, and passes every reply to `handle_reply`.
    """

    def __init__(
        self,
        resource: str,
        holder: str,
        server_count: int,
        duration_ms: float,
        rng: random.Random,
        now_ms: float,
        rank: int = 0,
    ) -> None:
        """`holder` names this client. The client of rank 0 is the preferred holder of the resource."""
        self.resource, self.holder, self.duration_ms, self.rank = resource, holder, duration_ms, rank
        self.phase = LeasePhase.IDLE
        self.fencing_token = 0
        self.expires_ms = 0.0
        self.held_since_ms = 0.0
        self.is_stopped = False
        self._majority = majority(server_count)
        self._rng = rng
        self._next_action_ms = now_ms + rank_delay_ms(rank) + rng.uniform(0.0, MIN_RETRY_MS)
        self._sent_ms = 0.0
        self._highest_token = 0
        self._answered_by: set[str] = set()
        self._granted_by: set[str] = set()
        self._refused_by: set[str] = set()

    def is_held(self, now_ms: float) -> bool:
        """Returns whether this client holds the lease. Must be called before each operation under it."""
        return self.phase is LeasePhase.HELD and now_ms < self.expires_ms

    def next_request(self, now_ms: float) -> LeaseRequest | None:
        """Returns the request that is due, or None. Must be called often, since it ends overdue attempts."""
        if self.phase is LeasePhase.HELD and now_ms >= self.expires_ms:
            self._schedule_retry(now_ms)
        if now_ms < self._next_action_ms:
            return None
        if self.phase in (LeasePhase.QUERYING, LeasePhase.CLAIMING):
            return self._abandon_attempt(now_ms)
        if self.is_stopped:
            return None
        self._answered_by = set()
        self._begin_round(now_ms)
        if self.phase is LeasePhase.HELD:
            return self._claim_request()
        self.phase, self._highest_token = LeasePhase.QUERYING, 0
        return LeaseRequest(self.resource, self.holder)

    def handle_reply(self, request: LeaseRequest, reply: LeaseReply, now_ms: float) -> LeaseRequest | None:
        """Applies the reply of one server to a request; returns the request to send next, if any."""
        if not self._is_expected(request):
            return None
        if self.phase is LeasePhase.QUERYING:
            return self._handle_query_reply(reply, now_ms)
        if reply.is_granted:
            self._granted_by.add(reply.server)
        else:
            self._refused_by.add(reply.server)
        if len(self._granted_by) >= self._majority:
            self._mark_held(now_ms)
            return None
        if self.phase is LeasePhase.CLAIMING and len(self._refused_by) >= self._majority:
            return self._abandon_attempt(now_ms)
        return None

    def stop(self) -> LeaseRequest | None:
        """Gives up the lease permanently; returns the release to send, if the lease was held.

        Another client may claim the lease once the release has arrived.
        """
        self.is_stopped = True
        was_held = self.phase is LeasePhase.HELD
        self.phase, self.expires_ms = LeasePhase.IDLE, 0.0
        return self._release_request() if was_held else None

    def _is_expected(self, request: LeaseRequest) -> bool:
        """Returns whether a request belongs to the current attempt, so that its replies are to be applied."""
        if request.is_release:
            return False
        if self.phase is LeasePhase.QUERYING:
            return request.fencing_token == 0
        return request.fencing_token != 0 and request.fencing_token == self.fencing_token

    def _handle_query_reply(self, reply: LeaseReply, now_ms: float) -> LeaseRequest | None:
        if reply.remaining_ms > 0.0 and reply.holder:
            self._wait_for_holder(reply.remaining_ms, now_ms)
            return None
        self._highest_token = max(self._highest_token, reply.highest_token)
        if reply.is_ready:
            self._answered_by.add(reply.server)
        if len(self._answered_by) < self._majority:
            return None
        self.phase, self.fencing_token = LeasePhase.CLAIMING, self._highest_token + 1
        self.expires_ms = 0.0
        self._begin_round(now_ms)
        return self._claim_request()

    def _wait_for_holder(self, remaining_ms: float, now_ms: float) -> None:
        recheck_ms = RECHECK_FRACTION * self.duration_ms
        if self.rank <= MAX_NEAR_RANK and remaining_ms > recheck_ms:
            wait_ms = recheck_ms - self._rng.uniform(0.0, MAX_RECHECK_JITTER_FRACTION * self.duration_ms)
        else:
            wait_ms = remaining_ms + rank_delay_ms(self.rank) + self._rng.uniform(MIN_RETRY_MS, MAX_RETRY_MS)
        if self.rank > MAX_NEAR_RANK:
            wait_ms += FAR_RANK_WAIT_LEASES * self.duration_ms
        self.phase, self._next_action_ms = LeasePhase.IDLE, now_ms + wait_ms

    def _begin_round(self, now_ms: float) -> None:
        self._sent_ms, self._next_action_ms = now_ms, now_ms + REPLY_TIMEOUT_MS
        self._granted_by, self._refused_by = set(), set()

    def _mark_held(self, now_ms: float) -> None:
        if self.phase is LeasePhase.CLAIMING:
            self.held_since_ms = now_ms
        self.phase = LeasePhase.HELD
        self.expires_ms = max(self.expires_ms, holder_expiry_ms(self._sent_ms, self.duration_ms))
        self._next_action_ms = self._sent_ms + self.duration_ms * RENEWAL_FRACTION

    def _abandon_attempt(self, now_ms: float) -> LeaseRequest | None:
        """Ends a query or a claim; returns the release of a claim, since some servers may have granted it."""
        release = self._release_request() if self.phase is LeasePhase.CLAIMING else None
        self._schedule_retry(now_ms)
        return release

    def _schedule_retry(self, now_ms: float) -> None:
        self.phase = LeasePhase.IDLE
        retry_ms = self._rng.uniform(MIN_RETRY_MS, MAX_RETRY_MS)
        self._next_action_ms = now_ms + rank_delay_ms(self.rank) + retry_ms

    def _claim_request(self) -> LeaseRequest:
        return LeaseRequest(self.resource, self.holder, self.fencing_token, self.duration_ms)

    def _release_request(self) -> LeaseRequest:
        return LeaseRequest(self.resource, self.holder, self.fencing_token, is_release=True)
