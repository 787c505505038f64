"""Logs storage outages: one line when writes begin to fail, and one when they succeed again."""

from __future__ import annotations

import errno
import logging

#: Errors that may disappear without a change of configuration, unlike those of a wrongly configured folder.
TRANSIENT_ERRNOS = frozenset(
    {errno.EIO, errno.ENOSPC, errno.EDQUOT, errno.ENOMEM, errno.EMFILE, errno.ENFILE}
)


def is_transient(error: OSError) -> bool:
    """Whether the same call may succeed later without a change by an operator."""
    return error.errno in TRANSIENT_ERRNOS


class Outage:
    """Tracks whether writes of one kind of data fail at present. Logs only the transitions."""

    def __init__(self, log: logging.Logger, data_name: str) -> None:
        """`data_name` names the stored data in log lines."""
        self._log = log
        self._data_name = data_name
        self.is_ongoing = False

    def report_failure(self, error: Exception) -> None:
        """Records that a write failed."""
        if not self.is_ongoing:
            self._log.error("%s not stored: %s", self._data_name, error)
        self.is_ongoing = True

    def report_success(self) -> None:
        """Records that a write succeeded."""
        if self.is_ongoing:
            self._log.warning("%s stored again", self._data_name)
        self.is_ongoing = False
