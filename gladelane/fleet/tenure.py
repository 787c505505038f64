"""How long a director may act on what it knows without hearing again, and what it may do then. Pure.

A tenure is granted by a feed's answer and counted from before the question was sent, on a clock that does not
step and goes on while the process or the machine sleeps: whenever the feed takes it for over, it is. An
answer that comes late brings a tenure that is short, or over. Only answers renew it; asking does not.

A process that slept past its tenure acts on nothing until it has asked again. One that has asked, and was not
answered, may go on with what is not strict where the operator wants so (`alone="strict"`), for as long as it
goes on asking. With `board_ms` the list has a tenure of its own, from when the board was last heard.

A verdict says what the director lacks. One that names nothing which the judged view lacked is void: the feed
that gave it knows less than this director.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Literal

import msgspec

from ..control.positions import BadPosition
from .view import View, positions, reaches

DRIFT = 0.001  # by which two clocks that do not step may run apart, as a part of the time
LEAST_MS = 1.0
Alone = Literal["out", "strict"]


class Stage(IntEnum):
    """What becomes of a straggler, step by step."""

    WELL = 0
    TOLD = 1
    AGAIN = 2  # follows all feeds from the beginning, and the board anew
    KEPT = 3  # from strict classes
    EMPTIED = 4  # says that it is not ready, tells kept connections
    OUT = 5  # sends nothing, answers nothing


class Lacks(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a judged view lacks: a list at least so new, purges, a horizon; or one of the digests that it
    should have."""

    board: str = ""
    rev: int = 0
    list: str = ""
    purges: str = ""
    horizon_ms: float = 0.0
    settings: tuple[str, ...] = ()
    operator: tuple[str, ...] = ()
    program: tuple[str, ...] = ()


class Verdict(msgspec.Struct, frozen=True, omit_defaults=True):
    """returning: it has caught up, and is let back in after a while."""

    stage: Stage = Stage.WELL
    why: str = ""
    lacks: Lacks = Lacks()
    returning: bool = False


def lacking(view: View, lacks: Lacks) -> list[str]:
    """The names of the parts that a view still lacks."""
    found = []
    if (
        lacks.rev
        and lacks.board == view.board
        and (view.rev < lacks.rev or (lacks.list and view.rev == lacks.rev and view.list != lacks.list))
    ):
        found.append("list")
    if lacks.purges:
        try:
            if not reaches(positions(view.purges), positions(lacks.purges)):
                found.append("purges")
        except BadPosition:
            pass
    if lacks.horizon_ms > view.horizon_ms:
        found.append("horizon")
    found += [
        part
        for part in ("settings", "operator", "program")
        if getattr(lacks, part) and getattr(view, part) not in getattr(lacks, part)
    ]
    return found


class Tenure:
    """Milliseconds of a clock that does not step throughout."""

    def __init__(self, alone: Alone = "out", board_ms: float = 0.0) -> None:
        self.alone, self.board_ms = alone, board_ms
        self.until = self.alone_until = self.board_until = 0.0
        self.stage = Stage.WELL
        self.why = ""
        self.void = 0  # verdicts that were not believed

    def granted(self, asked: float, length_ms: float) -> None:
        """An answer to a question that was sent after `asked`."""
        self.until = max(self.until, asked + max(length_ms * (1.0 - DRIFT) - LEAST_MS, 0.0))

    def unanswered(self, asked: float, length_ms: float) -> None:
        """A question was asked after `asked` and brought nothing."""
        self.alone_until = max(self.alone_until, asked + length_ms * (1.0 - DRIFT) - LEAST_MS)

    def board_heard(self, asked: float) -> None:
        self.board_until = max(self.board_until, asked + self.board_ms)

    def judged(self, verdict: Verdict, view: View) -> bool:
        """The feed's word on a view that was reported to it. Whether it counts."""
        if verdict.returning:
            counts = verdict.stage <= self.stage
        else:
            counts = verdict.stage is Stage.WELL or bool(lacking(view, verdict.lacks))
        if counts:
            self.stage, self.why = verdict.stage, verdict.why
        else:
            self.void += 1
            self.stage, self.why = Stage.WELL, ""
        return counts

    def may(self, strict: bool, now: float) -> bool:
        """Whether to send, or to answer a strict class, now."""
        if self.board_ms and now >= self.board_until:
            return False
        if now < self.until:
            return self.stage < Stage.KEPT or (self.stage < Stage.OUT and not strict)
        return self.alone == "strict" and not strict and now < self.alone_until and self.stage < Stage.OUT

    def lapsed(self, now: float) -> bool:
        """Whether nothing at all is to be sent."""
        return not self.may(False, now)
