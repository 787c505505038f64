"""Registry of the addresses of all listed servers, and of the one server that owns each address. Pure.

Two servers may claim the same address, most often when a new server has the address of one that was removed
and the endpoint list is late. Exactly one of them owns it. The first of these criteria that differs decides:

1. A server in service precedes one that is draining.
2. A server's own `hostPort` precedes a further listed address, which precedes an address added by a rule.
3. The later start (`startedAtMs`) precedes the earlier one, since the later process took the port.
4. The later claim precedes the earlier one.

The other server keeps its remaining addresses, and gets this one back when its owner no longer claims it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .address import Address
from .rules import Listing, Preference, Rules


class RankedClaim(NamedTuple):
    """A server's claim to an address, comparable with others: the greatest claim owns the address.

    negative_rank: the negative of `Claim.rank`, so that a server's own address ranks highest; sequence: the
    number of the claim in the order in which claims were made, unchanged as long as the claim continues."""

    is_ready: bool
    negative_rank: int
    started_ms: float
    sequence: int
    server: str


class Conflict(NamedTuple):
    """An address that another server claims as well as its owner."""

    address: Address
    owner: str
    other: str


class Change(NamedTuple):
    """The effects of a change of the endpoint list on connections and health.

    lost: (server, address) pairs, where the address may no longer be used for that server; renewed: servers
    that left the list or were restarted, whose health and connections are dropped; gone: servers that left
    the list or are no longer in service; conflicts and errors, the latter as (server, message), are
    logged."""

    lost: tuple[tuple[str, Address], ...] = ()
    renewed: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    errors: tuple[tuple[str, str], ...] = ()


class _Update:
    """The state of one change of the registry while it is applied."""

    def __init__(self) -> None:
        self.usable_before: dict[str, tuple[Address, ...]] = {}  # of each server that may be affected
        self.touched: dict[Address, None] = {}  # addresses whose claims changed, in order
        self.errors: list[tuple[str, str]] = []


class AddressRegistry:
    """Claims and owners of addresses, as given by the endpoint list and the operator's rules."""

    def __init__(self, rules: Rules | None = None) -> None:
        self.rules = rules or Rules()
        self._listed: dict[str, Listing] = {}
        self._claimed: dict[str, tuple[Address, ...]] = {}  # what each server claims, in listed order
        self._usable: dict[str, tuple[Address, ...]] = {}  # those of them that it owns
        self._preferences: dict[str, tuple[Preference, ...]] = {}  # only of servers for which a rule sets one
        self._claims: dict[Address, tuple[RankedClaim, ...]] = {}  # nearly always one per address
        self._owner: dict[Address, str] = {}
        self._claim_count = 0

    def __len__(self) -> int:
        return len(self._listed)

    def addresses(self, server: str) -> tuple[Address, ...]:
        """The addresses that a server owns, in listed order; empty if it is not listed or owns none."""
        return self._usable.get(server, ())

    def preferences(self, server: str) -> tuple[Preference, ...]:
        """The preference that a rule sets for this server; empty if the general one of the operator's file
        applies."""
        return self._preferences.get(server, ())

    def owner(self, address: Address) -> str | None:
        """The server that owns an address; None if no server claims it."""
        return self._owner.get(address)

    def update(self, listings: Iterable[Listing], gone: Iterable[str] = (), complete: bool = False) -> Change:
        """Applies changed listings and removes the servers in `gone`. With `complete`, all servers without a
        listing are removed as well."""
        changed = {listing.server: listing for listing in listings}
        listed = self._listed
        leaving = [s for s in listed if s not in changed] if complete else [s for s in gone if s in listed]
        renewed, stopped = list(leaving), list(leaving)
        for server, listing in changed.items():
            old = listed.get(server)
            if old is None:
                continue
            if old.started_ms != listing.started_ms or old.host_port != listing.host_port:
                renewed.append(server)
            if old.ready and not listing.ready:
                stopped.append(server)
        return self._apply(changed, leaving, tuple(renewed), tuple(stopped))

    def replace_rules(self, rules: Rules) -> Change:
        """Applies new rules to every listed server as one change. Claims that continue keep their
        sequence."""
        self.rules = rules
        return self._apply(dict(self._listed), (), (), ())

    def _apply(
        self,
        changed: dict[str, Listing],
        leaving: Iterable[str],
        renewed: tuple[str, ...],
        gone: tuple[str, ...],
    ) -> Change:
        update = _Update()
        for server in leaving:
            del self._listed[server]
            self._preferences.pop(server, None)
            self._remove_claims(server, update)
        for server, listing in changed.items():
            self._replace_claims(listing, server in renewed, update)
        conflicts = self._elect_owners(update)
        before = update.usable_before
        self._refresh_usable(before)
        lost = tuple((s, a) for s, had in before.items() for a in had if self._owner.get(a) != s)
        return Change(lost, renewed, gone, conflicts, tuple(update.errors))

    def _replace_claims(self, listing: Listing, is_renewed: bool, update: _Update) -> None:
        """Replaces a server's listing and claims. A claim that continues keeps its sequence, unless the
        server was renewed."""
        server = listing.server
        sequences = {address: claim.sequence for address, claim in self._remove_claims(server, update)}
        self._listed[server] = listing
        claims, preferences, errors = self.rules.claims(listing)
        update.errors += [(server, error) for error in errors]
        self._preferences.pop(server, None)
        if preferences:
            self._preferences[server] = preferences
        self._claimed[server] = tuple(claim.address for claim in claims)
        for address, rank in claims:
            self._claim_count += 1
            sequence = self._claim_count if is_renewed else sequences.get(address, self._claim_count)
            ranked = RankedClaim(listing.ready, -rank, listing.started_ms, sequence, server)
            self._claims[address] = (*self._claims.get(address, ()), ranked)
            update.touched[address] = None

    def _remove_claims(self, server: str, update: _Update) -> list[tuple[Address, RankedClaim]]:
        """Removes and returns all claims of a server."""
        update.usable_before.setdefault(server, self._usable.get(server, ()))
        removed = []
        for address in self._claimed.pop(server, ()):
            claims = self._claims[address]
            removed += [(address, claim) for claim in claims if claim.server == server]
            self._claims[address] = tuple(claim for claim in claims if claim.server != server)
            update.touched[address] = None
        return removed

    def _elect_owners(self, update: _Update) -> tuple[Conflict, ...]:
        """Determines the owner of each address whose claims changed. Returns their new and continuing
        conflicts."""
        conflicts = []
        for address in update.touched:
            claims = self._claims[address]
            previous = self._owner.pop(address, None)
            if not claims:
                del self._claims[address]
                continue
            owner = max(claims).server
            self._owner[address] = owner
            for server in (previous, owner):
                if server is not None:
                    update.usable_before.setdefault(server, self._usable.get(server, ()))
            if owner != previous or len(claims) > 1:
                conflicts += [Conflict(address, owner, c.server) for c in claims if c.server != owner]
        return tuple(conflicts)

    def _refresh_usable(self, servers: Iterable[str]) -> None:
        for server in servers:
            if server in self._listed:
                owned = (a for a in self._claimed[server] if self._owner[a] == server)
                self._usable[server] = tuple(owned)
            else:
                self._usable.pop(server, None)
