"""The rig's own parts: the line, the relay, the rules; each rule is shown to catch what it is for."""

from __future__ import annotations

import asyncio
import json
import math
import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from harness import async_test, wait_until

from gladelane.audit.activity_log import ActivityLog
from gladelane.audit.audit_store import AuditStore
from gladelane.audit.view import View, view_id
from gladelane.audit.wire import Report
from gladelane.lab.fleet.audited import ON_TIME_MS, SEEN_MS, Lists, after_out, contradictions, downtime_ms
from gladelane.lab.fleet.day import fault_periods, full_service_after, play
from gladelane.lab.fleet.faults import FaultScheduleError, read_line
from gladelane.lab.fleet.ports import release_port, reserve_port
from gladelane.lab.fleet.process import FleetProcess
from gladelane.lab.fleet.relay import SLOW_S, Relay, Reported, State
from gladelane.lab.fleet.replicated import reach
from gladelane.lab.fleet.rules import (
    Made,
    Purged,
    PurgeName,
    Ran,
    Sent,
    Service,
    back_after,
    busiest,
    doubles,
    of_earlier_starts,
    stale,
)
from gladelane.lab.fleet.shape import Shape
from gladelane.lab.fleet.standstills import STEPS, TICK_MS, Standstills
from gladelane.lab.fleet.stepped import stepped
from gladelane.lab.processes import ROOT
from gladelane.purges.scope import parse

COUNTS = {"directors": 10, "feeds": 2, "caches": 4}


def test_a_line_names_its_steps_and_one_seed_strikes_the_same() -> None:
    line = "3 kill directors:90% empty; 1.5 cut directors:0-1>feeds:* oneway for 2; 2 purges 60 for 1; 2.5 store hub renew; 4 stop feeds:1 for 1"
    steps = read_line(line, COUNTS, Random(7))
    assert [step.at for step in steps] == [1.5, 2.0, 2.5, 3.0, 4.0] and steps == read_line(
        line, COUNTS, Random(7)
    )
    cut, purges, store, kill, stop = steps
    assert len(cut.links) == 4 and cut.how == "oneway" and cut.last == 2.0
    assert (purges.how, purges.last, purges.whom) == ("60", 1.0, ()) and store.whom == (("hub", 0),)
    assert len(kill.whom) == 9 and kill.how == "empty" and stop.whom == (("feeds", 1),) and stop.how == "kept"
    assert (
        len(
            {
                step.whom
                for seed in range(20)
                for step in read_line("1 kill directors:50%", COUNTS, Random(seed))
            }
        )
        > 10
    )


@pytest.mark.parametrize(("line", "says"), [
    ("kill directors", "expected SECOND WORD"), ("1 burn directors:*", "a word of kill"), ("1 kill cats:*", "expected one of directors, feeds"),
    ("1 kill directors:3-10", "there are 10 directors"), ("1 kill directors:1 wet", "'wet'; expected one of kept, empty"),
    ("1 kill directors:1 60", "'60'; expected one of kept"), ("1 cut directors:*>caches:*", "expected one of feeds, board"),
])  # fmt: skip
def test_a_line_that_cannot_be_is_refused_with_its_step(line: str, says: str) -> None:
    with pytest.raises(FaultScheduleError, match=says):
        read_line(line, COUNTS, Random(1))


def test_faults_that_stand_apart_are_timed_apart() -> None:
    steps = read_line(
        "1 kill directors:0; 1.5 kill directors:1; 2 save feeds:0; 6 stop directors:2 for 1",
        COUNTS,
        Random(1),
    )
    assert [(span.text[:13], span.at, span.until) for span in fault_periods(steps, 9.0)] == [
        ("1 kill direct", 1.5, 6.0),
        ("6 stop direct", 6.0, 9.0),
    ]
    assert [span.struck for span in fault_periods(steps, 9.0)] == [
        {("directors", 0): 1.0, ("directors", 1): 1.5},
        {("directors", 2): 6.0},
    ]


