"""Destination address selection: the order in which a server's addresses are dialled. Pure.

The order follows the applicable rules of RFC 6724, then RFC 8305 section 4 with observed connect times:

- Rule 1 of RFC 6724 section 6 (avoid unusable destinations) is implemented by `health`.
- Rule 6 (higher precedence) and rule 8 (smaller scope) are applied as written, with the policy table of
  section 2.1. Unix sockets precede every entry of that table.
- Rule 10 keeps the listed order.
- Rules 2 to 5, 7 and 9 compare source addresses, which this program does not choose. An operator can set an
  order with `prefer` instead, which takes precedence over the table.
- Observed connect times are compared after rule 8, as RFC 8305 section 4 says. They are compared in steps of
  a factor of four, so that noise does not change the order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from functools import lru_cache
from math import log2

from .address import Address, Family
from .rules import Network, Preference, preference

UNIX_PRECEDENCE = 60  # above ::1/128: the traffic never leaves the machine
V4_PRECEDENCE = 35  # that of ::ffff:0:0/96
_TABLE = tuple(
    (Network(bytes.fromhex(prefix).ljust(16, b"\0"), bits), precedence)
    for prefix, bits, precedence in (
        ("00" * 15 + "01", 128, 50),
        ("", 96, 1),
        ("2002", 16, 30),
        ("20010000", 32, 5),
        ("fc00", 7, 3),
        ("fec0", 10, 1),
        ("3ffe", 16, 1),
    )
)  # the longer prefix first, where two contain an address
#: RFC 4291 section 2.7. HOST_SCOPE is that of Unix sockets.
GLOBAL_SCOPE, SITE_SCOPE, LINK_SCOPE, HOST_SCOPE = 14, 5, 2, 1
DEFAULT_PRECEDENCE = 40  # that of ::/0
UNKNOWN_STEP = 0  # an unknown connect time counts as a short one, so that the address is tried


def precedence(address: Address) -> int:
    """The precedence of an address by RFC 6724 section 2.1. Greater values are dialled first."""
    if address.family is Family.UNIX:
        return UNIX_PRECEDENCE
    if address.family is Family.V4:
        return V4_PRECEDENCE
    return next((value for network, value in _TABLE if network.contains(address.packed)), DEFAULT_PRECEDENCE)


def scope(address: Address) -> int:
    """The scope of an address by RFC 6724 sections 3.1 and 3.2. Smaller scopes are dialled first. Loopback is
    link-local."""
    packed = address.packed
    if address.family is Family.UNIX:
        return HOST_SCOPE
    if address.family is Family.V4:
        return LINK_SCOPE if packed[0] == 127 or packed[:2] == b"\xa9\xfe" else GLOBAL_SCOPE
    if packed == bytes(15) + b"\1" or (packed[0] == 0xFE and packed[1] & 0xC0 == 0x80):
        return LINK_SCOPE
    return SITE_SCOPE if packed[0] == 0xFE and packed[1] & 0xC0 == 0xC0 else GLOBAL_SCOPE


def connect_time_step(connect_ms: float | None) -> int:
    """The step of a connect time: 0 below 4 ms, 1 below 16 ms, 2 below 64 ms, and so on."""
    return UNKNOWN_STEP if connect_ms is None or connect_ms < 4.0 else int(log2(connect_ms) / 2)


def sort_addresses(
    addresses: Sequence[Address],
    prefer: Sequence[Preference] = (),
    connect_ms: Callable[[Address], float | None] = lambda _: None,
    first_family_count: int = 1,
) -> list[Address]:
    """Returns all addresses, best first: sorted, then interleaved by family.

    connect_ms returns the smoothed connect time of an address, or None if it is unknown."""

    def key(address: Address) -> tuple[int, int, int, int]:
        negative_precedence, address_scope = _fixed_key(address)
        preferred = preference(address, prefer) if prefer else 0
        return preferred, negative_precedence, address_scope, connect_time_step(connect_ms(address))

    return interleave(sorted(addresses, key=key), first_family_count)


@lru_cache(65_536)
def _fixed_key(address: Address) -> tuple[int, int]:
    """The part of an address's sort key that never changes."""
    return -precedence(address), scope(address)


def interleave(addresses: Iterable[Address], first_family_count: int = 1) -> list[Address]:
    """Interleaves families by RFC 8305 section 4: first `first_family_count` addresses of the first family,
    then one of each family in turn. The order within each family stays."""
    queues: dict[Family, list[Address]] = {}
    for address in addresses:
        queues.setdefault(address.family, []).append(address)
    if not queues:
        return []
    first = next(iter(queues))
    interleaved, queues[first] = queues[first][:first_family_count], queues[first][first_family_count:]
    turns = [*list(queues)[1:], first]
    while any(queues.values()):
        interleaved += [queues[family].pop(0) for family in turns if queues[family]]
    return interleaved
