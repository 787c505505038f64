"""The two readings of time: the timeline that no step reaches, dates, and where either may be read."""

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
#: Where the wall clock may be read: the clock itself, and what is no part of a director.
WALL_CLOCK_MAY = ("clock.py", "lab/", "cli/")
#: Still read it: a default argument that no director uses.
WALL_CLOCK = frozenset({
    ("time", "time"), ("time", "time_ns"), ("time", "gmtime"), ("time", "localtime"), ("time", "ctime"),
    ("time", "asctime"), ("time", "strftime"), ("time", "CLOCK_REALTIME"),
    ("datetime", "now"), ("datetime", "utcnow"), ("datetime", "today"), ("date", "today"),
})  # fmt: skip


class Machine:
    """Two clocks in seconds, as a machine has them."""

    def __init__(self) -> None:
        self.wall, self.uptime = 1_700_000_000.0, 5_000.0

    def passes(self, seconds: float) -> None:
        self.wall += seconds
        self.uptime += seconds

    def clock(self) -> Clock:
        return Clock(lambda: self.wall, lambda: self.uptime)


def readings_of_wall_clock(text: str) -> int:
    """How often a module names a function that reads the wall clock."""
    found = 0
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
            found += (node.value.id, node.attr) in WALL_CLOCK
        elif isinstance(node, ast.Attribute) and isinstance(node.value, ast.Attribute):
            found += (node.value.attr, node.attr) in WALL_CLOCK
        elif isinstance(node, ast.ImportFrom) and node.module == "time":
            found += sum(("time", alias.name) in WALL_CLOCK for alias in node.names)
    return found


def test_the_wall_clock_is_read_in_one_place() -> None:
    found = {}
    for path in sorted(PACKAGE.rglob("*.py")):
        name = path.relative_to(PACKAGE).as_posix()
        count = readings_of_wall_clock(path.read_text())
        if count and not name.startswith(WALL_CLOCK_MAY):
            found[name] = count
    assert found == {}


@pytest.mark.parametrize(
    "text",
    ["import time\ntime.time()", "from time import time", "import datetime\ndatetime.datetime.now()",
     "from datetime import datetime\ndatetime.utcnow()", "import time\nread = time.time_ns"],
)  # fmt: skip
def test_a_reading_of_the_wall_clock_is_found(text: str) -> None:
    assert readings_of_wall_clock(text) == 1
    assert readings_of_wall_clock("import time\ntime.monotonic()") == 0


@pytest.mark.parametrize("step_s", [3600.0, -3600.0, 4.0, -4.0, 0.05, -0.05])
def test_a_step_moves_dates_and_no_span(step_s: float) -> None:
    machine = Machine()
    clock = machine.clock()
    began, dated = clock.now(), clock.unix()
    assert began == pytest.approx(float(dated))
    machine.wall += step_s
    machine.passes(1.5)
    assert clock.now() - began == pytest.approx(1500.0)
    assert clock.unix() - dated == pytest.approx(1500.0 + step_s * 1000.0)


def test_dates_are_plain_numbers_at_run_time() -> None:
    class Dated(msgspec.Struct):
        ms: UnixMs

    assert UnixMs is float
    assert msgspec.json.decode(b'{"ms":1764576000123}', type=Dated).ms == 1764576000123.0


