"""The cache protocol without I/O: commands out, answers in.

An answer has two parts that differ in trust. Its form (id, word, length of the body) says where the next one
begins: where that is lost the connection is. Its fields only describe the answer: one that cannot be read is
left out, and the answer is used without it.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

from ..interface import Note
from .ends import End

log = logging.getLogger(__name__)

MAX_LINE = 4096
MAX_BODY = 262_144  # an object holds 240,000 bytes at most
WORDS = {
    "served": End.SERVED,
    "still_good": End.STILL_GOOD,
    "not_here": End.NOT_HERE,
    "overload": End.OVERLOAD,
    "crashed": End.CRASHED,
    "nobody": End.NOBODY,
}
LENGTH = re.compile(r"[0-9]{1,12}")
AMOUNT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,20})?")  # float() also takes signs, nan, inf, 1_0, 1e999
DATE = re.compile(r"[0-9]{1,15}(\.[0-9]{1,20})?")
LOAD = re.compile(r"([a-z][a-z0-9_]{0,31}):([0-9]{1,15}(?:\.[0-9]{1,20})?(?:e[-+]?[0-9]{1,2})?)")
LOADS_MOST = 16  # values in one report; the settings name four at the most, the rest is room for new ones
NOTES = dict(zip("hfojsrblnx", list(Note)[1:], strict=True))
UNREADABLE_LOGGED = 3  # unreadable fields of one connection that are logged; further ones are passed over


class Garbled(Exception):
    """The peer sent what this protocol does not have; nothing after it can be trusted."""


class Reply(NamedTuple):
    id: str
    end: End
    note: Note = Note.UNTOLD
    source_wait_ms: float = 0.0
    body: bytes = b""
    dated_ms: float = 0.0  # when the origin gave the copy out, Unix; 0: untold
    report: Mapping[str, float] | None = None  # the cache's load by the names it gave; None: untold


class ReplyDecoder:
    """The answers on one connection, from its bytes in any cut."""

    def __init__(self) -> None:
        self._held = bytearray()
        self._head: Reply | None = None
        self._length = 0
        self._unreadable = 0  # fields that were left out

    def pending(self) -> bool:
        """Whether an answer has begun and not ended."""
        return self._head is not None or bool(self._held)

    def under_way(self) -> tuple[str, float]:
        """The id of the answer that has begun, '' while that is not known, and the part that has come."""
        if self._head is None:
            return "", 0.0
        return self._head.id, len(self._held) / (self._length + 2)

    def feed(self, data: bytes) -> Iterator[Reply]:
        """The answers that these bytes complete. Raises Garbled."""
        held = self._held
        held += data
        while True:
            if self._head is None:
                at = held.find(b"\r\n")
                if at > MAX_LINE or (at < 0 and len(held) > MAX_LINE):
                    raise Garbled("line too long")
                if at < 0:
                    return
                self._head, self._length = self._decode_head(bytes(held[:at]))
                del held[: at + 2]
            if len(held) < self._length + 2:
                return
            if held[self._length : self._length + 2] != b"\r\n":
                raise Garbled("body does not end where its length says")
            reply = self._head._replace(body=bytes(held[: self._length]))
            del held[: self._length + 2]
            self._head = None
            yield reply

    def _decode_head(self, line: bytes) -> tuple[Reply, int]:
        """The answer without its body, and the body's length. Raises Garbled."""
        try:
            # bytes above 127 may stand in a field that is left out; id and word are compared as they are
            id_, word, text, length = line.decode("latin-1").split(" ")
        except ValueError:
            raise Garbled("unreadable answer: expected an id, a word, fields and a length") from None
        if not id_.isascii() or word not in WORDS:
            raise Garbled(f"unreadable answer: id {id_!a:.40} word {word!a:.40}")
        if not LENGTH.fullmatch(length):
            raise Garbled(f"unreadable answer: length {length!a:.40}")
        if int(length) > MAX_BODY:
            raise Garbled(f"body of {length} bytes")
        fields = _split_fields(text)
        reply = Reply(
            id_,
            WORDS[word],
            self._note(fields),
            self._amount(fields, "first", AMOUNT),
            dated_ms=self._amount(fields, "dated", DATE),
            report=self._report(fields),
        )
        return reply, int(length)

    def _note(self, fields: Mapping[str, str]) -> Note:
        letter = fields.get("remark", "")
        note = NOTES.get(letter)
        if note is None and letter:
            self._leave_out("remark", letter)
        return note or Note.UNTOLD

    def _amount(self, fields: Mapping[str, str], name: str, form: re.Pattern[str]) -> float:
        text = fields.get(name, "")
        if form.fullmatch(text):
            return float(text)
        if text:
            self._leave_out(name, text)
        return 0.0

    def _report(self, fields: Mapping[str, str]) -> Mapping[str, float] | None:
        """All of a report or nothing: of one that is torn no part is known to be right."""
        text = fields.get("report", "")
        if not text:
            return None
        pairs = [LOAD.fullmatch(part) for part in text.split(";", LOADS_MOST)]
        report = {pair[1]: float(pair[2]) for pair in pairs if pair is not None}
        if len(report) != len(pairs) or len(pairs) > LOADS_MOST:
            self._leave_out("report", text)
            return None
        return MappingProxyType(report)

    def _leave_out(self, name: str, text: str) -> None:
        self._unreadable += 1
        if self._unreadable <= UNREADABLE_LOGGED:
            log.warning("unreadable field left out name=%s value=%s", name, ascii(text[:40]))


def _split_fields(text: str) -> dict[str, str]:
    """`-` or `name=value,name=value`. What follows a comma and is no pair belongs to the value before it,
    which so becomes unreadable as a whole. Raises Garbled where not even the first is a pair."""
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
            raise Garbled(f"unreadable answer: fields {text!a:.40}")
    return fields


def encode_fetch(id_: str, fields: Mapping[str, str], body: bytes) -> bytes:
    text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    return f"fetch {id_} {text} {len(body)}\r\n".encode() + body + b"\r\n"


def encode_abort(id_: str) -> bytes:
    return f"abort {id_}\r\n".encode()
