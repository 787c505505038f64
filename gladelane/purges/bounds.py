"""Bounds: how old a copy may be, and for how long. Bounds form a semilattice under `join`.

A purge forbids serving copies from before one time, until a second time at which the purge expires. A bound
is a set of such limits. A limit that is neither newer nor lasts longer than another one has no effect, so a
bound keeps only limits that no other limit dominates, newest first. The join of two bounds is commutative,
associative and idempotent, and therefore independent of the order in which purges arrive.
"""

from __future__ import annotations

from typing import NamedTuple


class Limit(NamedTuple):
    """Copies from before `at_ms` are out of date until `until_ms`. Both are in Unix ms."""

    at_ms: float
    until_ms: float


Bound = tuple[Limit, ...]
NO_BOUND: Bound = ()


def join(one: Bound, other: Bound) -> Bound:
    """Returns the bound that sets the limits of both."""
    if not one or one == other:
        return other
    if not other:
        return one
    if len(one) == len(other) == 1:  # the usual case, in which one limit mostly dominates
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


def unexpired_limits(bound: Bound, now_ms: float) -> Bound:
    """Returns the limits of a bound that have not expired."""
    if all(until_ms > now_ms for _, until_ms in bound):
        return bound
    return tuple(limit for limit in bound if limit.until_ms > now_ms)


def newest_at_ms(bound: Bound, now_ms: float) -> float:
    """Returns the newest `at_ms` of the limits that have not expired, or 0.0 if there is none."""
    for at_ms, until_ms in bound:
        if until_ms > now_ms:
            return at_ms
    return 0.0
