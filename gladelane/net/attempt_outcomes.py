"""Every outcome of an attempt or its connection, and the one table that maps each to the router's Status."""

from __future__ import annotations

from enum import Enum, auto

from ..endpoints.health import DialFailure
from ..routing.events import Status


class AttemptOutcome(Enum):
    """How an attempt, or the connection that carried it, ended. The names appear in the log."""

    # the server responded; the names are the words of the cache protocol
    SERVED = auto()
    STILL_GOOD = auto()
    NOT_HERE = auto()
    OVERLOAD = auto()
    CRASHED = auto()
    NOBODY = auto()
    # the connection never carried the request
    REFUSED = auto()  # by the peer's machine
    DIAL_TIMED_OUT = auto()
    UNREACHABLE = auto()
    LOST_UNSENT = auto()  # the connection ended before any byte of the request was written
    CAPPED = auto()  # this director has reached its limit of connections
    EXPIRED = auto()  # its deadline passed before it could be written
    WITHDRAWN = auto()  # the store or its source left the list before it could be written
    SURPLUS = auto()  # sent after the end of its request, or beyond max_attempts
    SHUT_OUT = auto()  # this director may not act: its view of the fleet has expired or is too old
    # the connection ended while it carried the request, or the response could not be used
    RESET = auto()
    CLOSED = auto()
    GARBLED = auto()
    CUT_SHORT = auto()  # a response began and was not continued
    OUTDATED = auto()  # the copy in the response is older than a purge that was active when it was requested
    SUPERSEDED = auto()  # a limit that came after the request was sent forbids to forward the copy
    WITHHELD = auto()  # when the response arrived, this director was no longer permitted to forward it
    SILENT = auto()  # no byte arrived, while the server answered later attempts on another connection
    # the director ended it
    TIMED_OUT = auto()
    CANCELLED = auto()
    # the connection carried no requests
    IDLE = auto()


#: CONNECT_FAILED, FULL, MISS and MOOT prove that the request did not run. With any other status it may have.
STATUS: dict[AttemptOutcome, Status] = {
    AttemptOutcome.SERVED: Status.OK,
    AttemptOutcome.STILL_GOOD: Status.OK,
    AttemptOutcome.NOT_HERE: Status.MISS,
    AttemptOutcome.OVERLOAD: Status.FULL,
    AttemptOutcome.CRASHED: Status.ERROR,
    AttemptOutcome.NOBODY: Status.MOOT,
    AttemptOutcome.REFUSED: Status.CONNECT_FAILED,
    AttemptOutcome.DIAL_TIMED_OUT: Status.CONNECT_FAILED,
    AttemptOutcome.UNREACHABLE: Status.CONNECT_FAILED,
    AttemptOutcome.LOST_UNSENT: Status.CONNECT_FAILED,
    AttemptOutcome.CAPPED: Status.FULL,
    AttemptOutcome.EXPIRED: Status.MOOT,
    AttemptOutcome.WITHDRAWN: Status.MOOT,
    AttemptOutcome.SURPLUS: Status.MOOT,
    AttemptOutcome.SHUT_OUT: Status.MOOT,
    AttemptOutcome.RESET: Status.RESET,
    AttemptOutcome.CLOSED: Status.RESET,
    AttemptOutcome.GARBLED: Status.RESET,
    AttemptOutcome.CUT_SHORT: Status.RESET,
    AttemptOutcome.OUTDATED: Status.ERROR,
    AttemptOutcome.SUPERSEDED: Status.SUPERSEDED,
    AttemptOutcome.WITHHELD: Status.ERROR,
    AttemptOutcome.SILENT: Status.RESET,
    AttemptOutcome.TIMED_OUT: Status.TIMEOUT,
    AttemptOutcome.CANCELLED: Status.CANCELLED,
    AttemptOutcome.IDLE: Status.RESET,
}

#: The outcome of an attempt whose connection could not be established. No byte of it was written.
OUTCOME_BY_DIAL_END: dict[DialFailure, AttemptOutcome] = {
    DialFailure.REFUSED: AttemptOutcome.REFUSED,
    DialFailure.UNREACHABLE: AttemptOutcome.UNREACHABLE,
    DialFailure.TIMED_OUT: AttemptOutcome.DIAL_TIMED_OUT,
    DialFailure.OVERTAKEN: AttemptOutcome.DIAL_TIMED_OUT,
    DialFailure.DIED: AttemptOutcome.LOST_UNSENT,
    DialFailure.NO_SOCKET: AttemptOutcome.CAPPED,
}
