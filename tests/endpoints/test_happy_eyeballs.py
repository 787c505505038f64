"""The Happy Eyeballs state machine: a table of event sequences, a search of all interleavings, and planted
faults that the search must find."""

from __future__ import annotations

from typing import Any

import pytest

from gladelane.endpoints.happy_eyeballs import Action, Command, DialState, HappyEyeballs, Phase
from gladelane.lab.happy_eyeballs_interleavings import check
from gladelane.lab.modelcheck import InvariantViolationError


def describe(commands: list[Command]) -> str:
    return " ".join(f"{command.action.name}{command.address_index}".lower() for command in commands)


#: (description, number of addresses, [(method, arguments, expected commands)])
SEQUENCES: list[tuple[str, int, list[tuple[str, tuple[Any, ...], str]]]] = [
    ("next address after the delay", 2, [
        ("start", (0,), "dial0"), ("wake", (99, 9), ""), ("wake", (100, 9), "dial1"),
        ("connected", (1,), "close0 win1"), ("wake", (200, 9), ""), ("failed", (0, 201), "")]),
    ("next address at once after a refusal", 3, [
        ("start", (0,), "dial0"), ("failed", (0, 1), "dial1"), ("failed", (1, 2), "dial2"),
        ("failed", (2, 3), "lose-1")]),
    ("no spare socket: tried again, and a failure frees one", 3, [
        ("start", (0,), "dial0"), ("wake", (100, 0), ""), ("wake", (150, 1), ""), ("wake", (200, 1), "dial1"),
        ("failed", (0, 210), "dial2")]),
    ("no spare socket: one at a time, each for its share", 2, [
        ("start", (0,), "dial0"), ("wake", (100, 0), ""), ("wake", (499, 0), ""), ("wake", (500, 0), "close0 dial1"),
        ("wake", (999, 0), ""), ("wake", (1000, 0), "close1 lose-1")]),
    ("timeout closes all dials", 2, [
        ("start", (0,), "dial0"), ("wake", (100, 9), "dial1"), ("wake", (1000, 9), "close0 close1 lose-1")]),
    ("two connect in one loop iteration", 2, [
        ("start", (0,), "dial0"), ("wake", (100, 9), "dial1"), ("connected", (0,), "close1 win0"),
        ("connected", (1,), "")]),
    ("a closed winner is replaced once, also by an overtaken dial", 2, [
        ("start", (0,), "dial0"), ("wake", (100, 9), "dial1"), ("connected", (1,), "close0 win1"),
        ("winner_lost", (1, 110), "dial0"), ("connected", (0,), "win0"), ("winner_lost", (0, 120), "lose-1")]),
    ("addresses removed during the connect", 2, [
        ("start", (0,), "dial0"), ("removed", (0, 10), "close0 dial1"), ("removed", (1, 20), "close1 lose-1")]),
    ("cancelled by the caller", 2, [
        ("start", (0,), "dial0"), ("wake", (100, 9), "dial1"), ("cancel", (), "close0 close1"), ("cancel", (), "")]),
]  # fmt: skip


@pytest.mark.parametrize("name,address_count,steps", SEQUENCES, ids=[sequence[0] for sequence in SEQUENCES])
def test_events_give_the_expected_commands(
    name: str, address_count: int, steps: list[tuple[str, tuple[Any, ...], str]]
) -> None:
    machine = HappyEyeballs(address_count, 0.0, 100.0, 1000.0)
    for method, arguments, expected in steps:
        assert describe(getattr(machine, method)(*arguments)) == expected, method


def test_every_address_is_dialled_before_the_timeout() -> None:
    machine, now, dialled = HappyEyeballs(16, 0.0, 250.0, 300.0), 0.0, 1
    machine.start(now)
    while machine.wake_ms < machine.end_ms:
        dialled += len(machine.wake(machine.wake_ms, 99))
    assert dialled == 16


def test_invariants_hold_in_all_interleavings_of_four_addresses() -> None:
    found = check(most=4)
    assert found.states > 5_000 and found.steps > found.states and found.ends > 0


class KeepsLosingDialsOpen(HappyEyeballs):
    """Planted fault: losing dials stay open, so a second one may connect and win as well."""

    __slots__ = ()

    def connected(self, index: int) -> list[Command]:
        if self.states[index] is not DialState.DIALLING:
            return []
        self.phase, self.states[index] = Phase.WON, DialState.WON
        return [Command(Action.WIN, index)]


class ReplacesWinnerAfterWrite(HappyEyeballs):
    """Planted fault: a winner is replaced after bytes were written to it."""

    __slots__ = ()

    def start_writing(self) -> None:
        pass


class DialsWithoutSpareSocket(HappyEyeballs):
    """Planted fault: dials although no socket is available."""

    __slots__ = ()

    def wake(self, now: float, spare_sockets: int) -> list[Command]:
        return super().wake(now, 9)


class IgnoresTimeout(HappyEyeballs):
    """Planted fault: the connect does not end at its timeout."""

    __slots__ = ()

    def wake(self, now: float, spare_sockets: int) -> list[Command]:
        return super().wake(min(now, self.end_ms - 1), spare_sockets)


@pytest.mark.parametrize("faulty_class,message", [
    (KeepsLosingDialsOpen, "are open as"), (ReplacesWinnerAfterWrite, "bytes of one attempt|second winner"),
    (DialsWithoutSpareSocket, "with room for"), (IgnoresTimeout, "still racing"),
])  # fmt: skip
def test_planted_faults_are_found_with_the_steps_to_them(
    faulty_class: type[HappyEyeballs], message: str
) -> None:
    with pytest.raises(InvariantViolationError, match=message) as caught:
        check(most=3, make=lambda n: faulty_class(n, 0.0, 1.0, max(3, n) * 1.0))
    assert caught.value.path[0].startswith("start") and len(caught.value.path) > 1
