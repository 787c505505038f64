"""Health of addresses, learnt from connects: by server, by address and by address family. Pure.

Times are in milliseconds of the caller's monotonic clock; randomness is passed in.

After a failure an address is avoided for a time that doubles with each further failure (exponential backoff)
and has jitter, so that a fleet of directors does not return to it at once; failures decay. An address that
took bytes and then stalled is avoided for longer, since connecting to it proves nothing. It recovers by one
health check at a time, made beside a dial that does not wait for it.

A family (IPv4 or IPv6) that is broken as a whole is recognised from few servers. While it is unproven, that
is until it has answered, it may be dialled first at `family_few` servers at once only. When dials at that
many servers have failed or are overdue since it last answered, it is dialled first nowhere until a health
check at one server succeeds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum, auto

from .address import Address, Family
from .address_selection import connect_time_step

# None of these follows from a customer's classes or loads: pauses come from the operator's file, all else
# from properties of networks and of this process.
MIN_FAILURE_HALVING_MS = 30_000.0  # a process that restarts is back well within it
#: Part of a pause, either way: health checks of a fleet of directors that saw the same failure are spread
#: over up to half a pause.
JITTER = 0.25
MEAN_GAIN, VARIATION_GAIN = 0.125, 0.25  # RFC 6298 section 2
VARIATIONS = 4.0  # in the usual connect time, RFC 6298 section 2
#: A first dial this many usual connect times old counts against its family. Nearly no dial exceeds the usual
#: time; a lost SYN is sent again after 1 s (RFC 6298 section 2.1), far beyond three usual times on any
#: network where a second dial is worth its delay.
OVERDUE_FACTOR = 3.0
#: A dial on loopback takes less time than the event loop does to notice it: three of its timer ticks of 5 ms.
MIN_OVERDUE_MS = 15.0
MAX_DOUBLINGS = 20  # more would overflow, and half a second doubled 20 times is six days


LogWarning = Callable[..., None]  # a format string and its arguments, as `logging.Logger.warning`


class DialEnd(Enum):
    """How a dial ended that did not give the connection. Its names appear in log lines."""

    REFUSED = auto()
    UNREACHABLE = auto()
    TIMED_OUT = auto()
    OVERTAKEN = auto()  # closed because a later dial connected first: slow at best
    DIED = auto()  # connected, and reset or closed before a byte was written
    NO_SOCKET = auto()  # this process has no descriptor left: says nothing of the address


#: Ends that suggest lost packets, as where a whole family is broken.
FAMILY_ENDS = frozenset({DialEnd.UNREACHABLE, DialEnd.TIMED_OUT, DialEnd.OVERTAKEN})


class Timing:
    """Smoothed connect time and its variation in ms, RFC 6298 section 2; negative before the first
    connect."""

    __slots__ = ("mean_ms", "variation_ms")

    def __init__(self) -> None:
        self.mean_ms = self.variation_ms = -1.0

    def add(self, ms: float) -> None:
        """Takes in one connect time."""
        if self.mean_ms < 0.0:
            self.mean_ms, self.variation_ms = ms, ms / 2.0
            return
        self.variation_ms += VARIATION_GAIN * (abs(ms - self.mean_ms) - self.variation_ms)
        self.mean_ms += MEAN_GAIN * (ms - self.mean_ms)

    def usual_ms(self) -> float | None:
        """The time within which nearly all dials connect; None before the first connect."""
        return None if self.mean_ms < 0.0 else self.mean_ms + VARIATIONS * self.variation_ms


class AddressHealth:
    """One address of one server.

    failures: decayed count, as of failed_ms; until_ms: avoided until then, 0: not avoided; has_stalled: took
    bytes without an answer; is_checking: a health check is under way."""

    __slots__ = ("timing", "failures", "failed_ms", "until_ms", "has_stalled", "is_checking")

    def __init__(self) -> None:
        self.timing = Timing()
        self.failures = 0.0
        self.failed_ms = self.until_ms = 0.0
        self.has_stalled = False
        self.is_checking = False


class Pauses:
    """How long addresses and families are avoided, in ms: at first, at most, and after a stall."""

    __slots__ = ("first_ms", "most_ms", "stall_ms", "family_few")

    def __init__(
        self,
        first_ms: float = 500.0,
        most_ms: float = 30_000.0,
        stall_ms: float = 5_000.0,
        family_few: int = 3,
    ) -> None:
        self.first_ms, self.most_ms, self.stall_ms = first_ms, most_ms, stall_ms
        self.family_few = family_few

    @property
    def failure_halving_ms(self) -> float:
        """After so long without a further failure an address's failures count for half.

        No less than the longest pause: failures are as rare as health checks, and if they were forgotten
        between two checks no pause would grow to what the operator's file allows."""
        return max(self.most_ms, MIN_FAILURE_HALVING_MS)

    def after(self, failures: float, first_ms: float, rng: random.Random) -> float:
        """The pause after so many failures, from `first_ms` doubled for each further one, with jitter."""
        doublings = min(max(failures - 1.0, 0.0), MAX_DOUBLINGS)
        pause: float = min(first_ms * 2.0**doublings, max(self.most_ms, first_ms))
        return pause * (1.0 + JITTER * (2.0 * rng.random() - 1.0))


