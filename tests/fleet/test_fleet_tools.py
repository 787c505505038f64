"""Tests of `gladelane.lab.fleet`: fault schedules, relays, ports, clocks, checks and metrics of runs."""

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
from gladelane.lab.fleet.audit_comparison import (
    EXPIRY_TOLERANCE_MS,
    MAX_OBSERVATION_DELAY_MS,
    EndpointListHistory,
    count_actions_without_lease,
    downtime_ms,
    find_contradictions,
)
from gladelane.lab.fleet.clock_steps import stepped_clock
from gladelane.lab.fleet.event_loop_stalls import MAX_ITERATIONS, TICK_MS, EventLoopStalls
from gladelane.lab.fleet.faults import FaultScheduleError, parse_schedule
from gladelane.lab.fleet.ports import release_port, reserve_port
from gladelane.lab.fleet.process import FleetProcess
from gladelane.lab.fleet.relay import SLOW_S, ForwardedReport, Relay, State
from gladelane.lab.fleet.report_positions import has_reached
from gladelane.lab.fleet.run_checks import (
    AcknowledgedPurge,
    KeyedRequest,
    ObservedAttempt,
    ObservedReply,
    PurgeName,
    Service,
    find_late_duplicates,
    find_stale_replies,
    max_per_second,
    purges_of_earlier_starts,
    time_back,
)
from gladelane.lab.fleet.schedule_run import fault_periods, full_service_after, run_schedule
from gladelane.lab.fleet.shape import Shape
from gladelane.lab.processes import ROOT
from gladelane.purges.scope import parse

COUNTS = {"directors": 10, "feeds": 2, "caches": 4}


def test_fault_schedule_is_parsed_and_its_targets_depend_on_the_seed_only() -> None:
    schedule = "3 kill directors:90% empty; 1.5 cut directors:0-1>feeds:* oneway for 2; 2 purges 60 for 1; 2.5 store hub renew; 4 stop feeds:1 for 1"
    steps = parse_schedule(schedule, COUNTS, Random(7))
    assert [step.at for step in steps] == [1.5, 2.0, 2.5, 3.0, 4.0] and steps == parse_schedule(
        schedule, COUNTS, Random(7)
    )
    cut, purges, store, kill, stop = steps
    assert len(cut.links) == 4 and cut.mode == "oneway" and cut.duration_s == 2.0
    assert (purges.mode, purges.duration_s, purges.targets) == ("60", 1.0, ()) and store.targets == (
        ("hub", 0),
    )
    assert (
        len(kill.targets) == 9
        and kill.mode == "empty"
        and stop.targets == (("feeds", 1),)
        and stop.mode == "kept"
    )
    assert (
        len(
            {
                step.targets
                for seed in range(20)
                for step in parse_schedule("1 kill directors:50%", COUNTS, Random(seed))
            }
        )
        > 10
    )


@pytest.mark.parametrize(("schedule", "expected_message"), [
    ("kill directors", "expected SECOND ACTION"), ("1 burn directors:*", "an action of kill"), ("1 kill cats:*", "expected one of directors, feeds"),
    ("1 kill directors:3-10", "there are 10 directors"), ("1 kill directors:1 wet", "'wet'; expected one of kept, empty"),
    ("1 kill directors:1 60", "'60'; expected one of kept"), ("1 cut directors:*>caches:*", "expected one of feeds, board"),
])  # fmt: skip
def test_invalid_fault_schedule_is_rejected_with_the_step(schedule: str, expected_message: str) -> None:
    with pytest.raises(FaultScheduleError, match=expected_message):
        parse_schedule(schedule, COUNTS, Random(1))


def test_faults_with_enough_distance_have_separate_periods() -> None:
    steps = parse_schedule(
        "1 kill directors:0; 1.5 kill directors:1; 2 save feeds:0; 6 stop directors:2 for 1",
        COUNTS,
        Random(1),
    )
    assert [(period.text[:13], period.at, period.until) for period in fault_periods(steps, 9.0)] == [
        ("1 kill direct", 1.5, 6.0),
        ("6 stop direct", 6.0, 9.0),
    ]
    assert [period.last_fault_s for period in fault_periods(steps, 9.0)] == [
        {("directors", 0): 1.0, ("directors", 1): 1.5},
        {("directors", 2): 6.0},
    ]


