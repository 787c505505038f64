"""The lease server, a part of a control server: HTTP handlers, storage and recovery from its peers.

The decisions are made by `acceptor`. A token is stored before the reply that grants it is sent. While the
disk fails, leases whose token is stored are renewed, and no new token is granted.
"""

from __future__ import annotations

import asyncio
import logging
import ssl
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from ..control_plane.http import CALL_ERRORS, HttpStatusError, Request, fetch
from ..control_plane.part import MAX_LARGE_BODY_BYTES, Route, StreamRoute
from ..storage.files import Disk
from ..supervision import Supervisor
from .acceptor import Grant, LeaseAcceptor
from .messages import (
    MAX_BATCH_REQUESTS,
    MAX_PROGRESS_CHARS,
    KnownTokens,
    LeaseReply,
    LeaseReplyBatch,
    LeaseRequest,
    LeaseRequestBatch,
    LeaseServerStatus,
    LeaseStatus,
    ResourceProgress,
    encode_json,
    known_tokens_decoder,
    request_batch_decoder,
)
from .token_store import StoredRecord, TokenStore

log = logging.getLogger(__name__)

PEER_TIMEOUT_S = 1.0
PEER_RETRY_S = 0.2  # between rounds of calls to peers that have not answered
MAX_NAME_CHARS = 128  # of a resource and of a holder


class _Peer(NamedTuple):
    """The address of another lease server."""

    host: str
    port: int
    tls: ssl.SSLContext | None


class _GrantTime(NamedTuple):
    """The time at which a token was stored, in milliseconds of this server's clock."""

    fencing_token: int
    stored_ms: float


