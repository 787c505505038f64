"""Dial plans: what a connection to a server dials, in which order and how far apart. Pure.

A plan is cached until something that it rests on changes, so that choosing among thousands of servers costs a
look-up each.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import msgspec

from .address import Address
from .address_selection import sort_addresses
from .health import FamilyHealth, Health, LogWarning, Pauses
from .registry import AddressRegistry, Change
from .rules import Listing, Preference, Rules


class Options(msgspec.Struct, frozen=True):
    """Settings of the operator's file, `endpoints`; times are in milliseconds.

    delay_*: between two dials of one plan; pause_*: how long a failed address is avoided; family_few: the
    number of servers whose failures show that a whole address family is broken."""

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
        """The part of the settings that `Health` needs."""
        return Pauses(self.pause_first_ms, self.pause_most_ms, self.pause_stall_ms, self.family_few)


class Plan(NamedTuple):
    """What to dial now.

    addresses: best first; delay_ms: the time after which the next address is dialled beside the first;
    address_to_check: an avoided address that is due for a health check."""

    addresses: tuple[Address, ...]
    delay_ms: float
    address_to_check: Address | None = None


class _CachedPlan(NamedTuple):
    plan: Plan
    version: int  # of the server's health
    epoch: int  # of the families' health
    until_ms: float  # a pause ends then, and a health check may be due
    is_stable: bool  # whether it holds whatever becomes of the dials in flight


NO_PLAN = Plan((), 0.0)


class Endpoints:
    """Registry, health and dial plans of one director: everything that is decided about addresses."""

    def __init__(
        self,
        rng: random.Random,
        options: Options | None = None,
        rules: Rules | None = None,
        log_warning: LogWarning = lambda *_: None,
    ) -> None:
        self.options = options or Options()
        self.registry = AddressRegistry(rules)
        self.health = Health(self.options.pauses(), rng, log_warning)
        self._log_warning = log_warning
        self._plans: dict[str, _CachedPlan] = {}

    # --- the endpoint list and the operator's file

    def update(self, listings: Iterable[Listing], gone: Iterable[str] = (), complete: bool = False) -> Change:
        """Applies a change of the endpoint list; see `AddressRegistry.update`."""
        return self._apply(self.registry.update(listings, gone, complete))

    def configure(self, options: Options, rules: Rules) -> Change:
        """Applies a new operator's file. What was learnt of addresses stays; plans are made anew."""
        self.options = options
        self.health.pauses = options.pauses()
        change = self._apply(self.registry.replace_rules(rules))
        self._plans.clear()
        return change

    def _apply(self, change: Change) -> Change:
        for server in change.renewed:
            self.health.forget(server)
        for server, address in change.lost:
            self.health.forget_address(server, address)
            self._plans.pop(server, None)
        for address, owner, other in change.conflicts:
            self._log_warning("address claimed twice peer=%s owner=%s other=%s", address.text, owner, other)
        for server, error in change.errors:
            self._log_warning("bad address server=%s: %s", server, error)
        return change

    # --- plans

    def plan(self, server: str, now: float) -> Plan:
        """What to dial at `now`, in ms; without addresses if the server owns none that can be used."""
        cached, health = self._plans.get(server), self.health
        addresses = self.registry.addresses(server)
        if len(addresses) < 2:
            return Plan(addresses, 0.0) if addresses else NO_PLAN
        if (
            cached is not None
            and cached.is_stable
            and now < cached.until_ms
            and cached.version == health.version(server)
            and cached.epoch == health.epoch
        ):
            return cached.plan
        return self._make_plan(server, addresses, now)

    def _make_plan(self, server: str, addresses: tuple[Address, ...], now: float) -> Plan:
        health = self.health
        good, rest = self._order(server, addresses, now)
        chosen = [*good, *rest]
        due = (a for a in chosen[1:] if health.is_check_due(server, a, now))
        to_check = next(due, None) if good else None
        plan = Plan(tuple(chosen), self.delay_ms(server, chosen[0]), to_check)
        families = dict.fromkeys(a.family for a in addresses)
        states = [state for family in families if (state := health.families.get(family)) is not None]
        pauses = [until for a in addresses if (until := self._avoided_until(server, a)) > now]
        pauses += [state.until_ms for state in states if state.until_ms > now]
        is_stable = to_check is None and all(map(_is_stable, states))
        until_ms = min(pauses, default=float("inf"))
        self._plans[server] = _CachedPlan(plan, health.version(server), health.epoch, until_ms, is_stable)
        return plan

    def _order(
        self, server: str, addresses: Sequence[Address], now: float
    ) -> tuple[list[Address], list[Address]]:
        """Addresses that may be dialled first, and those to fall back to, best first each.

        Where several families are unproven and each already leads at its few servers, the last of them takes
        all other servers: the better ones have been dialled, and lead again a round trip later if they work.
        Broken families come after these, and addresses that failed last, the soonest due first."""
        health = self.health
        ordered = sort_addresses(
            addresses,
            self.registry.preferences(server) or self.options.prefer,
            self._connect_ms(server),
            self.options.first_family_count,
        )
        leads = {a.family: health.may_family_lead(a.family, server, now) for a in addresses}
        avoided = [a for a in ordered if health.is_avoided(server, a)]
        avoided.sort(key=lambda a: self._avoided_until(server, a))
        usable = [a for a in ordered if not health.is_avoided(server, a)]
        places = {family: place for place, family in enumerate(dict.fromkeys(a.family for a in ordered))}
        doubtful = [a for a in usable if not leads[a.family]]
        doubtful.sort(key=lambda a: (health.is_family_broken(a.family), -places[a.family]))
        return [a for a in usable if leads[a.family]], [*doubtful, *avoided]

    def _connect_ms(self, server: str) -> Callable[[Address], float | None]:
        return lambda address: self.health.connect_ms(server, address)

    def _avoided_until(self, server: str, address: Address) -> float:
        known = self.health.of(server, address)
        return known.until_ms if known is not None else 0.0

    def delay_ms(self, server: str, first: Address) -> float:
        """Time to the second dial, RFC 8305 section 5: learnt from connect times, within the file's
        bounds."""
        usual = self.health.usual_ms(server, first)
        if usual is None:
            return self.options.delay_first_ms
        return min(max(2.0 * usual, self.options.delay_least_ms), self.options.delay_most_ms)

    # --- what connections report

    def stalled(self, server: str, address: Address, now: float, why: str = "STALLED") -> bool:
        """A connection took bytes and brought no answer. Returns whether a better address can be dialled."""
        if len(self.registry.addresses(server)) < 2 or self.registry.owner(address) != server:
            return False
        self.health.stalled(server, address, now, why)
        return not self.health.is_avoided(server, self.plan(server, now).addresses[0])


def _is_stable(family: FamilyHealth) -> bool:
    """An unproven family, or one with dials in flight, may start or stop leading with any dial anywhere."""
    if family.is_broken():
        return True
    return family.proven and not family.leading and not family.failed
