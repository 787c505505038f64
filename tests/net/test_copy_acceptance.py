"""Which copy may answer a request now: one table of all cases."""

from __future__ import annotations

import pytest

from gladelane.clock import UnixMs
from gladelane.net.copy_acceptance import AnswerBounds, CopyVerdict, Judgement, judge_copy

ACCEPTED, NONCOMPLIANT, PURGED, TOO_OLD = CopyVerdict
UNDATED = 0


@pytest.mark.parametrize("dated, at_send, by_purges, by_age, verdict, excess_ms", [
    (1000, 0, 0, 0, ACCEPTED, 0),  # nothing limits copies
    (UNDATED, 0, 0, 0, ACCEPTED, 0),
    (1000, 900, 0, 0, ACCEPTED, 0),
    (1000, 1005, 0, 0, ACCEPTED, 0),  # the tolerance for rounded dates
    (1000, 1006, 0, 0, NONCOMPLIANT, 6),  # the server was told this bound
    (1000, 900, 1005, 0, ACCEPTED, 0),
    (1000, 900, 1006, 0, PURGED, 6),  # a purge came while the answer was out
    (1000, 900, 0, 1006, TOO_OLD, 6),  # cut off, or a loss, while it was out
    (1000, 900, 2000, 3000, PURGED, 1000),  # both: one is stated
    (1000, 1100, 2000, 0, NONCOMPLIANT, 100),  # the server is at fault, whatever came later
    (3000, 900, 2000, 2500, ACCEPTED, 0),  # a copy that is newer than all of them
    (UNDATED, 900, 800, 0, ACCEPTED, 0),  # nothing new since the send: the server kept to what it was told
    (UNDATED, 900, 900, 900, ACCEPTED, 0),
    (UNDATED, 900, 1000, 0, PURGED, 100),  # it cannot be shown to be newer than the purge
    (UNDATED, 900, 0, 1000, TOO_OLD, 100),
])  # fmt: skip
def test_a_copy_is_judged_by_the_bounds_at_the_send_and_at_the_answer(
    dated: float, at_send: float, by_purges: float, by_age: float, verdict: CopyVerdict, excess_ms: float
) -> None:
    bounds = AnswerBounds(UnixMs(by_purges), UnixMs(by_age))
    assert judge_copy(UnixMs(dated), UnixMs(at_send), bounds) == Judgement(verdict, excess_ms)
