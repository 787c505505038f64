"""Reserves ports for the whole duration of a run, also while the processes that use them are down.

Another run on the same machine could take a port that has no listener for a moment. Therefore a reservation
also binds the UDP port of the same number, which no process here uses, until the port is released.
"""

from __future__ import annotations

import contextlib
import socket
from random import Random

PORTS = 12_000, 32_000  # below the ephemeral ports of outgoing connections

_reserved: dict[int, socket.socket] = {}


def reserve_port(rng: Random) -> int:
    """Reserves a random port that has no listener and no reservation of another run."""
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
    """Releases a reserved port; no effect on other ports."""
    with contextlib.suppress(KeyError):
        _reserved.pop(port).close()
