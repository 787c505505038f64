"""Delays of a director's own event loop, for example while a new version starts beside it, are not attributed
to servers: time during which an answer lay unread reduces neither the limits nor the health of its server.
"""

from __future__ import annotations

import pytest
from conftest import Driver, only_action
from harness import ScriptedCache, async_test, config, hit, running_director

from gladelane.routing.events import Action, Event, Fetch, Note, Outcome, Status

DELAY_MS, RESPONSE_MS = 800.0, 50.0  # far above the latency target of 600 ms, and below it
UNREAD_MS = 25.0  # too short for requests to be refused
UNREACHABLE = "127.0.0.1:1"
OPEN_ATTEMPTS = 12  # in flight when the event loop is delayed


def delayed_driver(status: Status, unread_ms: float) -> Driver:
    """Returns a driver whose router learns after a delay that all open attempts have ended at once."""
    driver = Driver()
    fetches = [
        only_action(driver.ask(object=number, size_kb=1.0), Fetch) for number in range(1, OPEN_ATTEMPTS + 1)
    ]
    driver.now += DELAY_MS + RESPONSE_MS
    for fetch in fetches:
        over = status is Status.OK
        driver.handle(
            Outcome(fetch.id, 0, fetch.store, status, note=Note.HIT, over=over, unread_ms=unread_ms)
        )
    return driver


@pytest.mark.parametrize("status", [Status.OK, Status.TIMEOUT])
def test_answers_that_lay_unread_do_not_reduce_limits(status: Status) -> None:
    driver = delayed_driver(status, DELAY_MS)
    assert all(cache.concurrency.limit == cache.max_concurrent_attempts for cache in driver.router.caches)


@pytest.mark.parametrize("status", [Status.OK, Status.TIMEOUT])
def test_answers_that_servers_sent_late_reduce_limits(status: Status) -> None:
    driver = delayed_driver(status, 0.0)
    assert any(cache.concurrency.limit < cache.max_concurrent_attempts for cache in driver.router.caches)


@pytest.mark.parametrize(("unread_ms", "is_ejected"), [(DELAY_MS, False), (0.0, True)])
def test_timeouts_while_answers_lay_unread_do_not_eject_a_server(unread_ms: float, is_ejected: bool) -> None:
    driver = delayed_driver(Status.TIMEOUT, unread_ms)
    assert any(cache.is_ejected(driver.now) for cache in driver.router.caches) is is_ejected


def test_outcomes_state_how_long_an_answer_may_have_lain_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    @async_test
    async def test() -> None:
        cache, events = ScriptedCache(hit), []
        addresses = {"c0": await cache.start(), "p0": UNREACHABLE, "r0": UNREACHABLE}
        async with running_director(config(addresses)) as (node, client):
            router = node.director.router
            handle = router.handle

            def record(now_ms: float, event: Event) -> list[Action]:
                events.append(event)
                return handle(now_ms, event)

            monkeypatch.setattr(router, "handle", record)
            monkeypatch.setattr(node.director.timers, "lag", lambda: UNREAD_MS)
            client.ask(1)
            assert (await client.next())[2] == 0
        assert [event.unread_ms for event in events if isinstance(event, Outcome)] == [UNREAD_MS]

    test()
