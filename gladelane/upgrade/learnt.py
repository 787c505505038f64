"""What the module has learnt of its stores and objects, as values: taken from one router, given to another.
Pure. Budgets are split: what one process may still send, the other may not. Nothing of a store that has come
up anew since is given.
"""

from __future__ import annotations

from itertools import islice

import msgspec

from ..choice import Object, Router

MOST_OBJECTS = 4096  # of those asked for last: the rest would be forgotten soon
SHARE = 0.5  # of a budget, to the new process


class StoreLearnt(msgspec.Struct, array_like=True):
    store: str
    came_up_ms: float
    fails: float
    lateness: float
    flaw: float
    answered_ms: float
    down_until: float
    rest_ms: float
    limit: float
    fills: float
    opened: bool
    #: credit of a cold budget, until when it is counted (below 0: none is given), and 0 (was used by older
    #: versions)
    tokens: tuple[float, float, float] = (0.0, -1.0, 0.0)


class ObjectLearnt(msgspec.Struct, array_like=True):
    key: int
    count: float
    utility: float
    gate: int
    parts: int
    admitted: bool
    work: float


class Learnt(msgspec.Struct, array_like=True):
    retries: float
    hedges: float
    inlet: float
    usual: tuple[float, float]  # work a second and warm server: caches, parents
    work_of: dict[str, float]
    stores: list[StoreLearnt]
    objects: list[ObjectLearnt]  # least lately asked for first


def take_snapshot(router: Router, share: float = 1.0) -> Learnt:
    """As it is, with a part of the budgets; the router keeps its own. Without credit at cold servers: whoever
    starts after this process has none."""
    stores = [
        StoreLearnt(
            name,
            s.member.came_up_ms,
            s.fails,
            s.lateness,
            s.flaw,
            s.answered_ms,
            s.down_until,
            s.rest_ms,
            s.concurrency.limit,
            s.fills.limit,
            s.opened,
        )
        for name, s in router.stores.items()
    ]
    latest = list(islice(reversed(router.objects.items()), MOST_OBJECTS))
    objects = [
        ObjectLearnt(key, o.count, o.utility, o.gate, o.parts, o.admitted, o.work)
        for key, o in reversed(latest)
    ]
    usual = router.cold.caches.usual, router.cold.parents.usual
    return Learnt(
        router.retries * share,
        router.hedges * share,
        router.inlet.limit,
        usual,
        dict(router.work_of),
        stores,
        objects,
    )


def split_off(router: Router) -> Learnt:
    """Leaves the old router its part of what is split."""
    learnt = take_snapshot(router, SHARE)
    for told in learnt.stores:
        tokens = router.stores[told.store].tokens
        given = max(tokens.left, 0.0) * SHARE
        told.tokens = given, tokens.at_ms, 0.0
        tokens.left -= given
    router.retries -= learnt.retries
    router.hedges -= learnt.hedges
    return learnt


def restore(router: Router, learnt: Learnt) -> None:
    """To a router that knows its stores already."""
    router.retries, router.hedges = learnt.retries, learnt.hedges
    router.inlet.limit = min(learnt.inlet, router.inlet.most)
    router.cold.caches.usual, router.cold.parents.usual = learnt.usual
    router.work_of.update(learnt.work_of)
    for told in learnt.stores:
        s = router.stores.get(told.store)
        if s is None or s.member.came_up_ms != told.came_up_ms:
            continue
        s.fails, s.lateness, s.answered_ms = told.fails, told.lateness, told.answered_ms
        s.flaw = told.flaw
        s.down_until, s.rest_ms, s.opened = told.down_until, told.rest_ms, told.opened
        s.concurrency.most = max(s.concurrency.most, told.limit)
        s.concurrency.limit, s.fills.limit = told.limit, min(told.fills, s.fills.most)
        credit, counted_ms, _ = told.tokens
        if counted_ms >= 0.0:
            s.tokens.left, s.tokens.at_ms = credit, counted_ms
    for o in learnt.objects:
        router.objects[o.key] = Object(o.count, o.utility, o.gate, o.parts, o.admitted, o.work)
