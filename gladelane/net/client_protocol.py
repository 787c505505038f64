"""Encodes and decodes the client protocol, without I/O: frames, fields, requests and answers."""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator, Mapping
from enum import IntEnum
from typing import NamedTuple

from ..routing.events import Effect, Settings
from .exchange import ClientRequest, FinalAnswer

MAX_FRAME_BYTES = 262_144
HEADER = struct.Struct(">IBI")
MAX_LOOK_AHEAD_FRAMES = 1024  # more frames than a client that reads its answers can have unread here
SKIPPED_PAYLOAD_BYTES = 512  # kept of a frame that is not decoded; the fields of most requests
MIN_FRAME_LENGTH = 5  # the bytes of type and stream; a frame's length does not count its own four bytes
HEX16 = re.compile(r"[0-9a-fA-F]{16}")
AMOUNT = re.compile(r"[0-9]{1,9}(\.[0-9]{1,20})?")  # float() would also accept signs, nan, inf, 1_0 and 1e999
MAX_DEADLINES = 10.0  # longest wait that a client may state, as a multiple of its class's deadline
#: Printable ASCII without space, comma and equals sign, the separators of the cache protocol.
TOKEN = re.compile(r"[!-+\--<>-~]{1,256}")


class FrameType(IntEnum):
    """The type byte of a frame."""

    REQUEST = 16
    ANSWER = 17
    GONE = 18
    ASK_READY = 32
    READY = 33
    NO_MORE = 48


class FramingError(Exception):
    """The length of a frame is out of range, so the start of the next frame is unknown."""


class InvalidRequestError(Exception):
    """A complete frame whose content is invalid."""


class Frame(NamedTuple):
    """A decoded frame. Its type may be one that `FrameType` does not list."""

    type: int
    stream: int
    payload: bytes


class SkippedFrame(NamedTuple):
    """An incomplete frame that is not decoded. `payload` is the start of its payload."""

    type: int
    stream: int
    payload: bytes
    frame_bytes: int
    missing_bytes: int  # how many bytes of it will still arrive


class FrameDecoder:
    """Decodes the frames of one connection from its bytes, which may arrive in pieces of any size."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def incomplete_bytes(self) -> int:
        """The number of bytes received of an incomplete frame."""
        return len(self._buffer)

    def frame_bytes(self) -> int:
        """The number of bytes of the incomplete frame once it is complete; 0 if there is none or its header
        is incomplete."""
        if len(self._buffer) < HEADER.size:
            return 0
        return 4 + int.from_bytes(self._buffer[:4], "big")

    def skip_incomplete_frame(self) -> SkippedFrame:
        """Drops what was received of the incomplete frame, whose header must be complete. The next bytes to
        be fed are those after the frame."""
        buffer, self._buffer = self._buffer, bytearray()
        length, type_, stream = HEADER.unpack_from(buffer)
        payload = bytes(memoryview(buffer)[HEADER.size : HEADER.size + SKIPPED_PAYLOAD_BYTES])
        return SkippedFrame(type_, stream, payload, 4 + length, 4 + length - len(buffer))

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Adds received bytes and yields the frames that they complete. Raises FramingError."""
        buffer = self._buffer
        buffer += data
        while len(buffer) >= 4:
            length = int.from_bytes(buffer[:4], "big")
            if not MIN_FRAME_LENGTH <= length <= MAX_FRAME_BYTES:
                raise FramingError(f"frame length {length}")
            if len(buffer) < 4 + length:
                return
            _, type_, stream = HEADER.unpack_from(buffer)
            payload = bytes(memoryview(buffer)[HEADER.size : 4 + length])
            del buffer[: 4 + length]
            yield Frame(type_, stream, payload)

    def find_cancelled_streams(self, unread: bytes) -> set[int]:
        """The streams whose request is cancelled by a complete frame in the buffered bytes or in `unread`,
        the bytes that follow them. Consumes no bytes."""
        data = bytes(self._buffer) + unread
        found: set[int] = set()
        position = 0
        for _ in range(MAX_LOOK_AHEAD_FRAMES):
            if len(data) - position < HEADER.size:
                break
            length, type_, stream = HEADER.unpack_from(data, position)
            position += 4 + length
            if not MIN_FRAME_LENGTH <= length <= MAX_FRAME_BYTES or position > len(data):
                break
            if type_ == FrameType.GONE:
                found.add(stream)
        return found


