"""What generated deployments are run with: falls of cold stores, who may be asked, keys, and virtual connections."""

from __future__ import annotations

import random

import pytest
from conftest import BASE_SETTINGS, settings

from gladelane.clock import UnixMs
from gladelane.discovery.events import Instance, ListChange, WatchEvent
from gladelane.endpoints.plan import Endpoints
from gladelane.lab.checks import Broken, Monitor, Place, Reach
from gladelane.lab.cold_falls import ColdFalls, ColdRule
from gladelane.lab.model.pipe import Pipe
from gladelane.lab.model.stores import Build, Cache, Filled, Origin, Parent, Work
from gladelane.lab.model.timeline import Timeline
from gladelane.lab.virtual_sender import Sent, VirtualSender, VirtualTimers
from gladelane.net.attempt_outcomes import AttemptOutcome
from gladelane.net.config import ConnLimits
from gladelane.net.director import Director
from gladelane.net.exchange import AnswerCode, ClientRequest, FinalAnswer
from gladelane.routing.events import Member, Note, Status

RULE = ColdRule(cold_from=0.2, warm_ms=10_000.0, multiple=3.0, window_ms=1000.0)
# a link of 5 at its start: 0.2 * 5 * 3 * 1000 = 3000 ms of work, thirty requests of 100 ms; by chance 43 do no harm
LINK, WORK_MS, HARMLESS = 5.0, 100.0, 42


def test_of_few_requests_chance_has_more_room() -> None:
    """15 allowed in a window: 15 + 3 root of 15 + 3 are borne, where 2 root of 15 + 2 would make it 24."""
    for requests, falls in ((29, False), (30, True)):
        cold = ColdFalls(lambda broken: None)
        cold.started("c0", 1000.0, LINK / 2.0, RULE)
        assert any([cold.reached("c0", WORK_MS, True, 1000.0) for _ in range(requests)]) is falls


@pytest.mark.parametrize(
    "age_ms,gap_ms,requests,told,falls,breaches",
    [
        (0.0, 0.0, HARMLESS, 1.0, 0, 0),
        (0.0, 0.0, HARMLESS + 1, 1.0, 1, 1),
        (0.0, 0.0, HARMLESS + 1, 0.5, 1, 0),  # half of it came from those that knew nothing
        (0.0, 30.0, 200, 1.0, 0, 0),  # never so much within one window
        (5000.0, 0.0, 100, 1.0, 0, 0),  # three times as warm
        (5000.0, 0.0, 130, 1.0, 1, 1),
        (10_000.0, 0.0, 900, 1.0, 0, 0),  # warm
    ],
)
def test_a_cold_store_falls_of_more_than_it_bears_and_chance_allows(
    age_ms: float, gap_ms: float, requests: int, told: float, falls: int, breaches: int
) -> None:
    found: list[Broken] = []
    cold = ColdFalls(found.append)
    cold.started("c0", 1000.0, LINK, RULE)
    cold.notified("d0", "c0", 1000.0)
    cold.notified("d1", "c0", 500.0)  # of an earlier start
    assert cold.is_informed("d0", "c0") and not cold.is_informed("d1", "c0")
    fallen = False
    for number in range(requests):
        director = "d0" if number % 10 < told * 10 else "d1"
        at = 1000.0 + age_ms + number * gap_ms
        fallen = fallen or cold.reached("c0", WORK_MS, cold.is_informed(director, "c0"), at)
    assert (fallen, cold.falls, len(found)) == (falls > 0, falls, breaches)
    assert all(broken.rule == "cold" for broken in found)
    assert not cold.reached("c0", 1e9, True, 1500.0) or not falls  # it is down


CACHE, PEER, FAR = Member("c0", "edge", "box"), Member("c1", "edge", "box"), Member("f0", "other", "box")
PARENT, ORIGIN = Member("p0", "hub", "mid"), Member("root", "hub", "root")