@pytest.mark.parametrize(("ups", "downs", "expected"), [
    ([1.0], [], 5.0),  # the fault had no effect
    ([1.0, 7.2], [5.01], 7.2),
    ([1.0, 7.2, 8.5], [5.01, 7.5], 8.5),  # another fault while it came back
    ([1.0, 7.2], [5.01, 7.5], math.inf),
    ([1.0], [5.01], math.inf),
    ([1.0, 7.2, 12.0], [5.01, 11.0], 7.2),  # a later fault belongs to another period
    ([1.0, 7.2], [5.5, 5.01], 7.2),  # suspended, then killed; the order does not matter
])  # fmt: skip
def test_process_is_back_with_the_last_start_caused_by_the_fault(
    ups: list[float], downs: list[float], expected: float
) -> None:
    assert time_back(ups, downs, 5.0, 10.0) == expected


STARTED_S = 100.0  # Unix s of the start of the schedule
STOP_AT_S, STOP_FOR_S = 1.0, 2.0


def suspended_fleet(director: FleetProcess, in_time_s: float) -> tuple[Any, Any]:
    """A fleet of one director that was suspended, and its load.

    After it is resumed, the director answers in time the requests of the last `in_time_s` of the suspension.
    """
    stop_s = STARTED_S + STOP_AT_S
    resume_s = stop_s + STOP_FOR_S
    director.stops.append(stop_s)
    director.resumes.append(resume_s)
    service, rng, due = Service(), Random(5), STARTED_S - 3.0
    while (due := due + rng.expovariate(120.0)) < STARTED_S + 9.0:
        service.record_request(due, 1.0)
        if not stop_s <= due < resume_s - in_time_s:
            service.record_timely_reply(due, 1.0)
    return SimpleNamespace(process_of=lambda target: director), SimpleNamespace(
        service=Service.together([service]), by_director={director.name: service}
    )


@pytest.mark.parametrize("in_time_s", [0.0, 0.3, 0.6, 2.0])
def test_suspended_director_is_not_back_before_it_is_resumed(tmp_path: Path, in_time_s: float) -> None:
    """Requests from shortly before the director is resumed may be answered within their latency objective."""
    director = FleetProcess("director-0", 1, tmp_path)
    fleet, load = suspended_fleet(director, in_time_s)
    (period,) = fault_periods(
        parse_schedule(f"{STOP_AT_S} stop directors:0 for {STOP_FOR_S}", COUNTS, Random(1)), 9.0
    )
    assert full_service_after(period, fleet, load, STARTED_S) == pytest.approx(STOP_FOR_S, abs=0.01)


def test_suspended_director_that_is_not_resumed_is_never_back(tmp_path: Path) -> None:
    director = FleetProcess("director-0", 1, tmp_path)
    fleet, load = suspended_fleet(director, STOP_FOR_S)  # its share of timely replies is always full
    director.resumes.clear()
    (period,) = fault_periods(
        parse_schedule(f"{STOP_AT_S} stop directors:0 for {STOP_FOR_S}", COUNTS, Random(1)), 9.0
    )
    assert full_service_after(period, fleet, load, STARTED_S) == math.inf


def test_stop_and_resume_times_are_recorded_for_the_suspended_process_only(tmp_path: Path) -> None:
    command = [sys.executable, "-c", "import time; time.sleep(60)"]
    director = FleetProcess("director-0", 1, tmp_path)
    director.stop()
    director.resume()
    assert director.stops == director.resumes == []  # no process runs
    first, second = subprocess.Popen(command), subprocess.Popen(command)
    try:
        director.process = first
        for _ in range(2):
            director.resume()  # without a preceding stop
            director.stop()
            os.waitid(os.P_PID, first.pid, os.WSTOPPED)  # until it is suspended
            director.resume()
            os.waitid(os.P_PID, first.pid, os.WCONTINUED)
        assert len(director.stops) == len(director.resumes) == 2
        assert director.stops[0] <= director.resumes[0] <= director.stops[1] <= director.resumes[1]
        director.stop()
        director.process = second
        director.resume()
        assert (len(director.stops), len(director.resumes)) == (3, 2)
    finally:
        for process in (first, second):
            process.kill()
            process.wait()


@pytest.mark.parametrize(("delay_s", "kind"), [(0.0, "kept"), (2.0, "kept"), (2.0, "stop")])
def test_full_service_includes_each_affected_director_even_if_others_take_its_load(
    delay_s: float, kind: str
) -> None:
    """Measured over all clients, service is full at once, since two of three directors can take the load."""
    schedule = (
        f"1 stop directors:0 for {delay_s}" if kind == "stop" else f"1 kill directors:0 kept for {delay_s}"
    )
    metrics = asyncio.run(run_schedule(schedule, Shape(3, control_servers=0), 3, 9.0, per_s=120.0))
    assert delay_s <= metrics["full_service_s"] < delay_s + 4.0, metrics
    assert metrics["full_service_s"] > 0.0, metrics


