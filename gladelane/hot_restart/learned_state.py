"""Snapshots of what a router has learned about servers and objects, to be restored in another router. Pure.

Retry and hedging budgets are split between two processes that run side by side, so that together they do not
exceed the budget of one. State of a server that has restarted since is not applied. Fields are stored by
their position.
"""

from __future__ import annotations

from itertools import islice

import msgspec

from ..routing.cache_admission import ObjectStats
from ..routing.router import Router
from ..routing.store import Store

#: The largest object key that msgpack can encode; the key of the last object id, 2**64, is one more.
MAX_OBJECT_KEY = 2**64 - 1
#: Limit of a snapshot to the most recently requested objects: the router would soon evict the others.
MAX_OBJECTS = 4096
#: The fraction of each budget that the new process gets.
NEW_PROCESS_SHARE = 0.5


class StoreLearnedState(msgspec.Struct, array_like=True):
    """What a router has learned about one server. Times are in ms; rates and credits as in `Store`."""

    store: str
    started_at_ms: float  # start of the server process that this describes
    failure_score: float
    lateness: float
    error_rate: float
    answered_ms: float
    ejected_until_ms: float
    ejection_ms: float
    limit: float
    fills: float
    is_initial_limit_set: bool
    #: Credit of the server's token budget while it warms up; the time up to which credit was added, negative
    #: if there is no credit; and 0, a position that only older versions used.
    tokens: tuple[float, float, float] = (0.0, -1.0, 0.0)


class ObjectLearnedState(msgspec.Struct, array_like=True):
    """What a router has learned about one object; fields as in `routing.cache_admission.ObjectStats`."""

    key: int
    count: float
    utility: float
    gate: int
    parts: int
    admitted: bool
    work: float


class LearnedState(msgspec.Struct, array_like=True):
    """What a router has learned."""

    retries: float  # remaining retry budget
    hedges: float  # remaining hedging budget
    ingress_limit: float  # limit of the work that is admitted
    usual: tuple[float, float]  # usual work per second of one warm server, for caches and for parents
    mean_work_ms: dict[str, float]  # by class
    stores: list[StoreLearnedState]
    objects: list[ObjectLearnedState]  # least recently requested first


def take_snapshot(router: Router, share: float = 1.0) -> LearnedState:
    """Returns the router's learned state with this share of its budgets, without changing the router. The
    credit of servers that warm up is left out, because a process that starts after this one has none."""
    latest = list(islice(reversed(router.objects.items()), MAX_OBJECTS))
    return LearnedState(
        router.budgets.retries * share,
        router.budgets.hedges * share,
        router.ingress_limit.limit,
        (router.cold.caches.usual, router.cold.parents.usual),
        dict(router.work.mean_ms),
        [_snapshot_of_store(name, store) for name, store in router.stores.items()],
        [_snapshot_of_object(key, entry) for key, entry in reversed(latest) if key <= MAX_OBJECT_KEY],
    )


def _snapshot_of_store(name: str, store: Store) -> StoreLearnedState:
    return StoreLearnedState(
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


def _snapshot_of_object(key: int, entry: ObjectStats) -> ObjectLearnedState:
    return ObjectLearnedState(
        key, entry.count, entry.utility, entry.gate, entry.parts, entry.admitted, entry.work
    )


def split_learned_state(router: Router) -> LearnedState:
    """Returns the router's learned state with the new process's share of the budgets, and deducts that share
    from this router."""
    learned_state = take_snapshot(router, NEW_PROCESS_SHARE)
    for entry in learned_state.stores:
        tokens = router.stores[entry.store].tokens
        moved_credit = max(tokens.credit, 0.0) * NEW_PROCESS_SHARE
        entry.tokens = moved_credit, tokens.at_ms, 0.0
        tokens.credit -= moved_credit
    router.budgets.retries -= learned_state.retries
    router.budgets.hedges -= learned_state.hedges
    return learned_state


def undo_split(router: Router, learned_state: LearnedState) -> None:
    """Gives the budgets that `split_learned_state` deducted back to the router. Only valid if no other
    process can have read the learned state."""
    for entry in learned_state.stores:
        router.stores[entry.store].tokens.credit += entry.tokens[0]
    router.budgets.retries += learned_state.retries
    router.budgets.hedges += learned_state.hedges


def shift_timestamps(learned_state: LearnedState, by_ms: float) -> LearnedState:
    """Returns a copy with times of another clock, which is `by_ms` ahead."""
    return msgspec.structs.replace(
        learned_state, stores=[_shift_store(entry, by_ms) for entry in learned_state.stores]
    )


def _shift_store(entry: StoreLearnedState, by_ms: float) -> StoreLearnedState:
    credit, counted_ms, unused = entry.tokens
    return msgspec.structs.replace(
        entry,
        answered_ms=entry.answered_ms + by_ms if entry.answered_ms else 0.0,
        ejected_until_ms=entry.ejected_until_ms + by_ms if entry.ejected_until_ms else 0.0,
        tokens=(credit, counted_ms + by_ms if counted_ms >= 0.0 else counted_ms, unused),
    )


def restore(router: Router, learned_state: LearnedState) -> None:
    """Applies learned state to a router that has its endpoint list already. Servers that are not listed, or
    that have restarted since, are skipped."""
    router.budgets.retries, router.budgets.hedges = learned_state.retries, learned_state.hedges
    router.ingress_limit.limit = min(learned_state.ingress_limit, router.ingress_limit.max_limit)
    router.cold.caches.usual, router.cold.parents.usual = learned_state.usual
    router.work.mean_ms.update(learned_state.mean_work_ms)
    for entry in learned_state.stores:
        store = router.stores.get(entry.store)
        if store is not None and store.member.started_at_ms == entry.started_at_ms:
            _restore_store(store, entry)
    for stats in learned_state.objects:
        router.objects[stats.key] = ObjectStats(
            stats.count, stats.utility, stats.gate, stats.parts, stats.admitted, stats.work
        )


def _restore_store(store: Store, entry: StoreLearnedState) -> None:
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
