"""Encodes commands and decodes replies of the cache protocol, without I/O.

A reply starts with a line that consists of an id, an outcome word, fields and the length of the body. An
unreadable id, word or length is an error, since the start of the next reply is unknown then. An unreadable
field is logged and ignored.
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

MAX_LINE_BYTES = 4096
MAX_BODY_BYTES = 262_000  # objects have at most 240,000; a client frame has 262,144 with header and fields
OUTCOME_BY_WORD = {
    "served": AttemptOutcome.SERVED,
    "still_good": AttemptOutcome.STILL_GOOD,
    "not_here": AttemptOutcome.NOT_HERE,
    "overload": AttemptOutcome.OVERLOAD,
    "crashed": AttemptOutcome.CRASHED,
    "nobody": AttemptOutcome.NOBODY,
}
LENGTH = re.compile(r"[0-9]{1,12}")
AMOUNT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,20})?")  # float() would also accept signs, nan, inf, 1_0 and 1e999
DATE = re.compile(r"[0-9]{1,15}(\.[0-9]{1,20})?")
LOAD_VALUE = re.compile(r"([a-z][a-z0-9_]{0,31}):([0-9]{1,15}(?:\.[0-9]{1,20})?(?:e[-+]?[0-9]{1,2})?)")
MAX_LOAD_VALUES = 16  # in one load report; the settings name at most four
NOTE_BY_LETTER = dict(zip("hfojsrblnx", list(Note)[1:], strict=True))
MAX_UNREADABLE_LOGGED = 3  # unreadable fields that are logged for one connection


class MalformedReplyError(Exception):
    """The server violated the protocol, so that no later byte on the connection can be used."""


class Reply(NamedTuple):
    """A server's reply to the attempt with the request id `id`."""

    id: str
    outcome: AttemptOutcome
    note: Note = Note.NOT_REPORTED
    source_wait_ms: float = 0.0
    body: bytes = b""
    dated_ms: UnixMs = UnixMs(0.0)  # when the origin sent the copy, in Unix ms; 0: unknown
    report: Mapping[str, float] | None = None  # load report, values by name; None: the reply has none


class ReplyDecoder:
    """Decodes the replies on one connection from its bytes, which may arrive in pieces of any size."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._head: Reply | None = None
        self._length = 0
        self._unreadable = 0  # unreadable fields so far

    def has_incomplete_reply(self) -> bool:
        """Whether a reply is incomplete."""
        return self._head is not None or bool(self._buffer)

    def body_bytes(self) -> int:
        """The size of the body of the incomplete reply; 0 while it is unknown."""
        return self._length if self._head is not None else 0

    def missing_bytes(self) -> int:
        """How many bytes of the incomplete reply have not arrived; 0 while its size is unknown."""
        return self._length + 2 - len(self._buffer) if self._head is not None else 0

    def reply_in_progress(self) -> tuple[str, float]:
        """The id of the incomplete reply, '' while it is unknown, and the share of its body that was
        received."""
        if self._head is None:
            return "", 0.0
        return self._head.id, len(self._buffer) / (self._length + 2)

    def feed(self, data: bytes) -> Iterator[Reply]:
        """Adds received bytes and yields the replies that they complete. Raises MalformedReplyError."""
        buffer = self._buffer
        buffer += data
        while True:
            if self._head is None:
                position = buffer.find(b"\r\n")
                if position > MAX_LINE_BYTES or (position < 0 and len(buffer) > MAX_LINE_BYTES):
                    raise MalformedReplyError("line too long")
                if position < 0:
                    return
                self._head, self._length = self._decode_head(bytes(buffer[:position]))
                del buffer[: position + 2]
            if len(buffer) < self._length + 2:
                return
            if buffer[self._length : self._length + 2] != b"\r\n":
                raise MalformedReplyError("body is not followed by a line break after its stated length")
            reply = self._head._replace(body=bytes(memoryview(buffer)[: self._length]))
            del buffer[: self._length + 2]
            self._head = None
            yield reply

    def _decode_head(self, line: bytes) -> tuple[Reply, int]:
        """Decodes the first line: returns the reply without its body, and the length of the body. Raises
        MalformedReplyError."""
        try:
            # a field that is ignored may contain bytes above 127; id and word are checked below
            id_, word, text, length = line.decode("latin-1").split(" ")
        except ValueError:
            raise MalformedReplyError(
                "unreadable answer: expected an id, a word, fields and a length"
            ) from None
        if not id_.isascii() or word not in OUTCOME_BY_WORD:
            raise MalformedReplyError(f"unreadable answer: id {id_!a:.40} word {word!a:.40}")
        if not LENGTH.fullmatch(length):
            raise MalformedReplyError(f"unreadable answer: length {length!a:.40}")
        if int(length) > MAX_BODY_BYTES:
            raise MalformedReplyError(f"body of {length} bytes")
        fields = _split_fields(text)
        reply = Reply(
            id_,
            OUTCOME_BY_WORD[word],
            self._note(fields),
            self._amount(fields, "first", AMOUNT),
            dated_ms=UnixMs(self._amount(fields, "dated", DATE)),
            report=self._report(fields),
        )
        return reply, int(length)

    def _note(self, fields: Mapping[str, str]) -> Note:
        letter = fields.get("remark", "")
        note = NOTE_BY_LETTER.get(letter)
        if note is None and letter:
            self._ignore_field("remark", letter)
        return note or Note.NOT_REPORTED

    def _amount(self, fields: Mapping[str, str], name: str, pattern: re.Pattern[str]) -> float:
        text = fields.get(name, "")
        if pattern.fullmatch(text):
            return float(text)
        if text:
            self._ignore_field(name, text)
        return 0.0

    def _report(self, fields: Mapping[str, str]) -> Mapping[str, float] | None:
        """The load report; None if any part of it is unreadable."""
        text = fields.get("report", "")
        if not text:
            return None
        pairs = [LOAD_VALUE.fullmatch(part) for part in text.split(";", MAX_LOAD_VALUES)]
        report = {pair[1]: float(pair[2]) for pair in pairs if pair is not None}
        if len(report) != len(pairs) or len(pairs) > MAX_LOAD_VALUES:
            self._ignore_field("report", text)
            return None
        return MappingProxyType(report)

    def _ignore_field(self, name: str, text: str) -> None:
        self._unreadable += 1
        if self._unreadable <= MAX_UNREADABLE_LOGGED:
            log.warning("ignored an unreadable field name=%s value=%s", name, ascii(text[:40]))


def _split_fields(text: str) -> dict[str, str]:
    """Splits `-` or `name=value,name=value`. Text after a comma that is not a pair is appended to the value
    before it, which makes that field unreadable. Raises MalformedReplyError if the first part is not a
    pair."""
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
    """Encodes the command that sends an attempt."""
    text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    return f"fetch {id_} {text} {len(body)}\r\n".encode() + body + b"\r\n"


def encode_abort(id_: str) -> bytes:
    """Encodes the command that cancels an attempt. A reply to the attempt may still arrive."""
    return f"abort {id_}\r\n".encode()
