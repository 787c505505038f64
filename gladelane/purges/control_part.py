"""The purge log's calls, as a part of a control server.

POST /purges              {"scope": ..., "tags": {...}}, with Idempotency-Key: stored, and told to all
GET  /follow?from=VECTOR  server-sent events: all that lacks, then what comes; with &peer=1 from a peer
GET  /purges, /status     what is in force; how the log is
GET  /explain?object=&class=&group=&part=
POST /events              from a director that knows what this log lacks: the events of the stream
POST /vouch               an operator's word on what was lost (`horizon`)
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from urllib.parse import parse_qs, unquote

from ..control.event_stream import EventSink
from ..control.http import Refused, Request
from ..control.part import MAX_LARGE_BODY_BYTES, Route, StreamRoute
from ..control.positions import Vector, read_vector
from .order import Purge
from .purge_log import PurgeLog
from .scope import parse
from .wire import encode_json, event_decoder, submit_decoder, vouch_decoder

MAX_KEY_CHARS = 128
MAX_REASON_CHARS = 256  # with the name of the one who gave it


class PurgePart:
    def __init__(self, purge_log: PurgeLog) -> None:
        self._log = purge_log

    def routes(self) -> Sequence[Route]:
        return (
            Route("POST", "/purges", self._submit),
            Route("POST", "/events", self._receive, MAX_LARGE_BODY_BYTES),
            Route("POST", "/vouch", self._vouch),
            Route("GET", "/purges", self._list),
            Route("GET", "/status", self._status),
            Route("GET", "/explain", self._explain),
        )

    def streams(self) -> Sequence[StreamRoute]:
        return (StreamRoute("/follow", self._subscribe),)

    def start(self) -> None:
        self._log.start()

    async def close(self) -> None:
        await self._log.close()

    async def _submit(self, request: Request, caller: str) -> bytes:
        wanted = submit_decoder.decode(request.body)
        key = request.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_CHARS or not key.isprintable():
            raise Refused(400, f"Idempotency-Key; expected up to {MAX_KEY_CHARS} printable characters")
        return encode_json(await self._log.submit(wanted.scope, key, wanted.tags))

    async def _receive(self, request: Request, caller: str) -> bytes:
        self._log.receive_event(event_decoder.decode(request.body))
        return b"{}"

    async def _vouch(self, request: Request, caller: str) -> bytes:
        word = vouch_decoder.decode(request.body)
        by = f"{caller}: {word.why}" if word.why else caller
        if not 0.0 <= word.since_ms < 2**53 or len(by) > MAX_REASON_CHARS or not by.isprintable():
            raise Refused(400, "since_ms, why; expected Unix ms or 0, and 200 printable characters")
        return encode_json(await self._log.vouch(word.since_ms, by))

    async def _list(self, request: Request, caller: str) -> bytes:
        return encode_json(list(self._log.active.beyond({})))

    async def _status(self, request: Request, caller: str) -> bytes:
        return encode_json(self._log.status())

    async def _explain(self, request: Request, caller: str) -> bytes:
        return encode_json(binding(self._log.active.beyond({}), request.query))

    async def _subscribe(self, request: Request, sink: EventSink) -> None:
        if "peer=1" not in request.query.split("&"):
            await self._log.settled.wait()
        await self._log.stream.serve(sink, _known_vector(request.query))


def binding(purges: Iterable[Purge], query: str) -> list[Purge]:
    """The purges that bind a request, newest first. Raises ValueError for a query that names none."""
    given = {name: values[0] for name, values in parse_qs(query).items()}
    object_ = int(given.get("object", "0"), 16)
    group, part = int(given.get("group", "-1")), int(given.get("part", "0"))
    found = [p for p in purges if parse(p.scope).covers(given.get("class", "?"), group, object_, part)]
    return sorted(found, key=lambda p: -p.at_ms)


def _known_vector(query: str) -> Vector:
    """What a subscriber says that it knows. Raises BadPosition."""
    given = [item.partition("=") for item in query.split("&")]
    return read_vector(unquote(next((value for name, _, value in given if name == "from"), "")))
