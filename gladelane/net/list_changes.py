"""Applies watch events of discovery: changes of the endpoint list, and purges."""

from __future__ import annotations

import logging

from ..discovery.events import Instance, ListChange, PurgeEvent, WatchEvent
from ..endpoints.registry import Change
from ..routing.events import ListKind, Member, Members, Purge
from .client_protocol import HEX16
from .copy_dates import CopyDates
from .endpoint_list import EndpointList, member_of
from .interfaces import DirectorContext

log = logging.getLogger(__name__)


class ListChanges:
    """Passes watch events on to the endpoint list, the addresses of servers, the guard and the router."""

    def __init__(self, context: DirectorContext, endpoint_list: EndpointList, copy_dates: CopyDates) -> None:
        self._context = context
        self._endpoint_list = endpoint_list
        self._copy_dates = copy_dates

    def apply(self, event: WatchEvent) -> None:
        """Applies an event, once: after a reconnect discovery may send again what is known. What is invalid
        is logged and ignored by itself, without losing the rest of the list or the later events."""
        if event.rev <= self._context.rev:
            return
        self._context.rev = event.rev
        if event.pool is not None:
            self._apply_pool(event.pool, event.rev)
        if event.flush is not None:
            self._apply_purge(event.flush, event)

    def take_over(self, rev: int, events: list[WatchEvent]) -> None:
        """Applies the events of a predecessor that has followed discovery for longer than this process's
        configuration file has. Purges may come twice, which changes nothing."""
        if rev <= self._context.rev:
            return
        for event in events:
            if event.pool is None:
                self._context.rev = event.rev - 1
            self.apply(event)
        self._context.rev = rev

    def events(self) -> list[WatchEvent]:
        """What a successor has to know: the active purges, then the complete list."""
        rev = self._context.rev
        instances = self._endpoint_list.instances()
        purges = [
            WatchEvent(min(event.rev, rev - 1), flush=event.flush)
            for event in self._copy_dates.purge_events()
        ]
        return [*purges, WatchEvent(rev, ListChange(instances, reset=True))] if instances else purges

    def relay(self, store: str) -> None:
        """Applies a server's changed maintenance state."""
        if (known := self._endpoint_list.known.get(store)) is not None:
            self.apply_list([known], False)

    def apply_list(self, servers: list[tuple[Instance, Member]], is_complete: bool) -> None:
        """Applies servers as discovery has them, `is_complete`: all of them, with maintenance on top."""
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
        """Drops connections to servers that left, moved or restarted, and to addresses that went."""
        for store in dict.fromkeys((*change.renewed, *change.gone)):
            self._context.sender.drop_server(store)
        for store, address in change.lost:
            self._context.sender.remove_address(store, address)

    def refresh_view(self) -> None:
        """Notifies the audit that the basis of decisions has changed, before any decision on the new one."""
        if self._context.audit is not None:
            self._context.audit.refresh_view()

    def _apply_pool(self, pool: ListChange, rev: int) -> None:
        zones = self._context.settings.zones
        servers = [(i, m) for i in pool.instances if (m := member_of(i, zones)) is not None]
        if pool.reset and not servers:
            # one bad list, sent to all directors, would stop the fleet: the last good one stays
            log.error("bad event: rev=%d is a whole list without a usable store", rev)
            self.refresh_view()
        else:
            self.apply_list(servers, pool.reset)

    def _apply_purge(self, flush: PurgeEvent, event: WatchEvent) -> None:
        asset, group = flush.asset, flush.collection
        if (asset is None) == (group is None) or (asset is not None and not HEX16.fullmatch(asset)):
            log.error("bad event: rev=%d purges neither an object nor a group", event.rev)
            return
        object_ = 0 if asset is None else int(asset, 16) + 1
        age_ms = self._copy_dates.record_purge(object_, group or 0, flush.ms, event)
        self.refresh_view()
        self._context.post(Purge(object_, group or 0, age_ms))
