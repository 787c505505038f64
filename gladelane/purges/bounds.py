"""Bounds: for how long each moment binds. Joining them is a semilattice, so no order of purges matters.

A bound is a tuple of (at, until), both in Unix ms: copies from before `at` are not served, up to `until`. Of
two purges the one that is neither newer nor longer adds nothing, so a bound holds only those that no other
dominates, newest first. The join of two bounds is what is left of both together: commutative, associative,
idempotent.
"""

from __future__ import annotations

Bound = tuple[tuple[float, float], ...]
NOTHING: Bound = ()


def join(one: Bound, other: Bound) -> Bound:
    """What binds where either does."""
    if not one or one == other:
        return other
    if not other:
        return one
    if len(one) == len(other) == 1:  # nearly always: one dominates the other
        (at, until), (other_at, other_until) = one[0], other[0]
        if at >= other_at and until >= other_until:
            return one
        if other_at >= at and other_until >= until:
            return other
    kept: list[tuple[float, float]] = []
    for at, until in sorted({*one, *other}, key=lambda pair: (-pair[0], -pair[1])):
        if not kept or until > kept[-1][1]:
            kept.append((at, until))
    return tuple(kept)


def in_force(bound: Bound, now: float) -> Bound:
    """What of a bound still binds."""
    return bound if all(until > now for _, until in bound) else tuple(p for p in bound if p[1] > now)


def newest(bound: Bound, now: float) -> float:
    """The newest moment that binds now, 0: none does."""
    for at, until in bound:
        if until > now:
            return at
    return 0.0
