"""Addresses of servers, each parsed from text to one canonical value. No names are looked up.

Accepted forms: `10.1.0.9:4100`, `[fd00::9]:4100`, `[fe80::9%eth0]:4100`, `unix:/run/cache.sock`,
`unix:@cache`. Host names are rejected: a look-up may stall, and may return a different machine for each dial.
"""

from __future__ import annotations

import re
import socket
from enum import Enum
from weakref import WeakValueDictionary

import msgspec

MAX_UNIX_NAME_BYTES = 107  # a path in sockaddr_un (unix(7)) without its terminating NUL
IPV4_MAPPED_PREFIX = bytes(10) + b"\xff\xff"  # ::ffff:0:0/96, RFC 4291 section 2.5.5.2
_SCOPE = re.compile(r"[!-Z^-~]{1,15}")  # an interface's name or index: printable, without brackets
EXPECTED_FORMS = "IPv4:port, [IPv6]:port, [IPv6%zone]:port, unix:/path or unix:@name"


class InvalidAddressError(ValueError):
    """The text is not an address. The message says in one line what is wrong and what was expected."""

    def __init__(self, text: str, reason: str = "") -> None:
        super().__init__(f"{text!r} is no address{': ' if reason else ''}{reason}; expected {EXPECTED_FORMS}")


class Family(Enum):
    """Address family. The values are used in the operator's file and in log lines."""

    UNIX = "unix"
    V6 = "ipv6"
    V4 = "ipv4"


class Address(msgspec.Struct, frozen=True, eq=False, weakref=True):
    """One address. Only `parse` creates them: equal addresses are the same object, so that tables of
    thousands of addresses need neither comparisons by value nor copies.

    host: the IP literal, the path of a socket, or a NUL and the name of an abstract socket; port: 0 for Unix
    sockets; packed: the IP address in network order, empty for Unix sockets; scope: the IPv6 zone, empty if
    there is none."""

    text: str  # canonical
    family: Family
    host: str
    port: int = 0
    packed: bytes = b""
    scope: str = ""


_interned: WeakValueDictionary[str, Address] = WeakValueDictionary()


def _intern(
    text: str, family: Family, host: str, port: int = 0, packed: bytes = b"", scope: str = ""
) -> Address:
    address = _interned.get(text)
    if address is None:
        address = _interned[text] = Address(text, family, host, port, packed, scope)
    return address


def parse(text: str) -> Address:
    """Parses an address. Raises InvalidAddressError.

    An IPv4-mapped IPv6 address gives the IPv4 address, since both reach the same socket."""
    if text.startswith("unix:"):
        return _parse_unix(text)
    host, colon, port_text = text.rpartition(":")
    if not colon or not (port_text.isascii() and port_text.isdecimal()) or len(port_text) > 5:
        raise InvalidAddressError(text, "no port")
    port = int(port_text)
    if not 0 < port < 65536:
        raise InvalidAddressError(text, "the port is out of range")
    if host.startswith("[") and host.endswith("]"):
        return _parse_v6(text, host[1:-1], port)
    try:
        packed = socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise InvalidAddressError(text) from None
    return _intern(f"{host}:{port}", Family.V4, host, port, packed)


def _parse_v6(text: str, host: str, port: int) -> Address:
    literal, percent, scope = host.partition("%")
    if percent and not _SCOPE.fullmatch(scope):
        raise InvalidAddressError(text, "the zone is unusable")
    try:
        packed = socket.inet_pton(socket.AF_INET6, literal)
    except (OSError, ValueError):
        raise InvalidAddressError(text) from None
    if packed.startswith(IPV4_MAPPED_PREFIX) and not scope:
        v4_literal = socket.inet_ntop(socket.AF_INET, packed[12:])
        return _intern(f"{v4_literal}:{port}", Family.V4, v4_literal, port, packed[12:])
    literal = socket.inet_ntop(socket.AF_INET6, packed)
    scoped = f"{literal}%{scope}" if scope else literal
    return _intern(f"[{scoped}]:{port}", Family.V6, literal, port, packed, scope)


def _parse_unix(text: str) -> Address:
    name = text[len("unix:") :]
    if "\0" in name or not 1 < len(name.encode("utf-8", "surrogateescape")) <= MAX_UNIX_NAME_BYTES:
        raise InvalidAddressError(text, f"a socket's name holds 1 to {MAX_UNIX_NAME_BYTES} bytes")
    if name.startswith("@"):
        return _intern(text, Family.UNIX, "\0" + name[1:])
    if not name.startswith("/") or "/../" in name or "//" in name:
        raise InvalidAddressError(text, "a socket's path is absolute and plain")
    return _intern(text, Family.UNIX, name)
