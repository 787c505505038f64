"""The discovery service of a generated deployment: notifies directors of list changes and of purges."""

from __future__ import annotations

import random
from collections.abc import Sequence
from functools import partial
from hashlib import blake2b

from ..clock import UnixMs
from ..discovery.events import Instance, ListChange, PurgeEvent, WatchEvent
from ..net.endpoint_list import STATES
from ..routing.events import Member, State
from .checks import Monitor, Reach
from .cold_falls import ColdFalls
from .deployed_clocks import WallClocks
from .deployed_directors import DirectorNode
from .deployed_stores import Store
from .deployments import Deployment, Fault, FaultKind
from .model.timeline import Timeline

MAX_NOTIFY_MS = 7000.0  # the longest delay of an event, with all factors
PURGE_DELAY_MS = (30.0, 400.0)  # range of the delay until a director is notified of a purge


class DiscoverySide:
    """Notifies the directors in `nodes`; the monitors learn of each event just before its director does.

    `delay_factor` multiplies the delays of list changes. Events reach a director in their order.
    """

    def __init__(
        self,
        deployment: Deployment,
        line: Timeline,
        rng: random.Random,
        nodes: Sequence[DirectorNode],
        clocks: WallClocks,
        monitor: Monitor,
        reach: Reach,
        falls: ColdFalls,
    ) -> None:
        self.deployment, self.line, self.rng, self.nodes = deployment, line, rng, nodes
        self.clocks, self.monitor, self.reach, self.falls = clocks, monitor, reach, falls
        self.delay_factor = 1.0

    def announce_first_list(self, members: list[Member]) -> None:
        """Gives all directors the complete list now."""
        for node in self.nodes:
            node.notified_ms = self.line.now
            self._apply_list(node, members, reset=True)

    def announce(self, store: Store, state: State) -> None:
        """Changes an entry of the endpoint list, and notifies each director after a delay of its own."""
        store.member = Member(
            store.spec.name,
            store.spec.zone,
            store.spec.kind,
            store.spec.cell,
            state,
            store.spec.weight,
            store.started_ms,
        )
        least, most = self.deployment.network.list_delay_ms
        for node in self.nodes:
            delay = min(self.rng.uniform(least, most) * self.delay_factor, MAX_NOTIFY_MS)
            node.notified_ms = max(node.notified_ms, self.line.now + delay)
            self.line.at(node.notified_ms, partial(self._apply_list, node, [store.member]))

    def announce_purge(self, fault: Fault, at: float) -> None:
        """Notifies each director of a purge of this moment."""
        for node in self.nodes:
            node.notified_ms = max(node.notified_ms, self.line.now + self.rng.uniform(*PURGE_DELAY_MS))
            self.line.at(node.notified_ms, partial(self._apply_purge, node, fault, at))

    def _apply_list(self, node: DirectorNode, members: list[Member], reset: bool = False) -> None:
        for member in members:
            self.reach.listed(node.name, member.store)
            self.monitor.listed(node.name, member.store, member.state is State.READY, self.line.now)
            if member.state is State.READY and member.started_at_ms:
                self.falls.notified(node.name, member.store, member.started_at_ms)
        node.rev += 1
        instances = [_instance(member, self._start_date(member)) for member in members]
        node.director.apply_watch_event(WatchEvent(node.rev, pool=ListChange(instances, reset)))

    def _start_date(self, member: Member) -> UnixMs:
        """When the store started, by its own clock; 0 if it did not start lately."""
        started_at_ms = member.started_at_ms
        return self.clocks.of(member.store).date_at(started_at_ms) if started_at_ms else UnixMs(0.0)

    def _apply_purge(self, node: DirectorNode, fault: Fault, at: float) -> None:
        node.rev += 1
        dated = UnixMs(float(int(float(self.clocks.purge_date(at)))))
        if fault.kind is FaultKind.PURGE_OBJECT:
            self.monitor.purged(node.name, fault.object, at, self.line.now)
            purge = PurgeEvent(dated, asset=f"{fault.object:016x}")
        else:
            self.monitor.purged_group(node.name, fault.group, at, self.line.now)
            purge = PurgeEvent(dated, collection=fault.group)
        node.director.apply_watch_event(WatchEvent(node.rev, flush=purge))


_LIFECYCLES = {state: word for word, state in STATES.items()}


def _instance(member: Member, started: UnixMs) -> Instance:
    """The entry as discovery sends it. Each store has an address of its own, derived from its name."""
    digest = blake2b(member.store.encode(), digest_size=3).digest()
    return Instance(
        instance_id=member.store,
        host_port=f"10.{digest[0]}.{digest[1]}.{digest[2]}:4100",
        zone=member.zone,
        machine_type=member.kind,
        lifecycle=_LIFECYCLES[member.state],
        cell=member.cell,
        weight=member.weight,
        started_at_ms=started,
    )
