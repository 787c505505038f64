"""Breaches that runs of generated deployments found, each reduced to the decision at fault."""

from __future__ import annotations

import pytest
from conftest import PLAIN, Driver, only, some

from gladelane.interface import Fetch, ListKind, Member, Members, State, Status


@pytest.mark.parametrize("group,goes_straight", [("all", True), ("zone", False), ("cell", False)])
def test_a_keyed_read_that_may_have_run_goes_past_the_caches_only_within_its_group(
    group: str, goes_straight: bool
) -> None:
    """Found at seed 1730 of a trial: the only cache breaks the connection, then leaves, and the repeat went
    straight to the origin, which stands in another zone and drops no repeat of that cache's."""
    row = {**PLAIN["classes"][2], "group": group, "cacheable": True}
    cache, origin = Member("c0", "edge", "box"), Member("root", "hub", "root", cell=9)
    driver = Driver((cache, origin), classes=[row], straight=True, parent_kind="")
    first = only(driver.ask(cls="sale"), Fetch)
    assert first.store == "c0"
    driver.tell(Members(ListKind.CHANGES, (Member("c0", "edge", "box", state=State.DRAINING),)))
    again = some(driver.answer(first, Status.RESET), Fetch)
    assert [fetch.store for fetch in again] == (["root"] if goes_straight else [])
