"""Emptying a director, by an operator's call or for good. Pure: what clients are told, when they are closed.

Milliseconds of the caller's clock throughout.
"""

from __future__ import annotations

TOLD_MS = 300.0  # from telling a client to closing its connection: it may have written just before it read
FIRST_MS = 600.0  # for a newcomer's first request, before it is told
LATE_MS = 1500.0  # a request on a connection told so long ago is refused: 4 s after the call none is young


class Drain:
    def __init__(self) -> None:
        self.failed_ms = 0.0  # since when an operator wants it empty, 0: not
        self.behind_ms = 0.0  # since when it is too far behind to take clients, 0: it is not
        self.leaving = False  # the process is to end; nothing undoes that

    @property
    def on(self) -> bool:
        return self.leaving or bool(self.failed_ms or self.behind_ms)

    @property
    def ready(self) -> bool:
        """The answer to a client that asks whether the director is."""
        return not self.on

    def fail(self, now: float) -> bool:
        """Whether that changed anything: a second call counts from the first."""
        if self.failed_ms:
            return False
        self.failed_ms = now
        return True

    def ok(self) -> bool:
        if not self.failed_ms:
            return False
        self.failed_ms = 0.0
        return True

    def behind(self, now: float) -> bool:
        """It is behind the fleet, and nobody is to ask it. Whether that changed anything."""
        if self.behind_ms:
            return False
        self.behind_ms = now
        return True

    def forward(self) -> bool:
        """It is no longer behind; what an operator wants stays."""
        if not self.behind_ms:
            return False
        self.behind_ms = 0.0
        return True

    def leave(self) -> None:
        self.leaving = True

    def tells(self, born_ms: float, now: float) -> bool:
        """Whether a client is to be told by itself; who was there when it began has been told then."""
        return self.on and now - born_ms >= FIRST_MS

    def closes(self, told_ms: float, now: float) -> bool:
        """Whether a client told at `told_ms` (0: not yet) that holds nothing is closed. Also once the drain
        is over: it keeps to what it was told."""
        return bool(told_ms) and now - told_ms >= TOLD_MS

    def turns_away(self, told_ms: float, now: float) -> bool:
        """Whether a request on it is refused. A process that leaves serves to its end."""
        return bool(told_ms) and bool(self.failed_ms or self.behind_ms) and now - told_ms >= LATE_MS
