"""Errors, decoding and checks shared by the channel's messages and the handover document. Pure."""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec

T_co = TypeVar("T_co", covariant=True)


class HandoverError(Exception):
    """Data that another process sent or stored cannot be used. `reason` is the text for a log line."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class MismatchError(HandoverError):
    """A field has another value than the reader requires: another version, or another director."""

    def __init__(self, field: str, actual: object, expected: object) -> None:
        super().__init__(f"{field} {actual!r}; expected {expected!r}")
        self.field = field
        self.actual = actual
        self.expected = expected


class TruncatedError(HandoverError):
    """A document ends before its last byte, or has more bytes than its header says."""

    def __init__(self, length: int, remark: str) -> None:
        """`length` is the number of bytes present; `remark` completes the message with what was expected."""
        super().__init__(f"ends at byte {length}{remark}")
        self.length = length


class Decoder(Protocol[T_co]):
    """The interface that msgspec's decoders of all formats share."""

    def decode(self, data: bytes, /) -> T_co:
        """Raises msgspec.MsgspecError."""


def decode_with(decoder: Decoder[T_co], data: bytes, context: str = "unreadable") -> T_co:
    """Decodes data of another process. Raises HandoverError, with a text that begins with `context`."""
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise HandoverError(f"{context}: {error}") from None


def expect_equal(field: str, actual: object, expected: object) -> None:
    """Raises MismatchError unless the two are equal."""
    if actual != expected:
        raise MismatchError(field, actual, expected)