class LeaseServer:
    """Grants leases to clients; a client needs the grants of a majority of the lease servers."""

    def __init__(
        self,
        name: str,
        disk: Disk,
        auth_token: Callable[[], str],
        steady_clock: Callable[[], float],
        max_lease_ms: float,
        peers: Iterable[tuple[str, int]],
        tls: ssl.SSLContext | None = None,
        is_first_start: bool = False,
        unix_ms: float = 0.0,
    ) -> None:
        """Recovers from the disk. Raises CorruptLogError, FolderInUseError and OSError.

        `steady_clock` returns milliseconds of a monotonic clock. `peers` are hosts and ports.
        `is_first_start` says that an empty disk is new and not a lost one. `unix_ms` is the current wall
        clock.
        """
        self._auth_token, self._steady_clock = auth_token, steady_clock
        self._peers = [_Peer(host, port, tls) for host, port in peers]
        self.store = TokenStore(disk)
        is_disk_lost = self.store.is_empty and not is_first_start and unix_ms != 0.0
        if is_disk_lost:
            log.error("lease server: the folder is empty although this is not declared as the first start")
        self.acceptor = LeaseAcceptor(
            name,
            len(self._peers) + 1,
            max_lease_ms,
            steady_clock(),
            self.store.recovered_tokens,
            unix_ms if is_disk_lost else 0.0,
        )
        self._grant_times: dict[str, _GrantTime] = {}
        self._commit_lock = asyncio.Lock()
        self.supervisor = Supervisor()

    def start(self) -> None:
        """Starts asking the peers for the tokens that this server's disk may have lost."""
        self.supervisor.start("lease tokens of peers", self._sync_with_peers, may_end=True)

    async def close(self) -> None:
        """Stops asking the peers and closes the disk."""
        await self.supervisor.close()
        self.store.close()

    def routes(self) -> Sequence[Route]:
        """Returns the HTTP routes of this part."""
        return (
            Route("POST", "/leases", self._on_requests, MAX_LARGE_BODY_BYTES),
            Route("GET", "/leases/numbers", self._on_known_tokens),
            Route("GET", "/leases", self._on_status),
        )

    def streams(self) -> Sequence[StreamRoute]:
        """Returns no event streams: this part has none."""
        return ()

    def lease_statuses(self) -> list[LeaseStatus]:
        """Returns the status of each resource that this server knows, sorted by name."""
        now_ms = self._steady_clock()
        return [self._lease_status(resource, now_ms) for resource in sorted(self.acceptor.tokens)]

    async def handle_requests(self, batch: LeaseRequestBatch) -> LeaseReplyBatch:
        """Applies the requests of one client, and returns once every token that is granted is stored.

        Raises HttpStatusError for a batch that is too large or contains an invalid request.
        """
        if len(batch.requests) > MAX_BATCH_REQUESTS or any(
            len(text) > MAX_PROGRESS_CHARS for text in batch.progress.values()
        ):
            limits = f"{MAX_BATCH_REQUESTS} asks, and {MAX_PROGRESS_CHARS} characters of progress"
            raise HttpStatusError(400, f"expected up to {limits}")
        now_ms = self._steady_clock()
        replies = [
            self._apply(request, batch.progress.get(request.resource, ""), now_ms)
            for request in batch.requests
        ]
        if self.store.has_staged(_granted_resources(batch.requests, replies)):
            await self._commit_staged()
            replies = [
                self._confirmed(request, reply)
                for request, reply in zip(batch.requests, replies, strict=True)
            ]
        granted = _granted_resources(batch.requests, replies)
        progress = {
            resource: self.store.progress[resource].text
            for resource in granted
            if resource in self.store.progress
        }
        return LeaseReplyBatch(replies, progress)

    async def _on_requests(self, request: Request, _caller: str) -> bytes:
        return encode_json(await self.handle_requests(request_batch_decoder.decode(request.body)))

    async def _on_known_tokens(self, _request: Request, _caller: str) -> bytes:
        return encode_json(KnownTokens(self.acceptor.name, self.acceptor.tokens, self.store.progress))

    async def _on_status(self, _request: Request, _caller: str) -> bytes:
        is_ready = self.acceptor.is_ready(self._steady_clock())
        return encode_json(LeaseServerStatus(self.acceptor.name, is_ready, self.lease_statuses()))

    def _apply(self, request: LeaseRequest, progress: str, now_ms: float) -> LeaseReply:
        """Applies one request; stages its token and its progress if it is granted."""
        if (
            not _is_valid_name(request.resource)
            or not _is_valid_name(request.holder)
            or request.fencing_token < 0
        ):
            raise HttpStatusError(400, "work, holder, number; expected two short names and a number from 0")
        decision = self.acceptor.handle_request(request, now_ms)
        if decision.is_new_token:
            self.store.stage_token(request.resource, request.fencing_token)
        if decision.reply.is_granted and progress:
            self.store.stage_progress(request.resource, ResourceProgress(request.fencing_token, progress))
        return decision.reply

    def _confirmed(self, request: LeaseRequest, reply: LeaseReply) -> LeaseReply:
        """Returns the reply to send after the commit: a token that could not be stored is not granted."""
        if not reply.is_granted or self.acceptor.is_granted(request):
            return reply
        return LeaseReply(reply.server, False, reply.highest_token, is_ready=reply.is_ready)

    async def _commit_staged(self) -> None:
        """Stores all staged records, including those of other callers; revokes the grants on failure.

        Because of the lock, a caller whose token is being stored waits for the result.
        """
        async with self._commit_lock:
            batch = self.store.staged()
            if not batch.records():
                return
            if await self.store.commit(batch):
                self._record_grant_times(batch.tokens)
            else:
                for record in batch.tokens.values():
                    self.acceptor.revoke_grant(record.resource, record.fencing_token)
            await self.store.compact(self.acceptor.tokens)

    def _record_grant_times(self, tokens: Mapping[str, StoredRecord]) -> None:
        now_ms = self._steady_clock()
        for resource, record in tokens.items():
            grant = self.acceptor.active_grant(resource, now_ms)
            holder = grant.holder if grant is not None else ""
            log.info("lease granted work=%s holder=%s number=%d", resource, holder, record.fencing_token)
            self._grant_times[resource] = _GrantTime(record.fencing_token, now_ms)

    def _lease_status(self, resource: str, now_ms: float) -> LeaseStatus:
        fencing_token = self.acceptor.tokens[resource]
        grant = self.acceptor.active_grant(resource, now_ms)
        if grant is None:
            return LeaseStatus(resource, fencing_token, "", 0.0, 0.0)
        held_for_ms = self._held_for_ms(resource, grant, now_ms)
        return LeaseStatus(resource, fencing_token, grant.holder, grant.expires_ms - now_ms, held_for_ms)

    def _held_for_ms(self, resource: str, grant: Grant, now_ms: float) -> float:
        granted = self._grant_times.get(resource)
        if granted is None or granted.fencing_token != grant.fencing_token:
            return 0.0
        return now_ms - granted.stored_ms

    async def _sync_with_peers(self) -> None:
        """Asks every peer for its tokens until each has answered once."""
        unsynced = list(self._peers)
        while unsynced:
            unsynced = [peer for peer in unsynced if not await self._sync_with_peer(peer)]
            await asyncio.sleep(PEER_RETRY_S)
        log.info("lease server has synced with all peers works=%d", len(self.acceptor.tokens))

    async def _sync_with_peer(self, peer: _Peer) -> bool:
        """Merges the tokens and the progress of a peer; returns whether it answered."""
        auth_token, path = self._auth_token(), "/leases/numbers"
        call = fetch(peer.host, peer.port, "GET", path, auth_token, tls=peer.tls, within_s=PEER_TIMEOUT_S)
        try:
            known = known_tokens_decoder.decode(await call)
        except CALL_ERRORS as error:
            log.debug("lease server did not answer feed=%s:%d: %s", peer.host, peer.port, error)
            return False
        self.acceptor.learn_tokens(known.server, known.tokens)
        for resource, progress in known.progress.items():
            self.store.learn_progress(resource, progress)
        return True


def _granted_resources(requests: Iterable[LeaseRequest], replies: Iterable[LeaseReply]) -> set[str]:
    pairs = zip(requests, replies, strict=True)
    return {request.resource for request, reply in pairs if reply.is_granted}


def _is_valid_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_CHARS
