"""Storage outages as operators see them: a log line when writes begin to fail, and one when they succeed."""

from __future__ import annotations

import errno
import logging

#: Errors that may end by themselves, as opposed to those of a folder that is configured wrongly.
TRANSIENT_ERRNOS = frozenset(
    {errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.ENOMEM, errno.EMFILE, errno.ENFILE}
)


def is_transient(error: OSError) -> bool:
    """Whether the same call may succeed later without a change by an operator."""
    return error.errno in TRANSIENT_ERRNOS


class Outage:
    """Whether writes of one kind fail at present. Logs only the transitions."""

    def __init__(self, log: logging.Logger, what: str) -> None:
        """`what` names the stored data in log lines."""
        self._log = log
        self._what = what
        self.is_ongoing = False

    def report_failure(self, error: Exception) -> None:
        """Records that a write failed."""
        if not self.is_ongoing:
            self._log.error("%s not stored: %s", self._what, error)
        self.is_ongoing = True

    def report_success(self) -> None:
        """Records that a write succeeded."""
        if self.is_ongoing:
            self._log.warning("%s stored again", self._what)
        self.is_ongoing = False
