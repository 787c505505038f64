"""Every way an attempt or its connection can end, and the one table that maps it to the module's Status."""

from __future__ import annotations

from enum import Enum, auto

from ..endpoints.health import DialEnd
from ..interface import Status


class End(Enum):
    # the cache answered
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
    CAPPED = auto()  # this director holds as many connections as it may
    EXPIRED = auto()  # its time ran out before it could be written
    WITHDRAWN = auto()  # the store or its source left the list before it could be written
    SURPLUS = auto()  # sent after the end of its request, or beyond max_attempts
    SHUT_OUT = auto()  # this director may not act: it has not heard for too long, or is too far behind
    # the connection ended under the request
    RESET = auto()
    CLOSED = auto()
    GARBLED = auto()
    CUT_SHORT = auto()  # an answer began and brought nothing more
    OUTDATED = auto()  # the answer is from a copy older than a purge that held when the request was written
    WITHHELD = auto()  # the answer came when this director might no longer pass it on
    SILENT = auto()  # nothing came while the peer answered later attempts on another connection
    # the director ended it
    TIMED_OUT = auto()
    CANCELLED = auto()
    # a connection without requests
    IDLE = auto()


#: CONNECT_FAILED, FULL, MISS and MOOT prove that nothing ran; with any byte written, it may have.
STATUS: dict[End, Status] = {
    End.SERVED: Status.OK,
    End.STILL_GOOD: Status.OK,
    End.NOT_HERE: Status.MISS,
    End.OVERLOAD: Status.FULL,
    End.CRASHED: Status.ERROR,
    End.NOBODY: Status.MOOT,
    End.REFUSED: Status.CONNECT_FAILED,
    End.DIAL_TIMED_OUT: Status.CONNECT_FAILED,
    End.UNREACHABLE: Status.CONNECT_FAILED,
    End.LOST_UNSENT: Status.CONNECT_FAILED,
    End.CAPPED: Status.FULL,
    End.EXPIRED: Status.MOOT,
    End.WITHDRAWN: Status.MOOT,
    End.SURPLUS: Status.MOOT,
    End.SHUT_OUT: Status.MOOT,
    End.RESET: Status.RESET,
    End.CLOSED: Status.RESET,
    End.GARBLED: Status.RESET,
    End.CUT_SHORT: Status.RESET,
    End.OUTDATED: Status.ERROR,
    End.WITHHELD: Status.ERROR,
    End.SILENT: Status.RESET,
    End.TIMED_OUT: Status.TIMEOUT,
    End.CANCELLED: Status.CANCELLED,
    End.IDLE: Status.RESET,
}

#: a race of dials that was lost, by what its dials came to; none of these wrote a byte
DIAL_END: dict[DialEnd, End] = {
    DialEnd.REFUSED: End.REFUSED,
    DialEnd.UNREACHABLE: End.UNREACHABLE,
    DialEnd.TIMED_OUT: End.DIAL_TIMED_OUT,
    DialEnd.OVERTAKEN: End.DIAL_TIMED_OUT,
    DialEnd.DIED: End.LOST_UNSENT,
    DialEnd.NO_SOCKET: End.CAPPED,
}
