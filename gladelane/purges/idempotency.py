"""Idempotency keys of purges: a repeated request gets the response of the first one."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from http import HTTPStatus

import msgspec

from ..control_plane.http import HttpStatusError
from .purge import Purge
from .wire import Accepted


def accepted_response(purge: Purge, is_repeated: bool = False) -> Accepted:
    """Returns the response to the request of a purge that was stored."""
    return Accepted(purge.issuer, purge.epoch, purge.seq, purge.at_ms, purge.scope, is_repeated)


class IdempotencyKeys:
    """The keys of the purges that one server has issued, and of those that it is storing."""

    def __init__(self, purges: Iterable[Purge]) -> None:
        """`purges`: the recovered purges that this server issued."""
        self._purges = {purge.key: purge for purge in purges if purge.key}
        self._pending: dict[str, asyncio.Future[Accepted]] = {}

    async def find(self, key: str, scope: str) -> Accepted | None:
        """Waits for the response of an earlier request with a key and returns it, or None if there was no
        such request. Raises HttpStatusError if that request had another scope, and any error that it
        raised."""
        if (known := self._purges.get(key)) is not None:
            first = accepted_response(known)
        elif (pending := self._pending.get(key)) is not None:
            first = await asyncio.shield(pending)
        else:
            return None
        if first.scope != scope:
            raise HttpStatusError(HTTPStatus.CONFLICT, "this key was used for another scope")
        return msgspec.structs.replace(first, is_repeated=True)

    def begin(self, key: str, response: asyncio.Future[Accepted]) -> None:
        """Makes later requests with a key wait for a response."""
        self._pending[key] = response
        response.add_done_callback(lambda _: self._pending.pop(key, None))

    def add(self, purge: Purge) -> None:
        """Adds the key of a purge that was stored."""
        if purge.key:
            self._purges[purge.key] = purge

    def expire(self, oldest_ms: float) -> None:
        """Removes the keys of purges up to a time in Unix ms."""
        self._purges = {key: purge for key, purge in self._purges.items() if purge.at_ms > oldest_ms}
