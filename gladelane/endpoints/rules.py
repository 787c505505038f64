"""Which addresses a server gets: its own `hostPort` and `addresses`, then an operator's rules in their order.

A rule matches by id glob, zone, kind, or network of `hostPort`, and does one thing: adds addresses, replaces
all, or sets an order by family and network. Its addresses may be templates. Nothing here reads a clock or
opens anything.
"""

from __future__ import annotations

import fnmatch
import re
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from .address import Address, BadAddress, Family, parse

MOST = 16  # addresses a server
VARIABLES = ("id", "zone", "kind", "cell", "host", "port", "octet1", "octet2", "octet3", "octet4")
_VARIABLE = re.compile(r"\{([^{}]*)\}")
#: what a template is tried with when it is read: wrong forms are found then and not on a Saturday
_SAMPLE = dict(id="s-1", zone="z", kind="k", cell="1", host="10.1.2.3", port="4100",
               octet1="10", octet2="1", octet3="2", octet4="3")  # fmt: skip


class Listing(msgspec.Struct, frozen=True):
    """What the board tells of one server, as far as its addresses go."""

    server: str
    host_port: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    ready: bool = True
    started_ms: float = 0.0
    addresses: tuple[str, ...] = ()


class Network(NamedTuple):
    """A prefix: the packed first address and how many bits of it count."""

    packed: bytes
    bits: int

    def holds(self, packed: bytes) -> bool:
        if len(packed) != len(self.packed):
            return False
        shift = len(packed) * 8 - self.bits
        return int.from_bytes(packed, "big") >> shift == int.from_bytes(self.packed, "big") >> shift


Preference = Family | Network


class Rule(msgspec.Struct, frozen=True):
    """One rule of the file, checked. Exactly one of add, replace and order is not empty."""

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
        """Globs are compiled once a rule, not once a server."""
        glob = re.compile(fnmatch.translate(self.glob)).match if self.glob else None

        def matches(listing: Listing, own: Address | None) -> bool:
            if glob is not None and glob(listing.server) is None:
                return False
            if (self.zone and self.zone != listing.zone) or (self.kind and self.kind != listing.kind):
                return False
            return self.network is None or (own is not None and self.network.holds(own.packed))

        return matches


class Step(NamedTuple):
    """One rule's part in a list: addresses and preference after it, and what could not be used."""

    rule: str
    addresses: tuple[Address, ...]
    prefer: tuple[Preference, ...] = ()
    bad: tuple[str, ...] = ()


class Claim(NamedTuple):
    """An address that a server should be reached at. rank: 0 its hostPort, 1 told with it, 2 by a rule."""

    address: Address
    rank: int


class Given(NamedTuple):
    """A server's claims in listed order, MOST at most; its own preference, if a rule set one; a line for each
    thing that could not be used."""

    claims: tuple[Claim, ...]
    prefer: tuple[Preference, ...]
    bad: tuple[str, ...]


def check_template(text: str) -> None:
    """Raises BadAddress where no server could make an address of it."""
    for name in _VARIABLE.findall(text):
        if name not in VARIABLES:
            raise BadAddress(text, f"unknown variable {{{name}}}, known are {', '.join(VARIABLES)}")
    parse(_VARIABLE.sub(lambda found: _SAMPLE[found[1]], text))


def expand(template: str, listing: Listing, own: Address | None) -> Address:
    """Raises BadAddress where this server lacks what the template names."""
    if "{" not in template:
        return parse(template)
    values = {"id": listing.server, "zone": listing.zone, "kind": listing.kind, "cell": str(listing.cell)}
    if own is not None and own.family is not Family.UNIX:
        values |= {"host": own.host, "port": str(own.port)}
        if own.family is Family.V4:
            values |= {f"octet{place}": part for place, part in enumerate(own.host.split("."), 1)}

    def value(found: re.Match[str]) -> str:
        text = values.get(found[1])
        if text is None:
            raise BadAddress(template, f"server {listing.server} has no {found[1]}")
        if "/" in text or ".." in text:  # a name from the board must not lead out of a socket's folder
            raise BadAddress(template, f"{found[1]} of server {listing.server} holds / or ..")
        return text

    return parse(_VARIABLE.sub(value, template))


class Rules:
    """All rules, compiled. `claims` gives a server's addresses; `explain` the way to them."""

    def __init__(self, rules: Sequence[Rule] = ()) -> None:
        self.rules = tuple(rules)
        self._compiled = [(rule, rule.matcher()) for rule in rules]

    def claims(self, listing: Listing) -> Given:
        steps, ranks = self._walk(listing)
        return Given(
            tuple(Claim(address, ranks[address]) for address in steps[-1].addresses),
            steps[-1].prefer,
            tuple(line for step in steps for line in step.bad),
        )

    def explain(self, listing: Listing) -> list[Step]:
        return self._walk(listing)[0]

    def _walk(self, listing: Listing) -> tuple[list[Step], dict[Address, int]]:
        ranks: dict[Address, int] = {}
        own: Address | None = None
        bad: list[str] = []
        for rank, text in enumerate((listing.host_port, *listing.addresses)):
            try:
                address = parse(text)
            except BadAddress as error:
                bad.append(str(error))
                continue
            own = own or (address if not rank else None)
            ranks.setdefault(address, min(rank, 1))
        addresses, over = _bounded(tuple(ranks))
        steps = [Step("the board's list", addresses, bad=(*bad, *over))]
        for rule, matches in self._compiled:
            if not matches(listing, own):
                continue
            steps.append(self._apply(rule, listing, own, steps[-1], ranks))
            if rule.last:
                break
        return steps, ranks

    def _apply(
        self,
        rule: Rule,
        listing: Listing,
        own: Address | None,
        before: Step,
        ranks: dict[Address, int],
    ) -> Step:
        if rule.order:
            return Step(rule.name, before.addresses, rule.order)
        made: list[Address] = []
        bad: list[str] = []
        for template in rule.replace or rule.add:
            try:
                made.append(expand(template, listing, own))
            except BadAddress as error:
                bad.append(str(error))
        if rule.replace and not made:
            bad.append("nothing to replace the list with: it stays")
            return Step(rule.name, before.addresses, before.prefer, tuple(bad))
        for address in made:
            ranks.setdefault(address, 2)
        addresses, over = _bounded(tuple(dict.fromkeys(made if rule.replace else [*before.addresses, *made])))
        return Step(rule.name, addresses, before.prefer, (*bad, *over))


def preference(address: Address, order: Sequence[Preference]) -> int:
    """The place of the first entry of an order that an address falls under; past the end: none."""
    for place, entry in enumerate(order):
        if entry is address.family or (isinstance(entry, Network) and entry.holds(address.packed)):
            return place
    return len(order)


def _bounded(addresses: tuple[Address, ...]) -> tuple[tuple[Address, ...], tuple[str, ...]]:
    if len(addresses) <= MOST:
        return addresses, ()
    return addresses[:MOST], (f"{len(addresses)} addresses; expected {MOST} at most, the rest is left out",)
