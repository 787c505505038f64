"""The client protocol without I/O: frames, fields, requests and answers."""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator, Mapping
from enum import IntEnum
from typing import NamedTuple

from ..interface import Effect, Settings
from .exchange import Ask, Final

MAX_FRAME = 262_144
HEAD = struct.Struct(">IBI")
LOOK_AHEAD = 1024  # frames: more than a client that knows of its answers can have under way
LENGTH_COVERS = 5  # type and stream; the length does not count itself
HEX16 = re.compile(r"[0-9a-fA-F]{16}")
AMOUNT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,20})?")  # float() also takes signs, nan, inf, 1_0, 1e999
LONGEST = 10.0  # a wait of so many times its class's deadline is out of range
TOKEN = re.compile(r"[!-+\--<>-~]{1,256}")  # printable, without the separators of a cache line: space , =


class Type(IntEnum):
    REQUEST = 16
    ANSWER = 17
    GONE = 18
    ASK_READY = 32
    READY = 33
    NO_MORE = 48


class FramingLost(Exception):
    """The length cannot be right, so neither can anything after it."""


class BadRequest(Exception):
    """A whole frame whose content cannot be used."""


class Frame(NamedTuple):
    type: int
    stream: int
    payload: bytes


class FrameDecoder:
    def __init__(self) -> None:
        self._held = bytearray()

    def pending(self) -> int:
        return len(self._held)

    def feed(self, data: bytes) -> Iterator[Frame]:
        held = self._held
        held += data
        while len(held) >= 4:
            length = int.from_bytes(held[:4], "big")
            if not LENGTH_COVERS <= length <= MAX_FRAME:
                raise FramingLost(f"frame length {length}")
            if len(held) < 4 + length:
                return
            _, type_, stream = HEAD.unpack_from(held)
            payload = bytes(held[HEAD.size : 4 + length])
            del held[: 4 + length]
            yield Frame(type_, stream, payload)

    def given_up(self, unread: bytes) -> set[int]:
        """The streams that whole frames of type 18 name, among what it holds and `unread` that follows it.
        Nothing is taken."""
        data = bytes(self._held) + unread
        found: set[int] = set()
        at = 0
        for _ in range(LOOK_AHEAD):
            if len(data) - at < HEAD.size:
                break
            length, type_, stream = HEAD.unpack_from(data, at)
            at += 4 + length
            if not LENGTH_COVERS <= length <= MAX_FRAME or at > len(data):
                break
            if type_ == Type.GONE:
                found.add(stream)
        return found


def encode_frame(type_: Type, stream: int, payload: bytes = b"") -> bytes:
    return HEAD.pack(LENGTH_COVERS + len(payload), type_, stream) + payload


def decode_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    fields: dict[str, str] = {}
    try:
        at = 1
        for _ in range(payload[0]):
            end = at + 1 + payload[at]
            name = payload[at + 1 : end].decode()
            size = int.from_bytes(payload[end : end + 2], "big")
            at = end + 2 + size
            if at > len(payload):
                raise BadRequest("fields run past the frame")
            if name in fields:
                raise BadRequest(f"field {name!r} twice")
            fields[name] = payload[end + 2 : at].decode()
    except (IndexError, UnicodeDecodeError) as error:
        raise BadRequest(f"fields unreadable: {error}") from None
    return fields, payload[at:]


def encode_fields(fields: Mapping[str, str]) -> bytes:
    parts = [bytes([len(fields)])]
    for name, value in fields.items():
        raw, text = name.encode(), value.encode()
        parts.append(bytes([len(raw)]) + raw + len(text).to_bytes(2, "big") + text)
    return b"".join(parts)


def peek_class(payload: bytes, settings: Settings) -> str | None:
    """The class of a request that is answered unread, if the settings have it."""
    try:
        name = decode_fields(payload)[0].get("c")
    except BadRequest:
        return None
    return name if name in settings.classes else None


def _whole(fields: Mapping[str, str], name: str, most: int) -> int:
    text = fields[name]
    if not (text.isascii() and text.isdecimal() and len(text) <= 10 and int(text) <= most):
        raise BadRequest(f"field {name!r} is unusable")
    return int(text)


def _amount(fields: Mapping[str, str], name: str, most: float) -> float:
    if not AMOUNT.fullmatch(fields[name]):
        raise BadRequest(f"field {name!r} is unusable")
    if (value := float(fields[name])) > most:
        raise BadRequest(f"field {name!r} is out of range")
    return value


def _token(fields: Mapping[str, str], name: str, form: re.Pattern[str]) -> str:
    if not form.fullmatch(fields[name]):
        raise BadRequest(f"field {name!r} is unusable")
    return fields[name]


def decode_request(payload: bytes, settings: Settings) -> Ask:
    """Nothing unusable gets past here: what is in an Ask may go to a cache as it stands."""
    fields, body = decode_fields(payload)
    try:
        spec = settings.classes.get(fields["c"])
        if spec is None:
            raise BadRequest(f"unknown class {fields['c']!r}")
        needs_key = spec.effect is Effect.KEYED and not spec.keyless
        return Ask(
            id=_token(fields, "i", HEX16),
            cls=spec.name,
            wait_ms=_amount(fields, "d", spec.deadline_ms * LONGEST),
            object=_token(fields, "o", HEX16),
            part=_whole(fields, "chunk", 2**31),
            group=_whole(fields, "tag", 255),
            size_kb=_amount(fields, "m", 1e9) if "m" in fields else 0.0,
            key=_token(fields, "k", TOKEN) if "k" in fields or needs_key else "",
            known=_token(fields, "known", TOKEN) if "known" in fields else "",
            body=body,
        )
    except KeyError as error:
        raise BadRequest(f"field {error} is missing") from None


def encode_answer(stream: int, final: Final) -> bytes:
    fields = {}
    if final.valid:
        fields["valid"] = "1"
    if final.come_back_ms >= 1.0:
        fields["w"] = str(int(final.come_back_ms))
    return encode_frame(Type.ANSWER, stream, bytes([final.code]) + encode_fields(fields) + final.body)


def encode_ready(stream: int, ready: bool) -> bytes:
    return encode_frame(Type.READY, stream, bytes([0 if ready else 1]) + encode_fields({}))
