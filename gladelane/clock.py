"""The two readings of time and the one place that converts between them.

`Clock.now()` is the process's timeline: Unix milliseconds as the wall clock told them when the process
started, plus what has passed on the monotonic clock since. Deadlines, timers, windows and all other spans
are counted on it, so a step of the wall clock changes none of them. `Clock.unix()` is the wall clock as it
stands now, for dates that people read. Dates from other machines are `UnixMs`: they are never compared with
either reading as they are, only through `PlatformDates`. The reasons stand in docs/design/time.md.
"""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple, NewType

#: Discovery dates its events in their order; one that is earlier by more shows that its clock was set back.
SET_BACK_MS = 1000.0
#: The wall clock at the start counts as right unless the platform's dates are behind it by more: a date may
#: be as old as discovery's longest outages.
TRUSTED_MS = 60_000.0
#: The wall clock is slewed by little all the time; from here on it was stepped.
STEP_MS = 20.0
#: Of copies that were made for a request: so many must agree that our clock is off. One answer may be spoilt.
FRESH_COPIES = 8
#: and none is counted for longer: clocks drift apart.
FRESH_COPY_COUNTS_MS = 60_000.0
#: The platform's clock and ours differ by less where both are kept by the usual means.
CLOCKS_AGREE_MS = 250.0
#: Dates are given in whole ms.
DATES_ROUNDED_MS = 1.0
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")

#: A moment of this process's timeline, in ms.
MonotonicMs = NewType("MonotonicMs", float)

if TYPE_CHECKING:

    class UnixMs:
        """A date in Unix ms, as a machine dated it. A plain float at run time; to the type checker it is a
        type of its own, which mixes with no moment of the timeline."""

        def __init__(self, ms: float) -> None: ...
        def __float__(self) -> float: ...
        def __bool__(self) -> bool: ...
        def __add__(self, duration_ms: float) -> UnixMs: ...
        def __sub__(self, earlier: UnixMs) -> float: ...
        def __lt__(self, other: UnixMs) -> bool: ...
        def __le__(self, other: UnixMs) -> bool: ...
        def __gt__(self, other: UnixMs) -> bool: ...
        def __ge__(self, other: UnixMs) -> bool: ...

else:
    UnixMs = float


class SharedClock(NamedTuple):
    """What two processes of one boot have in common: the monotonic clock. `zero_ms` is the date, as a process
    writes dates of moments, at which that clock read 0; `boot_id` is empty where it is not known."""

    boot_id: str
    zero_ms: float


def read_boot_id() -> str:
    """Of this machine's present boot; empty where the system does not tell."""
    with suppress(OSError, ValueError):
        return BOOT_ID.read_text(encoding="ascii").strip()
    return ""


class Clock:
    """`read_unix` and `read_monotonic` give seconds, as the functions of `time` do."""

    def __init__(
        self,
        read_unix: Callable[[], float] | None = None,
        read_monotonic: Callable[[], float] | None = None,
        boot_id: str | None = None,
    ) -> None:
        # looked up here and not in the signature, so that a test may replace both for a whole process
        self._read_unix = read_unix or time.time
        self._read_monotonic = read_monotonic or time.monotonic
        # the moment at which monotonic time was 0
        self._zero_ms = (self._read_unix() - self._read_monotonic()) * 1000.0
        self._stepped_ms = 0.0  # by which the wall clock has been stepped since, as far as was seen
        self._boot_id = read_boot_id() if boot_id is None else boot_id

    def now(self) -> MonotonicMs:
        """The moment on this process's timeline; it never runs back and no step reaches it."""
        # read many times a request: at run time the type is a call that would cost a quarter of the reading
        return self._zero_ms + self._read_monotonic() * 1000.0  # type: ignore[return-value]

    def unix(self) -> UnixMs:
        """The wall clock now, which may be stepped at any time."""
        return UnixMs(self._read_unix() * 1000.0)

    # --- moments that another process of this machine is told

    def shared(self) -> SharedClock:
        """What goes with the dates of moments, so that another process can place them. Between steps of the
        wall clock it stays the same, and with it the date of a moment."""
        stepped_ms = float(self.unix()) - self.now()
        if abs(stepped_ms - self._stepped_ms) > STEP_MS:
            self._stepped_ms = stepped_ms
        return SharedClock(self._boot_id, self._zero_ms + self._stepped_ms)

    def dated(self, moment_ms: float, shared: SharedClock) -> UnixMs:
        """The date of a moment, for another process that is told `shared` too."""
        return UnixMs(moment_ms + (shared.zero_ms - self._zero_ms))

    def shift_from(self, other: SharedClock) -> float | None:
        """What to add to another process's dates of moments to place them on this timeline; None: it did not
        run under this boot, or did not say."""
        if not self._boot_id or other.boot_id != self._boot_id:
            return None
        return self._zero_ms - other.zero_ms