class FamilyHealth:
    """A whole address family, over all servers."""

    __slots__ = ("timing", "proven", "failed", "leading", "until_ms", "failed_checks", "checked_server")

    def __init__(self) -> None:
        self.timing = Timing()
        self.proven = False  # has answered, and not failed at few servers since
        self.failed: dict[str, None] = {}  # servers at which it failed since it last answered
        self.leading: dict[str, float] = {}  # servers whose first dial is in flight, and since when
        self.until_ms = 0.0  # above 0: broken, and not checked before then
        self.failed_checks = 0.0  # in a row
        self.checked_server = ""  # where a health check is under way

    def is_broken(self) -> bool:
        """Whether it is dialled first nowhere."""
        return self.until_ms > 0.0

    def count_doubtful(self, now: float, overdue_ms: float) -> int:
        """Counts the servers at which it failed, or has kept a dial waiting for longer than `overdue_ms`."""
        late = sum(now - t > overdue_ms and s not in self.failed for s, t in self.leading.items())
        return len(self.failed) + late

    def recover(self) -> None:
        """It has connected: proven, and every failure forgotten."""
        self.proven, self.checked_server, self.failed_checks, self.until_ms = True, "", 0.0, 0.0
        self.failed.clear()

    def forget(self, server: str) -> None:
        """Drops what concerns one server."""
        self.leading.pop(server, None)
        self.failed.pop(server, None)
        if self.checked_server == server:
            self.checked_server = ""