def encode_frame(type_: FrameType, stream: int, payload: bytes = b"") -> bytes:
    """Encodes a frame."""
    return HEADER.pack(MIN_FRAME_LENGTH + len(payload), type_, stream) + payload


def decode_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """Returns the fields at the start of a payload, and the rest of the payload. Raises
    InvalidRequestError."""
    fields: dict[str, str] = {}
    try:
        position = 1
        for _ in range(payload[0]):
            end = position + 1 + payload[position]
            name = payload[position + 1 : end].decode()
            size = int.from_bytes(payload[end : end + 2], "big")
            position = end + 2 + size
            if position > len(payload):
                raise InvalidRequestError("fields run past the frame")
            if name in fields:
                raise InvalidRequestError(f"field {name!r} twice")
            fields[name] = payload[end + 2 : position].decode()
    except (IndexError, UnicodeDecodeError) as error:
        raise InvalidRequestError(f"fields unreadable: {error}") from None
    return fields, payload[position:]


def encode_fields(fields: Mapping[str, str]) -> bytes:
    """Encodes the fields at the start of a payload: at most 255 fields, with names of at most 255 bytes."""
    parts = [bytes([len(fields)])]
    for name, value in fields.items():
        raw, text = name.encode(), value.encode()
        parts.append(bytes([len(raw)]) + raw + len(text).to_bytes(2, "big") + text)
    return b"".join(parts)


def peek_class(payload: bytes, settings: Settings) -> str | None:
    """The class that a payload names; None if it names no class of the settings."""
    try:
        name = decode_fields(payload)[0].get("c")
    except InvalidRequestError:
        return None
    return name if name in settings.classes else None


def _integer(fields: Mapping[str, str], name: str, max_value: int) -> int:
    text = fields[name]
    if not (text.isascii() and text.isdecimal() and len(text) <= 10 and int(text) <= max_value):
        raise InvalidRequestError(f"field {name!r} is unusable")
    return int(text)


def _amount(fields: Mapping[str, str], name: str, max_value: float) -> float:
    if not AMOUNT.fullmatch(fields[name]):
        raise InvalidRequestError(f"field {name!r} is unusable")
    if (value := float(fields[name])) > max_value:
        raise InvalidRequestError(f"field {name!r} is out of range")
    return value


def _token(fields: Mapping[str, str], name: str, pattern: re.Pattern[str]) -> str:
    if not pattern.fullmatch(fields[name]):
        raise InvalidRequestError(f"field {name!r} is unusable")
    return fields[name]


def decode_request(payload: bytes, settings: Settings) -> ClientRequest:
    """Decodes a request and checks its fields, so that their texts may be forwarded unaltered. Raises
    InvalidRequestError."""
    fields, body = decode_fields(payload)
    try:
        spec = settings.classes.get(fields["c"])
        if spec is None:
            raise InvalidRequestError(f"unknown class {fields['c']!r}")
        needs_key = spec.effect is Effect.KEYED and not spec.keyless
        return ClientRequest(
            id=_token(fields, "i", HEX16),
            cls=spec.name,
            wait_ms=_amount(fields, "d", spec.deadline_ms * MAX_DEADLINES),
            object=_token(fields, "o", HEX16),
            part=_integer(fields, "chunk", 2**31),
            group=_integer(fields, "tag", 255),
            size_kb=_amount(fields, "m", 1e9) if "m" in fields else 0.0,
            key=_token(fields, "k", TOKEN) if "k" in fields or needs_key else "",
            known=_token(fields, "known", TOKEN) if "known" in fields else "",
            body=body,
        )
    except KeyError as error:
        raise InvalidRequestError(f"field {error} is missing") from None


def encode_answer(stream: int, final: FinalAnswer) -> bytes:
    """Encodes the frame of a final answer."""
    fields = {}
    if final.valid:
        fields["valid"] = "1"
    if final.retry_after_ms >= 1.0:
        fields["w"] = str(int(final.retry_after_ms))
    return encode_frame(FrameType.ANSWER, stream, bytes([final.code]) + encode_fields(fields) + final.body)


def encode_ready(stream: int, ready: bool) -> bytes:
    """Encodes the frame that states whether this director is ready."""
    return encode_frame(FrameType.READY, stream, bytes([0 if ready else 1]) + encode_fields({}))
