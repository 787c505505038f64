"""The rig's own parts: the line, the relay, the rules; each rule is shown to catch what it is for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest
from harness import trial

from gladelane.lab.fleet.day import spans
from gladelane.lab.fleet.faults import BadLine, read_line
from gladelane.lab.fleet.relay import Relay, State
from gladelane.lab.fleet.rules import Made, Purged, Ran, Service, busiest, doubles, stale
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
    with pytest.raises(BadLine, match=says):
        read_line(line, COUNTS, Random(1))


def test_faults_that_stand_apart_are_timed_apart() -> None:
    steps = read_line(
        "1 kill directors:0; 1.5 kill directors:1; 2 save feeds:0; 6 stop directors:2 for 1",
        COUNTS,
        Random(1),
    )
    assert [(text[:13], at, until) for text, at, until in spans(steps, 9.0)] == [
        ("1 kill direct", 1.5, 6.0),
        ("6 stop direct", 6.0, 9.0),
    ]


@trial
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

    async def asked(state: State, wait: float = 0.3) -> int:
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
    assert await asked(State.SILENT) == -1 and len(heard) == 1
    assert await asked(State.ONEWAY) == -1 and len(heard) == 3  # what the silent link held has come, too
    assert await asked(State.SLOW, 2.0) == 1000
    assert await asked(State.HALFWAY) in range(-2, 401) and relay.cut_short == 1
    relay.set(State.OPEN)
    assert await asked(State.OPEN) == 1000
    await relay.close()
    server.close()


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