@async_test
async def test_relay_forwards_cuts_blocks_delays_and_truncates() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(100):
            received.append(data)
            writer.write(data * 100)
        writer.close()

    received: list[bytes] = []
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    relay = Relay(server.sockets[0].getsockname()[1])
    await relay.start()

    async def received_bytes(state: State, timeout_s: float = 30.0) -> int:
        """The number of bytes received; -1: not all in time, -2: the connection was reset."""
        relay.set(State.OPEN)
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        await asyncio.sleep(0.05)
        relay.set(state)
        try:
            writer.write(b"0123456789")
            async with asyncio.timeout(timeout_s):
                return len(await reader.readexactly(1000))
        except TimeoutError:
            return -1
        except asyncio.IncompleteReadError as error:
            return len(error.partial)
        except OSError:
            return -2
        finally:
            writer.close()

    assert await received_bytes(State.OPEN) == 1000 and len(received) == 1
    assert await received_bytes(State.CLOSED) in (0, -2) and len(received) == 1
    assert await received_bytes(State.SILENT, 0.3) == -1 and len(received) == 1
    assert await received_bytes(State.REPLIES_BLOCKED, 0.3) == -1
    # the bytes that the silent link held back have arrived, too
    await wait_until(lambda: len(received) == 3, 30.0)
    started_s = time.monotonic()
    assert await received_bytes(State.SLOW) == 1000 and time.monotonic() - started_s >= 2 * SLOW_S
    assert await received_bytes(State.HALFWAY) in (-2, *range(401)) and relay.truncated_replies == 1
    relay.set(State.OPEN)
    assert await received_bytes(State.OPEN) == 1000
    await relay.close()
    server.close()


