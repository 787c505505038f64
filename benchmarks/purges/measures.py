"""What the answers of a run came to, held against its purges. Pure."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Sequence

from gladelane.lab.fleet.run_checks import SLACK_MS, AcknowledgedPurge, ObservedReply


def is_older(answer: ObservedReply, purge: AcknowledgedPurge) -> bool:
    """Whether the answer's copy is one that the purge was to drop."""
    is_before = answer.dated_ms + SLACK_MS < purge.at_ms
    return is_before and purge.scope.covers(answer.cls, answer.group, answer.object, answer.part)


def stale_by_scan(
    answers: Sequence[ObservedReply], purges: Sequence[AcknowledgedPurge], delay_ms: float, at_most: int
) -> int:
    """Stale answers by the plainest scan over some of them: the index must not vouch for itself."""
    step = max(len(answers) // at_most, 1)
    return sum(
        any(purge.at_ms + delay_ms <= answer.sent_ms and is_older(answer, purge) for purge in purges)
        for answer in answers[::step]
    )


def delays_ms(
    answers: Iterable[ObservedReply], purges: Iterable[AcknowledgedPurge], delay_ms: float
) -> list[float]:
    """For each purge, how long after it the last answer from an older copy was sent; 0: none was. Looks for
    twice the stated delay."""
    ordered = sorted(answers, key=lambda answer: answer.sent_ms)
    sent_ms = [answer.sent_ms for answer in ordered]
    found = []
    for purge in purges:
        end = bisect_left(sent_ms, purge.at_ms + 2 * delay_ms)
        after = ordered[bisect_left(sent_ms, purge.at_ms) : end]
        found.append(max((one.sent_ms - purge.at_ms for one in after if is_older(one, purge)), default=0.0))
    return found


def peak_per_s(times_s: Iterable[float], start_s: float, end_s: float) -> float:
    """The most in any second of the interval."""
    seconds = Counter(int(time_s - start_s) for time_s in times_s if start_s <= time_s < end_s)
    return float(max(seconds.values(), default=0))
