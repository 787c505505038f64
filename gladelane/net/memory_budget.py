"""Divides the memory that the configuration allows among the uses that clients and servers can make of it.

Pure: the memory that the process has at its start is an argument. All sizes are in bytes.

What a client or a server makes this process hold is reserved before it is kept. A use that has no room left
gets no more memory, whatever the other uses leave free, so that none of them starves another.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

import msgspec


class MemoryUse(Enum):
    """What memory is held for."""

    FRAMES = "frames"  # incomplete frames of clients
    REQUESTS = "requests"  # open requests with their bodies
    REPLIES = "replies"  # incomplete replies of servers
    ANSWERS = "answers"  # answers that clients have not read yet


#: How the budget is divided.
SHARES = {
    MemoryUse.FRAMES: 0.25,
    MemoryUse.REQUESTS: 0.3,
    MemoryUse.REPLIES: 0.2,
    MemoryUse.ANSWERS: 0.25,
}
#: An open request with its attempts, timers and the state of the router, without its body.
REQUEST_BYTES = 4_096
#: The body of an open request is also in the command to the server, until the server has read it.
COPIES_OF_BODY = 2
#: A client connection with its reader, its transport and a small incomplete frame.
CONNECTION_BYTES = 5_000
#: What a process takes for its ordinary work after its start, with copies of the largest frame and of the
#: largest reply while they are decoded and passed on.
TRANSIENT_BYTES = 1_300_000
#: Share of the free memory that is left for what is not reserved: learned state, logs, fragmentation.
UNRESERVED_SHARE = 0.3
CONNECTION_SHARE = 0.5  # of the reserved memory, at most
MIN_BUDGET_BYTES = 500_000  # with less than this not even one whole frame could be received
READ_SHARE = 0.1  # of the budget, for one read of each client in one iteration of the event loop
MIN_READ_BYTES, MAX_READ_BYTES = 1_024, 16_384
KEY_SHARE = 0.5  # of the unreserved memory, for idempotency keys
MAX_KEY_SHARE = 0.04  # of the limit: 80 MB have room for 4,500 keys
LEAST_LIMIT_BYTES = 32e6  # the platform's smallest director; it is always started
#: Share of what is reserved for each use while the process as a whole has too much memory.
SHARE_ABOVE_LIMIT = 0.1


def request_bytes(body_bytes: int) -> int:
    """The memory that an open request with such a body takes."""
    return REQUEST_BYTES + COPIES_OF_BODY * body_bytes


class MemoryPlan(msgspec.Struct, frozen=True):
    """How the memory of a process is divided."""

    budget_bytes: float  # for a `MemoryBudget`
    clients: int  # connections of clients at most
    read_bytes: int  # of one client at once
    key_bytes: float  # for idempotency keys


def plan_memory(limit_bytes: float, resident_bytes: float, clients: int) -> MemoryPlan:
    """Divides what the process may take beyond the `resident_bytes` that it has at its start. `clients` is
    how many connections of clients the descriptors allow."""
    free = max(limit_bytes - resident_bytes - TRANSIENT_BYTES, 0.0)
    reserved = max(free * (1.0 - UNRESERVED_SHARE), MIN_BUDGET_BYTES)
    clients = min(clients, int(reserved * CONNECTION_SHARE / CONNECTION_BYTES))
    budget = max(reserved - clients * CONNECTION_BYTES, MIN_BUDGET_BYTES)
    read_bytes = int(budget * READ_SHARE / max(clients, 1))
    return MemoryPlan(
        budget,
        clients,
        min(max(read_bytes, MIN_READ_BYTES), MAX_READ_BYTES),
        min(limit_bytes * MAX_KEY_SHARE, free * UNRESERVED_SHARE * KEY_SHARE),
    )


def share_with_successor(limit_bytes: float, resident_bytes: float) -> float:
    """What one process of a director may take if a second one may be started beside it at any time, which
    needs as much memory at its start. If the limit is too small for two, one process gets all of it."""
    alone = limit_bytes - resident_bytes
    return alone if alone - resident_bytes > TRANSIENT_BYTES + MIN_BUDGET_BYTES else limit_bytes


def is_too_small(limit_bytes: float, resident_bytes: float) -> bool:
    """Whether a process that has `resident_bytes` at its start could not receive one whole frame."""
    return limit_bytes < LEAST_LIMIT_BYTES and limit_bytes < resident_bytes + TRANSIENT_BYTES


class MemoryBudget:
    """What is held now for each use. `limit_bytes` may change at any time."""

    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.is_above_limit = False  # the process has more memory than what is reserved explains
        self.used = dict.fromkeys(MemoryUse, 0)
        self.denied: Counter[MemoryUse] = Counter()  # since the start

    def total(self) -> int:
        """The memory that is held for all uses."""
        return sum(self.used.values())

    def fits(self, use: MemoryUse, size: int) -> bool:
        """Whether `size` more bytes may be held. A use that holds nothing may always hold one item, so that
        each makes progress."""
        used = self.used[use]
        return not used or used + size <= self._share(use)

    def is_exhausted(self, use: MemoryUse) -> bool:
        """Whether the use has reached its share."""
        return self.used[use] > self._share(use)

    def try_reserve(self, use: MemoryUse, size: int) -> bool:
        """Reserves `size` bytes and returns True, or counts a denial and returns False."""
        if size > 0 and not self.fits(use, size):
            self.denied[use] += 1
            return False
        self.used[use] += size
        return True

    def add(self, use: MemoryUse, size: int) -> None:
        """Counts `size` bytes that are held without a reservation."""
        self.used[use] += size

    def release(self, use: MemoryUse, size: int) -> None:
        """Ends the reservation of `size` bytes."""
        self.used[use] = max(self.used[use] - size, 0)

    def recount(self, use: MemoryUse, size: int) -> None:
        """Replaces what is recorded for a use by its true size, so that no error in a reservation lasts."""
        self.used[use] = size

    def _share(self, use: MemoryUse) -> float:
        share = self.limit_bytes * SHARES[use]
        return share * SHARE_ABOVE_LIMIT if self.is_above_limit else share