@pytest.mark.parametrize(
    "store,source,straight,peers,sound",
    [
        (CACHE, None, False, "none", True),
        (CACHE, PARENT, False, "none", True),
        (CACHE, ORIGIN, False, "none", True),
        (CACHE, PEER, False, "none", False),
        (CACHE, PEER, False, "zone", True),
        (CACHE, FAR, False, "zone", False),
        (CACHE, FAR, False, "any", True),
        (FAR, None, True, "any", False),
        (PARENT, None, False, "any", False),
        (PARENT, ORIGIN, True, "none", True),
        (PARENT, CACHE, True, "any", False),
        (ORIGIN, None, True, "none", True),
        (ORIGIN, PARENT, True, "any", False),
    ],
)
def test_only_what_the_settings_allow_is_asked(
    store: Member, source: Member | None, straight: bool, peers: str, sound: bool
) -> None:
    found: list[Broken] = []
    reach = Reach(settings(straight=straight, peers_fill=peers), found.append)
    for listed in (CACHE, PEER, FAR, PARENT, ORIGIN):
        reach.listed("d0", listed.store)
    reach.sent("d0", "edge", store, source, 0.0)
    assert (not found) == sound
    reach.sent("d1", "edge", CACHE, None, 0.0)  # it was told of nothing
    assert found[-1].rule == "reach" and "in none of its lists" in found[-1].what


def monitor(found: list[Broken]) -> Monitor:
    places = {"c0": Place("edge", 0), "c1": Place("edge", 1), "f0": Place("other", 2)}
    return Monitor(250.0, 1000.0, 0.0, found.append, slack_ms=50.0, most_attempts=2, places=places)


@pytest.mark.parametrize("group,store,sound", [
    ("all", "f0", True), ("zone", "c1", True), ("zone", "f0", False), ("cell", "c0", True), ("cell", "c1", False),
])  # fmt: skip
def test_repeats_of_a_key_stay_within_its_group(group: str, store: str, sound: bool) -> None:
    found: list[Broken] = []
    watch = monitor(found)
    row = {**BASE_SETTINGS["classes"][2], "group": group}
    spec = settings(classes=[row]).classes["sale"]
    for number, sent_to in ((1, "c0"), (2, store)):  # two tries of one client
        watch.request("d0", number, spec, 10_000.0, "key")
        watch.sent("d0", number, 0, sent_to, "", 100.0 * number)
        watch.ended("d0", number, 0, Status.RESET, 100.0 * number + 10.0)
        watch.final("d0", number, 100.0 * number + 20.0)
    assert (not found) == sound
    watch.request("d0", 3, spec, 10_000.0, "key")
    watch.sent("d0", 3, 0, "c0", "", 100.0 + spec.window_ms + 51.0)  # the window of the first try has passed
    assert found[-1].rule == "repeat" and "6051 ms after" in found[-1].what
    watch.final("d0", 3, 9000.0, refused=True)
    assert ("is refused" in found[-1].what) == (group != "all")


def test_purges_of_groups_attempts_beyond_the_most_and_old_copies_are_found() -> None:
    found: list[Broken] = []
    watch, spec = monitor(found), settings().classes["page"]
    watch.purged_group("d0", 3, 1000.0, 1100.0)
    watch.purged_group("d0", 3, 5000.0, 5100.0)  # does not yet bind
    watch.request("d0", 1, spec, 9000.0)
    for attempt, (dated, group) in enumerate([(999.0, 4), (999.0, 3), (-5851.0, 4)]):
        watch.sent("d0", 1, attempt, "c0", "", 2151.0)
        watch.ended("d0", 1, attempt, Status.OK, 2200.0, 7, dated, group)
    assert [broken.rule for broken in found] == ["purge", "attempts"]
    watch.request("d0", 2, spec, 20_000.0)
    watch.sent("d0", 2, 0, "c0", "", 8051.0)
    watch.ended("d0", 2, 0, Status.OK, 8100.0, 7, 0.0, 4)
    assert found[-1].what.endswith("from a copy 8051 ms old")