def test_concurrent_runs_with_the_same_seed_reserve_distinct_ports_even_without_listeners() -> None:
    """A director that is killed and restarted must find its port free."""
    one, other = ([reserve_port(rng) for _ in range(5)] for rng in (Random(4), Random(4)))
    assert not set(one) & set(other)
    other_run = subprocess.run(
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
    assert not {*one, *other} & set(json.loads(other_run.stdout))
    for port in (*one, *other):
        release_port(port)
    assert reserve_port(Random(4)) == one[0]
    release_port(one[0])


def test_stepped_clock_is_off_from_the_time_of_each_step() -> None:
    elapsed_s = [0.0]
    read = stepped_clock("2:500,0:-1000", lambda: 100.0 + elapsed_s[0], lambda: 7.0 + elapsed_s[0])
    found = []
    for elapsed_s[0] in (0.0, 1.9, 2.0, 9.0):
        found.append(read() - 100.0 - elapsed_s[0])
    assert found == pytest.approx([-1.0, -1.0, 0.5, 0.5])
    assert stepped_clock("", lambda: 100.0, lambda: 7.0)() == 100.0


def test_run_checks_find_stale_replies_late_duplicates_and_peaks() -> None:
    scope = parse("object:000000000000000a")
    replies = [
        ObservedReply("film", 0, 10, 0, sent, dated)
        for sent, dated in ((900.0, 100.0), (3100.0, 100.0), (3100.0, 1001.0), (2999.0, 100.0))
    ]
    assert find_stale_replies(replies, [AcknowledgedPurge(1000.0, scope)], 2000.0) == [replies[1]]
    # the sender of this purge had no reply before 1200
    assert find_stale_replies(replies, [AcknowledgedPurge(1000.0, scope, 1200.0)], 2000.0) == []
    assert find_late_duplicates(
        [
            KeyedRequest("a", 0.0),
            KeyedRequest("a", 1990.0),
            KeyedRequest("b", 0.0),
            KeyedRequest("b", 2100.0),
        ],
        2000.0,
    ) == ["b"]
    assert max_per_second([0.1, 0.2, 1.5, 1.6, 1.7, 9.0], 0.0, 5.0) == 3


def test_purge_is_of_an_earlier_start_if_its_issuer_has_a_newer_epoch() -> None:
    scope = parse("group:3")
    purges = [
        AcknowledgedPurge(1000.0 + epoch, scope, 0.0, issuer, epoch, 1)
        for issuer, epoch in (("a", 5), ("a", 9), ("b", 5), ("c", 5))
    ]
    assert purges_of_earlier_starts(purges, {"a": 9, "b": 5}) == {PurgeName("a", 5, 1)}


def simulated_service(seed: int, answered: Callable[[float], bool]) -> Service:
    """Arrivals as in a run of 20 s; requests whose due time satisfies `answered` are answered in time."""
    service, rng, due = Service(), Random(seed), 0.0
    while (due := due + rng.expovariate(250.0)) < 20.0:
        weight = rng.choice((1.0, 2.0, 3.0))
        service.record_request(due, weight)
        if answered(due):
            service.record_timely_reply(due, weight)
    return service


@pytest.mark.parametrize("seed", range(100))
def test_full_service_is_detected_for_any_random_arrivals(seed: int) -> None:
    uninterrupted = simulated_service(seed, lambda due: True)
    assert uninterrupted.seconds_until_full(10.0, (8.0, 10.0), 13.5) == 0.0
    interrupted = simulated_service(seed, lambda due: not 10.0 <= due < 13.0)
    assert interrupted.seconds_until_full(10.0, (8.0, 10.0), 20.0) == pytest.approx(2.9, abs=0.15)
    assert interrupted.seconds_until_full(10.0, (8.0, 10.0), 14.0) == float("inf")
    # a tenth is lost
    degraded = simulated_service(seed, lambda due: due < 10.0 or due * 1000.0 % 10.0 >= 1.0)
    assert degraded.seconds_until_full(10.0, (8.0, 10.0), 20.0) == float("inf")


def test_service_is_not_full_without_requests() -> None:
    service = Service()
    assert service.seconds_until_full(10.0, (8.0, 10.0), 20.0) == float("inf")
    service.record_request(9.0, 1.0)
    service.record_timely_reply(9.0, 1.0)
    assert service.seconds_until_full(10.0, (8.0, 10.0), 20.0) == float("inf")


def stalled_loop(*stalls: tuple[float, float]) -> EventLoopStalls:
    """An event loop that ran for 10 s, except for these stalls."""
    found = EventLoopStalls(lambda: 0.0)
    for iteration in range(2_000):
        now = iteration * TICK_MS
        if not any(start < now < end for start, end in stalls):
            found.tick(now)
    return found


@pytest.mark.parametrize(("at_ms", "late_ms"), [
    (900.0, 0.0), (1000.0, 0.0), (1000.0 + TICK_MS * MAX_ITERATIONS, 0.0),  # without a stall, and at the start of one
    (1200.0, 200.0), (1201.0, 201.0), (1200.0 + TICK_MS * (MAX_ITERATIONS - 2), 200.0),  # in the first iterations after the stall
    (1200.0 + TICK_MS * MAX_ITERATIONS, 0.0), (3000.0, 0.0),
])  # fmt: skip
def test_only_observations_right_after_a_stall_may_be_late(at_ms: float, late_ms: float) -> None:
    found = stalled_loop((1000.0, 1200.0)).max_delay_ms(at_ms)
    assert (found == 0.0) == (late_ms == 0.0) and late_ms - 2 * TICK_MS * MAX_ITERATIONS <= found <= late_ms


def actions_without_lease(at_ms: float, stage: int, stalls: EventLoopStalls) -> int:
    """The violations by one attempt of a director with a lease of 2 s from 100 ms, notified of the stage at 900 ms."""
    link = SimpleNamespace(reports=[ForwardedReport(100.0, 110.0, 0), ForwardedReport(100.0, 900.0, stage)])
    fleet: Any = SimpleNamespace(links={("d", "f"): link}, shape=Shape())
    load: Any = SimpleNamespace(
        attempts=[ObservedAttempt("d", at_ms, "s", "", "film")], replies=[], stalls=stalls
    )
    return count_actions_without_lease(fleet, load, 2000.0)


@pytest.mark.parametrize(
    ("stage", "until_ms"), [(0, 2100.0 + EXPIRY_TOLERANCE_MS), (5, 900.0 + EXPIRY_TOLERANCE_MS)]
)
def test_attempt_observed_late_because_of_a_stall_is_within_the_lease(stage: int, until_ms: float) -> None:
    unstalled, sent_ms = stalled_loop(), until_ms - 10.0
    stalled = stalled_loop((sent_ms - 20.0, sent_ms + 180.0))
    assert (
        actions_without_lease(sent_ms, stage, unstalled) == 0
        and actions_without_lease(sent_ms + 180.0, stage, unstalled) == 1
    )
    assert actions_without_lease(sent_ms + 180.0, stage, stalled) == 0
    assert (
        actions_without_lease(sent_ms + 180.0 + MAX_ITERATIONS * TICK_MS, stage, stalled) == 1
    ), "the loop ran again: the attempt arrived afterwards"
    assert (
        actions_without_lease(sent_ms + 600.0, stage, stalled_loop((sent_ms + 400.0, sent_ms + 600.0))) == 1
    ), "the attempt was too late in any case"


def test_attempt_observed_late_because_of_a_stall_does_not_contradict_its_view() -> None:
    """The attempt goes to a server that started to drain at 1000 ms, of which its director knew at once."""
    views = View("m", 1), View("m", 2)
    log = ActivityLog("d", 1, view_id(views[0]), {}, 0.0)
    for view, until_ms in ((views[1], 1000.0), (views[1], 9000.0)):
        log.record_attempt("film")
        log.close_interval(view_id(view), {}, until_ms)
    store = AuditStore()
    store.add(Report("d", 1, "z", 0.0, views[1], log.intervals(), {view_id(view): view for view in views}))
    lists = EndpointListHistory([
        {"rev": rev, "pool": {"instances": [{"instanceId": "s", "lifecycle": lifecycle}]}}
        for rev, lifecycle in ((1, "in_service"), (2, "terminating"))
    ])  # fmt: skip

    def contradictions(at_ms: float, stalls: EventLoopStalls) -> list[str]:
        return find_contradictions(
            store, [ObservedAttempt("d", at_ms, "s", "", "film")], [], [], lists, stalls
        )

    stalled = stalled_loop((980.0, 1180.0))
    assert (
        contradictions(1000.0 + MAX_OBSERVATION_DELAY_MS, stalled_loop()) == []
        and contradictions(1180.0, stalled_loop()) != []
    )
    assert contradictions(1180.0, stalled) == []
    assert (
        contradictions(1180.0 + MAX_ITERATIONS * TICK_MS, stalled) != []
    ), "the loop ran again: the attempt arrived afterwards"
    assert (
        contradictions(1600.0, stalled_loop((1400.0, 1600.0))) != []
    ), "the attempt was too late in any case"


@pytest.mark.parametrize(("positions", "is_replicated"), [
    (None, False), ({}, False), ({("d", 1): 7}, False), ({("d", 1): 6, ("e", 1): 2}, False),
    ({("d", 1): 7, ("e", 1): 2}, True), ({("d", 1): 9, ("e", 1): 2, ("f", 1): 0}, True),
])  # fmt: skip
def test_control_server_has_replicated_once_it_has_all_positions_of_others(
    positions: Any, is_replicated: bool
) -> None:
    assert has_reached(positions, [None, {("d", 1): 7}, {("d", 1): 5, ("e", 1): 2}]) == is_replicated


def test_downtime_of_directors_is_summed_over_restarts() -> None:
    never, twice = FleetProcess("a", 0, Path()), FleetProcess("b", 0, Path())
    never.ups = [1.0]
    twice.ups, twice.downs = [1.0, 4.5, 8.0], [4.0, 6.0]
    fleet: Any = SimpleNamespace(directors=[never, twice])
    assert downtime_ms(fleet) == 2500.0


def test_await_delays_later_steps_until_control_servers_have_replicated() -> None:
    """Without `await`, the next step could kill the only control server that has the reports."""
    schedule = "0 kill feeds:0 empty for 2; 0.2 await feeds:*; 0.3 kill feeds:1 empty; 0.5 purges 1"
    metrics = asyncio.run(
        run_schedule(
            schedule, Shape(directors=1, audit=True), 3, 2.0, table=None, collect_metrics=collect_events
        )
    )
    at = {(what, detail): at for at, what, detail in metrics["events"]}
    first, second = (at["kill", text] for text in ("0 kill feeds:0 empty for 2", "0.3 kill feeds:1 empty"))
    restarted_s = [
        moment for moment, what, detail in metrics["events"] if (what, detail) == ("up", "feed-0")
    ][1]
    assert first + 2.0 < restarted_s < at["level", "0.2 await feeds:*"] < second
    assert (
        at["purges", "0.5 purges 1"] - at["level", "0.2 await feeds:*"] > 0.299
    ), "the time between steps must stay"
    assert metrics["asked"] > 0.8 * 250 * (3.0 + 2.0 + 2.0), "clients must continue meanwhile"


async def collect_events(fleet: Any, load: Any) -> dict[str, Any]:
    del load
    return {"events": fleet.events}
