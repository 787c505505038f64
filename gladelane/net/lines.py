"""The cache protocol without I/O: commands out, answers in."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from ..interface import Note
from .ends import End

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
AMOUNT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,20})?")  # float() also takes signs, nan, inf, 1_0, 1e999
DATE = re.compile(r"[0-9]{1,15}(\.[0-9]{1,20})?")
NOTES = dict(zip("hfojsrblnx", list(Note)[1:], strict=True))


class Garbled(Exception):
    """The peer sent what this protocol does not have; nothing after it can be trusted."""


class Reply(NamedTuple):
    id: str
    end: End
    note: Note = Note.UNTOLD
    source_wait_ms: float = 0.0
    body: bytes = b""
    dated_ms: float = 0.0  # when the origin gave the copy out, Unix; 0: untold


class ReplyDecoder:
    def __init__(self) -> None:
        self._held = bytearray()
        self._head: Reply | None = None
        self._length = 0

    def pending(self) -> bool:
        """Whether an answer has begun and not ended."""
        return self._head is not None or bool(self._held)

    def under_way(self) -> tuple[str, float]:
        """The id of the answer that has begun, '' while that is not known, and the part that has come."""
        if self._head is None:
            return "", 0.0
        return self._head.id, len(self._held) / (self._length + 2)

    def feed(self, data: bytes) -> Iterator[Reply]:
        held = self._held
        held += data
        while True:
            if self._head is None:
                at = held.find(b"\r\n")
                if at > MAX_LINE or (at < 0 and len(held) > MAX_LINE):
                    raise Garbled("line too long")
                if at < 0:
                    return
                self._head, self._length = _head(bytes(held[:at]))
                del held[: at + 2]
            if len(held) < self._length + 2:
                return
            if held[self._length : self._length + 2] != b"\r\n":
                raise Garbled("body does not end where its length says")
            reply = self._head._replace(body=bytes(held[: self._length]))
            del held[: self._length + 2]
            self._head = None
            yield reply


def _head(line: bytes) -> tuple[Reply, int]:
    try:
        id_, word, text, length = line.decode("ascii").split(" ")
        fields = dict(pair.split("=", 1) for pair in text.split(",")) if text != "-" else {}
        note = NOTES[fields["remark"]] if fields.get("remark") else Note.UNTOLD
        waited = fields.get("first", "0")
        if not AMOUNT.fullmatch(waited) or not length.isdecimal() or len(length) > 12:
            raise ValueError(f"first={waited} length {length}")
        dated = fields.get("dated", "")
        told = float(dated) if DATE.fullmatch(dated) else 0.0
        reply = Reply(id_, WORDS[word], note, float(waited), dated_ms=told)
        size = int(length)
    except (ValueError, KeyError) as error:
        raise Garbled(f"unreadable answer: {error}") from None
    if size > MAX_BODY:
        raise Garbled(f"body of {size} bytes")
    return reply, size


def encode_fetch(id_: str, fields: Mapping[str, str], body: bytes) -> bytes:
    text = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
    return f"fetch {id_} {text} {len(body)}\r\n".encode() + body + b"\r\n"


def encode_abort(id_: str) -> bytes:
    return f"abort {id_}\r\n".encode()