class World:
    """Two ways of 10 ms, and what one store does next."""

    def __init__(self) -> None:
        self.end: AttemptOutcome | None = None
        self.came: list[Sent] = []
        self.left: list[Sent] = []
        self.told: list[tuple[str, Status]] = []

    def way(self, zone: str, store: str) -> float:
        return 10.0

    def dial_ms(self, zone: str, store: str) -> float:
        return 20.0

    def dial_end(self, store: str) -> AttemptOutcome | None:
        return self.end

    def answer_ms(self, sent: Sent) -> float | None:
        return 10.0

    def copy_date(self, given_out_ms: float) -> UnixMs:
        return UnixMs(given_out_ms)

    def arrived(self, sent: Sent) -> None:
        self.came.append(sent)

    def aborted(self, sent: Sent) -> None:
        self.left.append(sent)

    def written(self, sent: Sent) -> None:
        pass

    def ended(self, sent: Sent, status: Status, dated_ms: float | None) -> None:
        self.told.append((sent.store, status))

    def cancelled(self, sent: Sent) -> None:
        pass


class Bed:
    """One director, its sender and a store, in virtual time."""

    def __init__(self) -> None:
        self.line, self.world, self.finals = Timeline(), World(), list[FinalAnswer]()
        self.line.now = 1_000_000.0
        timers = VirtualTimers(lambda: self.line.now)
        plain = settings(parent_kind="", max_attempts=1)
        self.director = Director(plain, 1, lambda: self.line.now, timers, Endpoints(random.Random(1)), 10)
        limits = ConnLimits(4, 100.0, 9000.0)
        self.sender = VirtualSender("d0", self.director, self.line, self.world, self.world, limits)
        self.director.sender = self.sender
        self.list("in_service", reset=True)
        self.director.apply_watch_event(
            WatchEvent(2, ListChange([Instance("root", "10.0.0.2:1", "hub", "root", "in_service")]))
        )
        self.director.admit(
            ClientRequest("0" * 15 + "1", "film", 900.0, "0" * 16, 0, 0, 40.0), self.finals.append
        )
        self.turn()

    def list(self, lifecycle: str, reset: bool = False) -> None:
        told = [Instance("c0", "10.0.0.1:1", "edge", "box", lifecycle)]
        self.director.apply_watch_event(WatchEvent(self.director.rev + 1, ListChange(told, reset)))

    def turn(self) -> None:
        self.director.timers.advance()
        self.line.after(5.0, self.turn)

    def go_on(self, ms: float) -> None:
        self.line.run(self.line.now + ms)


def test_an_answer_reaches_its_client_and_a_late_one_nobody() -> None:
    bed = Bed()
    bed.go_on(19.0)
    assert not bed.world.came
    bed.go_on(20.0)
    sent = bed.world.came[0]
    assert (sent.store, sent.source, sent.hints) == ("c0", "root", frozenset({"coalesce"}))
    sent.answer(Status.OK, Note.HIT, 999_000.5)
    bed.go_on(10.0)
    assert [final.code for final in bed.finals] == [AnswerCode.SERVED] and bed.world.told == [
        ("c0", Status.OK)
    ]
    late = Bed()
    late.go_on(1000.0)
    late.world.came[0].answer(Status.OK, Note.HIT, 999_000.0)
    late.go_on(50.0)
    assert [final.code for final in late.finals] == [
        AnswerCode.REFUSED
    ] and late.world.left == late.world.came
    assert late.world.told == [("c0", Status.TIMEOUT)]


