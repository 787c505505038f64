"""What a router has learnt of its servers and objects, as values that another router can take. Pure.

Budgets are split between two processes that run beside each other: what one may still send, the other may
not. State of a server that has restarted since is not applied. Fields are stored by their position.
"""

from __future__ import annotations

from itertools import islice

import msgspec

from ..routing.cache_admission import ObjectStats
from ..routing.router import Router
from ..routing.store import Store

#: The largest object key that msgpack can hold; the key of the last object id, 2**64, is one more.
MAX_OBJECT_KEY = 2**64 - 1
#: Only the most recently requested objects are taken: the router would soon evict the others.
MAX_OBJECTS = 4096
#: The part of each budget that the new process gets.
NEW_PROCESS_SHARE = 0.5


class StoreLearnt(msgspec.Struct, array_like=True):
    """What a router has learnt of one server. Times are ms, rates and credits as in `store_list.Store`."""

    store: str
    started_at_ms: float  # the start of the server that this describes
    failure_score: float
    lateness: float
    error_rate: float
    answered_ms: float
    ejected_until_ms: float
    ejection_ms: float
    limit: float
    fills: float
    is_initial_limit_set: bool
    #: Credit of the budget while the server warms up, the moment up to which credit was added (below 0: there
    #: is none), and 0, which older versions used.
    tokens: tuple[float, float, float] = (0.0, -1.0, 0.0)


class ObjectLearnt(msgspec.Struct, array_like=True):
    """What a router has learnt of one object; fields as in `routing.cache_admission.ObjectStats`."""

    key: int
    count: float
    utility: float
    gate: int
    parts: int
    admitted: bool
    work: float


class Learnt(msgspec.Struct, array_like=True):
    """What a router has learnt."""

    retries: float  # what is left of the retry budget
    hedges: float  # and of the hedging budget
    ingress_limit: float  # the limit of work that is admitted
    usual: tuple[float, float]  # work a second and warm server: caches, parents
    work_of: dict[str, float]  # by class
    stores: list[StoreLearnt]
    objects: list[ObjectLearnt]  # least recently requested first


def take_snapshot(router: Router, share: float = 1.0) -> Learnt:
    """The router's learnt state with this share of its budgets; the router is not changed. Credit of servers
    that warm up is left out: a process that starts after this one has none."""
    latest = list(islice(reversed(router.objects.items()), MAX_OBJECTS))
    return Learnt(
        router.budgets.retries * share,
        router.budgets.hedges * share,
        router.ingress_limit.limit,
        (router.cold.caches.usual, router.cold.parents.usual),
        dict(router.work.mean_ms),
        [_snapshot_of_store(name, store) for name, store in router.stores.items()],
        [_snapshot_of_object(key, entry) for key, entry in reversed(latest) if key <= MAX_OBJECT_KEY],
    )


def _snapshot_of_store(name: str, store: Store) -> StoreLearnt:
    return StoreLearnt(
        name,
        store.member.started_at_ms,
        store.failure_score,
        store.lateness,
        store.error_rate,
        store.answered_ms,
        store.ejected_until_ms,
        store.ejection_ms,
        store.concurrency.limit,
        store.fills.limit,
        store.is_initial_limit_set,
    )


def _snapshot_of_object(key: int, entry: ObjectStats) -> ObjectLearnt:
    return ObjectLearnt(key, entry.count, entry.utility, entry.gate, entry.parts, entry.admitted, entry.work)


def split_off(router: Router) -> Learnt:
    """Takes the new process's share of the budgets out of this router, and returns it with all else that the
    router has learnt."""
    learnt = take_snapshot(router, NEW_PROCESS_SHARE)
    for entry in learnt.stores:
        tokens = router.stores[entry.store].tokens
        given = max(tokens.credit, 0.0) * NEW_PROCESS_SHARE
        entry.tokens = given, tokens.at_ms, 0.0
        tokens.credit -= given
    router.budgets.retries -= learnt.retries
    router.budgets.hedges -= learnt.hedges
    return learnt


def undo_split(router: Router, learnt: Learnt) -> None:
    """Returns to the router what `split_off` took, where no other process can have read it."""
    for entry in learnt.stores:
        router.stores[entry.store].tokens.credit += entry.tokens[0]
    router.budgets.retries += learnt.retries
    router.budgets.hedges += learnt.hedges


def shift_moments(learnt: Learnt, by_ms: float) -> Learnt:
    """A copy whose moments are of another timeline, `by_ms` ahead."""
    return msgspec.structs.replace(learnt, stores=[_shift_store(entry, by_ms) for entry in learnt.stores])


def _shift_store(entry: StoreLearnt, by_ms: float) -> StoreLearnt:
    credit, counted_ms, unused = entry.tokens
    return msgspec.structs.replace(
        entry,
        answered_ms=entry.answered_ms + by_ms if entry.answered_ms else 0.0,
        ejected_until_ms=entry.ejected_until_ms + by_ms if entry.ejected_until_ms else 0.0,
        tokens=(credit, counted_ms + by_ms if counted_ms >= 0.0 else counted_ms, unused),
    )


def restore(router: Router, learnt: Learnt) -> None:
    """Applies learnt state to a router that has its endpoint list already. Servers that are not listed, or
    have restarted since, are passed over."""
    router.budgets.retries, router.budgets.hedges = learnt.retries, learnt.hedges
    router.ingress_limit.limit = min(learnt.ingress_limit, router.ingress_limit.max_limit)
    router.cold.caches.usual, router.cold.parents.usual = learnt.usual
    router.work.mean_ms.update(learnt.work_of)
    for entry in learnt.stores:
        store = router.stores.get(entry.store)
        if store is not None and store.member.started_at_ms == entry.started_at_ms:
            _restore_store(store, entry)
    for o in learnt.objects:
        router.objects[o.key] = ObjectStats(o.count, o.utility, o.gate, o.parts, o.admitted, o.work)


def _restore_store(store: Store, entry: StoreLearnt) -> None:
    store.failure_score = entry.failure_score
    store.lateness = entry.lateness
    store.answered_ms = entry.answered_ms
    store.error_rate = entry.error_rate
    store.ejected_until_ms = entry.ejected_until_ms
    store.ejection_ms = entry.ejection_ms
    store.is_initial_limit_set = entry.is_initial_limit_set
    store.concurrency.max_limit = max(store.concurrency.max_limit, entry.limit)
    store.concurrency.limit = entry.limit
    store.fills.limit = min(entry.fills, store.fills.max_limit)
    credit, counted_ms, _ = entry.tokens
    if counted_ms >= 0.0:
        store.tokens.credit, store.tokens.at_ms = credit, counted_ms