@pytest.mark.parametrize(("ups", "downs", "expected"), [
    ([1.0], [], 5.0),  # nothing came of it
    ([1.0, 7.2], [5.01], 7.2),
    ([1.0, 7.2, 8.5], [5.01, 7.5], 8.5),  # struck again while it came back
    ([1.0, 7.2], [5.01, 7.5], math.inf),
    ([1.0], [5.01], math.inf),
    ([1.0, 7.2, 12.0], [5.01, 11.0], 7.2),  # a later fault is another span's
    ([1.0, 7.2], [5.5, 5.01], 7.2),  # stopped, then killed: in any order
])  # fmt: skip
def test_a_process_is_back_with_the_last_start_that_a_fault_brought_about(
    ups: list[float], downs: list[float], expected: float
) -> None:
    assert back_after(ups, downs, 5.0, 10.0) == expected


BEGAN_S = 100.0  # Unix s of the line's begin
STOP_AT_S, STOP_FOR_S = 1.0, 2.0


def run_with_a_stop(life: FleetProcess, in_time_s: float) -> tuple[Any, Any]:
    """A fleet of one director that was stopped and its load: on waking it answers in time what was asked in the last
    `in_time_s` of the stop."""
    stop_s = BEGAN_S + STOP_AT_S
    resume_s = stop_s + STOP_FOR_S
    life.stops.append(stop_s)
    life.resumes.append(resume_s)
    service, rng, due = Service(), Random(5), BEGAN_S - 3.0
    while (due := due + rng.expovariate(120.0)) < BEGAN_S + 9.0:
        service.ask(due, 1.0)
        if not stop_s <= due < resume_s - in_time_s:
            service.earn(due, 1.0)
    return SimpleNamespace(of=lambda whom: life), SimpleNamespace(
        service=Service.together([service]), by_director={life.name: service}
    )


@pytest.mark.parametrize("in_time_s", [0.0, 0.3, 0.6, 2.0])
def test_a_stopped_director_is_not_back_before_it_is_resumed_whatever_it_answers_on_waking(
    tmp_path: Path, in_time_s: float
) -> None:
    """What was asked shortly before it is resumed may be answered within its latency objective."""
    life = FleetProcess("director-0", 1, tmp_path)
    fleet, load = run_with_a_stop(life, in_time_s)
    (span,) = fault_periods(
        read_line(f"{STOP_AT_S} stop directors:0 for {STOP_FOR_S}", COUNTS, Random(1)), 9.0
    )
    assert full_service_after(span, fleet, load, BEGAN_S) == pytest.approx(STOP_FOR_S, abs=0.01)


def test_a_stopped_director_that_is_never_resumed_is_never_back(tmp_path: Path) -> None:
    life = FleetProcess("director-0", 1, tmp_path)
    fleet, load = run_with_a_stop(life, STOP_FOR_S)  # its share looks full all the while
    life.resumes.clear()
    (span,) = fault_periods(
        read_line(f"{STOP_AT_S} stop directors:0 for {STOP_FOR_S}", COUNTS, Random(1)), 9.0
    )
    assert full_service_after(span, fleet, load, BEGAN_S) == math.inf


def test_a_process_is_dated_when_it_is_stopped_and_resumed_and_its_successor_is_not(tmp_path: Path) -> None:
    command = [sys.executable, "-c", "import time; time.sleep(60)"]
    life = FleetProcess("director-0", 1, tmp_path)
    life.stop()
    life.resume()
    assert life.stops == life.resumes == []  # nothing runs
    first, second = subprocess.Popen(command), subprocess.Popen(command)
    try:
        life.process = first
        for _ in range(2):
            life.resume()  # without a stop before it
            life.stop()
            os.waitid(os.P_PID, first.pid, os.WSTOPPED)  # until it stands still
            life.resume()
            os.waitid(os.P_PID, first.pid, os.WCONTINUED)
        assert len(life.stops) == len(life.resumes) == 2
        assert life.stops[0] <= life.resumes[0] <= life.stops[1] <= life.resumes[1]
        life.stop()
        life.process = second
        life.resume()
        assert (len(life.stops), len(life.resumes)) == (3, 2)
    finally:
        for process in (first, second):
            process.kill()
            process.wait()