class Health:
    """All that was learnt of addresses.

    `version(server)` changes when the order of that server's addresses may have, `epoch` when the state of a
    family does."""

    def __init__(self, pauses: Pauses, rng: random.Random, log_warning: LogWarning) -> None:
        self.pauses = pauses
        self.rng = rng
        self.families = {Family.V4: FamilyHealth(), Family.V6: FamilyHealth()}
        self.epoch = 0
        self._log_warning = log_warning
        self._servers: dict[str, dict[Address, AddressHealth]] = {}
        self._versions: dict[str, int] = {}

    # --- what is known

    def version(self, server: str) -> int:
        """A number that changes with what is known of a server's addresses."""
        return self._versions.get(server, 0)

    def of(self, server: str, address: Address) -> AddressHealth | None:
        """What is known of one address; None: nothing yet."""
        known = self._servers.get(server)
        return known.get(address) if known else None

    def connect_ms(self, server: str, address: Address) -> float | None:
        """The smoothed connect time of an address; None before its first connect."""
        health = self.of(server, address)
        return None if health is None or health.timing.mean_ms < 0.0 else health.timing.mean_ms

    def usual_ms(self, server: str, address: Address) -> float | None:
        """What a dial to this address usually takes at most, from its own past or else its family's."""
        health = self.of(server, address)
        usual = health.timing.usual_ms() if health else None
        family = self.families.get(address.family)
        return family.timing.usual_ms() if usual is None and family else usual

    def is_avoided(self, server: str, address: Address) -> bool:
        """Whether other addresses go first: from a failure until a check or a dial succeeds, past its
        pause."""
        health = self.of(server, address)
        return health is not None and health.until_ms > 0.0

    def may_family_lead(self, family: Family, server: str, now: float) -> bool:
        """Whether a server's dials may start with this family.

        An unproven family leads at few servers at once; a proven one stops leading as soon as few servers
        have waited for it in vain."""
        state = self.families.get(family)
        if state is None:
            return True
        if state.is_broken():
            return False
        few = self.pauses.family_few
        if not state.proven:
            in_use = state.leading.keys() | state.failed.keys()
            return server in in_use or len(in_use) < few
        overdue_ms = max((state.timing.usual_ms() or 0.0) * OVERDUE_FACTOR, MIN_OVERDUE_MS)
        return not state.leading or state.count_doubtful(now, overdue_ms) < few

    def is_family_broken(self, family: Family) -> bool:
        """Whether a family is dialled first nowhere; never for Unix sockets."""
        state = self.families.get(family)
        return state is not None and state.is_broken()

    def is_check_due(self, server: str, address: Address, now: float) -> bool:
        """Whether a health check of this address may begin; of a broken family one at a time over all
        servers."""
        state = self.families.get(address.family)
        if state is not None and state.is_broken():
            return not state.checked_server and now >= state.until_ms
        health = self.of(server, address)
        if health is None or health.is_checking:
            return False
        return 0.0 < health.until_ms <= now

    # --- what happens

    def first_dial_started(self, server: str, address: Address, now: float) -> None:
        """The first dial to a server that has other families too has begun: requests wait for it."""
        state = self.families.get(address.family)
        if state is not None:
            state.leading[server] = now

    def check_started(self, server: str, address: Address) -> None:
        """A health check has begun. It ends with `connected`, `failed` or `cancelled`."""
        self._get_or_add(server, address).is_checking = True
        state = self.families.get(address.family)
        if state is not None and state.is_broken():
            state.checked_server = server
        self._changed(server)

    def connected(self, server: str, address: Address, elapsed_ms: float) -> None:
        """A dial or a health check has connected, after so long."""
        health = self._get_or_add(server, address)
        before = health.timing.mean_ms
        health.timing.add(elapsed_ms)
        was_checking, health.is_checking = health.is_checking, False
        if health.until_ms and not health.has_stalled:
            self._recover(server, address, health)
        elif was_checking or before < 0.0 or _changes_order(before, health.timing.mean_ms):
            self._changed(server)
        self._family_connected(server, address.family, elapsed_ms)

    def _family_connected(self, server: str, family: Family, elapsed_ms: float) -> None:
        state = self.families.get(family)
        if state is None:
            return
        state.leading.pop(server, None)
        state.timing.add(elapsed_ms)
        if state.is_broken():
            self._log_warning("family back family=%s server=%s", family.value, server)
        if not state.proven or state.failed:
            self.epoch += 1
        state.recover()

    def failed(self, server: str, address: Address, end: DialEnd, now: float) -> None:
        """A dial or health check ended without a connection. One closed from outside is `cancelled`
        instead."""
        state = self.families.get(address.family)
        if state is not None and state.checked_server == server and end in FAMILY_ENDS:
            state.failed_checks += 1.0
            pause = self.pauses.after(state.failed_checks + 1.0, self.pauses.first_ms, self.rng)
            state.until_ms = now + pause
            self.epoch += 1
        self.cancelled(server, address)
        if end is not DialEnd.NO_SOCKET:
            self._avoid(server, address, self.pauses.first_ms, end.name, now)

    def family_failed(self, server: str, family: Family, now: float) -> None:
        """A server connected by another family after this one's dials got lost: the path is at fault, not the
        server."""
        state = self.families.get(family)
        if state is None or state.is_broken():
            return
        state.failed[server] = None
        if len(state.failed) >= self.pauses.family_few:
            state.proven, state.failed_checks = False, 0.0
            state.until_ms = now + self.pauses.after(1.0, self.pauses.first_ms, self.rng)
            self.epoch += 1
            self._log_warning("family down family=%s servers=%d", family.value, len(state.failed))

    def cancelled(self, server: str, address: Address) -> None:
        """A dial was closed and nothing learnt: its address was removed, or its connection is not wanted."""
        health = self.of(server, address)
        state = self.families.get(address.family)
        if state is not None:
            state.leading.pop(server, None)
            if state.checked_server == server:
                state.checked_server = ""
        if health is not None and health.is_checking:
            health.is_checking = False
            self._changed(server)

    def stalled(self, server: str, address: Address, now: float, why: str = "STALLED") -> None:
        """It took bytes of a request and brought no answer. Only an answer clears this, not a connection."""
        self._get_or_add(server, address).has_stalled = True
        self._avoid(server, address, self.pauses.stall_ms, why, now)

    def answered(self, server: str, address: Address) -> None:
        """A byte came from it."""
        health = self.of(server, address)
        if health is not None and health.until_ms:
            self._recover(server, address, health)

    def forget(self, server: str) -> None:
        """A server left the list or was restarted: what was learnt of the old process does not hold for a new
        one."""
        self._servers.pop(server, None)
        self._versions.pop(server, None)
        for state in self.families.values():
            state.forget(server)
        self.epoch += 1

    def forget_address(self, server: str, address: Address) -> None:
        """An address is no longer this server's."""
        known = self._servers.get(server)
        if known is not None and known.pop(address, None) is not None:
            self._changed(server)

    # --- helpers

    def _get_or_add(self, server: str, address: Address) -> AddressHealth:
        known = self._servers.setdefault(server, {})
        health = known.get(address)
        if health is None:
            health = known[address] = AddressHealth()
        return health

    def _changed(self, server: str) -> None:
        self._versions[server] = self._versions.get(server, 0) + 1

    def _recover(self, server: str, address: Address, health: AddressHealth) -> None:
        health.until_ms = health.failures = 0.0
        health.has_stalled = False
        self._changed(server)
        self._log_warning("address back peer=%s server=%s", address.text, server)

    def _avoid(self, server: str, address: Address, first_ms: float, why: str, now: float) -> None:
        health = self._get_or_add(server, address)
        halvings = max(now - health.failed_ms, 0.0) / self.pauses.failure_halving_ms
        health.failures, health.failed_ms = health.failures * 0.5**halvings + 1.0, now
        pause = self.pauses.after(health.failures, first_ms, self.rng)
        if not health.until_ms:
            template = "address down peer=%s server=%s why=%s for_ms=%.0f"
            self._log_warning(template, address.text, server, why, pause)
        health.until_ms = max(health.until_ms, now + pause)
        self._changed(server)


def _changes_order(before_ms: float, after_ms: float) -> bool:
    return connect_time_step(before_ms) != connect_time_step(after_ms)
