"""Monotonic and wall-clock time, and the only conversions between the two.

`Clock.now()` is the process's timeline: the Unix time in ms that the wall clock showed at the start of the
process, plus the time that has passed on the monotonic clock since. Deadlines, timers, windows and all other
intervals are measured on it, so stepping the wall clock changes none of them. `Clock.unix()` reads the wall
clock, for dates that people read. Dates from other machines are of type `UnixMs`: they are never compared
directly with either reading, only through `PlatformDates`. docs/design/time.md gives the reasons.
"""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple, NewType

#: Discovery dates its events in order. A date that is earlier than the previous one by more than this shows
#: that its clock was set back.
MIN_SET_BACK_MS = 1000.0
#: The wall clock at the start is taken to be right unless it is ahead of the platform's dates by more than
#: this: after an outage of discovery the latest date is as old as the outage.
TRUSTED_CLOCK_LEAD_MS = 60_000.0
#: The wall clock is slewed slightly all the time; a change of at least this much counts as a step.
MIN_STEP_MS = 20.0
#: How many consecutive fresh copies must agree that our clock is wrong. A single answer may be corrupt.
REQUIRED_FRESH_COPIES = 8
#: A copy received longer ago than this is not used, because clocks drift apart.
MAX_FRESH_COPY_AGE_MS = 60_000.0
#: The platform's clock and ours differ by less than this if both are synchronized by the usual means.
CLOCKS_AGREE_MS = 250.0
#: Dates on the wire are rounded to integer ms, so each may be wrong by this much.
DATE_ROUNDING_MS = 1.0
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")

#: A moment of this process's timeline, in ms.
MonotonicMs = NewType("MonotonicMs", float)

if TYPE_CHECKING:

    class UnixMs:
        """A date in Unix ms by the wall clock of some machine. It is a plain float at run time; to the type
        checker it is a separate type that cannot be mixed with moments of the timeline."""

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
    """Identifies the monotonic clock that all processes of one boot share. `zero_ms` is the date at which
    that clock read 0, on the time scale on which the process writes dates of moments; `boot_id` is empty if
    it is unknown."""

    boot_id: str
    zero_ms: float


def read_boot_id() -> str:
    """The id of this machine's current boot; empty if the system does not provide it."""
    with suppress(OSError, ValueError):
        return BOOT_ID_PATH.read_text(encoding="ascii").strip()
    return ""


class Clock:
    """The clock of one process. `read_unix` and `read_monotonic` return seconds, like `time.time` and
    `time.monotonic`, which are the defaults."""

    def __init__(
        self,
        read_unix: Callable[[], float] | None = None,
        read_monotonic: Callable[[], float] | None = None,
        boot_id: str | None = None,
    ) -> None:
        # resolved here rather than in the signature, so that a test can replace both for a complete process
        self._read_unix = read_unix or time.time
        self._read_monotonic = read_monotonic or time.monotonic
        # the moment of the timeline at which the monotonic clock read 0
        self._zero_ms = (self._read_unix() - self._read_monotonic()) * 1000.0
        self._stepped_ms = 0.0  # by how much the wall clock has been stepped since, as far as observed
        self._boot_id = read_boot_id() if boot_id is None else boot_id

    def now(self) -> MonotonicMs:
        """The current moment of this process's timeline. It never goes back, and steps of the wall clock do
        not affect it."""
        # This is called many times per request, and a call of MonotonicMs would add a quarter to its cost.
        return self._zero_ms + self._read_monotonic() * 1000.0  # type: ignore[return-value]

    def unix(self) -> UnixMs:
        """The current reading of the wall clock, which may be stepped at any time."""
        return UnixMs(self._read_unix() * 1000.0)

    # --- moments exchanged with another process on this machine

    def shared_clock(self) -> SharedClock:
        """The clock to send along with dates of moments, so that another process can convert them to its own
        timeline. It changes only when the wall clock is stepped, and so does the date of a moment."""
        stepped_ms = float(self.unix()) - self.now()
        if abs(stepped_ms - self._stepped_ms) > MIN_STEP_MS:
            self._stepped_ms = stepped_ms
        return SharedClock(self._boot_id, self._zero_ms + self._stepped_ms)

    def date(self, moment_ms: float, shared: SharedClock) -> UnixMs:
        """The date of a moment, for another process that also receives `shared`."""
        return UnixMs(moment_ms + (shared.zero_ms - self._zero_ms))

    def shift_from(self, other: SharedClock) -> float | None:
        """The offset to add to another process's dates of moments to convert them to this timeline; None if
        that process did not run under this boot, or if either boot is unknown."""
        if not self._boot_id or other.boot_id != self._boot_id:
            return None
        return self._zero_ms - other.zero_ms


def as_date(moment_ms: float) -> UnixMs:
    """A moment of the timeline as a date, assuming that the wall clock was right when the process started."""
    return UnixMs(moment_ms)


