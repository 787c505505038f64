"""Tests of the clock: the monotonic timeline, dates of the wall clock, and where the latter may be read."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.clock import MIN_SET_BACK_MS, Clock, PlatformDates, UnixMs
from gladelane.timer_wheel import TICK_MS, WORST_LATE_LIMIT_MS, TimerWheel

ROOT = Path(__file__).parents[1]
PACKAGE = ROOT / "gladelane"
#: Modules that may read the wall clock: the clock itself, and those that no director uses.
WALL_CLOCK_READERS = ("clock.py", "lab/", "cli/")
#: Functions and constants that read the wall clock, by module or class.
WALL_CLOCK_NAMES = frozenset({
    ("time", "time"), ("time", "time_ns"), ("time", "gmtime"), ("time", "localtime"), ("time", "ctime"),
    ("time", "asctime"), ("time", "strftime"), ("time", "CLOCK_REALTIME"),
    ("datetime", "now"), ("datetime", "utcnow"), ("datetime", "today"), ("date", "today"),
})  # fmt: skip


class Machine:
    """A fake machine's wall clock and monotonic clock, in seconds."""

    def __init__(self) -> None:
        self.wall, self.uptime = 1_700_000_000.0, 5_000.0

    def advance(self, seconds: float) -> None:
        self.wall += seconds
        self.uptime += seconds

    def clock(self) -> Clock:
        return Clock(lambda: self.wall, lambda: self.uptime)


def count_wall_clock_reads(text: str) -> int:
    """How often a module's source names a function that reads the wall clock."""
    count = 0
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            count += (node.value.id, node.attr) in WALL_CLOCK_NAMES
        elif isinstance(node, ast.Attribute) and isinstance(node.value, ast.Attribute):
            count += (node.value.attr, node.attr) in WALL_CLOCK_NAMES
        elif isinstance(node, ast.ImportFrom) and node.module == "time":
            count += sum(("time", alias.name) in WALL_CLOCK_NAMES for alias in node.names)
    return count


def test_only_permitted_modules_read_the_wall_clock() -> None:
    reads = {}
    for path in sorted(PACKAGE.rglob("*.py")):
        name = path.relative_to(PACKAGE).as_posix()
        count = count_wall_clock_reads(path.read_text())
        if count and not name.startswith(WALL_CLOCK_READERS):
            reads[name] = count
    assert reads == {}


@pytest.mark.parametrize(
    "text",
    ["import time\ntime.time()", "from time import time", "import datetime\ndatetime.datetime.now()",
     "from datetime import datetime\ndatetime.utcnow()", "import time\nread = time.time_ns"],
)  # fmt: skip
def test_reads_of_the_wall_clock_are_detected(text: str) -> None:
    assert count_wall_clock_reads(text) == 1
    assert count_wall_clock_reads("import time\ntime.monotonic()") == 0


@pytest.mark.parametrize("step_s", [3600.0, -3600.0, 4.0, -4.0, 0.05, -0.05])
def test_a_clock_step_moves_dates_but_changes_no_intervals(step_s: float) -> None:
    machine = Machine()
    clock = machine.clock()
    started_ms, dated = clock.now(), clock.unix()
    assert started_ms == pytest.approx(float(dated))
    machine.wall += step_s
    machine.advance(1.5)
    assert clock.now() - started_ms == pytest.approx(1500.0)
    assert clock.unix() - dated == pytest.approx(1500.0 + step_s * 1000.0)


def test_dates_are_plain_numbers_at_run_time() -> None:
    class Dated(msgspec.Struct):
        ms: UnixMs

    assert UnixMs is float
    assert msgspec.json.decode(b'{"ms":1764576000123}', type=Dated).ms == 1764576000123.0


CORRECT_USES = """\
from gladelane.clock import Clock, MonotonicMs, UnixMs
clock = Clock()
moment, date = clock.now(), clock.unix()
span: float = date - date
later: UnixMs = date + 5.0
past: bool = date < later
due: float = moment + 5.0
"""
MIXED_USES = """\
moment - date
date - moment
moment < date
date < moment
larger: float = max(moment, date)
date + date
other_date: UnixMs = moment
other_moment: MonotonicMs = date
bare: float = date
"""


def test_type_checker_rejects_mixing_moments_and_dates() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "mypy", "--config-file=", "--strict", "-c", CORRECT_USES + MIXED_USES],
        cwd=ROOT, capture_output=True, text=True, check=False,
    )  # fmt: skip
    rejected_lines = {int(line.split(":")[1]) for line in result.stdout.splitlines() if " error: " in line}
    first_mixed_line = len(CORRECT_USES.splitlines()) + 1
    assert rejected_lines == set(range(first_mixed_line, first_mixed_line + len(MIXED_USES.splitlines()))), (
        result.stdout + result.stderr
    )


def test_a_long_stop_does_not_raise_the_expected_lateness_of_timers() -> None:
    """A director that was stopped for 6 s rejected requests with 1.4 s left for another 3.9 s, because it expected its
    timers to be that late again."""
    now = [0.0]
    wheel = TimerWheel(lambda: now[0])
    wheel.record_tick(0.0, 6000.0 + TICK_MS)
    now[0] = 6000.0 + TICK_MS
    assert wheel.margin() == pytest.approx(
        TICK_MS + 6000.0 + WORST_LATE_LIMIT_MS
    )  # data that is read now may have waited for as long
    now[0] += TICK_MS
    wheel.record_tick(now[0] - TICK_MS, now[0])
    assert wheel.margin() < 2 * TICK_MS + WORST_LATE_LIMIT_MS


