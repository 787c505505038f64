"""Carries out operators' calls on one director. `bind` and `late` run in the door's thread and touch what
may be read or set in one step; `apply` runs in the serving loop."""

from __future__ import annotations

from .calls import Answer, Call, Word

TAKES = Answer(200, "takes clients\n")
TAKES_NONE = Answer(503, "takes no clients\n")
LATER = Answer(503, "the director is behind; ask again\n")


class Desk:
    def __init__(self) -> None:
        self.takes_clients = False

    def bind(self, call: Call) -> Answer | None:
        if call.word is Word.HEALTH:
            return TAKES if self.takes_clients else TAKES_NONE
        return None

    def apply(self, call: Call) -> Answer:
        return Answer(501, "not built yet\n")

    def late(self, call: Call) -> Answer:
        return LATER
