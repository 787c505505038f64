"""Which servers operators have taken out of service, as an overlay on the endpoint list. Pure.

A server that is out counts as draining, whatever the list says of its id, also if it leaves the list and
returns. A server that was put back counts as started at that moment: it was restarted in between, and nothing
tells when.
"""

from __future__ import annotations

from dataclasses import replace

from ..routing.events import Member, State


class MaintenanceRegister:
    """Servers by id; times are Unix ms."""

    def __init__(self) -> None:
        self.out: dict[str, float] = {}  # since when
        self.back: dict[str, float] = {}  # when it was last put back

    def take_out(self, store: str, now: float) -> bool:
        """Whether that changed anything: two requests to take out need one to put back."""
        if store in self.out:
            return False
        self.out[store] = now
        self.back.pop(store, None)
        return True

    def put_back(self, store: str, now: float) -> bool:
        """Whether that changed anything. A server that was never out does not start warming up by it."""
        if self.out.pop(store, None) is None:
            return False
        self.back[store] = now
        return True

    def overlay(self, member: Member) -> Member:
        """A listed server as routing is to see it."""
        if member.state is not State.GONE and member.store in self.out:
            return replace(member, state=State.DRAINING)
        back = self.back.get(member.store, 0.0)
        return replace(member, started_at_ms=back) if back > member.started_at_ms else member
