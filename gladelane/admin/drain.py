"""Draining a director, temporarily or for its shutdown: when clients are notified, when their connections are
closed and when their requests are rejected. Pure. All times are ms of the caller's clock.
"""

from __future__ import annotations

# These constants follow from the protocol between clients and directors, which is the same for every
# deployment. They do not depend on the settings, such as how long a request may take.

#: Least time from notifying a client to closing its connection. The client may have written a request just
#: before it read the notification, so this covers a round trip (tens of ms between an operator's machines)
#: and the time until both processes are scheduled. A client that has answers to read first has longer
#: (`net.connection_end`).
CLOSE_AFTER_MS = 300.0
#: Time that a new client has for its first request before it is notified. By the protocol, new connections
#: arrive for up to 0.4 s after a restart, and requests on them for 0.2 s more.
FIRST_REQUEST_MS = 400.0 + 200.0
#: Time after the drain request within which all connections should end: clients themselves close connections
#: that have been idle for this long.
DRAINED_MS = 4_000.0
#: A request that is younger than this at the end of that time shows that the director still accepts work.
YOUNG_REQUEST_MS = 2_000.0
#: Allowance for an admin request that is accepted late and for the event loop's lag.
LATE_REQUEST_MS = 500.0
#: Time after the drain request, or after notifying the client once the drain has ended, at which idle
#: connections are closed even if it is not certain that their clients have read the notification.
CLOSE_BY_MS = DRAINED_MS - LATE_REQUEST_MS
#: Time after notifying a client until its requests are rejected, so that no request is young in the sense
#: above. Connected clients are notified at the drain request or with their next answer.
REJECT_AFTER_MS = DRAINED_MS - YOUNG_REQUEST_MS - LATE_REQUEST_MS


class Drain:
    """The reasons for which a director drains. It is ready for clients while there is none."""

    def __init__(self) -> None:
        self.requested_ms = 0.0  # when an operator requested the drain; 0: no request
        self.lagging_since_ms = 0.0  # since when it lags too far behind the fleet; 0: not lagging
        self.is_shutting_down = False  # never reset

    @property
    def is_draining(self) -> bool:
        """Whether the director drains for any reason."""
        return self.is_shutting_down or bool(self.requested_ms or self.lagging_since_ms)

    @property
    def is_ready(self) -> bool:
        """The answer to a client that asks whether the director is ready."""
        return not self.is_draining

    def request_drain(self, now: float) -> bool:
        """Starts a drain for an operator. Returns False if one was requested before: its time stays."""
        if self.requested_ms:
            return False
        self.requested_ms = now
        return True

    def cancel_request(self) -> bool:
        """Ends the drain that an operator requested. Returns False if there was none."""
        if not self.requested_ms:
            return False
        self.requested_ms = 0.0
        return True

    def mark_lagging(self, now: float) -> bool:
        """Starts a drain because the director lags behind the fleet. Returns False if it was lagging
        already."""
        if self.lagging_since_ms:
            return False
        self.lagging_since_ms = now
        return True

    def clear_lagging(self) -> bool:
        """Ends the drain for lagging; an operator's request stays. Returns False if it was not lagging."""
        if not self.lagging_since_ms:
            return False
        self.lagging_since_ms = 0.0
        return True

    def shut_down(self) -> None:
        """Starts the drain of a process that is about to end."""
        self.is_shutting_down = True

    def should_notify(self, connected_ms: float, now: float) -> bool:
        """Whether to notify a client that connected at `connected_ms`. Clients that were connected before the
        drain are notified when it starts."""
        return self.is_draining and now - connected_ms >= FIRST_REQUEST_MS

    def should_close(self, notified_ms: float, now: float) -> bool:
        """Whether to close an idle connection whose client was notified at `notified_ms` (0: not yet) and has
        read that. This also holds after the end of the drain, since the client was asked to leave."""
        return bool(notified_ms) and now - notified_ms >= CLOSE_AFTER_MS

    def close_by_ms(self, notified_ms: float) -> float:
        """When an idle connection whose client was notified at `notified_ms` is to be closed at the latest.
        The time that is allowed counts from the start of the drain, if it goes on."""
        starts = [start for start in (self.requested_ms, self.lagging_since_ms) if start]
        return min([*starts, notified_ms]) + CLOSE_BY_MS

    def rejects(self, notified_ms: float, now: float) -> bool:
        """Whether to reject the requests of a client that was notified at `notified_ms`. A process that only
        shuts down serves them until it ends."""
        is_temporary_drain = bool(self.requested_ms or self.lagging_since_ms)
        return bool(notified_ms) and is_temporary_drain and now - notified_ms >= REJECT_AFTER_MS
