"""What both readers of an upgrade, of messages and of the hand-over, hold against what they are given."""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec

T = TypeVar("T", covariant=True)


class Unusable(Exception):
    """What is wrong: unreadable, of another version, or of another director."""


class Decoder(Protocol[T]):
    def decode(self, data: bytes, /) -> T: ...


def decoded(decoder: Decoder[T], data: bytes, where: str = "unreadable") -> T:
    """Raises Unusable."""
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise Unusable(f"{where}: {error}") from None


def expect(what: str, told: object, expected: object) -> None:
    """Raises Unusable."""
    if told != expected:
        raise Unusable(f"{what} {told!r}; expected {expected!r}")
