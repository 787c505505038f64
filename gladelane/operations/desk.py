"""Carries out operators' calls on one director. `bind` and `late` run in the door's thread and touch what may
be read or set in one step; `apply` runs in the serving loop."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from .calls import Answer, Call, Word
from .drain import Drain
from .maintenance import Register

log = logging.getLogger(__name__)

TAKES = Answer(200, "takes clients\n")
TAKES_NONE = Answer(503, "takes no clients\n")
NOBODY = Answer(404, "nobody has this id\n")
DONE = Answer(200, "done\n")
BEHIND = Answer(503, "the director is behind; ask again\n")
LOOKS = 3  # at figures that the serving loop changes meanwhile


class Served(Protocol):
    """The director, as far as operators' calls reach."""

    register: Register

    def has(self, store: str) -> bool: ...

    def relay(self, store: str) -> None: ...

    def report(self) -> str: ...


class Desk:
    """`empty` tells clients that the director empties itself; `held` hears of each order once it holds."""

    def __init__(
        self,
        served: Served,
        drain: Drain,
        clock: Callable[[], float],
        empty: Callable[[], None],
        held: Callable[[Call], None],
    ) -> None:
        self._served, self._drain, self._clock, self._empty, self._held = served, drain, clock, empty, held
        self.takes_clients = False
        self._report = ""

    def bind(self, call: Call) -> Answer | None:
        if call.word is Word.HEALTH:
            return TAKES if self.takes_clients else TAKES_NONE
        if call.store and not self._served.has(call.store):
            return NOBODY
        self._order(call)
        return None

    def _order(self, call: Call) -> None:
        now = self._clock()
        match call.word:
            case Word.MAINT:
                self._served.register.take_out(call.store, now)
            case Word.READY:
                self._served.register.put_back(call.store, now)
            case Word.FAIL:
                self._drain.fail(now)
            case Word.OK:
                self._drain.ok()

    def apply(self, call: Call) -> Answer:
        match call.word:
            case Word.STATS:
                self._report = self._served.report()
                return Answer(200, self._report)
            case Word.MAINT | Word.READY:
                self._served.relay(call.store)
            case Word.FAIL:
                self._empty()
        if call.word is not Word.HEALTH:
            self._held(call)
        return DONE

    def heard(self, call: Call) -> None:
        """An order given to the director's other process, which may know ids not listed here yet."""
        self._order(call)
        if call.word in (Word.MAINT, Word.READY):
            self._served.relay(call.store)
        elif call.word is Word.FAIL:
            self._empty()

    def late(self, call: Call) -> Answer:
        if call.word is not Word.STATS:
            return DONE  # it holds already
        for _ in range(LOOKS):
            try:
                return Answer(200, self._served.report())
            except RuntimeError:  # a table changed under the look
                continue
        return Answer(200, self._report) if self._report else BEHIND
