"""Dial plans: which addresses a connection to a server dials, in which order and with which delay. Pure.

A plan is cached until something that it depends on changes, so that in a fleet of thousands of servers a plan
usually costs one look-up.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import msgspec

from .address import Address
from .address_selection import sort_addresses
from .health import Cooldowns, FamilyHealth, Health, LogWarning
from .registry import AddressRegistry, Change
from .rules import Listing, Preference, Rules


class Options(msgspec.Struct, frozen=True):
    """The section `endpoints` of the operator's file. Times are in ms.

    delay_*: the time between two dials of one plan; pause_*: how long a failed address is avoided;
    family_few: the number of servers whose failures show that a whole address family is broken."""

    prefer: tuple[Preference, ...] = ()
    first_family_count: int = 1
    delay_first_ms: float = 250.0  # RFC 8305 section 8
    delay_least_ms: float = 20.0  # the RFC requires at least 10, and recommends 100 for the internet
    delay_most_ms: float = 250.0
    pause_first_ms: float = 500.0
    pause_most_ms: float = 30_000.0
    pause_stall_ms: float = 5_000.0
    family_few: int = 3

    def cooldowns(self) -> Cooldowns:
        """The part of the settings that `Health` needs."""
        return Cooldowns(self.pause_first_ms, self.pause_most_ms, self.pause_stall_ms, self.family_few)


class Plan(NamedTuple):
    """What to dial now.

    addresses: best first; delay_ms: the time after which the next address is dialled if the first has not
    connected; address_to_check: an avoided address that is due for a health check."""

    addresses: tuple[Address, ...]
    delay_ms: float
    address_to_check: Address | None = None


class _CachedPlan(NamedTuple):
    plan: Plan
    version: int  # of the server's health
    epoch: int  # of the families' health
    valid_until_ms: float  # a cooldown ends then, and a health check may be due
    is_stable: bool  # whether the plan does not depend on the results of dials in flight


NO_PLAN = Plan((), 0.0)


class Endpoints:
    """The address registry, address health and dial plans of one director."""

    def __init__(
        self,
        rng: random.Random,
        options: Options | None = None,
        rules: Rules | None = None,
        log_warning: LogWarning = lambda *_: None,
    ) -> None:
        self.options = options or Options()
        self.registry = AddressRegistry(rules)
        self.health = Health(self.options.cooldowns(), rng, log_warning)
        self._log_warning = log_warning
        self._plans: dict[str, _CachedPlan] = {}

    # --- the endpoint list and the operator's file

    def update(self, listings: Iterable[Listing], gone: Iterable[str] = (), complete: bool = False) -> Change:
        """Applies a change of the endpoint list; see `AddressRegistry.update`."""
        return self._apply(self.registry.update(listings, gone, complete))

    def configure(self, options: Options, rules: Rules) -> Change:
        """Applies a new operator's file. The observed health of addresses stays; plans are computed again."""
        self.options = options
        self.health.cooldowns = options.cooldowns()
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
        """Returns what to dial at `now` (ms). The plan has no addresses if the server owns none that are
        usable."""
        cached, health = self._plans.get(server), self.health
        addresses = self.registry.addresses(server)
        if len(addresses) < 2:
            return Plan(addresses, 0.0) if addresses else NO_PLAN
        if (
            cached is not None
            and cached.is_stable
            and now < cached.valid_until_ms
            and cached.version == health.version(server)
            and cached.epoch == health.epoch
        ):
            return cached.plan
        return self._make_plan(server, addresses, now)

    def _make_plan(self, server: str, addresses: tuple[Address, ...], now: float) -> Plan:
        health = self.health
        preferred, fallbacks = self._order(server, addresses, now)
        ordered = [*preferred, *fallbacks]
        due = (a for a in ordered[1:] if health.is_check_due(server, a, now))
        to_check = next(due, None) if preferred else None
        plan = Plan(tuple(ordered), self.delay_ms(server, ordered[0]), to_check)
        families = dict.fromkeys(a.family for a in addresses)
        states = [state for family in families if (state := health.families.get(family)) is not None]
        cooldown_ends = [until for a in addresses if (until := self._avoided_until(server, a)) > now]
        cooldown_ends += [state.avoided_until_ms for state in states if state.avoided_until_ms > now]
        is_stable = to_check is None and all(map(_is_stable, states))
        valid_until_ms = min(cooldown_ends, default=float("inf"))
        self._plans[server] = _CachedPlan(
            plan, health.version(server), health.epoch, valid_until_ms, is_stable
        )
        return plan

    def _order(
        self, server: str, addresses: Sequence[Address], now: float
    ) -> tuple[list[Address], list[Address]]:
        """Returns the addresses that may be dialled first and the fallbacks, each best first.

        If several families are unproven and each is already dialled first at the allowed number of servers,
        the last of these families is dialled first at all other servers: the better families are being tried,
        and are dialled first again one round trip later if they work. Broken families come after these.
        Addresses that failed come last, ordered by the end of their cooldowns."""
        health = self.health
        ordered = sort_addresses(
            addresses,
            self.registry.preferences(server) or self.options.prefer,
            self._connect_ms(server),
            self.options.first_family_count,
        )
        may_be_first = {a.family: health.may_dial_family_first(a.family, server, now) for a in addresses}
        avoided = [a for a in ordered if health.is_avoided(server, a)]
        avoided.sort(key=lambda a: self._avoided_until(server, a))
        usable = [a for a in ordered if not health.is_avoided(server, a)]
        family_order = {
            family: index for index, family in enumerate(dict.fromkeys(a.family for a in ordered))
        }
        not_first = [a for a in usable if not may_be_first[a.family]]
        not_first.sort(key=lambda a: (health.is_family_broken(a.family), -family_order[a.family]))
        return [a for a in usable if may_be_first[a.family]], [*not_first, *avoided]

    def _connect_ms(self, server: str) -> Callable[[Address], float | None]:
        return lambda address: self.health.connect_ms(server, address)

    def _avoided_until(self, server: str, address: Address) -> float:
        address_health = self.health.get(server, address)
        return address_health.avoided_until_ms if address_health is not None else 0.0

    def delay_ms(self, server: str, first: Address) -> float:
        """The time to the second dial (RFC 8305 section 5), from observed connect times and within the bounds
        of the operator's file."""
        upper_ms = self.health.upper_connect_ms(server, first)
        if upper_ms is None:
            return self.options.delay_first_ms
        return min(max(2.0 * upper_ms, self.options.delay_least_ms), self.options.delay_most_ms)

    # --- reports of connections

    def record_stall(self, server: str, address: Address, now: float, reason: str = "STALLED") -> bool:
        """Records that a connection took bytes and sent no answer. Returns whether a better address can be
        dialled."""
        if len(self.registry.addresses(server)) < 2 or self.registry.owner(address) != server:
            return False
        self.health.record_stall(server, address, now, reason)
        return not self.health.is_avoided(server, self.plan(server, now).addresses[0])


def _is_stable(family: FamilyHealth) -> bool:
    """Whether no single dial can change whether the family may be dialled first. Any dial at any server can,
    if the family is unproven or has first dials in flight."""
    if family.is_broken():
        return True
    return family.is_proven and not family.first_dials and not family.failed_servers
