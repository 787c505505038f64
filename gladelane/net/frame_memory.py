"""Decides whose incomplete frame is discarded when there is no memory for that of another client. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

#: A request has a body of 48,000 bytes at most. Longer frames can be received while there is memory.
MAX_REQUEST_FRAME_BYTES = 65_536
#: A frame that has received no byte for this long gives way to others. Slow clients write more often.
SILENCE_MS = 300.0


class IncompleteFrame(Protocol):
    """A client that has sent a part of a frame."""

    last_active_ms: float  # when the client last sent something

    @property
    def reserved_bytes(self) -> int:
        """The memory that is reserved for the frame."""

    def frame_bytes(self) -> int:
        """The size that the frame will have."""


Client = TypeVar("Client", bound=IncompleteFrame)


def choose_frame_to_discard(holders: Iterable[Client], requester: Client, now: float) -> Client | None:
    """The client whose incomplete frame gives way to that of `requester`: the largest one that no request
    can need, otherwise the largest one that has fallen silent. None if there is neither."""
    others = [client for client in holders if client is not requester]
    oversize = [client for client in others if _is_oversize(client)]
    if oversize and not _is_oversize(requester):
        return max(oversize, key=_reserved_bytes)
    silent = [client for client in others if now - client.last_active_ms >= SILENCE_MS]
    return max(silent, key=_reserved_bytes) if silent else None


def _reserved_bytes(client: IncompleteFrame) -> int:
    return client.reserved_bytes


def _is_oversize(client: IncompleteFrame) -> bool:
    return client.frame_bytes() > MAX_REQUEST_FRAME_BYTES
