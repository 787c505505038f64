"""Idempotency windows of keyed requests: all attempts of a key share one, including those of an earlier
process."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import Driver, actions_of
from harness import REFUSED_ADDRESS, ScriptedCache, async_test, config, hit, never_respond, running_director
from hypothesis import given
from hypothesis import strategies as st

from gladelane.routing.events import Fail, Fetch, Refuse
from gladelane.routing.idempotency import KeyWindows, is_past_window, retention_for

RETENTION_MS, MAX_KEYS = 10_000.0, 40
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["run", "never"]), st.sampled_from("ab"), st.integers(1, 4000), st.integers(0, 9)
    ),
    max_size=30,
)


@given(STEPS)
def test_window_starts_at_the_first_attempt_that_may_have_run(steps: list[tuple[str, str, int, int]]) -> None:
    """Two attempts of a key may be pending at once. Proof that one of them never ran must not hide that the
    other may have run."""
    keys, ran, now = KeyWindows(RETENTION_MS, MAX_KEYS), {"a": list[float](), "b": list[float]()}, 0.0
    for step, key, wait_ms, choice in steps:
        now += wait_ms
        for name, times in ran.items():  # expired attempts do not count for later ones
            ran[name] = times if times and max(times) >= now - RETENTION_MS else []
        if step == "run":
            ran[key].append(now)
            keys.may_have_run(key, now, "s")
        elif ran[key]:
            keys.never_ran(key, ran[key].pop(choice % len(ran[key])), "s")
        for name, times in ran.items():
            # once the latest attempt is known not to have run, the latest of the others determines the expiry
            is_retained = bool(times) and max(times) >= now - RETENTION_MS
            assert keys.first_attempt(name, now)[0] == (min(times) if is_retained else 0.0)


def test_full_key_table_rejects_new_keys_and_is_handed_over_completely() -> None:
    """A key that was dropped for lack of space would be accepted as a new one, and its request would run
    twice."""
    old, new = KeyWindows(RETENTION_MS, MAX_KEYS), KeyWindows(RETENTION_MS, MAX_KEYS)
    for number in range(MAX_KEYS):
        assert not old.is_full([str(number)], 1.0)
        old.may_have_run(str(number), 1.0 + number / 1000.0, "s")
    assert (
        old.is_full(["new"], 2.0)
        and not old.is_full(["0"], 2.0)
        and old.first_attempt("0", 2.0) == (1.0, "s")
    )
    new.may_have_run("own", 0.5, "t")
    new.may_have_run("9", 3.0, "t")
    new.take_over(old.snapshot(6.0))
    assert new.first_attempt("9", 6.0) == old.first_attempt("9", 6.0) and new.first_attempt("own", 6.0) == (
        0.5,
        "t",
    )
    assert new.first_attempt("own", 0.6 + RETENTION_MS) == (0.0, "")
    assert not old.is_full(["new"], 1.0 + RETENTION_MS + 0.5) and old.first_attempt(
        "0", 1.5 + RETENTION_MS
    ) == (0.0, "")


def test_keys_are_retained_for_the_longest_window_and_deadline_of_the_settings() -> None:
    """A fixed limit of 10 s and 4,096 keys, as there was before, forgets a window of 15 s before it has
    passed."""
    classes = Driver().router.settings.classes
    sale = classes["sale"]
    assert retention_for(classes.values()) == sale.window_ms + sale.deadline_ms
    longer = replace(sale, window_ms=15_000.0, deadline_ms=20_000.0)
    assert retention_for([longer, classes["film"]]) == 35_000.0 and retention_for([classes["film"]]) == 0.0


def test_retry_after_the_window_of_the_first_attempt_is_not_sent() -> None:
    driver = Driver()  # sale: a keyed class with a window of 6 s
    in_window = driver.ask("sale", ran_ms=driver.now - 3000.0, ran_at="root")
    assert actions_of(in_window, Fetch) and not actions_of(in_window, Refuse)
    past_window = driver.ask("sale", ran_ms=driver.now - 6000.0, ran_at="root")
    assert (
        not actions_of(past_window, Fetch)
        and actions_of(past_window, Refuse)
        and not actions_of(past_window, Fail)
    )


@async_test
async def test_attempts_of_a_key_share_a_window_that_ends_when_none_has_run() -> None:
    scripts = {"0000000000000001": lambda _: ("overload -", b""), "0000000000000004": hit}
    origin = ScriptedCache(lambda command: scripts.get(command[0], never_respond)(command))
    async with running_director(config({"c0": REFUSED_ADDRESS, "r0": await origin.start()})) as (
        node,
        client,
    ):
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
        started_ms, store = node.director.keys.first_attempt("aa", node.clock.now())
        # the time of the second attempt, not of the third
        assert store == "r0" and before <= started_ms < node.clock.now() - 100.0
        sent = len(origin.received)
        # as received from the previous process
        node.director.keys.take_over({"aa": [(node.clock.now() - 2000.0, "r0")]})
        client.ask(4, c="sheet", k="aa")
        assert (await client.next())[1:3] == (4, 1) and len(origin.received) == sent


@pytest.mark.parametrize(
    ("started_ms", "now", "is_past"),
    [
        ([], 9000.0, False),  # no earlier attempt may have run
        ([1000.0], 1000.0, False),
        ([1000.0], 2992.9, False),
        ([1000.0], 2993.0, True),  # the window minus the time to spare
        ([2000.0, 1000.0], 2993.0, True),  # the earliest counts, in any order
        ([2000.0], 2993.0, False),
    ],
)
def test_retry_window_is_counted_from_the_first_attempt(
    started_ms: list[float], now: float, is_past: bool
) -> None:
    assert is_past_window(started_ms, now, window_ms=2000.0, spare_ms=7.0) is is_past