USES = """\
from gladelane.clock import Clock, MonotonicMs, UnixMs
clock = Clock()
moment, date = clock.now(), clock.unix()
span: float = date - date
later: UnixMs = date + 5.0
past: bool = date < later
due: float = moment + 5.0
"""
MIXED = """\
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


def test_the_type_checker_refuses_to_mix_the_readings() -> None:
    checked = subprocess.run(
        [sys.executable, "-m", "mypy", "--config-file=", "--strict", "-c", USES + MIXED],
        cwd=ROOT, capture_output=True, text=True, check=False,
    )  # fmt: skip
    refused = {int(line.split(":")[1]) for line in checked.stdout.splitlines() if " error: " in line}
    first = len(USES.splitlines()) + 1
    assert refused == set(range(first, first + len(MIXED.splitlines()))), checked.stdout + checked.stderr


def test_a_stop_is_not_remembered_as_how_late_timers_are() -> None:
    """A director that stood still for 6 s refused requests of 1.4 s for 3.9 s more."""
    now = [0.0]
    wheel = TimerWheel(lambda: now[0])
    wheel.record_tick(0.0, 6000.0 + TICK_MS)
    now[0] = 6000.0 + TICK_MS
    assert wheel.margin() == pytest.approx(
        TICK_MS + 6000.0 + WORST_LATE_LIMIT_MS
    )  # what is read now may be as old
    now[0] += TICK_MS
    wheel.record_tick(now[0] - TICK_MS, now[0])
    assert wheel.margin() < 2 * TICK_MS + WORST_LATE_LIMIT_MS


# --- the platform's dates

HOUR_MS = 3_600_000.0


class Heard(msgspec.Struct):
    """What was dated `delay_ms` before it was heard; `after_ms` after what was heard before it."""

    what: str
    after_ms: float
    delay_ms: float


heard = st.lists(
    st.builds(Heard, st.sampled_from(["start", "copy"]), st.floats(0.0, 10_000.0), st.floats(0.0, HOUR_MS)),
    max_size=20,
)


def hear(dates: PlatformDates, what: str, dated: float, now_ms: float) -> None:
    {"start": dates.record_start_date, "purge": dates.record_purge_date, "copy": dates.record_copy_date}[
        what
    ](UnixMs(dated), now_ms)


@pytest.mark.parametrize("ahead_ms", [50.0, 4_000.0, 3_600_000.0])
def test_a_server_whose_clock_is_ahead_makes_no_purge_older(ahead_ms: float) -> None:
    """Its start is dated by its own clock; every purge counted as an hour old, and was ignored."""
    dates, now_ms = PlatformDates(), 10_000.0
    dates.record_start_date(UnixMs(now_ms + ahead_ms), now_ms)
    dates.record_purge_date(UnixMs(now_ms - 20.0), now_ms)
    assert dates.age_ms(UnixMs(now_ms - 20.0), now_ms) == 0.0
    assert dates.age_ms(UnixMs(now_ms - 20.0), now_ms + 500.0) == 500.0
    assert dates.latest(now_ms) == now_ms + ahead_ms, "a start that is relayed now is no older than any other"


@given(heard, st.sampled_from([0.0, HOUR_MS, -HOUR_MS, 4000.0, -50.0]))
def test_the_bound_is_never_above_the_truth_and_only_rises(events: list[Heard], true_ms: float) -> None:
    """However far the wall clock at the start was off, and however late anything is heard: so no server is
    taken for older than it is."""
    dates, now_ms = PlatformDates(), 1000.0
    for event in events:
        before = dates.offset_ms
        now_ms += event.after_ms
        hear(dates, event.what, now_ms - event.delay_ms + true_ms, now_ms)
        assert before <= dates.offset_ms <= true_ms + 1e-6
        dated = UnixMs(now_ms - event.delay_ms + true_ms)
        assert dates.age_ms(dated, now_ms) <= event.delay_ms + 1e-6  # so is no purge
        if event.what == "start":  # it has been up for as long as it has been known, at least
            assert dates.offset_ms >= true_ms - event.delay_ms - 1e-6


def test_fresh_copies_bring_the_bound_close_and_a_spoilt_date_no_further_than_our_own_clock() -> None:
    dates = PlatformDates()
    assert not dates.is_known
    hear(dates, "start", 40_000.0, 100_000.0)
    assert dates.offset_ms == -60_000.0
    hear(dates, "copy", 99_990.0, 100_000.0)
    assert dates.offset_ms == -10.0
    hear(dates, "copy", 100_000.0 + HOUR_MS, 100_000.0)
    assert dates.offset_ms == 0.0
    hear(dates, "purge", 103_990.0, 100_000.0)  # our clock was 4 s behind at the start
    hear(dates, "copy", 100_000.0 + HOUR_MS, 100_000.0)
    assert dates.offset_ms == 3990.0
    assert dates.latest(100_000.0) == 103_990.0


def test_purges_dated_against_their_order_show_that_discovery_s_clock_was_set_back() -> None:
    dates = PlatformDates()
    hear(dates, "purge", HOUR_MS, 1000.0)
    hear(dates, "purge", HOUR_MS - MIN_SET_BACK_MS, 2000.0)  # late, or a little out of order
    assert dates.offset_ms == HOUR_MS - 1000.0
    hear(dates, "purge", 2900.0, 3000.0)
    assert dates.offset_ms == -100.0
    hear(dates, "copy", HOUR_MS, 4000.0)
    assert dates.offset_ms == 0.0


@pytest.mark.parametrize("true_ms", [HOUR_MS, -HOUR_MS, 0.0, -4000.0])
def test_what_begins_now_is_not_older_later_and_stays_new_for_no_hour(true_ms: float) -> None:
    """A server that operators put back, whatever the wall clock was at the start."""
    dates, now_ms = PlatformDates(), 1_000_000.0
    hear(dates, "copy", now_ms + true_ms - 5.0, now_ms)
    hear(dates, "start", now_ms + true_ms - 5.0, now_ms)
    began = float(dates.latest(now_ms))
    for after_ms in (10.0, 5000.0):
        hear(dates, "copy", now_ms + after_ms + true_ms, now_ms + after_ms)
        age_ms = now_ms + after_ms + dates.offset_ms - began
        assert after_ms - 4000.0 - 10.0 <= age_ms <= after_ms + 5.0


def test_a_spoilt_date_alone_does_not_date_what_begins_now() -> None:
    dates = PlatformDates()
    hear(dates, "copy", 1.0, 1_000_000.0)
    assert dates.latest(1_000_000.0) == 1_000_000.0
