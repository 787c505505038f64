"""Operations on position vectors, which have the last sequence number of each stream."""

from __future__ import annotations

from collections.abc import Iterable

from ..control_plane.positions import Stream, Vector


def merge_vectors(vectors: Iterable[Vector]) -> dict[Stream, int]:
    """Returns the furthest position that any of several vectors has reached."""
    furthest: dict[Stream, int] = {}
    for vector in vectors:
        for stream, last in vector.items():
            furthest[stream] = max(furthest.get(stream, 0), last)
    return furthest


def includes(known: Vector, other: Vector) -> bool:
    """Returns whether `known` has reached the position of `other` in each stream."""
    return all(known.get(stream, 0) >= last for stream, last in other.items())
