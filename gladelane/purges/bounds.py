"""Bounds: how old a copy may be, and for how long. Bounds form a semilattice under `join`.

A purge says that copies from before a moment must not be served, until a second moment at which the purge is
forgotten. A bound is a set of such pairs. Of two pairs the one that is neither newer nor lasts longer adds
nothing, so a bound keeps only pairs that no other pair dominates, newest first. The join of two bounds is
commutative, associative and idempotent, and therefore independent of the order in which purges arrive.
"""

from __future__ import annotations

from typing import NamedTuple


class Limit(NamedTuple):
    """Copies from before `at_ms` are out of date, up to `until_ms`. Both are in Unix ms."""

    at_ms: float
    until_ms: float


Bound = tuple[Limit, ...]
NO_BOUND: Bound = ()


def join(one: Bound, other: Bound) -> Bound:
    """Returns the bound that holds wherever either does."""
    if not one or one == other:
        return other
    if not other:
        return one
    if len(one) == len(other) == 1:  # nearly always, and then mostly one of the two dominates
        (at_ms, until_ms), (other_at_ms, other_until_ms) = one[0], other[0]
        if at_ms >= other_at_ms and until_ms >= other_until_ms:
            return one
        if other_at_ms >= at_ms and other_until_ms >= until_ms:
            return other
    undominated: list[Limit] = []
    for limit in sorted({*one, *other}, key=lambda limit: (-limit.at_ms, -limit.until_ms)):
        if not undominated or limit.until_ms > undominated[-1].until_ms:
            undominated.append(limit)
    return tuple(undominated)


def still_binding(bound: Bound, now_ms: float) -> Bound:
    """Returns the limits of a bound that have not ended."""
    if all(until_ms > now_ms for _, until_ms in bound):
        return bound
    return tuple(limit for limit in bound if limit.until_ms > now_ms)


def newest(bound: Bound, now_ms: float) -> float:
    """Returns the newest moment that binds now, in Unix ms, or 0.0 if none does."""
    for at_ms, until_ms in bound:
        if until_ms > now_ms:
            return at_ms
    return 0.0
