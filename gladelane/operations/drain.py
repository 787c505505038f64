"""Emptying a director, by an operator's call or for good. Pure: what clients are told, when they are closed.

Milliseconds of the caller's clock throughout.
"""

from __future__ import annotations

# All of these are of the protocol between clients and directors, the same for every customer; what a
# request may take stands in the settings and has no part in them.

#: from telling a client to closing its connection: it may have written just before it read, so a round trip
#: and the time both processes take to be scheduled. Round trips between an operator's machines are tens of
#: ms. Where it is longer all the same, nothing is lost: a request that crosses a close is sent again once
#: (PROTOCOL)
TOLD_MS = 300.0
#: for a newcomer's first request, before it is told. At a restart new connections come for up to 0.4 s, and
#: requests on them for 0.2 s more (PROTOCOL)
FIRST_MS = 400.0 + 200.0
#: so long after the call nothing should be connected: clients close what has idled for as long by
#: themselves
EMPTIED_MS = 4_000.0
#: a request that is younger when the director is to be empty shows that it still takes work
YOUNG_MS = 2_000.0
#: a request on a connection told so long ago is refused. Who was connected is told at the call, or with its
#: next answer; the rest of the span up to a young one is left to calls that are bound late, and to the
#: loop's lag
LATE_MS = EMPTIED_MS - YOUNG_MS - 500.0


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