@pytest.mark.parametrize(
    "end,at_ms", [(AttemptOutcome.REFUSED, 30.0), (AttemptOutcome.DIAL_TIMED_OUT, 110.0)]
)
def test_a_dial_that_fails_ends_what_waits_for_it(end: AttemptOutcome, at_ms: float) -> None:
    bed = Bed()
    bed.world.end = end
    bed.go_on(at_ms - 15.0)
    assert not bed.finals
    bed.go_on(15.0)
    assert [final.code for final in bed.finals] == [AnswerCode.REFUSED] and not bed.world.told


def test_a_connection_ends_under_what_it_carries_and_a_drain_before_the_first_byte_sends_nothing() -> None:
    bed = Bed()
    bed.go_on(40.0)
    bed.sender.break_connections("c0")
    assert bed.world.told == [("c0", Status.RESET)]
    drained = Bed()
    drained.list("terminating")
    drained.go_on(100.0)
    assert not drained.world.came and [final.code for final in drained.finals] == [AnswerCode.REFUSED]


class Bench:
    """One cache and one parent, links wide enough not to matter, and an origin that takes 20 ms."""

    def __init__(self) -> None:
        line = self.line = Timeline()
        line.now = 10_000.0
        build = Build(storage_kb=1000.0, capacity=100.0, flow=100.0, cold_from=1.0, warm_ms=1.0)
        self.origin = Origin(line, 4, 20.0, 100, Pipe(line, 100.0, 100.0))
        self.parent = Parent(self.origin, line, build)
        self.cache = Cache(Pipe(line, 100.0, 100.0), 8, line, build)
        self.ended: list[tuple[Status, Note, float]] = []

    def serve(
        self, oldest: float = 0.0, join: bool = False, holds_only: bool = False, least: float = 0.0
    ) -> None:
        work = Work((1, 0), 10.0, lambda *end: self.ended.append(end), least_date=least)

        def ask(came: Filled) -> None:
            self.parent.get((1, 0), 10.0, oldest, came, holds_only)

        self.cache.serve(work, 1, oldest, join, ask)


def test_a_source_that_gives_only_what_it_holds_lacks_what_it_does_not() -> None:
    bench = Bench()
    bench.serve(holds_only=True)
    bench.line.run(11_000.0)
    assert bench.ended == [(Status.MISS, Note.SOURCE_LACKS, 0.0)] and bench.origin.asked == 0
    bench.parent.copies.keep((1, 0), 1, 10.0, 9000.0)
    bench.serve(holds_only=True)
    bench.line.run(12_000.0)
    assert bench.ended[1] == (Status.OK, Note.PARENT_HELD, 9000.0) and bench.origin.asked == 0


def test_a_copy_that_a_fill_brings_after_its_purge_is_passed_on_and_not_kept() -> None:
    bench = Bench()
    bench.parent.copies.keep((1, 0), 1, 10.0, 9000.0)
    bench.serve()
    bench.cache.purge(lambda thing: thing == (1, 0), 9500.0)
    bench.line.run(11_000.0)
    assert bench.ended[0][2] == 9000.0 and bench.cache.cached_date((1, 0), 0.0) is None
    bench.serve(oldest=9500.0)
    bench.line.run(12_000.0)
    assert bench.ended[1][2] > 11_000.0 and bench.cache.cached_date((1, 0), 9500.0) == bench.ended[1][2]


def test_who_joins_a_fill_gets_nothing_older_than_its_class_allows() -> None:
    bench = Bench()
    bench.parent.copies.keep((1, 0), 1, 10.0, 9000.0)
    bench.serve()
    bench.serve(oldest=9500.0, join=True)  # joining may give an older copy than was asked for
    bench.serve(oldest=9500.0, join=True, least=9500.0)
    bench.line.run(11_000.0)
    dated = [end[2] for end in bench.ended]
    assert dated[:2] == [9000.0, 9000.0] and dated[2] > 10_000.0
    bench.cache.renew((1, 0), 10.0, 1, lambda came: came(10_900.0, True))
    bench.line.run(12_000.0)
    assert bench.cache.cached_date((1, 0), 0.0) == 10_900.0
