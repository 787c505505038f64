"""Rules by which operators change the addresses that the endpoint list gives for a server. Pure.

A server starts with its `hostPort` and `addresses`; then the rules apply in order. A rule matches servers by
a glob of the id, by zone, by kind, or by the network of `hostPort`. It adds addresses, replaces all
addresses, or sets an order by family and network. Its addresses may be templates.
"""

from __future__ import annotations

import fnmatch
import re
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from .address import Address, Family, InvalidAddressError, parse

MAX_ADDRESSES = 16  # per server
VARIABLES = ("id", "zone", "kind", "cell", "host", "port", "octet1", "octet2", "octet3", "octet4")
_VARIABLE = re.compile(r"\{([^{}]*)\}")
#: Values with which a template is expanded when the file is read, so that a malformed one is reported then.
_SAMPLE = {
    "id": "s-1", "zone": "z", "kind": "k", "cell": "1", "host": "10.1.2.3", "port": "4100",
    "octet1": "10", "octet2": "1", "octet3": "2", "octet4": "3",
}  # fmt: skip


class Listing(msgspec.Struct, frozen=True):
    """A server of the endpoint list with the fields that determine its addresses. started_ms is Unix time in
    ms."""

    server: str
    host_port: str
    zone: str = ""
    kind: str = ""
    site: int = 0  # `{cell}` in templates
    ready: bool = True
    started_ms: float = 0.0
    addresses: tuple[str, ...] = ()


class Network(NamedTuple):
    """A network prefix: its packed first address and its length in bits."""

    packed: bytes
    bits: int

    def contains(self, packed: bytes) -> bool:
        """Whether a packed address is in this network. An address of another family never is."""
        if len(packed) != len(self.packed):
            return False
        shift = len(packed) * 8 - self.bits
        return int.from_bytes(packed, "big") >> shift == int.from_bytes(self.packed, "big") >> shift


Preference = Family | Network


class Rule(msgspec.Struct, frozen=True):
    """One validated rule of the operator's file. Exactly one of add, replace and order is not empty.

    glob, zone, kind and network: conditions for a server to match, those that are not empty; last: no later
    rule applies to a server that this rule matched."""

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
        """Returns a predicate of a server and its own address. The glob is compiled once, not once per
        server."""
        glob = re.compile(fnmatch.translate(self.glob)).match if self.glob else None

        def matches(listing: Listing, own: Address | None) -> bool:
            if glob is not None and glob(listing.server) is None:
                return False
            if (self.zone and self.zone != listing.zone) or (self.kind and self.kind != listing.kind):
                return False
            return self.network is None or (own is not None and self.network.contains(own.packed))

        return matches


class RuleStep(NamedTuple):
    """The result of one rule: the addresses and the preference after it, and errors about unusable
    addresses."""

    rule: str
    addresses: tuple[Address, ...]
    prefer: tuple[Preference, ...] = ()
    errors: tuple[str, ...] = ()


OWN_RANK, LISTED_RANK, RULE_RANK = range(3)


class Claim(NamedTuple):
    """An address at which a server should be reachable.

    rank: OWN_RANK for its `hostPort`, LISTED_RANK for a further listed address, RULE_RANK for one added by a
    rule."""

    address: Address
    rank: int


class ServerClaims(NamedTuple):
    """A server's claims in listed order, MAX_ADDRESSES at most, its preference if a rule sets one, and an
    error for each address or rule that could not be used."""

    claims: tuple[Claim, ...]
    prefer: tuple[Preference, ...]
    errors: tuple[str, ...]


def check_template(text: str) -> None:
    """Raises InvalidAddressError if a template cannot give an address for any server."""
    for name in _VARIABLE.findall(text):
        if name not in VARIABLES:
            raise InvalidAddressError(text, f"unknown variable {{{name}}}, known are {', '.join(VARIABLES)}")
    parse(_VARIABLE.sub(lambda match: _SAMPLE[match[1]], text))


def expand(template: str, listing: Listing, own: Address | None) -> Address:
    """Returns the address that a template gives for a server. `own` is the server's own address, or None if
    that is invalid.

    Raises InvalidAddressError if the server lacks a variable of the template, or the result is not an
    address."""
    if "{" not in template:
        return parse(template)
    values = {"id": listing.server, "zone": listing.zone, "kind": listing.kind, "cell": str(listing.site)}
    if own is not None and own.family is not Family.UNIX:
        values |= {"host": own.host, "port": str(own.port)}
        if own.family is Family.V4:
            values |= {f"octet{number}": octet for number, octet in enumerate(own.host.split("."), 1)}

    def value(match: re.Match[str]) -> str:
        text = values.get(match[1])
        if text is None:
            raise InvalidAddressError(template, f"server {listing.server} has no {match[1]}")
        if "/" in text or ".." in text:  # a listed name must not select a socket in another folder
            raise InvalidAddressError(template, f"{match[1]} of server {listing.server} holds / or ..")
        return text

    return parse(_VARIABLE.sub(value, template))


class Rules:
    """All rules of the operator's file, compiled."""

    def __init__(self, rules: Sequence[Rule] = ()) -> None:
        self.rules = tuple(rules)
        self._compiled = [(rule, rule.matcher()) for rule in rules]

    def claims(self, listing: Listing) -> ServerClaims:
        """Returns a server's addresses after all rules."""
        steps, ranks = self._run(listing)
        return ServerClaims(
            tuple(Claim(address, ranks[address]) for address in steps[-1].addresses),
            steps[-1].prefer,
            tuple(error for step in steps for error in step.errors),
        )

    def explain(self, listing: Listing) -> list[RuleStep]:
        """Returns how a server got its addresses: a step for the endpoint list, then one for each matching
        rule."""
        return self._run(listing)[0]

    def _run(self, listing: Listing) -> tuple[list[RuleStep], dict[Address, int]]:
        """Returns the steps to a server's addresses, and the rank of each address that occurs in them."""
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
    """Returns the step for the endpoint list, the server's own address if it is valid, and the ranks."""
    ranks: dict[Address, int] = {}
    own: Address | None = None
    errors: list[str] = []
    for index, text in enumerate((listing.host_port, *listing.addresses)):
        try:
            address = parse(text)
        except InvalidAddressError as error:
            errors.append(str(error))
            continue
        if index == 0:
            own = address
        ranks.setdefault(address, OWN_RANK if index == 0 else LISTED_RANK)
    addresses, excess = _limit(tuple(ranks))
    return RuleStep("the board's list", addresses, errors=(*errors, *excess)), own, ranks


def _apply_rule(
    rule: Rule, listing: Listing, own: Address | None, before: RuleStep, ranks: dict[Address, int]
) -> RuleStep:
    """Returns the step for a matching rule. Adds ranks for addresses that only this rule gives."""
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
    """Returns the index of the first entry of `order` that matches an address, or its length if none does."""
    for index, entry in enumerate(order):
        if entry is address.family or (isinstance(entry, Network) and entry.contains(address.packed)):
            return index
    return len(order)


def _limit(addresses: tuple[Address, ...]) -> tuple[tuple[Address, ...], tuple[str, ...]]:
    """Returns the first MAX_ADDRESSES addresses, and an error if there are more."""
    if len(addresses) <= MAX_ADDRESSES:
        return addresses, ()
    return addresses[:MAX_ADDRESSES], (
        f"{len(addresses)} addresses; expected {MAX_ADDRESSES} at most, the rest is left out",
    )
