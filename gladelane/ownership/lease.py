"""The holder's side of one lease: when to ask which keeper what, and until when it holds. Pure.

    idle -> looking -> claiming -> holding

Looking asks all keepers for the highest number that they have seen, and who holds. With answers of a majority
and nobody holding, it claims the next number at all of them; it holds once a majority granted, counted by
keepers and not by answers, from before the first claim was sent, less the drift. A claim that fails is given
back, and the next try waits for a moment of chance, so that candidates that failed together do not meet
again. A lease that runs is looked at again when it is about to end, sooner by who is preferred: nobody asks
all the while.
"""

from __future__ import annotations

import random
from enum import Enum

from .keeper import DRIFT, SLACK_MS, Ask, Reply, majority

RENEW_SHARE = 1.0 / 3.0  # of the length, after which it is renewed
TRY_MS = 400.0  # for answers to come
AGAIN_MS = (50.0, 350.0)  # after a try that failed
BEHIND_MS, NEAR = 150.0, 4  # how much later each of the first places tries
FAR_MS = 20.0  # and each further one
FAR_LENGTHS = 5.0  # for which one of the further places does not look again at a lease that runs


class Phase(Enum):
    IDLE = "idle"
    LOOKING = "looking"
    CLAIMING = "claiming"
    HOLDING = "holding"


def later_ms(place: int) -> float:
    """How much later than the first one tries."""
    return BEHIND_MS * min(place, NEAR) + FAR_MS * max(place - NEAR, 0)


class Lease:
    """place: 0 for who is to have this work first, 1 for the next, by place and load. Times are ms of the
    holder's clock that does not step."""

    def __init__(
        self,
        work: str,
        holder: str,
        keepers: int,
        length_ms: float,
        rng: random.Random,
        now_ms: float,
        place: int = 0,
    ) -> None:
        self.work, self.holder, self.length_ms, self.place = work, holder, length_ms, place
        self.phase = Phase.IDLE
        self.number = 0
        self.until_ms = 0.0
        self.since_ms = 0.0  # of holding
        self.other = ""  # who else holds, as far as was heard
        self.stops = False  # it is not to be held any more
        self._most = majority(keepers)
        self._rng = rng
        self._due_ms = now_ms + later_ms(place) + rng.uniform(0.0, AGAIN_MS[0])
        self._asked_ms = 0.0
        self._highest = 0
        self._heard: set[str] = set()
        self._granted: set[str] = set()
        self._refused: set[str] = set()

    def holds(self, now_ms: float) -> bool:
        """To be asked before each effect."""
        return self.phase is Phase.HOLDING and now_ms < self.until_ms

    def next(self, now_ms: float) -> Ask | None:
        """What to ask all keepers now; None: nothing."""
        if self.phase is Phase.HOLDING and now_ms >= self.until_ms:
            self._again(now_ms)
        if now_ms < self._due_ms:
            return None
        if self.phase in (Phase.LOOKING, Phase.CLAIMING):  # answers did not come
            given_back = self._give_back() if self.phase is Phase.CLAIMING else None
            self._again(now_ms)
            return given_back
        if self.stops:
            return None
        self._asked_ms, self._due_ms = now_ms, now_ms + TRY_MS
        self._heard, self._granted, self._refused = set(), set(), set()
        if self.phase is Phase.HOLDING:
            return Ask(self.work, self.holder, self.number, self.length_ms)
        self.phase, self._highest = Phase.LOOKING, 0
        return Ask(self.work, self.holder)

    def heard(self, ask: Ask, reply: Reply, now_ms: float) -> Ask | None:
        """An answer to what was asked; what to ask all keepers in turn."""
        if ask.release or (ask.number != 0) != (self.phase is not Phase.LOOKING):
            return None
        if ask.number and ask.number != self.number:
            return None  # of an earlier try
        if self.phase is Phase.LOOKING:
            return self._looked(reply, now_ms)
        if reply.granted:
            self._granted.add(reply.keeper)
        else:
            self._refused.add(reply.keeper)
        if len(self._granted) >= self._most:
            if self.phase is Phase.CLAIMING:
                self.since_ms = now_ms
            self.phase, self.other = Phase.HOLDING, ""
            self.until_ms = max(self.until_ms, self._asked_ms + self.length_ms * (1.0 - DRIFT) - SLACK_MS)
            self._due_ms = self._asked_ms + self.length_ms * RENEW_SHARE
            return None
        if self.phase is Phase.CLAIMING and len(self._refused) >= self._most:
            back = self._give_back()
            self._again(now_ms)
            return back
        return None

    def _looked(self, reply: Reply, now_ms: float) -> Ask | None:
        if reply.left_ms > 0.0 and reply.holder:
            self.other = reply.holder
            wait = reply.left_ms + later_ms(self.place) + self._rng.uniform(*AGAIN_MS)
            wait += FAR_LENGTHS * self.length_ms if self.place > NEAR else 0.0
            self.phase, self._due_ms = Phase.IDLE, now_ms + wait
            return None
        self._highest = max(self._highest, reply.highest)
        if reply.ready:
            self._heard.add(reply.keeper)
        if len(self._heard) < self._most:
            return None
        self.phase, self.number = Phase.CLAIMING, self._highest + 1
        self._asked_ms, self._due_ms = now_ms, now_ms + TRY_MS
        self._granted, self._refused = set(), set()
        self.until_ms = 0.0
        return Ask(self.work, self.holder, self.number, self.length_ms)

    def _again(self, now_ms: float) -> None:
        self.phase = Phase.IDLE
        self._due_ms = now_ms + later_ms(self.place) + self._rng.uniform(*AGAIN_MS)

    def _give_back(self) -> Ask:
        return Ask(self.work, self.holder, self.number, release=True)

    def stop(self) -> Ask | None:
        """Hands over on purpose: another may have it at once."""
        self.stops = True
        held = self.phase is Phase.HOLDING
        self.phase, self.until_ms = Phase.IDLE, 0.0
        return self._give_back() if held else None
