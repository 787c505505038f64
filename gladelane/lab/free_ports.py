"""Free ports below those that the system assigns to outgoing connections.

A port of that range could be taken by an outgoing connection of any process while its listener is closed, or
between the choice of the port and the moment in which a process listens there.

A port may also be reserved (`fleet.ports`) for a process that does not listen yet or is down. Its reservation
holds the UDP port of the same number, so both are tried here.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from random import SystemRandom

PORTS = range(20_000, 32_000)  # the system assigns 32768 and up
MAX_CHOICES = 100


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a random port of this IPv4 or IPv6 host that has no listener and no reservation. Raises OSError
    if none of MAX_CHOICES ports is free."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    for port in SystemRandom().sample(PORTS, MAX_CHOICES):
        with suppress(OSError), socket.socket(family, socket.SOCK_DGRAM) as reservation:
            reservation.bind((host, port))
            with socket.create_server((host, port), family=family):
                return port
    raise OSError("no free port")
