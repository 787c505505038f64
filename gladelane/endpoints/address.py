"""Addresses: one way each to reach a server. Text in, one canonical value out; nothing is looked up.

Forms: `10.1.0.9:4100`, `[fd00::9]:4100`, `[fe80::9%eth0]:4100`, `unix:/run/cache.sock`, `unix:@cache`. Host
names are no addresses: a look-up may stall, and may name another machine from one dial to the next.
"""

from __future__ import annotations

import re
import socket
from enum import Enum
from weakref import WeakValueDictionary

import msgspec

UNIX_MOST = 107  # bytes of a path in sockaddr_un (unix(7)), less its end
MAPPED = bytes(10) + b"\xff\xff"  # ::ffff:0:0/96, RFC 4291 section 2.5.5.2
_SCOPE = re.compile(r"[!-Z^-~]{1,15}")  # an interface's name or number: printable, without brackets
EXPECTED = "IPv4:port, [IPv6]:port, [IPv6%zone]:port, unix:/path or unix:@name"


class BadAddress(ValueError):
    """What is wrong with a text that should be an address, and what was expected, in one line."""

    def __init__(self, text: str, why: str = "") -> None:
        super().__init__(f"{text!r} is no address{': ' if why else ''}{why}; expected {EXPECTED}")


class Family(Enum):
    """What carries the bytes. The values are the words of the operator's file and of the log."""

    UNIX = "unix"
    V6 = "ipv6"
    V4 = "ipv4"


class Address(msgspec.Struct, frozen=True, eq=False, weakref=True):
    """One address, made by `parse` alone: equal addresses are one object, so that tables of thousands cost
    neither comparisons nor copies.

    host: the literal, a socket path, or a NUL and an abstract name; port: 0 for Unix sockets; packed: the IP
    address in network order, empty for Unix sockets; scope: the IPv6 zone, empty where none is named."""

    text: str  # canonical
    family: Family
    host: str
    port: int = 0
    packed: bytes = b""
    scope: str = ""


_known: WeakValueDictionary[str, Address] = WeakValueDictionary()


def _one(
    text: str, family: Family, host: str, port: int = 0, packed: bytes = b"", scope: str = ""
) -> Address:
    address = _known.get(text)
    if address is None:
        address = _known[text] = Address(text, family, host, port, packed, scope)
    return address


def parse(text: str) -> Address:
    """Raises BadAddress. An IPv4-mapped IPv6 address is the IPv4 one: both reach the same socket."""
    if text.startswith("unix:"):
        return _unix(text)
    host, colon, port_text = text.rpartition(":")
    if not colon or not (port_text.isascii() and port_text.isdecimal()) or len(port_text) > 5:
        raise BadAddress(text, "no port")
    port = int(port_text)
    if not 0 < port < 65536:
        raise BadAddress(text, "the port is out of range")
    if host.startswith("[") and host.endswith("]"):
        return _v6(text, host[1:-1], port)
    try:
        packed = socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        raise BadAddress(text) from None
    return _one(f"{host}:{port}", Family.V4, host, port, packed)


def _v6(text: str, host: str, port: int) -> Address:
    literal, percent, scope = host.partition("%")
    if percent and not _SCOPE.fullmatch(scope):
        raise BadAddress(text, "the zone is unusable")
    try:
        packed = socket.inet_pton(socket.AF_INET6, literal)
    except (OSError, ValueError):
        raise BadAddress(text) from None
    if packed.startswith(MAPPED) and not scope:
        plain = socket.inet_ntop(socket.AF_INET, packed[12:])
        return _one(f"{plain}:{port}", Family.V4, plain, port, packed[12:])
    literal = socket.inet_ntop(socket.AF_INET6, packed)
    shown = f"{literal}%{scope}" if scope else literal
    return _one(f"[{shown}]:{port}", Family.V6, literal, port, packed, scope)


def _unix(text: str) -> Address:
    name = text[len("unix:") :]
    if "\0" in name or not 1 < len(name.encode("utf-8", "surrogateescape")) <= UNIX_MOST:
        raise BadAddress(text, f"a socket's name holds 1 to {UNIX_MOST} bytes")
    if name.startswith("@"):
        return _one(text, Family.UNIX, "\0" + name[1:])
    if not name.startswith("/") or "/../" in name or "//" in name:
        raise BadAddress(text, "a socket's path is absolute and plain")
    return _one(text, Family.UNIX, name)