@pytest.mark.parametrize(("delay_s", "kind"), [(0.0, "kept"), (2.0, "kept"), (2.0, "stop")])
def test_full_service_waits_for_each_director_that_was_struck_also_where_others_do_its_work(
    delay_s: float, kind: str
) -> None:
    """Clients alone see full service at once: two of three directors are enough for them."""
    line = f"1 stop directors:0 for {delay_s}" if kind == "stop" else f"1 kill directors:0 kept for {delay_s}"
    figures = asyncio.run(play(line, Shape(3, control_servers=0), 3, 9.0, per_s=120.0))
    assert delay_s <= figures["full_service_s"] < delay_s + 4.0, figures
    assert figures["full_service_s"] > 0.0, figures


@async_test
async def test_a_relay_passes_cuts_silences_and_breaks_answers_off() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            heard.append(data)
            writer.write(data * 100)
        writer.close()

    heard: list[bytes] = []
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    relay = Relay(server.sockets[0].getsockname()[1])
    await relay.start()

    async def asked(state: State, wait: float = 30.0) -> int:
        """How many bytes came; -1: not all within the wait, -2: the connection was closed."""
        relay.set(State.OPEN)
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        await asyncio.sleep(0.05)
        relay.set(state)
        try:
            writer.write(b"0123456789")
            async with asyncio.timeout(wait):
                return len(await reader.readexactly(1000))
        except TimeoutError:
            return -1
        except asyncio.IncompleteReadError as error:
            return len(error.partial)
        except OSError:
            return -2
        finally:
            writer.close()

    assert await asked(State.OPEN) == 1000 and len(heard) == 1
    assert await asked(State.CLOSED) in (0, -2) and len(heard) == 1
    assert await asked(State.SILENT, 0.3) == -1 and len(heard) == 1
    assert await asked(State.REPLIES_BLOCKED, 0.3) == -1
    await wait_until(lambda: len(heard) == 3, 30.0)  # what the silent link held has come, too
    began = time.monotonic()
    assert await asked(State.SLOW) == 1000 and time.monotonic() - began >= 2 * SLOW_S
    assert await asked(State.HALFWAY) in (-2, *range(401)) and relay.cut_short == 1
    relay.set(State.OPEN)
    assert await asked(State.OPEN) == 1000
    await relay.close()
    server.close()


