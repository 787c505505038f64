"""A process that is held up, as by the start of a new version beside it, reads all that came meanwhile at once.
What lay unread here is no lateness of the servers: neither their limits nor their health are to pay for it."""

from __future__ import annotations

import pytest
from conftest import Driver, only
from harness import Cache, config, hit, running, trial

from gladelane.routing.events import Action, Event, Fetch, Note, Outcome, Status

HELD_UP_MS, TOOK_MS = 800.0, 50.0  # by far beyond the aim of 600 ms, and within it
UNREAD_MS = 25.0  # not so long that requests are turned away
NOBODY = "127.0.0.1:1"
OPEN = 12  # attempts that are out when the process is held up


def held_up(status: Status, unread_ms: float) -> Driver:
    """A router whose open attempts all end in one moment, of which it learns after a hold-up."""
    driver = Driver()
    fetches = [only(driver.ask(object=number, size_kb=1.0), Fetch) for number in range(1, OPEN + 1)]
    driver.now += HELD_UP_MS + TOOK_MS
    for fetch in fetches:
        over = status is Status.OK
        driver.tell(Outcome(fetch.id, 0, fetch.store, status, note=Note.HIT, over=over, unread_ms=unread_ms))
    return driver


@pytest.mark.parametrize("status", [Status.OK, Status.TIMEOUT])
def test_what_lay_unread_here_cuts_no_limit(status: Status) -> None:
    driver = held_up(status, HELD_UP_MS)
    assert all(cache.concurrency.limit == cache.max_concurrent_attempts for cache in driver.router.caches)


@pytest.mark.parametrize("status", [Status.OK, Status.TIMEOUT])
def test_answers_that_are_late_by_their_servers_cut_the_limits(status: Status) -> None:
    driver = held_up(status, 0.0)
    assert any(cache.concurrency.limit < cache.max_concurrent_attempts for cache in driver.router.caches)


@pytest.mark.parametrize(("unread_ms", "rests"), [(HELD_UP_MS, False), (0.0, True)])
def test_attempts_that_ran_out_of_time_unread_make_no_server_down(unread_ms: float, rests: bool) -> None:
    driver = held_up(Status.TIMEOUT, unread_ms)
    assert any(cache.is_ejected(driver.now) for cache in driver.router.caches) is rests


def test_the_router_is_told_for_how_long_an_answer_may_have_lain_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    @trial
    async def test() -> None:
        cache, told = Cache(hit), []
        addresses = {"c0": await cache.start(), "p0": NOBODY, "r0": NOBODY}
        async with running(config(addresses)) as (node, client):
            router = node.director.router
            handle = router.handle

            def recording(now_ms: float, event: Event) -> list[Action]:
                told.append(event)
                return handle(now_ms, event)

            monkeypatch.setattr(router, "handle", recording)
            monkeypatch.setattr(node.director.timers, "lag", lambda: UNREAD_MS)
            client.ask(1)
            assert (await client.next())[2] == 0
        assert [event.unread_ms for event in told if isinstance(event, Outcome)] == [UNREAD_MS]

    test()
