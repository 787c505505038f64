"""The race of dials: a table of its turns, every interleaving searched, and planted faults that must be caught."""

from __future__ import annotations

from typing import Any

import pytest

from gladelane.endpoints.happy_eyeballs import Action, Command, DialState, HappyEyeballs, Phase
from gladelane.lab.happy_eyeballs_interleavings import check
from gladelane.lab.modelcheck import InvariantViolationError


def words(steps: list[Command]) -> str:
    return " ".join(f"{command.action.name}{command.address_index}".lower() for command in steps)


#: (what it is for, addresses, [(method, arguments, steps ordered)])
TURNS: list[tuple[str, int, list[tuple[str, tuple[Any, ...], str]]]] = [
    ("the next after the delay", 2, [
        ("start", (0,), "dial0"), ("wake", (99, 9), ""), ("wake", (100, 9), "dial1"),
        ("connected", (1,), "close0 win1"), ("wake", (200, 9), ""), ("failed", (0, 201), "")]),
    ("the next at once on a refusal", 3, [
        ("start", (0,), "dial0"), ("failed", (0, 1), "dial1"), ("failed", (1, 2), "dial2"),
        ("failed", (2, 3), "lose-1")]),
    ("no room: asked again, and a failure frees a socket", 3, [
        ("start", (0,), "dial0"), ("wake", (100, 0), ""), ("wake", (150, 1), ""), ("wake", (200, 1), "dial1"),
        ("failed", (0, 210), "dial2")]),
    ("no room for long: one at a time, each its share", 2, [
        ("start", (0,), "dial0"), ("wake", (100, 0), ""), ("wake", (499, 0), ""), ("wake", (500, 0), "close0 dial1"),
        ("wake", (999, 0), ""), ("wake", (1000, 0), "close1 lose-1")]),
    ("the end closes all", 2, [
        ("start", (0,), "dial0"), ("wake", (100, 9), "dial1"), ("wake", (1000, 9), "close0 close1 lose-1")]),
    ("two in one tick", 2, [
        ("start", (0,), "dial0"), ("wake", (100, 9), "dial1"), ("connected", (0,), "close1 win0"),
        ("connected", (1,), "")]),
    ("a dead winner is replaced once, also by one overtaken", 2, [
        ("start", (0,), "dial0"), ("wake", (100, 9), "dial1"), ("connected", (1,), "close0 win1"),
        ("winner_lost", (1, 110), "dial0"), ("connected", (0,), "win0"), ("winner_lost", (0, 120), "lose-1")]),
    ("withdrawn in the middle", 2, [
        ("start", (0,), "dial0"), ("removed", (0, 10), "close0 dial1"), ("removed", (1, 20), "close1 lose-1")]),
    ("ended from outside", 2, [
        ("start", (0,), "dial0"), ("wake", (100, 9), "dial1"), ("cancel", (), "close0 close1"), ("cancel", (), "")]),
]  # fmt: skip


@pytest.mark.parametrize("name,addresses,turns", TURNS, ids=[turn[0] for turn in TURNS])
def test_turns(name: str, addresses: int, turns: list[tuple[str, tuple[Any, ...], str]]) -> None:
    race = HappyEyeballs(addresses, 0.0, 100.0, 1000.0)
    for method, arguments, ordered in turns:
        assert words(getattr(race, method)(*arguments)) == ordered, method


def test_each_address_gets_its_turn_before_the_end() -> None:
    race, now, dialled = HappyEyeballs(16, 0.0, 250.0, 300.0), 0.0, 1
    race.start(now)
    while race.wake_ms < race.end_ms:
        dialled += len(race.wake(race.wake_ms, 99))
    assert dialled == 16


def test_every_interleaving_of_four_addresses_holds() -> None:
    found = check(most=4)
    assert found.states > 5_000 and found.steps > found.states and found.ends > 0


class KeepsLosers(HappyEyeballs):
    """Planted: the dials that lost stay open, so a second one may come up and win too."""

    __slots__ = ()

    def connected(self, number: int) -> list[Command]:
        if self.states[number] is not DialState.DIALLING:
            return []
        self.phase, self.states[number] = Phase.WON, DialState.WON
        return [Command(Action.WIN, number)]


class ReplacesForEver(HappyEyeballs):
    """Planted: a winner is replaced after bytes were written to it."""

    __slots__ = ()

    def written(self) -> None:
        pass


class Greedy(HappyEyeballs):
    """Planted: dials without room."""

    __slots__ = ()

    def wake(self, now: float, spare_sockets: int) -> list[Command]:
        return super().wake(now, 9)


class Sleeps(HappyEyeballs):
    """Planted: the end of its time passes unseen."""

    __slots__ = ()

    def wake(self, now: float, spare_sockets: int) -> list[Command]:
        return super().wake(min(now, self.end_ms - 1), spare_sockets)


@pytest.mark.parametrize("kind,says", [
    (KeepsLosers, "are open as"), (ReplacesForEver, "bytes of one attempt|second winner"),
    (Greedy, "with room for"), (Sleeps, "still racing"),
])  # fmt: skip
def test_planted_faults_are_caught_with_the_way_to_them(kind: type[HappyEyeballs], says: str) -> None:
    with pytest.raises(InvariantViolationError, match=says) as caught:
        check(most=3, make=lambda n: kind(n, 0.0, 1.0, max(3, n) * 1.0))
    assert caught.value.path[0].startswith("start") and len(caught.value.path) > 1
