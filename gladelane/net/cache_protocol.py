"""The codec of the cache protocol, without I/O: encodes commands, decodes replies.

A reply starts with a line of an id, a word, fields and the length of its body. An unreadable id, word or
length is an error, since the next reply cannot be found. A field that cannot be read is logged and ignored.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

from ..clock import UnixMs
from ..routing.events import Note
from .attempt_outcomes import AttemptOutcome

log = logging.getLogger(__name__)

MAX_LINE = 4096
MAX_BODY = 262_000  # objects have 240,000 bytes at most, a client's frame 262,144 with its head and fields
WORDS = {
    "served": AttemptOutcome.SERVED,
    "still_good": AttemptOutcome.STILL_GOOD,
    "not_here": AttemptOutcome.NOT_HERE,
    "overload": AttemptOutcome.OVERLOAD,
    "crashed": AttemptOutcome.CRASHED,
    "nobody": AttemptOutcome.NOBODY,
}
LENGTH = re.compile(r"[0-9]{1,12}")
AMOUNT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,20})?")  # float() also takes signs, nan, inf, 1_0, 1e999
DATE = re.compile(r"[0-9]{1,15}(\.[0-9]{1,20})?")
LOAD = re.compile(r"([a-z][a-z0-9_]{0,31}):([0-9]{1,15}(?:\.[0-9]{1,20})?(?:e[-+]?[0-9]{1,2})?)")
MAX_LOADS = 16  # values in one load report; the settings name four at most
NOTES = dict(zip("hfojsrblnx", list(Note)[1:], strict=True))
MAX_UNREADABLE_LOGGED = 3  # unreadable fields that are logged on one connection


class MalformedReplyError(Exception):
    """The server violated the protocol; nothing after it on the connection can be used."""


class Reply(NamedTuple):
    """A server's reply to the attempt with the request id `id`."""

    id: str
    outcome: AttemptOutcome
    note: Note = Note.NOT_REPORTED
    source_wait_ms: float = 0.0
    body: bytes = b""
    dated_ms: UnixMs = UnixMs(0.0)  # when the origin sent the copy, Unix ms; 0: unknown
    report: Mapping[str, float] | None = None  # load report: values by name; None: there is none


class ReplyDecoder:
    """Decodes the replies on one connection from its bytes, however they are split."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._head: Reply | None = None
        self._length = 0
        self._unreadable = 0  # fields so far

    def pending(self) -> bool:
        """Whether a reply has begun and not ended."""
        return self._head is not None or bool(self._buffer)

    def under_way(self) -> tuple[str, float]:
        """The id of the reply that has begun ('' while unknown) and the share of it that was received."""
        if self._head is None:
            return "", 0.0
        return self._head.id, len(self._buffer) / (self._length + 2)

    def feed(self, data: bytes) -> Iterator[Reply]:
        """The replies that these bytes complete. Raises MalformedReplyError."""
        buffer = self._buffer
        buffer += data
        while True:
            if self._head is None:
                at = buffer.find(b"\r\n")
                if at > MAX_LINE or (at < 0 and len(buffer) > MAX_LINE):
                    raise MalformedReplyError("line too long")
                if at < 0:
                    return
                self._head, self._length = self._decode_head(bytes(buffer[:at]))
                del buffer[: at + 2]
            if len(buffer) < self._length + 2:
                return
            if buffer[self._length : self._length + 2] != b"\r\n":
                raise MalformedReplyError("body does not end where its length says")
            reply = self._head._replace(body=bytes(buffer[: self._length]))
            del buffer[: self._length + 2]
            self._head = None
            yield reply

    def _decode_head(self, line: bytes) -> tuple[Reply, int]:
        """The reply without its body, and the body's length. Raises MalformedReplyError."""
        try:
            # a field that is ignored may have bytes above 127; id and word are checked below
            id_, word, text, length = line.decode("latin-1").split(" ")
        except ValueError:
            raise MalformedReplyError(
                "unreadable answer: expected an id, a word, fields and a length"
            ) from None
        if not id_.isascii() or word not in WORDS:
            raise MalformedReplyError(f"unreadable answer: id {id_!a:.40} word {word!a:.40}")
        if not LENGTH.fullmatch(length):
            raise MalformedReplyError(f"unreadable answer: length {length!a:.40}")
        if int(length) > MAX_BODY:
            raise MalformedReplyError(f"body of {length} bytes")
        fields = _split_fields(text)
        reply = Reply(
            id_,
            WORDS[word],
            self._note(fields),
            self._amount(fields, "first", AMOUNT),
            dated_ms=UnixMs(self._amount(fields, "dated", DATE)),
            report=self._report(fields),
        )
        return reply, int(length)

    def _note(self, fields: Mapping[str, str]) -> Note:
        letter = fields.get("remark", "")
        note = NOTES.get(letter)
        if note is None and letter:
            self._ignore_field("remark", letter)
        return note or Note.NOT_REPORTED

    def _amount(self, fields: Mapping[str, str], name: str, form: re.Pattern[str]) -> float:
        text = fields.get(name, "")
        if form.fullmatch(text):
            return float(text)
        if text:
            self._ignore_field(name, text)
        return 0.0

    def _report(self, fields: Mapping[str, str]) -> Mapping[str, float] | None:
        """The load report; None if any part of it is unreadable."""
        text = fields.get("report", "")
        if not text:
            return None
        pairs = [LOAD.fullmatch(part) for part in text.split(";", MAX_LOADS)]
        report = {pair[1]: float(pair[2]) for pair in pairs if pair is not None}
        if len(report) != len(pairs) or len(pairs) > MAX_LOADS:
            self._ignore_field("report", text)
            return None
        return MappingProxyType(report)

    def _ignore_field(self, name: str, text: str) -> None:
        self._unreadable += 1
        if self._unreadable <= MAX_UNREADABLE_LOGGED:
            log.warning("unreadable field left out name=%s value=%s", name, ascii(text[:40]))


def _split_fields(text: str) -> dict[str, str]:
    """Splits `-` or `name=value,name=value`. Text after a comma that is no pair is added to the value before
    it, which becomes unreadable. Raises MalformedReplyError where not even the first is a pair."""
    fields: dict[str, str] = {}
    if text == "-":
        return fields
    latest = ""
    for part in text.split(","):
        name, is_pair, value = part.partition("=")
        if is_pair:
            latest = name
            fields[name] = value
        elif latest:
            fields[latest] += f",{part}"
        else:
            raise MalformedReplyError(f"unreadable answer: fields {text!a:.40}")
    return fields


def encode_fetch(id_: str, fields: Mapping[str, str], body: bytes) -> bytes:
    """The command that sends an attempt."""
    text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    return f"fetch {id_} {text} {len(body)}\r\n".encode() + body + b"\r\n"


def encode_abort(id_: str) -> bytes:
    """The command that cancels an attempt; a reply may still come."""
    return f"abort {id_}\r\n".encode()
