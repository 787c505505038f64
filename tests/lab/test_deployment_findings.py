"""Breaches that runs of generated deployments found, each reduced to the decision at fault."""

from __future__ import annotations

import random

import pytest
from conftest import BASE_SETTINGS, Driver, actions_of, only_action

from gladelane.lab.deployed import DeployedFleet
from gladelane.lab.deployment_draw import draw_deployment, draw_stepped
from gladelane.routing.events import Fetch, ListKind, Member, Members, State, Status


@pytest.mark.parametrize("group,goes_straight", [("all", True), ("zone", False), ("cell", False)])
def test_a_keyed_read_that_may_have_run_goes_past_the_caches_only_within_its_group(
    group: str, goes_straight: bool
) -> None:
    """Found at seed 1730 of a trial: the only cache breaks the connection, then leaves, and the repeat went
    straight to the origin, which stands in another zone and drops no repeat of that cache's."""
    row = {**BASE_SETTINGS["classes"][2], "group": group, "cacheable": True}
    cache, origin = Member("c0", "edge", "box"), Member("root", "hub", "root", cell=9)
    driver = Driver((cache, origin), classes=[row], straight=True, parent_kind="")
    first = only_action(driver.ask(cls="sale"), Fetch)
    assert first.store == "c0"
    driver.handle(Members(ListKind.CHANGES, (Member("c0", "edge", "box", state=State.DRAINING),)))
    again = actions_of(driver.answer(first, Status.RESET), Fetch)
    assert [fetch.store for fetch in again] == (["root"] if goes_straight else [])


@pytest.mark.parametrize("seed", [631, 1005, 1930])
def test_a_cold_server_whose_size_is_not_told_bears_what_it_is_sent_after_an_overload(seed: int) -> None:
    """Found among 2,000: where the list tells no sizes a cold server's budget follows what warm ones were sent,
    in an overload more than they can do, and it falls by 1 to 2 % beyond what is put down to chance."""
    outcome = DeployedFleet(draw_deployment(random.Random(seed))).run()
    assert [broken.what for broken in outcome.broken] == []


@pytest.mark.parametrize("seed", [138, 359, 498, 630, 711, 1112, 1304, 1412, 1885, 1898, 1930])
def test_a_cold_server_bears_what_it_is_sent_where_its_own_or_another_s_clock_is_wrong(seed: int) -> None:
    """Found among 2,000 whose clocks are stepped: a server's clock that is behind made it look older, and one that
    is ahead made all others look older, so each fell by up to 5 % beyond what is put down to chance."""
    outcome = DeployedFleet(draw_stepped(random.Random(seed))).run()
    assert [broken.what for broken in outcome.broken] == []
