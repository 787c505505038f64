"""Injects the faults of a generated deployment: crashes, drains, errors, resets, purges and delays."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from ..routing.events import State
from .deployed_directors import DirectorNode
from .deployed_discovery import DiscoverySide
from .deployed_stores import Store, StoreSide
from .deployments import Fault, FaultKind
from .model.timeline import Timeline
from .virtual_sender import Sent

MIN_DRAIN_MS = 1000.0  # from the change to draining until the store leaves
RESETS_EVERY_MS = 150.0  # interval at which connections to a store are reset


class FaultInjector:
    """Applies faults to stores, connections and discovery, and ends them after their duration."""

    def __init__(
        self,
        line: Timeline,
        rng: random.Random,
        nodes: Sequence[DirectorNode],
        side: StoreSide,
        discovery: DiscoverySide,
    ) -> None:
        self.line, self.rng, self.nodes = line, rng, nodes
        self.side, self.discovery = side, discovery

    def inject(self, fault: Fault) -> None:
        """Begins a fault now."""
        if fault.kind in (FaultKind.PURGE_OBJECT, FaultKind.PURGE_GROUP):
            self._purge(fault)
        elif fault.kind is FaultKind.SLOW_ORIGIN:
            self._set_for_a_while(fault, partial(setattr, self.side.origin, "slow"), fault.factor, 1.0)
        elif fault.kind is FaultKind.LATE_LISTS:
            self._set_for_a_while(fault, partial(setattr, self.discovery, "delay_factor"), fault.factor, 1.0)
        else:
            self._inject_into_store(fault, self.side.stores[fault.store])

    def crash(self, store: Store) -> None:
        """Stops a store and removes it from the endpoint list."""
        self._stop(store)
        self.discovery.announce(store, State.GONE)

    def reset_connections(self, sent: Sent) -> None:
        """An attempt reached a process that no longer runs: the connections of its director are reset."""
        node = next(node for node in self.nodes if node.name == sent.director)
        node.sender.break_connections(sent.store)

    def _purge(self, fault: Fault) -> None:
        at = float(int(self.line.now))
        for store in self.side.stores.values():
            self.side.purge(store, fault, at)
        self.discovery.announce_purge(fault, at)

    def _inject_into_store(self, fault: Fault, store: Store) -> None:
        if fault.kind is FaultKind.JOIN:
            self._start_store(store)
        elif fault.kind is FaultKind.CRASH and store.up:
            self.crash(store)
            self.line.after(fault.lasts_ms, partial(self._start_store, store))
        elif fault.kind is FaultKind.DRAIN and store.up:
            self.discovery.announce(store, State.DRAINING)
            self.line.after(max(fault.lasts_ms, MIN_DRAIN_MS), partial(self._leave, store))
        elif fault.kind is FaultKind.ERRORS:
            self._set_for_a_while(fault, partial(setattr, store, "error_part"), fault.factor, 0.0)
        elif fault.kind is FaultKind.SILENCE:
            self._set_for_a_while(fault, partial(setattr, store, "silent"), True, False)
        elif fault.kind is FaultKind.RESETS:
            self._reset(store, fault.factor, self.line.now + fault.lasts_ms)

    def _set_for_a_while(self, fault: Fault, setter: Callable[[Any], None], value: Any, usual: Any) -> None:
        setter(value)
        self.line.after(fault.lasts_ms, partial(setter, usual))

    def _reset(self, store: Store, part: float, until: float) -> None:
        for node in self.nodes:
            node.sender.break_connections(store.spec.name, lambda: self.rng.random() < part)
        if self.line.now < until:
            self.line.after(RESETS_EVERY_MS, partial(self._reset, store, part, until))

    def _leave(self, store: Store) -> None:
        if store.up:
            store.fallen = True  # it does not restart
            self.crash(store)

    def _stop(self, store: Store) -> None:
        self.side.stop(store)
        for node in self.nodes:
            breaks = partial(node.sender.break_connections, store.spec.name)
            self.line.after(self.side.way(node.director.settings.zone, store.spec.name), breaks)

    def _start_store(self, store: Store) -> None:
        if store.up or store.fallen:
            return
        store.up = True
        store.started_ms = self.line.now
        self.side.begin_cold(store)
        self.discovery.announce(store, State.READY)
