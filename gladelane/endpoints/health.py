"""What was learnt of addresses: by server, by address and by family. Pure; times in ms, randomness passed in.

An address is passed over after a failure for a time that doubles with each further one and is spread by
jitter, so that directors do not come back as one; failures age. One that took bytes and stalled is passed
over for longer, since connecting to it proves nothing. Recovery is by one trial at a time, beside a dial that
does not wait for it.

A family (IPv4 or IPv6) that is broken as a whole is learnt from few servers. While it is unproven, that is
until it has answered, only `family_few` servers may be led by it at once; when dials at that many servers
have failed, or are overdue, since it last answered, it leads nowhere until a trial at one server gets
through.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum, auto

from .address import Address, Family
from .order import step

# None of these follows from a customer's classes or loads: pauses come from the operator's file, the rest
# is of networks and of this process.
HALF_LIFE_LEAST_MS = 30_000.0  # of failures: a process that restarts is back well within it
#: of a pause, either way: trials of a fleet of directors that saw one failure together lie up to half a
#: pause apart
JITTER = 0.25
GAIN, VAR_GAIN = 0.125, 0.25  # RFC 6298 section 2
#: a leading dial this many usual connect times old counts against its family. The usual one has four
#: variations in it (RFC 6298 section 2), which nearly no dial exceeds; a SYN that was lost is sent again
#: after 1 s (section 2.1), far beyond three of them on any network whose dials race at all
OVERDUE_FACTOR = 3.0
#: a dial on loopback takes less than the loop does to hear of it: three of its turns of 5 ms, as timers
#: have them
OVERDUE_LEAST_MS = 15.0
DEEPEST = 20  # doublings counted: 2 ** more would overflow, and half a second doubled 20 times is six days


Told = Callable[..., None]


class DialEnd(Enum):
    """How a dial ended that did not win."""

    REFUSED = auto()
    UNREACHABLE = auto()
    TIMED_OUT = auto()
    OVERTAKEN = auto()  # closed because a later one was up first: slow at best
    DIED = auto()  # up, and reset or closed before a byte was written
    NO_SOCKET = auto()  # this process has no descriptor left: says nothing of the address


#: these say that packets get lost on the way, as they do where a whole family is broken
FAMILY_ENDS = frozenset({DialEnd.UNREACHABLE, DialEnd.TIMED_OUT, DialEnd.OVERTAKEN})


class Timing:
    """Smoothed connect time and its variation, RFC 6298 section 2."""

    __slots__ = ("mean_ms", "var_ms")

    def __init__(self) -> None:
        self.mean_ms = self.var_ms = -1.0

    def add(self, ms: float) -> None:
        if self.mean_ms < 0.0:
            self.mean_ms, self.var_ms = ms, ms / 2.0
            return
        self.var_ms += VAR_GAIN * (abs(ms - self.mean_ms) - self.var_ms)
        self.mean_ms += GAIN * (ms - self.mean_ms)

    def usual_ms(self) -> float | None:
        """A time within which nearly all dials come up; None: none has."""
        return None if self.mean_ms < 0.0 else self.mean_ms + 4.0 * self.var_ms


class AddressHealth:
    """One address of one server. until_ms: passed over until then, 0: it is not; trial: one is under way."""

    __slots__ = ("timing", "fails", "failed_ms", "until_ms", "stalled", "trial")

    def __init__(self) -> None:
        self.timing = Timing()
        self.fails = 0.0
        self.failed_ms = self.until_ms = 0.0
        self.stalled = False
        self.trial = False


class Pauses:
    """How long addresses and families are passed over: first, longest, and for stalls; in ms."""

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
    def half_life_ms(self) -> float:
        """After so long without a further failure an address's failures count for half. No less than the
        longest pause: failures come as seldom as trials do, and were they forgotten between two of them no
        pause would grow to what the operator's file allows."""
        return max(self.most_ms, HALF_LIFE_LEAST_MS)

    def after(self, fails: float, first_ms: float, rng: random.Random) -> float:
        pause: float = min(first_ms * 2.0 ** min(max(fails - 1.0, 0.0), DEEPEST), max(self.most_ms, first_ms))
        return pause * (1.0 + JITTER * (2.0 * rng.random() - 1.0))