def as_date(moment_ms: float) -> UnixMs:
    """A moment of the timeline as a date, where the wall clock at the process's start is taken as right."""
    return UnixMs(moment_ms)


class _FreshCopy(NamedTuple):
    """Between what the platform's dates are ahead of the timeline, by one copy. Below 0: they are behind."""

    heard_ms: float
    least_ms: float
    most_ms: float


class FreshCopies:
    """How far our clock is from the origin's, by copies that it made for requests. Pure.

    Such a copy was made after it was asked for and before it was heard, so its date binds the difference from
    both sides; an old copy binds it from one only. It is known from a cache's word that a copy is such a one,
    and an answer may be spoilt. So the latest ones must all agree, and the one that proves least counts.
    """

    def __init__(self) -> None:
        self._latest: deque[_FreshCopy] = deque(maxlen=FRESH_COPIES)

    def hear(self, dated: UnixMs, asked_ms: float, now_ms: float) -> None:
        """`asked_ms`: when the request for it began to leave."""
        least_ms = float(dated) - now_ms
        self._latest.append(_FreshCopy(now_ms, least_ms, float(dated) - asked_ms + DATES_ROUNDED_MS))

    def shift_ms(self, now_ms: float) -> float:
        """What to add to a moment of the timeline to have the origin's date. Where our clock is ahead it is
        never too low, where it is behind never too high; 0 while it is not proven to be off."""
        if len(self._latest) < FRESH_COPIES or now_ms - self._latest[0].heard_ms > FRESH_COPY_COUNTS_MS:
            return 0.0
        most_ms = max(copy.most_ms for copy in self._latest)
        if most_ms < -CLOCKS_AGREE_MS:
            return most_ms
        least_ms = min(copy.least_ms for copy in self._latest)
        return least_ms if least_ms > CLOCKS_AGREE_MS else 0.0


class PlatformDates:
    """How far the platform's dates are ahead of the timeline, at least. Pure.

    A date that is heard now was made before, so `date - now` never exceeds the true difference: the largest
    one heard is the closest bound from below, and an age that is counted with it is never too high. It rises
    only, unless the platform's own clock is seen to have been set back.
    """

    def __init__(self) -> None:
        self.offset_ms = -math.inf  # nothing is known yet
        self._by_discovery_ms = -math.inf
        self._last_purge = UnixMs(0.0)
        self._by_purges_ms = -math.inf  # as `offset_ms`, by dates of purges alone

    @property
    def is_known(self) -> bool:
        return self.offset_ms > -math.inf

    def hear_start(self, dated: UnixMs, now_ms: float) -> None:
        """Of the start of a server, by discovery."""
        self._by_discovery_ms = max(self._by_discovery_ms, float(dated) - now_ms)
        self.offset_ms = max(self.offset_ms, self._by_discovery_ms)

    def hear_purge(self, dated: UnixMs, now_ms: float) -> None:
        """Of a purge, by discovery. Its events are numbered, so a date far before the one of an earlier event
        shows that its clock was set back, however late either was heard."""
        if dated + SET_BACK_MS < self._last_purge:
            self.offset_ms = self._by_discovery_ms = self._by_purges_ms = float(dated) - now_ms
        self._last_purge = dated
        self._by_purges_ms = max(self._by_purges_ms, float(dated) - now_ms)
        self.hear_start(dated, now_ms)

    def hear_copy(self, dated: UnixMs, now_ms: float) -> None:
        """Of a copy, by a cache. An answer may be spoilt and carry any date: it raises the bound no further
        than discovery's dates or the wall clock at the process's start have it."""
        most_ms = max(self._by_discovery_ms, 0.0)
        self.offset_ms = max(self.offset_ms, min(float(dated) - now_ms, most_ms))

    def age_ms(self, dated: UnixMs, now_ms: float) -> float:
        """How long ago a purge was dated, at least. Only dates of purges count: all of them come from one
        clock, while a server dates its own start, and one that is ahead would make every purge look old."""
        return max(now_ms + self._by_purges_ms - float(dated), 0.0)

    def latest(self, now_ms: float) -> UnixMs:
        """The platform's date now, rather too late than too early: for what begins now and is to age no
        faster than it does. Where discovery's dates are far behind the wall clock at the start, that clock
        counts as wrong and the dates alone are gone by: else what begins now would stay new for as long."""
        if self.offset_ms < -TRUSTED_MS and self._by_discovery_ms > -math.inf:
            return UnixMs(now_ms + self.offset_ms)
        return UnixMs(now_ms + max(self._by_discovery_ms, 0.0))