def test_runs_with_one_seed_beside_each_other_have_ports_of_their_own_also_while_nobody_listens() -> None:
    """A director that is killed and started again finds its port free."""
    one, other = ([reserve_port(rng) for _ in range(5)] for rng in (Random(4), Random(4)))
    assert not set(one) & set(other)
    beside = subprocess.run(
        [
            sys.executable,
            "-c",
            "from random import Random\nfrom gladelane.lab.fleet.ports import reserve_port\n"
            "rng = Random(4)\nprint([reserve_port(rng) for _ in range(5)])",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert not {*one, *other} & set(json.loads(beside.stdout))
    for port in (*one, *other):
        release_port(port)
    assert reserve_port(Random(4)) == one[0]
    release_port(one[0])


def test_a_wall_clock_that_is_stepped_is_off_from_each_moment_on() -> None:
    passed = [0.0]
    read = stepped("2:500,0:-1000", lambda: 100.0 + passed[0], lambda: 7.0 + passed[0])
    found = []
    for passed[0] in (0.0, 1.9, 2.0, 9.0):
        found.append(read() - 100.0 - passed[0])
    assert found == pytest.approx([-1.0, -1.0, 0.5, 0.5])
    assert stepped("", lambda: 100.0, lambda: 7.0)() == 100.0


def test_each_rule_catches_what_it_is_for() -> None:
    scope = parse("object:000000000000000a")
    answers = [
        Made("film", 0, 10, 0, sent, dated)
        for sent, dated in ((900.0, 100.0), (3100.0, 100.0), (3100.0, 1001.0), (2999.0, 100.0))
    ]
    assert stale(answers, [Purged(1000.0, scope)], 2000.0) == [answers[1]]
    assert (
        stale(answers, [Purged(1000.0, scope, 1200.0)], 2000.0) == []
    )  # its sender had no answer before 1200
    assert doubles([Ran("a", 0.0), Ran("a", 1990.0), Ran("b", 0.0), Ran("b", 2100.0)], 2000.0) == ["b"]
    assert busiest([0.1, 0.2, 1.5, 1.6, 1.7, 9.0], 0.0, 5.0) == 3


def test_a_purge_counts_as_of_an_earlier_start_where_its_issuer_has_begun_anew_since() -> None:
    scope = parse("group:3")
    purges = [
        Purged(1000.0 + epoch, scope, 0.0, issuer, epoch, 1)
        for issuer, epoch in (("a", 5), ("a", 9), ("b", 5), ("c", 5))
    ]
    assert of_earlier_starts(purges, {"a": 9, "b": 5}) == {PurgeName("a", 5, 1)}


def asked_for(seed: int, answered: Callable[[float], bool]) -> Service:
    """Arrivals as in a run, 20 s of them; those due at moments that `answered` says are answered in time."""
    service, rng, due = Service(), Random(seed), 0.0
    while (due := due + rng.expovariate(250.0)) < 20.0:
        worth = rng.choice((1.0, 2.0, 3.0))
        service.ask(due, worth)
        if answered(due):
            service.earn(due, worth)
    return service


@pytest.mark.parametrize("seed", range(100))
def test_full_service_is_seen_in_what_was_asked_for_whatever_the_arrivals(seed: int) -> None:
    whole = asked_for(seed, lambda due: True)
    assert whole.full_after(10.0, (8.0, 10.0), 13.5) == 0.0
    gap = asked_for(seed, lambda due: not 10.0 <= due < 13.0)
    assert gap.full_after(10.0, (8.0, 10.0), 20.0) == pytest.approx(2.9, abs=0.15)
    assert gap.full_after(10.0, (8.0, 10.0), 14.0) == float("inf")
    lossy = asked_for(seed, lambda due: due < 10.0 or due * 1000.0 % 10.0 >= 1.0)  # a tenth of what is due
    assert lossy.full_after(10.0, (8.0, 10.0), 20.0) == float("inf")


def test_nothing_asked_for_is_no_full_service() -> None:
    service = Service()
    assert service.full_after(10.0, (8.0, 10.0), 20.0) == float("inf")
    service.ask(9.0, 1.0)
    service.earn(9.0, 1.0)
    assert service.full_after(10.0, (8.0, 10.0), 20.0) == float("inf")


def stood_still(*spans: tuple[float, float]) -> Standstills:
    """A loop that turned for 10 s, at rest but for these."""
    found = Standstills(lambda: 0.0)
    for turn in range(2_000):
        now = turn * TICK_MS
        if not any(start < now < end for start, end in spans):
            found.tick(now)
    return found


@pytest.mark.parametrize(("at_ms", "late_ms"), [
    (900.0, 0.0), (1000.0, 0.0), (1000.0 + TICK_MS * STEPS, 0.0),  # at rest, and as it begins to stand still
    (1200.0, 200.0), (1201.0, 201.0), (1200.0 + TICK_MS * (STEPS - 2), 200.0),  # in its first turns after that
    (1200.0 + TICK_MS * STEPS, 0.0), (3000.0, 0.0),
])  # fmt: skip
def test_what_is_seen_right_after_a_standstill_may_be_as_late_as_that_and_nothing_else_is(
    at_ms: float, late_ms: float
) -> None:
    found = stood_still((1000.0, 1200.0)).late_ms(at_ms)
    assert (found == 0.0) == (late_ms == 0.0) and late_ms - 2 * TICK_MS * STEPS <= found <= late_ms


def acted(at_ms: float, stage: int, standstills: Standstills) -> int:
    """One attempt, of a director with a lease of 2 s from the 100th ms that was told of this stage at the 900th."""
    link = SimpleNamespace(reported=[Reported(100.0, 110.0, 0), Reported(100.0, 900.0, stage)])
    fleet: Any = SimpleNamespace(links={("d", "f"): link}, shape=Shape())
    load: Any = SimpleNamespace(
        attempts=[Sent("d", at_ms, "s", "", "film")], made=[], standstills=standstills
    )
    return after_out(fleet, load, 2000.0)


@pytest.mark.parametrize(("stage", "until_ms"), [(0, 2100.0 + ON_TIME_MS), (5, 900.0 + ON_TIME_MS)])
def test_an_attempt_seen_late_since_nothing_could_be_seen_is_no_attempt_after_the_lease(
    stage: int, until_ms: float
) -> None:
    rest, last = stood_still(), until_ms - 10.0
    held = stood_still((last - 20.0, last + 180.0))
    assert acted(last, stage, rest) == 0 and acted(last + 180.0, stage, rest) == 1
    assert acted(last + 180.0, stage, held) == 0
    assert acted(last + 180.0 + STEPS * TICK_MS, stage, held) == 1, "it turned again: this came afterwards"
    assert (
        acted(last + 600.0, stage, stood_still((last + 400.0, last + 600.0))) == 1
    ), "it came too late anyway"


def test_an_attempt_seen_late_since_nothing_could_be_seen_contradicts_no_view_under_which_it_was_sent() -> (
    None
):
    """To a server that drained at the 1000th ms, of which its director knew at once."""
    views = View("m", 1), View("m", 2)
    log = ActivityLog("d", 1, view_id(views[0]), {}, 0.0)
    for view, until_ms in ((views[1], 1000.0), (views[1], 9000.0)):
        log.record_attempt("film")
        log.close_interval(view_id(view), {}, until_ms)
    store = AuditStore()
    store.add(Report("d", 1, "z", 0.0, views[1], log.intervals(), {view_id(view): view for view in views}))
    lists = Lists([
        {"rev": rev, "pool": {"instances": [{"instanceId": "s", "lifecycle": life}]}}
        for rev, life in ((1, "in_service"), (2, "terminating"))
    ])  # fmt: skip

    def found(at_ms: float, standstills: Standstills) -> list[str]:
        return contradictions(store, [Sent("d", at_ms, "s", "", "film")], [], [], lists, standstills)

    held = stood_still((980.0, 1180.0))
    assert found(1000.0 + SEEN_MS, stood_still()) == [] and found(1180.0, stood_still()) != []
    assert found(1180.0, held) == []
    assert found(1180.0 + STEPS * TICK_MS, held) != [], "it turned again: this came afterwards"
    assert found(1600.0, stood_still((1400.0, 1600.0))) != [], "it came too late anyway"


@pytest.mark.parametrize(("positions", "is_level"), [
    (None, False), ({}, False), ({("d", 1): 7}, False), ({("d", 1): 6, ("e", 1): 2}, False),
    ({("d", 1): 7, ("e", 1): 2}, True), ({("d", 1): 9, ("e", 1): 2, ("f", 1): 0}, True),
])  # fmt: skip
def test_a_feed_is_level_once_it_has_all_that_any_had(positions: Any, is_level: bool) -> None:
    assert reach(positions, [None, {("d", 1): 7}, {("d", 1): 5, ("e", 1): 2}]) == is_level


def test_time_in_which_no_process_of_a_director_answers_is_known() -> None:
    never, twice = FleetProcess("a", 0, Path()), FleetProcess("b", 0, Path())
    never.ups = [1.0]
    twice.ups, twice.downs = [1.0, 4.5, 8.0], [4.0, 6.0]
    fleet: Any = SimpleNamespace(directors=[never, twice])
    assert downtime_ms(fleet) == 2500.0


def test_a_line_stands_still_until_feeds_are_level_again() -> None:
    """The one that lost its disk takes its time to start; the next step has to wait for it."""
    line = "0 kill feeds:0 empty for 2; 0.2 await feeds:*; 0.3 kill feeds:1 empty; 0.5 purges 1"
    figures = asyncio.run(play(line, Shape(directors=1, audit=True), 3, 2.0, table=None, look=noted))
    at = {(what, detail): at for at, what, detail in figures["events"]}
    first, second = (at["kill", text] for text in ("0 kill feeds:0 empty for 2", "0.3 kill feeds:1 empty"))
    back = [moment for moment, what, detail in figures["events"] if (what, detail) == ("up", "feed-0")][1]
    assert first + 2.0 < back < at["level", "0.2 await feeds:*"] < second
    assert (
        at["purges", "0.5 purges 1"] - at["level", "0.2 await feeds:*"] > 0.299
    ), "the time between steps stays"
    assert figures["asked"] > 0.8 * 250 * (3.0 + 2.0 + 2.0), "clients went on meanwhile"


async def noted(fleet: Any, load: Any) -> dict[str, Any]:
    del load
    return {"events": fleet.events}
