"""Applies the watch events of discovery: changes of the endpoint list, and purges."""

from __future__ import annotations

import logging

from ..discovery.events import Instance, ListChange, PurgeEvent, WatchEvent
from ..endpoints.registry import Change
from ..routing.events import ListKind, Member, Members, Purge
from .client_protocol import HEX16
from .copy_dates import CopyDates
from .endpoint_list import EndpointList, create_member
from .interfaces import DirectorContext

log = logging.getLogger(__name__)


class ListChanges:
    """Applies watch events to the endpoint list, the addresses of servers, the guard and the router."""

    def __init__(self, context: DirectorContext, endpoint_list: EndpointList, copy_dates: CopyDates) -> None:
        self._context = context
        self._endpoint_list = endpoint_list
        self._copy_dates = copy_dates
        self._failed_rev = 0  # the revision of the latest event that failed

    def apply(self, event: WatchEvent) -> None:
        """Applies an event unless it was applied before, since discovery may send known events again after a
        reconnect. Only the invalid parts of an event are logged and ignored; the rest of the list and later
        events are applied.

        Raises the error of an event that cannot be applied. If it is sent again, it is applied once more, and
        then counts as applied, so that it does not hold up the events after it."""
        if event.rev <= self._context.rev:
            return
        previous_rev, self._context.rev = self._context.rev, event.rev
        try:
            self._apply(event)
        except Exception:
            if event.rev != self._failed_rev:
                self._failed_rev, self._context.rev = event.rev, previous_rev
            raise

    def _apply(self, event: WatchEvent) -> None:
        if event.pool is not None:
            self._apply_pool(event.pool, event.rev)
        if event.flush is not None:
            self._apply_purge(event.flush, event)

    def take_over(self, rev: int, events: list[WatchEvent]) -> None:
        """Applies the events of a predecessor if it knows a later revision than this process, which started
        from its configuration file. A purge may be applied twice, which has no further effect."""
        if rev <= self._context.rev:
            return
        for event in events:
            if event.pool is None:
                self._context.rev = event.rev - 1
            self.apply(event)
        self._context.rev = rev

    def events(self) -> list[WatchEvent]:
        """The events for a successor: the active purges, then the complete endpoint list."""
        rev = self._context.rev
        instances = self._endpoint_list.instances()
        purges = [
            WatchEvent(min(event.rev, rev - 1), flush=event.flush)
            for event in self._copy_dates.purge_events()
        ]
        return [*purges, WatchEvent(rev, ListChange(instances, reset=True))] if instances else purges

    def relay(self, store: str) -> None:
        """Applies the changed maintenance state of a server."""
        if (known := self._endpoint_list.known.get(store)) is not None:
            self.apply_list([known], False)

    def apply_list(self, servers: list[tuple[Instance, Member]], is_complete: bool) -> None:
        """Applies servers as discovery sent them, with the operators' maintenance on top. `is_complete` means
        that all other servers are gone."""
        context = self._context
        now = context.clock()
        for instance, _ in servers:
            if instance.started_at_ms:
                self._copy_dates.platform.record_start_date(instance.started_at_ms, now)
        self._endpoint_list.record(servers, is_complete)
        self._copy_dates.apply_offset()
        maintained = [(instance, context.register.overlay(member)) for instance, member in servers]
        update = self._endpoint_list.apply(maintained, is_complete)
        self.refresh_view()
        self.apply_address_change(context.endpoints.update(update.listings, update.gone, is_complete))
        if context.guard is not None:
            context.guard.listed(self._endpoint_list.runs())
        kind = ListKind.COMPLETE if is_complete else ListKind.CHANGES
        context.post(Members(kind, tuple(member for _, member in maintained)))

    def apply_address_change(self, change: Change) -> None:
        """Drops connections to servers that left, moved or restarted, and to removed addresses."""
        for store in dict.fromkeys((*change.renewed, *change.gone)):
            self._context.sender.drop_server(store)
        for store, address in change.lost:
            self._context.sender.remove_address(store, address)

    def refresh_view(self) -> None:
        """Notifies the audit of a changed list, purge or setting, before any decision is based on it."""
        if self._context.audit is not None:
            self._context.audit.refresh_view()

    def _apply_pool(self, pool: ListChange, rev: int) -> None:
        zones = self._context.settings.zones
        servers = [(i, m) for i in pool.instances if (m := create_member(i, zones)) is not None]
        if pool.reset and not servers:
            # one invalid list, sent to all directors, would stop the fleet, so the last valid list is kept
            log.error("bad event: rev=%d is a complete list without a valid store", rev)
            self.refresh_view()
        else:
            self.apply_list(servers, pool.reset)

    def _apply_purge(self, flush: PurgeEvent, event: WatchEvent) -> None:
        asset, group = flush.asset, flush.collection
        if (asset is None) == (group is None) or (asset is not None and not HEX16.fullmatch(asset)):
            log.error("bad event: rev=%d does not purge exactly one object or one group", event.rev)
            return
        object_ = 0 if asset is None else int(asset, 16) + 1
        age_ms = self._copy_dates.record_purge(object_, group or 0, flush.ms, event)
        self.refresh_view()
        self._context.post(Purge(object_, group or 0, age_ms))