# --- the bound for the platform's dates

HOUR_MS = 3_600_000.0


class ReceivedDate(msgspec.Struct):
    """A date that was written `delay_ms` before it is received, which is `after_ms` after the previous one."""

    kind: str
    after_ms: float
    delay_ms: float


received_dates = st.lists(
    st.builds(
        ReceivedDate, st.sampled_from(["start", "copy"]), st.floats(0.0, 10_000.0), st.floats(0.0, HOUR_MS)
    ),
    max_size=20,
)


def record(dates: PlatformDates, kind: str, dated: float, now_ms: float) -> None:
    {"start": dates.record_start_date, "purge": dates.record_purge_date, "copy": dates.record_copy_date}[
        kind
    ](UnixMs(dated), now_ms)


@pytest.mark.parametrize("ahead_ms", [50.0, 4_000.0, 3_600_000.0])
def test_purges_do_not_look_older_if_a_server_clock_is_ahead(ahead_ms: float) -> None:
    """A server dates its start by its own clock. If that clock was an hour ahead, every purge counted as an hour old and
    was ignored."""
    dates, now_ms = PlatformDates(), 10_000.0
    dates.record_start_date(UnixMs(now_ms + ahead_ms), now_ms)
    dates.record_purge_date(UnixMs(now_ms - 20.0), now_ms)
    assert dates.age_ms(UnixMs(now_ms - 20.0), now_ms) == 0.0
    assert dates.age_ms(UnixMs(now_ms - 20.0), now_ms + 500.0) == 500.0
    assert (
        dates.latest(now_ms) == now_ms + ahead_ms
    ), "a start that is reported now is no older than any other"


@given(received_dates, st.sampled_from([0.0, HOUR_MS, -HOUR_MS, 4000.0, -50.0]))
def test_date_bound_never_exceeds_the_true_offset_and_never_decreases(
    events: list[ReceivedDate], true_ms: float
) -> None:
    """Whatever the error of the wall clock at the start, and however late dates are received: a bound above the true
    offset would make servers look older than they are."""
    dates, now_ms = PlatformDates(), 1000.0
    for event in events:
        before = dates.offset_ms
        now_ms += event.after_ms
        record(dates, event.kind, now_ms - event.delay_ms + true_ms, now_ms)
        assert before <= dates.offset_ms <= true_ms + 1e-6
        dated = UnixMs(now_ms - event.delay_ms + true_ms)
        assert dates.age_ms(dated, now_ms) <= event.delay_ms + 1e-6  # so no purge looks older than it is
        if event.kind == "start":  # the date of a start is always used in full
            assert dates.offset_ms >= true_ms - event.delay_ms - 1e-6


def test_copy_dates_tighten_the_bound_and_corrupt_ones_raise_it_no_further_than_our_own_clock() -> None:
    dates = PlatformDates()
    assert not dates.is_known
    record(dates, "start", 40_000.0, 100_000.0)
    assert dates.offset_ms == -60_000.0
    record(dates, "copy", 99_990.0, 100_000.0)
    assert dates.offset_ms == -10.0
    record(dates, "copy", 100_000.0 + HOUR_MS, 100_000.0)
    assert dates.offset_ms == 0.0
    record(dates, "purge", 103_990.0, 100_000.0)  # our clock was 4 s slow at the start
    record(dates, "copy", 100_000.0 + HOUR_MS, 100_000.0)
    assert dates.offset_ms == 3990.0
    assert dates.latest(100_000.0) == 103_990.0


def test_purge_dates_out_of_order_show_that_the_discovery_clock_was_set_back() -> None:
    dates = PlatformDates()
    record(dates, "purge", HOUR_MS, 1000.0)
    record(dates, "purge", HOUR_MS - MIN_SET_BACK_MS, 2000.0)  # late, or a little out of order
    assert dates.offset_ms == HOUR_MS - 1000.0
    record(dates, "purge", 2900.0, 3000.0)
    assert dates.offset_ms == -100.0
    record(dates, "copy", HOUR_MS, 4000.0)
    assert dates.offset_ms == 0.0


@pytest.mark.parametrize("true_ms", [HOUR_MS, -HOUR_MS, 0.0, -4000.0])
def test_a_date_given_now_ages_correctly_whatever_the_clock_error_at_the_start(true_ms: float) -> None:
    """The date that `latest` gives to a server that is put back into service must neither make it look older later nor
    keep it new for too long, whatever the error of the wall clock at the start."""
    dates, now_ms = PlatformDates(), 1_000_000.0
    record(dates, "copy", now_ms + true_ms - 5.0, now_ms)
    record(dates, "start", now_ms + true_ms - 5.0, now_ms)
    start_date_ms = float(dates.latest(now_ms))
    for after_ms in (10.0, 5000.0):
        record(dates, "copy", now_ms + after_ms + true_ms, now_ms + after_ms)
        age_ms = now_ms + after_ms + dates.offset_ms - start_date_ms
        assert after_ms - 4000.0 - 10.0 <= age_ms <= after_ms + 5.0


def test_a_corrupt_copy_date_alone_does_not_change_the_current_date() -> None:
    dates = PlatformDates()
    record(dates, "copy", 1.0, 1_000_000.0)
    assert dates.latest(1_000_000.0) == 1_000_000.0
