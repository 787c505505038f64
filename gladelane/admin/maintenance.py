"""Servers that operators have taken out of service, as an overlay on the endpoint list. Pure.

A server that is out of service counts as draining, whatever state the list gives it, also if it leaves the
list and returns. A server that is put back counts as started at that moment: it was restarted in between, at
an unknown time.
"""

from __future__ import annotations

from dataclasses import replace

from ..routing.events import Member, State


class MaintenanceRegister:
    """The servers taken out of service and those put back, by id. Times are Unix ms."""

    def __init__(self) -> None:
        self.out: dict[str, float] = {}  # when each was taken out
        self.back: dict[str, float] = {}  # when each was last put back

    def take_out(self, store: str, now: float) -> bool:
        """Takes a server out of service. Returns False if it was out already: one `put_back` undoes any
        number of these requests."""
        if store in self.out:
            return False
        self.out[store] = now
        self.back.pop(store, None)
        return True

    def put_back(self, store: str, now: float) -> bool:
        """Puts a server back into service. Returns False if it was not out: then it does not count as
        restarted."""
        if self.out.pop(store, None) is None:
            return False
        self.back[store] = now
        return True

    def overlay(self, member: Member) -> Member:
        """Returns a listed server with its maintenance state applied, for use by routing."""
        if member.state is not State.GONE and member.store in self.out:
            return replace(member, state=State.DRAINING)
        back = self.back.get(member.store, 0.0)
        return replace(member, started_at_ms=back) if back > member.started_at_ms else member
