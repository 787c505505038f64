"""The endpoint list, as discovery sent it and with the operators' maintenance applied. Pure."""

from __future__ import annotations

import logging
from collections.abc import Collection, Iterable
from typing import NamedTuple

from ..admin.maintenance import MaintenanceRegister
from ..discovery.events import Instance
from ..endpoints.rules import Listing
from ..routing.events import Member, State

log = logging.getLogger(__name__)

STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}


class ListUpdate(NamedTuple):
    """The consequences of a list change for the addresses of servers."""

    listings: list[Listing]
    gone: list[str]
    is_complete: bool


def create_member(instance: Instance, zones: Collection[str]) -> Member | None:
    """Converts an instance to the router's type. Logs it and returns None if its lifecycle or zone is
    unknown."""
    state = STATES.get(instance.lifecycle)
    if state is None or instance.zone not in zones:
        log.error(
            "bad event: store %s lifecycle=%s zone=%s",
            instance.instance_id,
            instance.lifecycle,
            instance.zone,
        )
        return None
    return Member(
        instance.instance_id,
        instance.zone,
        instance.machine_type,
        instance.cell,
        state,
        instance.weight,
        float(instance.started_at_ms),
    )


class EndpointList:
    """The servers by name, as discovery sent them and with the operators' maintenance applied."""

    def __init__(self, register: MaintenanceRegister) -> None:
        self.known: dict[str, tuple[Instance, Member]] = {}  # as discovery sent them
        self.listed: dict[str, Member] = {}  # with maintenance applied
        self._seen: set[str] = set()  # all names that were ever listed
        self._register = register

    def record(self, servers: Iterable[tuple[Instance, Member]], is_complete: bool) -> None:
        """Records servers as discovery sent them. `is_complete` means that all other servers are gone."""
        if is_complete:
            self.known.clear()
        for instance, member in servers:
            self._seen.add(member.store)
            if member.state is State.GONE:
                self.known.pop(member.store, None)
            else:
                self.known[member.store] = instance, member

    def apply(self, servers: Iterable[tuple[Instance, Member]], is_complete: bool) -> ListUpdate:
        """Records the same servers with maintenance applied. Returns the consequences for addresses."""
        if is_complete:
            self.listed.clear()
        gone: list[str] = []
        listings: dict[str, Listing] = {}
        for instance, member in servers:
            if member.state is State.GONE:
                self.listed.pop(member.store, None)
                listings.pop(member.store, None)
                gone.append(member.store)
                continue
            self.listed[member.store] = member
            listings[member.store] = _create_listing(instance, member)
        return ListUpdate(list(listings.values()), gone, is_complete)

    def is_ready(self, store: str) -> bool:
        """Whether attempts may be sent to a server. Reads the operators' maintenance register too, since an
        operator's request is in force before it has changed the list."""
        if store in self._register.out:
            return False
        return store in self.listed and self.listed[store].state is State.READY

    def has(self, store: str) -> bool:
        """Whether a server is listed, was listed or is out of service. Also called from the thread of the
        admin endpoint."""
        return store in self._seen or store in self._register.out

    def instances(self) -> list[Instance]:
        """All servers as discovery sent them."""
        return [instance for instance, _ in self.known.values()]

    def runs(self) -> dict[str, tuple[str, float]]:
        """The kind and start time of each server by name."""
        return {store: (member.kind, member.started_at_ms) for store, member in self.listed.items()}


def _create_listing(instance: Instance, member: Member) -> Listing:
    return Listing(
        member.store,
        instance.host_port,
        member.zone,
        member.kind,
        member.cell,
        member.state is State.READY,
        member.started_at_ms,
        tuple(instance.addresses),
    )
