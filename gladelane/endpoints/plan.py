"""What a connection to a server dials: the addresses in order, a trial, and the delay between dials. Pure.

A plan is remembered until something that it rests on changes, so that a pick at thousands of servers costs a
look-up.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from .address import Address
from .book import Book, Change
from .health import Health, Pauses, Told
from .order import arrange
from .rules import Listing, Preference, Rules


class Options(msgspec.Struct, frozen=True):
    """The figures of the operator's file, in ms where they are times."""

    prefer: tuple[Preference, ...] = ()
    first_family_count: int = 1
    delay_first_ms: float = 250.0  # RFC 8305 section 8
    delay_least_ms: float = 20.0  # its floor is 10; 100 is recommended for the open network
    delay_most_ms: float = 250.0
    pause_first_ms: float = 500.0
    pause_most_ms: float = 30_000.0
    pause_stall_ms: float = 5_000.0
    family_few: int = 3

    def pauses(self) -> Pauses:
        return Pauses(self.pause_first_ms, self.pause_most_ms, self.pause_stall_ms, self.family_few)


class Plan(NamedTuple):
    """addresses best first; delay_ms before the next is dialled beside the first; trial: an address to try
    again by a dial that nobody waits for."""

    addresses: tuple[Address, ...]
    delay_ms: float
    trial: Address | None = None


class _Kept(NamedTuple):
    plan: Plan
    version: int
    epoch: int
    until_ms: float  # a pause ends, and a trial may be due
    settled: bool  # whether it holds however dials in flight fare


NOTHING = Plan((), 0.0)


class Endpoints:
    """Book, health and plans of one director: all that is decided about addresses."""

    def __init__(
        self,
        rng: random.Random,
        options: Options | None = None,
        rules: Rules | None = None,
        told: Told = lambda *_: None,
    ) -> None:
        self.options = options or Options()
        self.book = Book(rules)
        self.told = told
        self.health = Health(self.options.pauses(), rng, told)
        self._plans: dict[str, _Kept] = {}

    # --- the list and the file

    def tell(self, listings: Iterable[Listing], gone: Iterable[str] = (), complete: bool = False) -> Change:
        return self._learn(self.book.tell(listings, gone, complete))

    def configure(self, options: Options, rules: Rules) -> Change:
        """A new file: what was learnt stays, orders are made anew."""
        self.options = options
        self.health.pauses = options.pauses()
        change = self._learn(self.book.replace_rules(rules))
        self._plans.clear()
        return change

    def _learn(self, change: Change) -> Change:
        for server in change.renewed:
            self.health.forget(server)
        for server, address in change.lost:
            self.health.forget_address(server, address)
            self._plans.pop(server, None)
        for address, owner, other in change.conflicts:
            self.told("address claimed twice peer=%s owner=%s other=%s", address.text, owner, other)
        for server, line in change.bad:
            self.told("bad address server=%s: %s", server, line)
        return change

    # --- picks

    def plan(self, server: str, now: float) -> Plan:
        """What to dial now; no addresses: the server owns none that can be used."""
        kept, health = self._plans.get(server), self.health
        addresses = self.book.addresses(server)
        if len(addresses) < 2:
            return Plan(addresses, 0.0) if addresses else NOTHING
        if (
            kept is not None
            and kept.settled
            and now < kept.until_ms
            and kept.version == health.version(server)
            and kept.epoch == health.epoch
        ):
            return kept.plan
        return self._make(server, addresses, now)

    def _make(self, server: str, addresses: tuple[Address, ...], now: float) -> Plan:
        health, options = self.health, self.options
        ordered = arrange(
            addresses,
            self.book.prefer(server) or options.prefer,
            lambda a: health.connect_ms(server, a),
            options.first_family_count,
        )
        families = {a.family for a in addresses}
        leads = {family: health.family_leads(family, server, now) for family in families}
        good = [a for a in ordered if leads[a.family] and not health.passed_over(server, a)]
        # where several families are unproven and each has its few, the last of them takes the crowd: the
        # better ones have been asked, and lead again a round trip later if they work. Broken ones come after
        # these, and addresses that failed last, the soonest due first
        doubted = [a for a in ordered if not leads[a.family] and not health.passed_over(server, a)]
        places = {family: place for place, family in enumerate(dict.fromkeys(a.family for a in ordered))}
        doubted.sort(key=lambda a: (health.broken(a.family), -places[a.family]))
        bad = [a for a in ordered if health.passed_over(server, a)]
        bad.sort(key=lambda a: self._until(server, a))
        chosen = [*good, *doubted, *bad]
        trial = next((a for a in chosen[1:] if health.wants_trial(server, a, now)), None) if good else None
        plan = Plan(tuple(chosen), self.delay_ms(server, chosen[0]), trial)
        pauses = [until for a in addresses if (until := self._until(server, a)) > now]
        states = [state for family in leads if (state := health.families.get(family)) is not None]
        pauses += [state.until_ms for state in states if state.until_ms > now]
        # an unproven family, or one with dials out, may stop or start leading with every dial anywhere
        settled = trial is None and all(
            state.broken() or (state.proven and not state.leading and not state.failed) for state in states
        )
        self._plans[server] = _Kept(
            plan, health.version(server), health.epoch, min(pauses, default=float("inf")), settled
        )
        return plan

    def _until(self, server: str, address: Address) -> float:
        known = self.health.at(server, address)
        return known.until_ms if known is not None else 0.0

    def delay_ms(self, server: str, first: Address) -> float:
        """RFC 8305 section 5: learnt from connect times, inside the file's bounds."""
        usual = self.health.usual_ms(server, first)
        if usual is None:
            return self.options.delay_first_ms
        return min(max(2.0 * usual, self.options.delay_least_ms), self.options.delay_most_ms)

    # --- what connections tell

    def stalled(self, server: str, address: Address, now: float, why: str = "STALLED") -> bool:
        """A connection took bytes and brought no answer. Whether there is another way, not passed over."""
        if len(self.book.addresses(server)) < 2 or self.book.owner(address) != server:
            return False
        self.health.stalled(server, address, now, why)
        return not self.health.passed_over(server, self.plan(server, now).addresses[0])
