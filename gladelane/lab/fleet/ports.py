"""Ports that stay with one run while its processes are down and up again.

A port on which nobody listens for a moment may be taken by another run beside this one, and runs with the
same seed draw the same ports. So whoever takes a port also binds the UDP port of that number, which no
process here uses, and holds it as long as the run lasts."""

from __future__ import annotations

import contextlib
import socket
from random import Random

PORTS = 12_000, 32_000  # under those that the system gives to connections going out

_reserved: dict[int, socket.socket] = {}


def reserve_port(rng: Random) -> int:
    """One that no process listens on and no other run holds."""
    while True:
        port = rng.randrange(*PORTS)
        holder = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            holder.bind(("127.0.0.1", port))
            with socket.create_server(("127.0.0.1", port)):
                _reserved[port] = holder
                return port
        except OSError:
            holder.close()


def release_port(port: int) -> None:
    with contextlib.suppress(KeyError):
        _reserved.pop(port).close()
