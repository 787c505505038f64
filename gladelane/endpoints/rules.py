"""Rules for the addresses of servers: each has its `hostPort` and `addresses`, then an operator's rules
apply.

A rule matches by id glob, zone, kind, or network of `hostPort`, and does one thing: adds addresses, replaces
all, or sets an order by family and network. Its addresses may be templates. Pure.
"""

from __future__ import annotations

import fnmatch
import re
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from .address import Address, Family, InvalidAddressError, parse

MAX_ADDRESSES = 16  # of one server
VARIABLES = ("id", "zone", "kind", "cell", "host", "port", "octet1", "octet2", "octet3", "octet4")
_VARIABLE = re.compile(r"\{([^{}]*)\}")
#: A template is expanded with these when the file is read, so that a malformed one is reported then.
_SAMPLE = {
    "id": "s-1", "zone": "z", "kind": "k", "cell": "1", "host": "10.1.2.3", "port": "4100",
    "octet1": "10", "octet2": "1", "octet3": "2", "octet4": "3",
}  # fmt: skip


class Listing(msgspec.Struct, frozen=True):
    """One server of the endpoint list, as far as its addresses go; started_ms is Unix time in ms."""

    server: str
    host_port: str
    zone: str = ""
    kind: str = ""
    site: int = 0  # `{cell}` in templates
    ready: bool = True
    started_ms: float = 0.0
    addresses: tuple[str, ...] = ()


class Network(NamedTuple):
    """A prefix: the packed first address and how many bits of it count."""

    packed: bytes
    bits: int

    def contains(self, packed: bytes) -> bool:
        """Whether a packed address is in this network; never one of another family."""
        if len(packed) != len(self.packed):
            return False
        shift = len(packed) * 8 - self.bits
        return int.from_bytes(packed, "big") >> shift == int.from_bytes(self.packed, "big") >> shift


Preference = Family | Network


class Rule(msgspec.Struct, frozen=True):
    """One rule of the operator's file, checked; exactly one of add, replace and order is not empty.

    glob, zone, kind and network say which servers it matches, where they are given; last: no rule after it
    applies to a server that it matched."""

    name: str
    glob: str = ""
    zone: str = ""
    kind: str = ""
    network: Network | None = None
    add: tuple[str, ...] = ()
    replace: tuple[str, ...] = ()
    order: tuple[Preference, ...] = ()
    last: bool = False

    def matcher(self) -> Callable[[Listing, Address | None], bool]:
        """A predicate of a server and its own address. A glob is compiled once a rule, not once a server."""
        glob = re.compile(fnmatch.translate(self.glob)).match if self.glob else None

        def matches(listing: Listing, own: Address | None) -> bool:
            if glob is not None and glob(listing.server) is None:
                return False
            if (self.zone and self.zone != listing.zone) or (self.kind and self.kind != listing.kind):
                return False
            return self.network is None or (own is not None and self.network.contains(own.packed))

        return matches


class RuleStep(NamedTuple):
    """The outcome of one rule: addresses and preference after it, and errors about what could not be used."""

    rule: str
    addresses: tuple[Address, ...]
    prefer: tuple[Preference, ...] = ()
    errors: tuple[str, ...] = ()


OWN_RANK, LISTED_RANK, RULE_RANK = range(3)


class Claim(NamedTuple):
    """An address at which a server should be reached.

    rank: OWN_RANK its `hostPort`, LISTED_RANK listed beside that, RULE_RANK added by a rule."""

    address: Address
    rank: int


class ServerClaims(NamedTuple):
    """A server's claims in listed order, MAX_ADDRESSES at most; its own preference, if a rule set one; and an
    error for each address or rule that could not be used."""

    claims: tuple[Claim, ...]
    prefer: tuple[Preference, ...]
    errors: tuple[str, ...]


def check_template(text: str) -> None:
    """Raises InvalidAddressError if no server could make an address of a template."""
    for name in _VARIABLE.findall(text):
        if name not in VARIABLES:
            raise InvalidAddressError(text, f"unknown variable {{{name}}}, known are {', '.join(VARIABLES)}")
    parse(_VARIABLE.sub(lambda found: _SAMPLE[found[1]], text))


