"""The HTTP API of a purge log server, as a part of a control server.

POST /purges              Stores a purge and sends it to all subscribers. The body is
                          {"scope": ..., "tags": {...}}, with an Idempotency-Key header.
GET  /follow?from=VECTOR  Streams server-sent events: the purges that the subscriber lacks, then new ones.
                          A peer adds &peer=1.
GET  /purges              Returns the active purges.
GET  /status              Returns the state of the server.
GET  /explain?object=&class=&group=&part=
                          Returns the purges that apply to a request.
POST /events              Receives events of a stream, from a director that has purges which this server
                          lacks.
POST /vouch               Receives an operator's attestation about lost purges (`low_watermark`).
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from http import HTTPStatus
from urllib.parse import parse_qs, unquote

from ..control_plane.event_stream import EventSink
from ..control_plane.http import HttpStatusError, Request
from ..control_plane.part import MAX_LARGE_BODY_BYTES, Route, StreamRoute
from ..control_plane.positions import Vector, parse_vector
from .low_watermark import MAX_ATTESTATION_CHARS
from .purge import MAX_INTEGER, MAX_KEY_CHARS, Purge
from .purge_log import PurgeLog
from .scope import parse
from .wire import attest_decoder, encode_json, event_decoder, submit_decoder


class PurgePart:
    """Serves one purge log."""

    def __init__(self, purge_log: PurgeLog) -> None:
        """`purge_log` is started and closed together with the control server."""
        self._log = purge_log

    def routes(self) -> Sequence[Route]:
        """Returns the routes that answer with one response."""
        return (
            Route("POST", "/purges", self._submit),
            Route("POST", "/events", self._receive, MAX_LARGE_BODY_BYTES),
            Route("POST", "/vouch", self._attest),
            Route("GET", "/purges", self._list),
            Route("GET", "/status", self._status),
            Route("GET", "/explain", self._explain),
        )

    def streams(self) -> Sequence[StreamRoute]:
        """Returns the routes that answer with a stream."""
        return (StreamRoute("/follow", self._subscribe),)

    def start(self) -> None:
        """Starts the log."""
        self._log.start()

    async def close(self) -> None:
        """Closes the log."""
        await self._log.close()

    async def _submit(self, request: Request, _caller: str) -> bytes:
        submitted = submit_decoder.decode(request.body)
        key = request.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_CHARS or not key.isprintable():
            expected = f"expected up to {MAX_KEY_CHARS} printable characters"
            raise HttpStatusError(HTTPStatus.BAD_REQUEST, f"Idempotency-Key; {expected}")
        return encode_json(await self._log.submit(submitted.scope, key, submitted.tags))

    async def _receive(self, request: Request, _caller: str) -> bytes:
        self._log.receive_event(event_decoder.decode(request.body))
        return b"{}"

    async def _attest(self, request: Request, caller: str) -> bytes:
        attested = attest_decoder.decode(request.body)
        by = f"{caller}: {attested.reason}" if attested.reason else caller
        is_valid_time = 0.0 <= attested.since_ms < MAX_INTEGER
        if not is_valid_time or len(by) > MAX_ATTESTATION_CHARS or not by.isprintable():
            expected = "expected Unix ms or 0, and 200 printable characters"
            raise HttpStatusError(HTTPStatus.BAD_REQUEST, f"since_ms, why; {expected}")
        return encode_json(await self._log.losses.attest(attested.since_ms, by))

    async def _list(self, _request: Request, _caller: str) -> bytes:
        return encode_json(list(self._log.active.purges_after({})))

    async def _status(self, _request: Request, _caller: str) -> bytes:
        return encode_json(self._log.status())

    async def _explain(self, request: Request, _caller: str) -> bytes:
        return encode_json(matching_purges(self._log.active.purges_after({}), request.query))

    async def _subscribe(self, request: Request, sink: EventSink) -> None:
        if "peer=1" not in request.query.split("&"):
            await self._log.losses.settled.wait()
        await self._log.stream.serve(sink, _known_vector(request.query))


def matching_purges(purges: Iterable[Purge], query: str) -> list[Purge]:
    """Returns the purges that apply to the request that a query describes, newest first. Raises ValueError if
    the query is invalid."""
    given = {name: values[0] for name, values in parse_qs(query).items()}
    cls, object_ = given.get("class", "?"), int(given.get("object", "0"), 16)
    group, part = int(given.get("group", "-1")), int(given.get("part", "0"))
    matching = [purge for purge in purges if parse(purge.scope).covers(cls, group, object_, part)]
    return sorted(matching, key=lambda purge: -purge.at_ms)


def _known_vector(query: str) -> Vector:
    """Returns the position in the query of a subscriber. Raises InvalidPositionError."""
    given = [item.partition("=") for item in query.split("&")]
    return parse_vector(unquote(next((value for name, _, value in given if name == "from"), "")))
