"""Who is reached where: every listed server's addresses, and the one owner of each. Pure, changed by what is
told.

Two servers may claim one address, most often when a new one bears the address of one that has gone and the
list is late. One owns it, by this rule, first difference decides:

1. a server in service before one that drains;
2. the server's own `hostPort` before an address told beside it, and that before one made by a rule;
3. the later start (`startedAtMs`): the later process took the port;
4. the claim made later.

The other keeps what else it has, and gets the address back when its owner no longer claims it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .address import Address
from .rules import Listing, Preference, Rules


class Held(NamedTuple):
    """One claim as it competes; the greater owns. `since` counts claims and is kept while a claim goes on."""

    ready: bool
    rank: int  # negated: the own address is 0, the largest
    started_ms: float
    since: int
    server: str


class Conflict(NamedTuple):
    address: Address
    owner: str
    other: str


class Change(NamedTuple):
    """What a change of the list means for connections and health.

    lost: (server, address) that may no longer be used for that server; renewed: servers that left or came up
    anew, whose health and connections end; gone: servers that left the list or stopped being in service;
    conflicts and bad are for the log."""

    lost: tuple[tuple[str, Address], ...] = ()
    renewed: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    bad: tuple[tuple[str, str], ...] = ()


class Book:
    def __init__(self, rules: Rules | None = None) -> None:
        self.rules = rules or Rules()
        self._listed: dict[str, Listing] = {}
        self._wanted: dict[str, tuple[Address, ...]] = {}  # what each server claims, in listed order
        self._usable: dict[str, tuple[Address, ...]] = {}  # what each server owns of that
        self._prefer: dict[str, tuple[Preference, ...]] = {}  # where a rule set one for the server
        self._claims: dict[Address, tuple[Held, ...]] = {}  # nearly always one
        self._owner: dict[Address, str] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._listed)

    def addresses(self, server: str) -> tuple[Address, ...]:
        """In listed order; empty for a server that is not listed or owns none of what it claims."""
        return self._usable.get(server, ())

    def prefer(self, server: str) -> tuple[Preference, ...]:
        """What a rule says for this server; empty: what the file says for all."""
        return self._prefer.get(server, ())

    def owner(self, address: Address) -> str | None:
        return self._owner.get(address)

    def tell(self, listings: Iterable[Listing], gone: Iterable[str] = (), complete: bool = False) -> Change:
        """A change of the list, or with `complete` the whole of it."""
        told = {listing.server: listing for listing in listings}
        listed = self._listed
        leaving = [s for s in listed if s not in told] if complete else [s for s in gone if s in listed]
        renewed, stopped = list(leaving), list(leaving)
        for server, listing in told.items():
            old = self._listed.get(server)
            if old is None:
                continue
            if old.started_ms != listing.started_ms or old.host_port != listing.host_port:
                renewed.append(server)
            if old.ready and not listing.ready:
                stopped.append(server)
        return self._settle(told, leaving, tuple(renewed), tuple(stopped))

    def replace_rules(self, rules: Rules) -> Change:
        """Every server's list anew, as one change; claims that go on keep their place."""
        self.rules = rules
        return self._settle(dict(self._listed), (), (), ())

    def _settle(
        self,
        told: dict[str, Listing],
        leaving: Iterable[str],
        renewed: tuple[str, ...],
        gone: tuple[str, ...],
    ) -> Change:
        before: dict[str, tuple[Address, ...]] = {}
        touched: dict[Address, None] = {}
        bad: list[tuple[str, str]] = []
        for server in leaving:
            del self._listed[server]
            self._prefer.pop(server, None)
            self._withdraw(server, before, touched)
        for server, listing in told.items():
            fresh = server in renewed
            kept = {a: held.since for a, held in self._withdraw(server, before, touched)}
            self._listed[server] = listing
            claims, prefer, lines = self.rules.claims(listing)
            bad += [(server, line) for line in lines]
            self._prefer.pop(server, None)
            if prefer:
                self._prefer[server] = prefer
            self._wanted[server] = tuple(claim.address for claim in claims)
            for address, rank in claims:
                self._count += 1
                since = self._count if fresh else kept.get(address, self._count)
                held = Held(listing.ready, -rank, listing.started_ms, since, server)
                self._claims[address] = (*self._claims.get(address, ()), held)
                touched[address] = None
        conflicts = self._own(touched, before)
        for server in before:
            if server in self._listed:
                self._usable[server] = tuple(a for a in self._wanted[server] if self._owner[a] == server)
            else:
                self._usable.pop(server, None)
        lost = tuple((s, a) for s, had in before.items() for a in had if self._owner.get(a) != s)
        return Change(lost, renewed, gone, conflicts, tuple(bad))

    def _withdraw(
        self, server: str, before: dict[str, tuple[Address, ...]], touched: dict[Address, None]
    ) -> list[tuple[Address, Held]]:
        """Takes back all that a server claims, and gives the claims."""
        before.setdefault(server, self._usable.get(server, ()))
        taken = []
        for address in self._wanted.pop(server, ()):
            claims = self._claims[address]
            taken += [(address, held) for held in claims if held.server == server]
            self._claims[address] = tuple(held for held in claims if held.server != server)
            touched[address] = None
        return taken

    def _own(
        self, touched: Iterable[Address], before: dict[str, tuple[Address, ...]]
    ) -> tuple[Conflict, ...]:
        conflicts = []
        for address in touched:
            claims = self._claims[address]
            had = self._owner.pop(address, None)
            if not claims:
                del self._claims[address]
                continue
            owner = max(claims).server
            self._owner[address] = owner
            for server in (had, owner):
                if server is not None:
                    before.setdefault(server, self._usable.get(server, ()))
            if owner != had or len(claims) > 1:
                conflicts += [Conflict(address, owner, c.server) for c in claims if c.server != owner]
        return tuple(conflicts)