class FamilyHealth:
    """A whole family, over all servers."""

    __slots__ = ("timing", "proven", "failed", "leading", "until_ms", "pauses", "trial")

    def __init__(self) -> None:
        self.timing = Timing()
        self.proven = False  # has answered, and not failed at few servers since
        self.failed: dict[str, None] = {}  # servers it failed at since it last answered
        self.leading: dict[str, float] = {}  # servers at which a dial that others wait for is out, since when
        self.until_ms = 0.0  # broken, and the next trial not before
        self.pauses = 0.0  # trials that failed in a row
        self.trial = ""  # the server at which a trial is under way

    def broken(self) -> bool:
        return self.until_ms > 0.0

    def doubts(self, now: float, overdue_ms: float) -> int:
        """Servers at which it failed, or keeps a dial waiting for too long."""
        late = sum(now - t > overdue_ms and s not in self.failed for s, t in self.leading.items())
        return len(self.failed) + late


class Health:
    """All that was learnt. `version(server)` changes when the order of that server's addresses may have."""

    def __init__(self, pauses: Pauses, rng: random.Random, told: Told) -> None:
        self.pauses = pauses
        self.rng = rng
        self.told = told  # a line for the log: its wording and what goes into it
        self.families = {Family.V4: FamilyHealth(), Family.V6: FamilyHealth()}
        self.epoch = 0  # changes when a family does
        self._servers: dict[str, dict[Address, AddressHealth]] = {}
        self._versions: dict[str, int] = {}

    # --- what is known

    def version(self, server: str) -> int:
        return self._versions.get(server, 0)

    def at(self, server: str, address: Address) -> AddressHealth | None:
        known = self._servers.get(server)
        return known.get(address) if known else None

    def connect_ms(self, server: str, address: Address) -> float | None:
        health = self.at(server, address)
        return None if health is None or health.timing.mean_ms < 0.0 else health.timing.mean_ms

    def usual_ms(self, server: str, address: Address) -> float | None:
        """What a dial to this address usually takes, from its own past or else its family's."""
        health = self.at(server, address)
        usual = health.timing.usual_ms() if health else None
        family = self.families.get(address.family)
        return family.timing.usual_ms() if usual is None and family else usual

    def passed_over(self, server: str, address: Address) -> bool:
        """Whether other addresses go first: until a trial or a dial gets through, also past its pause."""
        health = self.at(server, address)
        return health is not None and health.until_ms > 0.0

    def family_leads(self, family: Family, server: str, now: float) -> bool:
        """Whether a server's dials may start with this family. An unproven one leads at few servers at once,
        and a proven one stops leading as soon as few servers wait for it in vain."""
        state = self.families.get(family)
        if state is None:
            return True
        if state.broken():
            return False
        few = self.pauses.family_few
        if not state.proven:
            held = len(state.leading.keys() | state.failed.keys())
            return server in state.leading or server in state.failed or held < few
        overdue = max((state.timing.usual_ms() or 0.0) * OVERDUE_FACTOR, OVERDUE_LEAST_MS)
        return not state.leading or state.doubts(now, overdue) < few

    def broken(self, family: Family) -> bool:
        state = self.families.get(family)
        return state is not None and state.broken()

    def wants_trial(self, server: str, address: Address, now: float) -> bool:
        """Whether a dial that nobody waits for may try this address again, one at a time."""
        state = self.families.get(address.family)
        if state is not None and state.broken():
            return not state.trial and now >= state.until_ms
        health = self.at(server, address)
        return health is not None and health.until_ms > 0.0 and not health.trial and now >= health.until_ms

    # --- what happens

    def dialled(self, server: str, address: Address, now: float) -> None:
        """The first dial of a race to a server that has other families too: its attempts wait for it."""
        state = self.families.get(address.family)
        if state is not None:
            state.leading[server] = now

    def tried(self, server: str, address: Address) -> None:
        """A trial has begun. It ends with `connected`, `failed` or `dropped`."""
        self._of(server, address).trial = True
        state = self.families.get(address.family)
        if state is not None and state.broken():
            state.trial = server
        self._changed(server)

    def connected(self, server: str, address: Address, took_ms: float) -> None:
        health = self._of(server, address)
        before = health.timing.mean_ms
        health.timing.add(took_ms)
        trial, health.trial = health.trial, False
        if health.until_ms and not health.stalled:
            self._clear(server, address, health)
        elif trial or before < 0.0 or step(before) != step(health.timing.mean_ms):
            self._changed(server)
        state = self.families.get(address.family)
        if state is None:
            return
        state.leading.pop(server, None)
        state.timing.add(took_ms)
        if state.broken():
            self.told("family back family=%s server=%s", address.family.value, server)
        if not state.proven or state.failed:
            self.epoch += 1
        state.proven, state.trial, state.pauses, state.until_ms = True, "", 0.0, 0.0
        state.failed.clear()

    def failed(self, server: str, address: Address, end: DialEnd, now: float) -> None:
        """A dial, or a trial, ended without a connection. One closed from outside is `dropped` instead."""
        state = self.families.get(address.family)
        if state is not None and state.trial == server and end in FAMILY_ENDS:
            state.pauses += 1.0
            state.until_ms = now + self.pauses.after(state.pauses + 1.0, self.pauses.first_ms, self.rng)
            self.epoch += 1
        self.dropped(server, address)
        if end is not DialEnd.NO_SOCKET:
            self._pass_over(server, address, self.pauses.first_ms, end.name, now)

    def family_failed(self, server: str, family: Family, now: float) -> None:
        """A server came up by another family after this one's dials got lost: the way is bad, not the
        server."""
        state = self.families.get(family)
        if state is None or state.broken():
            return
        state.failed[server] = None
        if len(state.failed) >= self.pauses.family_few:
            state.proven, state.pauses = False, 0.0
            state.until_ms = now + self.pauses.after(1.0, self.pauses.first_ms, self.rng)
            self.epoch += 1
            self.told("family down family=%s servers=%d", family.value, len(state.failed))

    def dropped(self, server: str, address: Address) -> None:
        """A dial was closed and nothing learnt: the race was withdrawn or its connection is not wanted."""
        health = self.at(server, address)
        state = self.families.get(address.family)
        if state is not None:
            state.leading.pop(server, None)
            if state.trial == server:
                state.trial = ""
        if health is not None and health.trial:
            health.trial = False
            self._changed(server)

    def stalled(self, server: str, address: Address, now: float, why: str = "STALLED") -> None:
        """It took bytes of a request and brought no answer. Only an answer clears this, no connection."""
        self._of(server, address).stalled = True
        self._pass_over(server, address, self.pauses.stall_ms, why, now)

    def answered(self, server: str, address: Address) -> None:
        """A byte came from it."""
        health = self.at(server, address)
        if health is not None and health.until_ms:
            self._clear(server, address, health)

    def forget(self, server: str) -> None:
        """It left the list, or came up anew: nothing learnt of the old process holds for the new one."""
        self._servers.pop(server, None)
        self._versions.pop(server, None)
        for state in self.families.values():
            state.leading.pop(server, None)
            state.failed.pop(server, None)
            if state.trial == server:
                state.trial = ""
        self.epoch += 1

    def forget_address(self, server: str, address: Address) -> None:
        known = self._servers.get(server)
        if known is not None and known.pop(address, None) is not None:
            self._changed(server)

    # --- inside

    def _of(self, server: str, address: Address) -> AddressHealth:
        known = self._servers.setdefault(server, {})
        health = known.get(address)
        if health is None:
            health = known[address] = AddressHealth()
        return health

    def _changed(self, server: str) -> None:
        self._versions[server] = self._versions.get(server, 0) + 1

    def _clear(self, server: str, address: Address, health: AddressHealth) -> None:
        health.until_ms = health.fails = 0.0
        health.stalled = False
        self._changed(server)
        self.told("address back peer=%s server=%s", address.text, server)

    def _pass_over(self, server: str, address: Address, first_ms: float, why: str, now: float) -> None:
        health = self._of(server, address)
        aged = health.fails * 0.5 ** (max(now - health.failed_ms, 0.0) / self.pauses.half_life_ms)
        health.fails, health.failed_ms = aged + 1.0, now
        pause = self.pauses.after(health.fails, first_ms, self.rng)
        if not health.until_ms:
            self.told("address down peer=%s server=%s why=%s for_ms=%.0f", address.text, server, why, pause)
        health.until_ms = max(health.until_ms, now + pause)
        self._changed(server)
