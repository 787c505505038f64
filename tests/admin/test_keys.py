"""Windows of keyed requests: one for all tries of a key, also of an earlier process."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import Driver, actions_of
from harness import ScriptedCache, async_test, config, hit, never_respond, running_director
from hypothesis import given
from hypothesis import strategies as st

from gladelane.routing.events import Fail, Fetch, Refuse
from gladelane.routing.idempotency import KeyWindows, is_past_window, retention_for

REFUSED = "127.0.0.1:1"
KEPT_MS, MOST = 10_000.0, 40
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["run", "never"]), st.sampled_from("ab"), st.integers(1, 4000), st.integers(0, 9)
    ),
    max_size=30,
)


@given(STEPS)
def test_the_first_of_all_that_are_not_disproved_counts(steps: list[tuple[str, str, int, int]]) -> None:
    # two tries of a key may be out at once: proof that one never ran must not hide that the other may have
    keys, ran, now = KeyWindows(KEPT_MS, MOST), {"a": list[float](), "b": list[float]()}, 0.0
    for word, key, after, which in steps:
        now += after
        for name, times in ran.items():  # before the step: what is over counts for no later try
            ran[name] = times if times and max(times) >= now - KEPT_MS else []
        if word == "run":
            ran[key].append(now)
            keys.may_have_run(key, now, "s")
        elif ran[key]:
            keys.never_ran(key, ran[key].pop(which % len(ran[key])), "s")
        for name, times in ran.items():
            # once the latest is disproved, those before it count no longer than their own latest one allows
            counts = bool(times) and max(times) >= now - KEPT_MS
            assert keys.first_attempt(name, now)[0] == (min(times) if counts else 0.0)


def test_it_is_bounded_forgets_nothing_that_counts_and_goes_over_whole() -> None:
    old, new = KeyWindows(KEPT_MS, MOST), KeyWindows(KEPT_MS, MOST)
    for number in range(MOST):
        assert not old.is_full(str(number), 1.0)
        old.may_have_run(str(number), 1.0 + number / 1000.0, "s")
    # a key that were forgotten for want of room would pass for a new one, and run twice
    assert old.is_full("new", 2.0) and not old.is_full("0", 2.0) and old.first_attempt("0", 2.0) == (1.0, "s")
    new.may_have_run("own", 0.5, "t")
    new.may_have_run("9", 3.0, "t")
    new.take_over(old.snapshot(6.0))
    assert new.first_attempt("9", 6.0) == old.first_attempt("9", 6.0) and new.first_attempt("own", 6.0) == (
        0.5,
        "t",
    )
    assert new.first_attempt("own", 0.6 + KEPT_MS) == (0.0, "")
    assert not old.is_full("new", 1.0 + KEPT_MS + 0.5) and old.first_attempt("0", 1.5 + KEPT_MS) == (0.0, "")


def test_keys_are_kept_for_as_long_as_the_settings_make_them_matter() -> None:
    # 10 s and 4,096 keys, as it was, forget a window of 15 s before it has passed
    classes = Driver().router.settings.classes
    sale = classes["sale"]
    assert retention_for(classes.values()) == sale.window_ms + sale.deadline_ms
    longer = replace(sale, window_ms=15_000.0, deadline_ms=20_000.0)
    assert retention_for([longer, classes["film"]]) == 35_000.0 and retention_for([classes["film"]]) == 0.0


def test_a_repeat_after_the_window_of_the_first_try_is_not_sent() -> None:
    driver = Driver()  # sale: keyed, 6 s
    early = driver.ask("sale", ran_ms=driver.now - 3000.0, ran_at="root")
    assert actions_of(early, Fetch) and not actions_of(early, Refuse)
    late = driver.ask("sale", ran_ms=driver.now - 6000.0, ran_at="root")
    assert not actions_of(late, Fetch) and actions_of(late, Refuse) and not actions_of(late, Fail)


@async_test
async def test_the_window_of_a_key_is_one_for_all_its_tries_and_ends_with_proof() -> None:
    scripts = {"0000000000000001": lambda _: ("overload -", b""), "0000000000000004": hit}
    origin = ScriptedCache(lambda command: scripts.get(command[0], never_respond)(command))
    async with running_director(config({"c0": REFUSED, "r0": await origin.start()})) as (node, client):
        client.ask(1, c="sheet", k="aa", d="200")
        assert (await client.next())[2] == 1 and node.director.keys.first_attempt("aa", node.clock.now()) == (
            0.0,
            "",
        )  # never ran
        client.ask(2, c="sheet", k="aa", d="150")
        before = node.clock.now()
        assert (await client.next())[2] == 1
        client.ask(3, c="sheet", k="aa", d="150")
        assert (await client.next())[2] == 1
        at, store = node.director.keys.first_attempt("aa", node.clock.now())
        assert (
            store == "r0" and before <= at < node.clock.now() - 100.0
        )  # of the second try, not of the third
        sent = len(origin.received)
        node.director.keys.take_over(
            {"aa": [(node.clock.now() - 2000.0, "r0")]}
        )  # as the process before it tells
        client.ask(4, c="sheet", k="aa")
        assert (await client.next())[1:3] == (4, 1) and len(origin.received) == sent


@pytest.mark.parametrize(
    ("ran", "now", "past"),
    [
        ([], 9000.0, False),  # nothing ran: it repeats nothing
        ([1000.0], 1000.0, False),
        ([1000.0], 2992.9, False),
        ([1000.0], 2993.0, True),  # the window less what is to spare
        ([2000.0, 1000.0], 2993.0, True),  # the first counts, in any order
        ([2000.0], 2993.0, False),
    ],
)
def test_a_repeat_is_past_its_window_counted_from_the_first_try(
    ran: list[float], now: float, past: bool
) -> None:
    assert is_past_window(ran, now, window_ms=2000.0, spare_ms=7.0) is past