class _FreshCopy(NamedTuple):
    """Bounds that one copy gives for how far the platform's dates are ahead of the timeline; negative values
    mean that they are behind."""

    received_ms: float
    min_ms: float
    max_ms: float


class FreshCopies:
    """Estimates the difference between our clock and the origin's from copies made for requests. Pure.

    The origin made such a copy after the request was sent and before the answer arrived, so its date bounds
    the difference on both sides; the date of an older copy bounds it on one side only. That a copy is fresh
    is known only from what a cache reports, and an answer may be corrupt. Therefore all of the latest copies
    must agree, and the weakest bound among them is used.
    """

    def __init__(self) -> None:
        self._latest: deque[_FreshCopy] = deque(maxlen=REQUIRED_FRESH_COPIES)

    def record_copy(self, dated: UnixMs, requested_ms: float, now_ms: float) -> None:
        """Records a fresh copy. `requested_ms` is the time at which sending of the request for it started."""
        min_ms = float(dated) - now_ms
        self._latest.append(_FreshCopy(now_ms, min_ms, float(dated) - requested_ms + DATE_ROUNDING_MS))

    def shift_ms(self, now_ms: float) -> float:
        """The offset that converts a moment of the timeline to the origin's date. The correction is never
        larger than proven, in either direction; 0 while our clock is not proven to be wrong."""
        if (
            len(self._latest) < REQUIRED_FRESH_COPIES
            or now_ms - self._latest[0].received_ms > MAX_FRESH_COPY_AGE_MS
        ):
            return 0.0
        max_ms = max(copy.max_ms for copy in self._latest)
        if max_ms < -CLOCKS_AGREE_MS:
            return max_ms
        min_ms = min(copy.min_ms for copy in self._latest)
        return min_ms if min_ms > CLOCKS_AGREE_MS else 0.0


class PlatformDates:
    """A lower bound for how far the platform's dates are ahead of the timeline. Pure.

    A date that arrives now was written earlier, so `date - now` never exceeds the true difference. The
    largest such value is therefore the tightest lower bound, and an age that is computed with it is never too
    high. The bound only increases, unless the platform's own clock is seen to have been set back.
    """

    def __init__(self) -> None:
        self.offset_ms = -math.inf  # no date has arrived yet
        self._by_discovery_ms = -math.inf
        self._last_purge = UnixMs(0.0)
        self._by_purges_ms = -math.inf  # like `offset_ms`, from the dates of purges alone

    @property
    def is_known(self) -> bool:
        """Whether any date of the platform has arrived."""
        return self.offset_ms > -math.inf

    def record_start_date(self, dated: UnixMs, now_ms: float) -> None:
        """Records the date at which a server started, as discovery reports it."""
        self._by_discovery_ms = max(self._by_discovery_ms, float(dated) - now_ms)
        self.offset_ms = max(self.offset_ms, self._by_discovery_ms)

    def record_purge_date(self, dated: UnixMs, now_ms: float) -> None:
        """Records the date of a purge, as discovery reports it. Its events are numbered, so a date well
        before that of an earlier event shows that its clock was set back, however late either of them
        arrived."""
        if dated + MIN_SET_BACK_MS < self._last_purge:
            self.offset_ms = self._by_discovery_ms = self._by_purges_ms = float(dated) - now_ms
        self._last_purge = dated
        self._by_purges_ms = max(self._by_purges_ms, float(dated) - now_ms)
        self.record_start_date(dated, now_ms)

    def record_copy_date(self, dated: UnixMs, now_ms: float) -> None:
        """Records the date of a copy, as a cache reports it. A corrupt answer may carry any date, so it
        raises the bound no further than discovery's dates or the wall clock at the start of the process
        support."""
        max_ms = max(self._by_discovery_ms, 0.0)
        self.offset_ms = max(self.offset_ms, min(float(dated) - now_ms, max_ms))

    def age_ms(self, dated: UnixMs, now_ms: float) -> float:
        """The minimum age of a purge. It is computed from dates of purges only: they all come from one clock,
        while each server dates its own start, so a single server whose clock is ahead would make every purge
        look old."""
        return max(now_ms + self._by_purges_ms - float(dated), 0.0)

    def latest(self, now_ms: float) -> UnixMs:
        """An estimate of the platform's current date, for dating what starts now. It errs towards the future,
        so that nothing seems to age faster than it does.

        If discovery's dates are far behind the wall clock at the start, that clock is taken to be wrong and
        only the dates are used: otherwise anything that starts now would seem new for as long as the clock is
        ahead."""
        if self.offset_ms < -TRUSTED_CLOCK_LEAD_MS and self._by_discovery_ms > -math.inf:
            return UnixMs(now_ms + self.offset_ms)
        return UnixMs(now_ms + max(self._by_discovery_ms, 0.0))
