"""Which servers operators have taken out, laid over what the list tells of them. Pure.

A server that is out reads as draining, whatever the list says of its id, also when it leaves and comes again.
One that was put back reads as having come up then: it was restarted in between, and nothing tells when.
"""

from __future__ import annotations

from dataclasses import replace

from ..interface import Member, State


class Register:
    """By the servers' ids; times are Unix ms."""

    def __init__(self) -> None:
        self.out: dict[str, float] = {}  # since when
        self.back: dict[str, float] = {}  # when it was put back last

    def take_out(self, store: str, now: float) -> bool:
        """Whether that changed anything: two calls out need one call back."""
        if store in self.out:
            return False
        self.out[store] = now
        self.back.pop(store, None)
        return True

    def put_back(self, store: str, now: float) -> bool:
        """Whether that changed anything. One that was never out is not made cold by a call."""
        if self.out.pop(store, None) is None:
            return False
        self.back[store] = now
        return True

    def lay(self, member: Member) -> Member:
        if member.state is not State.GONE and member.store in self.out:
            return replace(member, state=State.DRAINING)
        back = self.back.get(member.store, 0.0)
        return replace(member, came_up_ms=back) if back > member.came_up_ms else member
