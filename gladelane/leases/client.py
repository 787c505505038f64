"""The lease client of a director, which sends the requests of its lease state machines to every lease server.

The state machines are those of `lease`; this module does the calls. A holder reports its progress with its
renewals, and a new holder receives that progress with its first grant.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, Protocol

from ..control_plane.http import CALL_ERRORS, fetch
from ..supervision import Supervisor
from .lease import Lease
from .messages import (
    LeaseReplyBatch,
    LeaseRequest,
    LeaseRequestBatch,
    ResourceProgress,
    encode_json,
    reply_batch_decoder,
)
from .quorum import majority

log = logging.getLogger(__name__)

TICK_S = 0.05
REPLY_TIMEOUT_S = 0.5
QUORUM_LOST_AFTER_LEASES = 2.0  # lease durations without a majority until no director can hold a lease


class ProgressHandler(Protocol):
    """Exports and imports the progress of leased work, so that a new holder resumes where the last
    stopped."""

    def export_progress(self, resource: str) -> str:
        """Returns the progress that the next holder of a resource needs; empty if there is none."""

    def import_progress(self, resource: str, text: str) -> None:
        """Applies the progress that the last holder of a resource exported."""


class _ServerAddress(NamedTuple):
    """The address of a lease server."""

    host: str
    port: int


class LeaseClient:
    """Acquires, renews and releases the leases of one director.

    `progress_handler` may be set before `start`, for work whose progress is handed over. Times are in
    milliseconds of a monotonic clock.
    """

    def __init__(
        self,
        ranks: Mapping[str, int],
        name: str,
        servers: Iterable[tuple[str, int]],
        duration_ms: float,
        auth_token: Callable[[], str],
        steady_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """`ranks` has this director's rank for each resource that it may hold; `servers`, hosts and ports."""
        now_ms = steady_clock()
        self.progress_handler: ProgressHandler | None = None
        self._servers = [_ServerAddress(*address) for address in servers]
        self._duration_ms = duration_ms
        self._auth_token, self._steady_clock = auth_token, steady_clock
        self._leases = {
            resource: Lease(resource, name, len(self._servers), duration_ms, rng, now_ms, rank)
            for resource, rank in ranks.items()
        }
        # Servers count as reachable at first: a director that starts must not act as if the quorum was lost.
        self._last_reply_ms = dict.fromkeys(self._servers, now_ms)
        self._last_round_ms = now_ms
        self._received_progress: dict[str, ResourceProgress] = {}
        self._announced_tokens: dict[str, int] = {}  # of leases held at the last check
        self.supervisor = Supervisor()

    def start(self) -> None:
        """Starts acquiring leases."""
        self.supervisor.start("leases", self._run)

    async def close(self) -> None:
        """Stops, and releases all leases so that other directors can claim them at once."""
        await self.supervisor.close()
        releases = [release for lease in self._leases.values() if (release := lease.stop())]
        if releases:
            await self._call_all(releases)

    def is_held(self, resource: str) -> bool:
        """Returns whether this director holds the lease on a resource now."""
        lease = self._leases.get(resource)
        return lease is not None and lease.is_held(self._steady_clock())

    def has_lost_quorum(self) -> bool:
        """Returns whether no majority of servers replied recently, so that no director can hold a lease."""
        oldest_ms = self._steady_clock() - QUORUM_LOST_AFTER_LEASES * self._duration_ms
        reachable_count = sum(replied_ms >= oldest_ms for replied_ms in self._last_reply_ms.values())
        return reachable_count < majority(len(self._servers))

    async def _run(self) -> None:
        while True:
            await self._run_round()
            await asyncio.sleep(TICK_S)

    async def _run_round(self) -> None:
        """Sends the requests that are due, then those that follow from the replies."""
        now_ms = self._steady_clock()
        requests = [request for lease in self._leases.values() if (request := lease.next_request(now_ms))]
        if not requests and now_ms - self._last_round_ms >= self._duration_ms:
            await self._call_all([])  # a waiting director has to know whether the servers are reachable
        while requests:
            requests = await self._call_all(requests)
        self._announce_changes()

    async def _call_all(self, requests: list[LeaseRequest]) -> list[LeaseRequest]:
        """Sends requests to every server; returns the requests that follow from the replies.

        Returns early once a majority has replied and either a further request is due or all have replied.
        """
        self._last_round_ms = self._steady_clock()
        body = encode_json(LeaseRequestBatch(requests, self._progress_of(requests)))
        next_requests: dict[str, LeaseRequest] = {}
        pending = {asyncio.ensure_future(self._call(server, body)) for server in self._servers}
        reply_count = 0
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for batch in (task.result() for task in done):
                    if batch is not None:
                        reply_count += 1
                        next_requests |= self._handle_replies(requests, batch)
                is_majority = reply_count >= majority(len(self._servers))
                if is_majority and (next_requests or reply_count == len(self._servers)):
                    break
        finally:
            for task in pending:
                task.cancel()
        return list(next_requests.values())

    def _progress_of(self, requests: list[LeaseRequest]) -> dict[str, str]:
        """Returns the progress of the resources that are to be renewed, without empty ones."""
        if self.progress_handler is None:
            return {}
        renewed = [
            request.resource
            for request in requests
            if request.fencing_token and not request.is_release and self.is_held(request.resource)
        ]
        exported = {resource: self.progress_handler.export_progress(resource) for resource in renewed}
        return {resource: text for resource, text in exported.items() if text}

    def _handle_replies(
        self, requests: list[LeaseRequest], batch: LeaseReplyBatch
    ) -> dict[str, LeaseRequest]:
        """Applies the replies of one server; returns the requests that follow, by resource."""
        next_requests = {}
        for request, reply in zip(requests, batch.replies, strict=False):
            resource = request.resource
            next_request = self._leases[resource].handle_reply(request, reply, self._steady_clock())
            if next_request is not None:
                next_requests[resource] = next_request
            if reply.is_granted and resource in batch.progress:
                progress = ResourceProgress(request.fencing_token, batch.progress[resource])
                self._received_progress[resource] = progress
        return next_requests

    async def _call(self, server: _ServerAddress, body: bytes) -> LeaseReplyBatch | None:
        """Sends a batch to one server; returns its replies, or None if it did not answer in time."""
        headers = {"Content-Type": "application/json"}
        try:
            answer = await fetch(
                *server, "POST", "/leases", self._auth_token(), body, headers, within_s=REPLY_TIMEOUT_S
            )
            batch = reply_batch_decoder.decode(answer)
        except CALL_ERRORS as error:
            log.debug("lease server did not answer feed=%s:%d: %s", *server, error)
            return None
        self._last_reply_ms[server] = self._steady_clock()
        return batch

    def _announce_changes(self) -> None:
        """Logs the leases that were gained or lost, and imports the progress of those that were gained."""
        for resource, lease in self._leases.items():
            is_held = self.is_held(resource)
            if is_held and self._announced_tokens.get(resource) != lease.fencing_token:
                self._announced_tokens[resource] = lease.fencing_token
                self._import_progress(resource, lease.fencing_token)
                log.info("acquired the lease of work=%s number=%d", resource, lease.fencing_token)
            elif not is_held and self._announced_tokens.pop(resource, 0):
                log.warning("lost the lease of work=%s", resource)

    def _import_progress(self, resource: str, fencing_token: int) -> None:
        progress = self._received_progress.pop(resource, None)
        if self.progress_handler is None or progress is None or progress.fencing_token != fencing_token:
            return
        if progress.text:
            self.progress_handler.import_progress(resource, progress.text)
