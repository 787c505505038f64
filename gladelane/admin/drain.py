"""Draining a director, by an operator's request or for good: when clients are notified and when their
connections are closed. Pure. All times are ms of the caller's clock.
"""

from __future__ import annotations

# These constants follow from the protocol between clients and directors, the same for every deployment; what
# a request may take stands in the settings and has no part in them.

#: From notifying a client to closing its connection. The client may have written just before it read, so this
#: covers a round trip (tens of ms between an operator's machines) and the time both processes take to be
#: scheduled. Where it takes longer all the same, nothing is lost: a request that crosses a close is sent
#: again once (PROTOCOL).
CLOSE_AFTER_MS = 300.0
#: For a new client's first request, before it is notified. At a restart new connections arrive for up to 0.4
#: s, and requests on them for 0.2 s more (PROTOCOL).
FIRST_REQUEST_MS = 400.0 + 200.0
#: After the request to drain, until nothing should be connected: clients close what has idled for as long by
#: themselves.
DRAINED_MS = 4_000.0
#: A younger request at that moment shows that the director still accepts work.
YOUNG_REQUEST_MS = 2_000.0
#: After a client was notified, until its requests are rejected. Clients that were connected are notified at
#: the request to drain or with their next answer; the rest of the time up to a young request is left to admin
#: requests that are accepted late, and to the loop's lag.
REJECT_AFTER_MS = DRAINED_MS - YOUNG_REQUEST_MS - 500.0


class Drain:
    """The reasons for which a director drains; it is ready for clients while there is none."""

    def __init__(self) -> None:
        self.failed_ms = 0.0  # since when an operator wants it drained; 0: not
        self.lagging_since_ms = 0.0  # since when it lags too far behind the fleet; 0: it does not
        self.is_shutting_down = False  # nothing undoes that

    @property
    def is_on(self) -> bool:
        """Whether it drains for any reason."""
        return self.is_shutting_down or bool(self.failed_ms or self.lagging_since_ms)

    @property
    def ready(self) -> bool:
        """The answer to a client that asks whether the director is ready."""
        return not self.is_on

    def fail(self, now: float) -> bool:
        """An operator wants it drained. Whether that changed anything: a second request counts from the
        first."""
        if self.failed_ms:
            return False
        self.failed_ms = now
        return True

    def ok(self) -> bool:
        """The operator ends the drain. Whether that changed anything."""
        if not self.failed_ms:
            return False
        self.failed_ms = 0.0
        return True

    def mark_lagging(self, now: float) -> bool:
        """It lags behind the fleet, so no client is to use it. Whether that changed anything."""
        if self.lagging_since_ms:
            return False
        self.lagging_since_ms = now
        return True

    def clear_lagging(self) -> bool:
        """It no longer lags; what an operator wants stays. Whether that changed anything."""
        if not self.lagging_since_ms:
            return False
        self.lagging_since_ms = 0.0
        return True

    def shut_down(self) -> None:
        """The process is to end."""
        self.is_shutting_down = True

    def should_notify(self, connected_ms: float, now: float) -> bool:
        """Whether to notify a client that connected then; earlier clients were notified as the drain
        began."""
        return self.is_on and now - connected_ms >= FIRST_REQUEST_MS

    def should_close(self, notified_ms: float, now: float) -> bool:
        """Whether to close an idle connection whose client was notified then (0: not yet); also once the
        drain is over, since the client was told to leave."""
        return bool(notified_ms) and now - notified_ms >= CLOSE_AFTER_MS

    def rejects(self, notified_ms: float, now: float) -> bool:
        """Whether to reject requests of a client that was notified then. A process that shuts down serves
        them to its end."""
        drains = bool(self.failed_ms or self.lagging_since_ms)
        return bool(notified_ms) and drains and now - notified_ms >= REJECT_AFTER_MS
