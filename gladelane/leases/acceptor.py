"""The decisions of one lease server. A lease is held once a majority of the servers has granted it. Pure.

The scheme is close to PaxosLease (Trencseni, Gazso and Reinhardt, arXiv:1209.4187, 2012), but fencing tokens
are stored. A server grants a fencing token only once: the token has to be higher than any that the server has
seen for the resource, and no other lease on the resource may be active. Any two majorities share a server, so
no two holders have the same token.

Leases themselves are not stored. A server that starts therefore waits for the longest possible lease to end,
regardless of what is on its disk, and asks its peers for the tokens that they know. It grants leases once
`recovery_quorum` peers have answered, because every majority that granted without this server contains one of
them. A server that has lost its disk recovers all tokens in this way. If several servers lose their disks at
the same time, a token may be unknown to all of them. A server that has lost its disk therefore uses the wall
clock in milliseconds as a lower bound, which is above any token that was counted up from 1.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from .messages import NO_REMAINING_MS, LeaseReply, LeaseRequest
from .quorum import recovery_quorum, server_expiry_ms


class Grant(msgspec.Struct, frozen=True):
    """A lease that this server granted until `expires_ms`, a time of its own clock."""

    holder: str
    fencing_token: int
    expires_ms: float

    def belongs_to(self, request: LeaseRequest) -> bool:
        """Returns whether a request is from the holder of this grant, under the same token."""
        return (self.holder, self.fencing_token) == (request.holder, request.fencing_token)


class AcceptorDecision(msgspec.Struct, frozen=True):
    """A reply. If `is_new_token`, the token of the request has to be stored before the reply is sent."""

    reply: LeaseReply
    is_new_token: bool


class LeaseAcceptor:
    """Grants, renews and releases leases, and tracks the highest fencing token of each resource.

    Times are in milliseconds of this server's clock, which is monotonic.
    """

    def __init__(
        self,
        name: str,
        server_count: int,
        max_lease_ms: float,
        now_ms: float,
        tokens: Mapping[str, int] | None = None,
        disk_lost_unix_ms: float = 0.0,
    ) -> None:
        """`tokens` are the stored tokens by resource, and `server_count` includes this server.

        `disk_lost_unix_ms` is the wall clock at the start if this server is known to have lost its disk, else
        0.
        """
        self.name, self.max_lease_ms = name, max_lease_ms
        self.tokens = dict(tokens or {})
        self.token_floor = int(disk_lost_unix_ms)
        self.synced_peers: set[str] = set()
        self._required_peers = recovery_quorum(server_count)
        self._ready_from_ms = server_expiry_ms(now_ms, max_lease_ms)
        self._grants: dict[str, Grant] = {}

    def learn_tokens(self, peer: str, tokens: Mapping[str, int]) -> None:
        """Merges the tokens of a peer that answered after the start of this server."""
        self.synced_peers.add(peer)
        for resource, fencing_token in tokens.items():
            self.tokens[resource] = max(self.tokens.get(resource, 0), fencing_token)

    def is_ready(self, now_ms: float) -> bool:
        """Returns whether this server may grant leases: earlier ones have ended and enough peers answered."""
        return now_ms >= self._ready_from_ms and len(self.synced_peers) >= self._required_peers

    def highest_token(self, resource: str) -> int:
        """Returns an upper bound of the fencing tokens that were granted for a resource."""
        return max(self.tokens.get(resource, 0), self.token_floor)

    def active_grant(self, resource: str, now_ms: float) -> Grant | None:
        """Returns the grant for a resource, or None if there is none or it has expired."""
        grant = self._grants.get(resource)
        return grant if grant is not None and now_ms < grant.expires_ms else None

    def is_granted(self, request: LeaseRequest) -> bool:
        """Returns whether the latest grant for the resource of a request belongs to that request."""
        grant = self._grants.get(request.resource)
        return grant is not None and grant.belongs_to(request)

    def revoke_grant(self, resource: str, fencing_token: int) -> None:
        """Removes a grant whose token could not be stored, so that no reply confirms it.

        The token counts as used and is not granted a second time.
        """
        grant = self._grants.get(resource)
        if grant is not None and grant.fencing_token == fencing_token:
            del self._grants[resource]

    def handle_request(self, request: LeaseRequest, now_ms: float) -> AcceptorDecision:
        """Applies a request and returns the reply to it."""
        active = self.active_grant(request.resource, now_ms)
        is_granted = is_new_token = False
        if request.is_release:
            active = self._release(request, active)
        elif request.fencing_token and self.is_ready(now_ms):
            if active is not None:
                is_granted = active.belongs_to(request)
            else:
                is_granted = is_new_token = request.fencing_token > self.highest_token(request.resource)
        if is_new_token:
            self.tokens[request.resource] = request.fencing_token
        if is_granted:
            active = self._grant(request, now_ms)
        return AcceptorDecision(self._reply(request, is_granted, active, now_ms), is_new_token)

    def _release(self, request: LeaseRequest, active: Grant | None) -> Grant | None:
        """Ends the active grant if it belongs to the request; returns the grant that is active afterwards."""
        if active is None or not active.belongs_to(request):
            return active
        del self._grants[request.resource]
        return None

    def _grant(self, request: LeaseRequest, now_ms: float) -> Grant:
        expires_ms = server_expiry_ms(now_ms, min(request.duration_ms, self.max_lease_ms))
        grant = Grant(request.holder, request.fencing_token, expires_ms)
        self._grants[request.resource] = grant
        return grant

    def _reply(
        self, request: LeaseRequest, is_granted: bool, active: Grant | None, now_ms: float
    ) -> LeaseReply:
        remaining_ms = NO_REMAINING_MS
        if active is not None:
            remaining_ms = max(active.expires_ms - now_ms, NO_REMAINING_MS)
        return LeaseReply(
            self.name,
            is_granted,
            self.highest_token(request.resource),
            active.holder if active is not None else "",
            remaining_ms,
            self.is_ready(now_ms),
        )