def expand(template: str, listing: Listing, own: Address | None) -> Address:
    """The address that a template gives for a server, with its own address `own` if that is valid.

    Raises InvalidAddressError if the server lacks what the template names, or it gives no address."""
    if "{" not in template:
        return parse(template)
    values = {"id": listing.server, "zone": listing.zone, "kind": listing.kind, "cell": str(listing.site)}
    if own is not None and own.family is not Family.UNIX:
        values |= {"host": own.host, "port": str(own.port)}
        if own.family is Family.V4:
            values |= {f"octet{place}": part for place, part in enumerate(own.host.split("."), 1)}

    def value(found: re.Match[str]) -> str:
        text = values.get(found[1])
        if text is None:
            raise InvalidAddressError(template, f"server {listing.server} has no {found[1]}")
        if "/" in text or ".." in text:  # a listed name must not lead out of a socket's folder
            raise InvalidAddressError(template, f"{found[1]} of server {listing.server} holds / or ..")
        return text

    return parse(_VARIABLE.sub(value, template))


class Rules:
    """All rules of the operator's file, compiled."""

    def __init__(self, rules: Sequence[Rule] = ()) -> None:
        self.rules = tuple(rules)
        self._compiled = [(rule, rule.matcher()) for rule in rules]

    def claims(self, listing: Listing) -> ServerClaims:
        """A server's addresses after all rules."""
        steps, ranks = self._run(listing)
        return ServerClaims(
            tuple(Claim(address, ranks[address]) for address in steps[-1].addresses),
            steps[-1].prefer,
            tuple(line for step in steps for line in step.errors),
        )

    def explain(self, listing: Listing) -> list[RuleStep]:
        """How a server got its addresses: the endpoint list first, then each rule that matched."""
        return self._run(listing)[0]

    def _run(self, listing: Listing) -> tuple[list[RuleStep], dict[Address, int]]:
        """The steps to a server's addresses, and the rank of each address in them."""
        first, own, ranks = _listed_step(listing)
        steps = [first]
        for rule, matches in self._compiled:
            if not matches(listing, own):
                continue
            steps.append(_apply_rule(rule, listing, own, steps[-1], ranks))
            if rule.last:
                break
        return steps, ranks


def _listed_step(listing: Listing) -> tuple[RuleStep, Address | None, dict[Address, int]]:
    """What the endpoint list gives: the first step, the server's own address if it is valid, and ranks."""
    ranks: dict[Address, int] = {}
    own: Address | None = None
    errors: list[str] = []
    for place, text in enumerate((listing.host_port, *listing.addresses)):
        try:
            address = parse(text)
        except InvalidAddressError as error:
            errors.append(str(error))
            continue
        if place == 0:
            own = address
        ranks.setdefault(address, OWN_RANK if place == 0 else LISTED_RANK)
    addresses, excess = _limit(tuple(ranks))
    return RuleStep("the board's list", addresses, errors=(*errors, *excess)), own, ranks


def _apply_rule(
    rule: Rule, listing: Listing, own: Address | None, before: RuleStep, ranks: dict[Address, int]
) -> RuleStep:
    """The step of a rule that matches. Ranks are added for addresses that only the rule gives."""
    if rule.order:
        return RuleStep(rule.name, before.addresses, rule.order)
    expanded: list[Address] = []
    errors: list[str] = []
    for template in rule.replace or rule.add:
        try:
            expanded.append(expand(template, listing, own))
        except InvalidAddressError as error:
            errors.append(str(error))
    if rule.replace and not expanded:
        errors.append("nothing to replace the list with: it stays")
        return RuleStep(rule.name, before.addresses, before.prefer, tuple(errors))
    for address in expanded:
        ranks.setdefault(address, RULE_RANK)
    combined = expanded if rule.replace else [*before.addresses, *expanded]
    addresses, excess = _limit(tuple(dict.fromkeys(combined)))
    return RuleStep(rule.name, addresses, before.prefer, (*errors, *excess))


def preference(address: Address, order: Sequence[Preference]) -> int:
    """The index of the first entry of an order that matches an address; its length if none does."""
    for place, entry in enumerate(order):
        if entry is address.family or (isinstance(entry, Network) and entry.contains(address.packed)):
            return place
    return len(order)


def _limit(addresses: tuple[Address, ...]) -> tuple[tuple[Address, ...], tuple[str, ...]]:
    """The first MAX_ADDRESSES, and an error if there are more."""
    if len(addresses) <= MAX_ADDRESSES:
        return addresses, ()
    return addresses[:MAX_ADDRESSES], (
        f"{len(addresses)} addresses; expected {MAX_ADDRESSES} at most, the rest is left out",
    )
