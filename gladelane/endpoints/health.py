"""Health of addresses as observed in connects: per server, per address and per address family. Pure.

Times are in ms of the caller's monotonic clock. Randomness is an argument.

After a failure an address is avoided for a cooldown, which doubles with each further failure (exponential
backoff) and has jitter, so that the directors of a fleet do not all return to it at the same time. Failures
decay. An address that took bytes and then stalled is avoided for longer, since a connect to it proves
nothing. An address recovers by a health check, one at a time, which runs beside a dial to another address and
does not delay it.

A family (IPv4 or IPv6) that is broken as a whole is detected at a few servers. While a family is unproven,
that is until a dial has connected by it, it may be dialled first at no more than `family_server_limit`
servers at once. When dials at that many servers have failed or are overdue since a dial last connected by it,
it is dialled first at no server until a health check at one server succeeds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum, auto

from .address import Address, Family
from .address_selection import connect_time_step

# None of these constants depends on request classes or loads. They follow from properties of networks and of
# this process; the cooldowns are in the operator's file.
MIN_FAILURE_HALVING_MS = 30_000.0  # a process that restarts is back well within this time
#: Share of a cooldown that jitter may add or subtract. The health checks of directors that saw the same
#: failure are spread over up to half a cooldown.
JITTER = 0.25
MEAN_GAIN, VARIATION_GAIN = 0.125, 0.25  # RFC 6298 section 2
VARIATIONS = 4.0  # between the mean and the upper connect time, RFC 6298 section 2
#: A first dial that takes longer than this many upper connect times counts against its family. Hardly any
#: dial exceeds one upper connect time. A lost SYN is sent again after 1 s (RFC 6298 section 2.1), which is
#: far beyond three upper connect times on any network where a second dial is useful.
OVERDUE_FACTOR = 3.0
#: Three timer ticks of 5 ms: a dial on loopback takes less time than the event loop needs to notice its end.
MIN_OVERDUE_MS = 15.0
MAX_DOUBLINGS = 20  # 0.5 s doubled 20 times is six days; unlimited doubling would overflow


LogWarning = Callable[..., None]  # a format string and its arguments, as `logging.Logger.warning`


class DialFailure(Enum):
    """Why a dial failed. The names appear in log lines."""

    REFUSED = auto()
    UNREACHABLE = auto()
    TIMED_OUT = auto()
    OVERTAKEN = auto()  # closed because a later dial connected first: the address is slow or dead
    DIED = auto()  # connected, then reset or closed before a byte was written
    NO_SOCKET = auto()  # this process has no descriptor left: says nothing about the address


#: Failures that suggest lost packets, as happens when a whole family is broken.
FAMILY_FAILURES = frozenset({DialFailure.UNREACHABLE, DialFailure.TIMED_OUT, DialFailure.OVERTAKEN})


class Timing:
    """Smoothed connect time and its variation in ms (RFC 6298 section 2). Both are negative before the first
    connect."""

    __slots__ = ("mean_ms", "variation_ms")

    def __init__(self) -> None:
        self.mean_ms = self.variation_ms = -1.0

    def add(self, ms: float) -> None:
        """Adds one measured connect time."""
        if self.mean_ms < 0.0:
            self.mean_ms, self.variation_ms = ms, ms / 2.0
            return
        self.variation_ms += VARIATION_GAIN * (abs(ms - self.mean_ms) - self.variation_ms)
        self.mean_ms += MEAN_GAIN * (ms - self.mean_ms)

    def upper_connect_ms(self) -> float | None:
        """The time within which nearly all dials connect; None before the first connect."""
        return None if self.mean_ms < 0.0 else self.mean_ms + VARIATIONS * self.variation_ms


class AddressHealth:
    """The health of one address of one server.

    failures: the decayed number of failures as of failed_ms; avoided_until_ms: the end of the cooldown, 0 if
    the address is not avoided; has_stalled: it took bytes without an answer; is_checking: a health check is
    in progress."""

    __slots__ = ("timing", "failures", "failed_ms", "avoided_until_ms", "has_stalled", "is_checking")

    def __init__(self) -> None:
        self.timing = Timing()
        self.failures = 0.0
        self.failed_ms = self.avoided_until_ms = 0.0
        self.has_stalled = False
        self.is_checking = False


class Cooldowns:
    """How long addresses and families are avoided: after the first failure, at most, and after a stall.

    family_server_limit: the number of servers whose failures show that a whole family is broken."""

    __slots__ = ("first_ms", "max_ms", "stall_ms", "family_server_limit")

    def __init__(
        self,
        first_ms: float = 500.0,
        max_ms: float = 30_000.0,
        stall_ms: float = 5_000.0,
        family_server_limit: int = 3,
    ) -> None:
        self.first_ms, self.max_ms, self.stall_ms = first_ms, max_ms, stall_ms
        self.family_server_limit = family_server_limit

    @property
    def failure_halving_ms(self) -> float:
        """The time without a further failure after which the failures of an address count half.

        It is no shorter than the longest cooldown: an avoided address fails no more often than it is checked.
        If its failures decayed between two checks, no cooldown would grow to the maximum of the operator's
        file."""
        return max(self.max_ms, MIN_FAILURE_HALVING_MS)

    def cooldown_ms(self, failures: float, first_ms: float, rng: random.Random) -> float:
        """The cooldown after a number of failures: `first_ms`, doubled for each further failure, with
        jitter."""
        doublings = min(max(failures - 1.0, 0.0), MAX_DOUBLINGS)
        cooldown: float = min(first_ms * 2.0**doublings, max(self.max_ms, first_ms))
        return cooldown * (1.0 + JITTER * (2.0 * rng.random() - 1.0))


class FamilyHealth:
    """The health of an address family over all servers."""

    __slots__ = (
        "timing",
        "is_proven",
        "failed_servers",
        "first_dials",
        "avoided_until_ms",
        "failed_checks",
        "checked_server",
    )

    def __init__(self) -> None:
        self.timing = Timing()
        self.is_proven = False  # a dial has connected by it, and it was not found broken since
        self.failed_servers: dict[str, None] = {}  # where it failed since a dial last connected by it
        self.first_dials: dict[str, float] = {}  # servers whose first dial is in flight, and when it started
        self.avoided_until_ms = 0.0  # above 0: the family is broken, and not checked before this time
        self.failed_checks = 0.0  # consecutive
        self.checked_server = ""  # the server at which a health check is in progress

    def is_broken(self) -> bool:
        """Whether the family is dialled first at no server."""
        return self.avoided_until_ms > 0.0

    def count_failed_or_overdue(self, now: float, overdue_ms: float) -> int:
        """Counts the servers at which it failed or a first dial has taken longer than `overdue_ms`."""
        overdue = sum(
            now - t > overdue_ms and s not in self.failed_servers for s, t in self.first_dials.items()
        )
        return len(self.failed_servers) + overdue

    def recover(self) -> None:
        """Marks the family as proven after a dial has connected by it, and forgets all failures."""
        self.is_proven, self.checked_server, self.failed_checks, self.avoided_until_ms = True, "", 0.0, 0.0
        self.failed_servers.clear()

    def forget(self, server: str) -> None:
        """Forgets all observations at one server."""
        self.first_dials.pop(server, None)
        self.failed_servers.pop(server, None)
        if self.checked_server == server:
            self.checked_server = ""


class Health:
    """The observed health of all addresses.

    `version(server)` changes whenever the order of that server's addresses may change, and `epoch` whenever
    the state of a family changes."""

    def __init__(self, cooldowns: Cooldowns, rng: random.Random, log_warning: LogWarning) -> None:
        self.cooldowns = cooldowns
        self.rng = rng
        self.families = {Family.V4: FamilyHealth(), Family.V6: FamilyHealth()}
        self.epoch = 0
        self._log_warning = log_warning
        self._servers: dict[str, dict[Address, AddressHealth]] = {}
        self._versions: dict[str, int] = {}

    # --- queries

    def version(self, server: str) -> int:
        """A number that changes with the health of a server's addresses."""
        return self._versions.get(server, 0)

    def get(self, server: str, address: Address) -> AddressHealth | None:
        """The health of one address; None if nothing was observed yet."""
        addresses = self._servers.get(server)
        return addresses.get(address) if addresses else None

    def connect_ms(self, server: str, address: Address) -> float | None:
        """The smoothed connect time of an address; None before its first connect."""
        health = self.get(server, address)
        return None if health is None or health.timing.mean_ms < 0.0 else health.timing.mean_ms

    def upper_connect_ms(self, server: str, address: Address) -> float | None:
        """The time within which nearly all dials to an address connect. Before its first connect, this is the
        time of its family."""
        health = self.get(server, address)
        upper_ms = health.timing.upper_connect_ms() if health else None
        family = self.families.get(address.family)
        return family.timing.upper_connect_ms() if upper_ms is None and family else upper_ms

    def is_avoided(self, server: str, address: Address) -> bool:
        """Whether other addresses are dialled before this one. This lasts from a failure until a health check
        or a dial succeeds, also beyond the cooldown."""
        health = self.get(server, address)
        return health is not None and health.avoided_until_ms > 0.0

    def may_dial_family_first(self, family: Family, server: str, now: float) -> bool:
        """Whether the first dial to a server may use this family.

        An unproven family is dialled first at a limited number of servers at once. A proven one is no longer
        dialled first once that number of servers have waited for it in vain."""
        state = self.families.get(family)
        if state is None:
            return True
        if state.is_broken():
            return False
        server_limit = self.cooldowns.family_server_limit
        if not state.is_proven:
            tried_servers = state.first_dials.keys() | state.failed_servers.keys()
            return server in tried_servers or len(tried_servers) < server_limit
        overdue_ms = max((state.timing.upper_connect_ms() or 0.0) * OVERDUE_FACTOR, MIN_OVERDUE_MS)
        return not state.first_dials or state.count_failed_or_overdue(now, overdue_ms) < server_limit

    def is_family_broken(self, family: Family) -> bool:
        """Whether a family is dialled first at no server. Unix sockets never count as broken."""
        state = self.families.get(family)
        return state is not None and state.is_broken()

    def is_check_due(self, server: str, address: Address, now: float) -> bool:
        """Whether a health check of this address may start. For a broken family, only one runs at a time over
        all servers."""
        state = self.families.get(address.family)
        if state is not None and state.is_broken():
            return not state.checked_server and now >= state.avoided_until_ms
        health = self.get(server, address)
        if health is None or health.is_checking:
            return False
        return 0.0 < health.avoided_until_ms <= now

    # --- events

    def record_first_dial(self, server: str, address: Address, now: float) -> None:
        """Records the start of the first dial to a server that has other families too. Requests wait for
        it."""
        state = self.families.get(address.family)
        if state is not None:
            state.first_dials[server] = now

    def record_check_start(self, server: str, address: Address) -> None:
        """Records the start of a health check. `record_connect`, `record_failure` or `record_cancel` ends
        it."""
        self._get_or_add(server, address).is_checking = True
        state = self.families.get(address.family)
        if state is not None and state.is_broken():
            state.checked_server = server
        self._increment_version(server)

    def record_connect(self, server: str, address: Address, elapsed_ms: float) -> None:
        """Records that a dial or a health check connected after `elapsed_ms`."""
        health = self._get_or_add(server, address)
        before = health.timing.mean_ms
        health.timing.add(elapsed_ms)
        was_checking, health.is_checking = health.is_checking, False
        if health.avoided_until_ms and not health.has_stalled:
            self._recover(server, address, health)
        elif was_checking or before < 0.0 or _changes_order(before, health.timing.mean_ms):
            self._increment_version(server)
        self._record_family_connect(server, address.family, elapsed_ms)

    def _record_family_connect(self, server: str, family: Family, elapsed_ms: float) -> None:
        state = self.families.get(family)
        if state is None:
            return
        state.first_dials.pop(server, None)
        state.timing.add(elapsed_ms)
        if state.is_broken():
            self._log_warning("family recovered family=%s server=%s", family.value, server)
        if not state.is_proven or state.failed_servers:
            self.epoch += 1
        state.recover()

    def record_failure(self, server: str, address: Address, failure: DialFailure, now: float) -> None:
        """Records a dial or health check that failed. For one that the caller closed, see `record_cancel`."""
        state = self.families.get(address.family)
        if state is not None and state.checked_server == server and failure in FAMILY_FAILURES:
            state.failed_checks += 1.0
            cooldown = self.cooldowns.cooldown_ms(
                state.failed_checks + 1.0, self.cooldowns.first_ms, self.rng
            )
            state.avoided_until_ms = now + cooldown
            self.epoch += 1
        self.record_cancel(server, address)
        if failure is not DialFailure.NO_SOCKET:
            self._avoid(server, address, self.cooldowns.first_ms, failure.name, now)

    def record_family_failure(self, server: str, family: Family, now: float) -> None:
        """Records that a server connected by another family after the dials of this family were lost. That
        shows a fault of the network path and not of the server."""
        state = self.families.get(family)
        if state is None or state.is_broken():
            return
        state.failed_servers[server] = None
        if len(state.failed_servers) >= self.cooldowns.family_server_limit:
            state.is_proven, state.failed_checks = False, 0.0
            state.avoided_until_ms = now + self.cooldowns.cooldown_ms(1.0, self.cooldowns.first_ms, self.rng)
            self.epoch += 1
            self._log_warning("family down family=%s servers=%d", family.value, len(state.failed_servers))

    def record_cancel(self, server: str, address: Address) -> None:
        """Records a dial that was closed without a result: its address was removed, or its connection is no
        longer needed."""
        health = self.get(server, address)
        state = self.families.get(address.family)
        if state is not None:
            state.first_dials.pop(server, None)
            if state.checked_server == server:
                state.checked_server = ""
        if health is not None and health.is_checking:
            health.is_checking = False
            self._increment_version(server)

    def record_stall(self, server: str, address: Address, now: float, reason: str = "STALLED") -> None:
        """Records that an address took bytes of a request and sent no answer. An answer clears this, but a
        connect does not."""
        self._get_or_add(server, address).has_stalled = True
        self._avoid(server, address, self.cooldowns.stall_ms, reason, now)

    def record_answer(self, server: str, address: Address) -> None:
        """Records that a byte was received from an address."""
        health = self.get(server, address)
        if health is not None and health.avoided_until_ms:
            self._recover(server, address, health)

    def forget(self, server: str) -> None:
        """Forgets a server that left the list or was restarted: a new process may behave differently from the
        old one."""
        self._servers.pop(server, None)
        self._versions.pop(server, None)
        for state in self.families.values():
            state.forget(server)
        self.epoch += 1

    def forget_address(self, server: str, address: Address) -> None:
        """Forgets an address that a server no longer has."""
        addresses = self._servers.get(server)
        if addresses is not None and addresses.pop(address, None) is not None:
            self._increment_version(server)

    # --- helpers

    def _get_or_add(self, server: str, address: Address) -> AddressHealth:
        addresses = self._servers.setdefault(server, {})
        health = addresses.get(address)
        if health is None:
            health = addresses[address] = AddressHealth()
        return health

    def _increment_version(self, server: str) -> None:
        self._versions[server] = self._versions.get(server, 0) + 1

    def _recover(self, server: str, address: Address, health: AddressHealth) -> None:
        health.avoided_until_ms = health.failures = 0.0
        health.has_stalled = False
        self._increment_version(server)
        self._log_warning("address recovered peer=%s server=%s", address.text, server)

    def _avoid(self, server: str, address: Address, first_ms: float, reason: str, now: float) -> None:
        health = self._get_or_add(server, address)
        halvings = max(now - health.failed_ms, 0.0) / self.cooldowns.failure_halving_ms
        health.failures, health.failed_ms = health.failures * 0.5**halvings + 1.0, now
        cooldown = self.cooldowns.cooldown_ms(health.failures, first_ms, self.rng)
        if not health.avoided_until_ms:
            template = "address down peer=%s server=%s why=%s for_ms=%.0f"
            self._log_warning(template, address.text, server, reason, cooldown)
        health.avoided_until_ms = max(health.avoided_until_ms, now + cooldown)
        self._increment_version(server)


def _changes_order(before_ms: float, after_ms: float) -> bool:
    return connect_time_step(before_ms) != connect_time_step(after_ms)
