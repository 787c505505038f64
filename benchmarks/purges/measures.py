"""Figures from the answers of a run and its purges. Pure functions."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Sequence

from gladelane.lab.fleet.run_checks import SLACK_MS, AcknowledgedPurge, ObservedReply


def is_older(answer: ObservedReply, purge: AcknowledgedPurge) -> bool:
    """Returns whether the answer came from a copy that is older than the purge and covered by it."""
    is_before = answer.dated_ms + SLACK_MS < purge.at_ms
    return is_before and purge.scope.covers(answer.cls, answer.group, answer.object, answer.part)


def stale_by_scan(
    answers: Sequence[ObservedReply], purges: Sequence[AcknowledgedPurge], delay_ms: float, max_scanned: int
) -> int:
    """Counts stale answers in a sample by a plain scan, which is independent of the index under test."""
    step = max(len(answers) // max_scanned, 1)
    return sum(
        any(purge.at_ms + delay_ms <= answer.sent_ms and is_older(answer, purge) for purge in purges)
        for answer in answers[::step]
    )


def delays_ms(
    answers: Iterable[ObservedReply], purges: Iterable[AcknowledgedPurge], delay_ms: float
) -> list[float]:
    """Returns for each purge the time until the last request that got an answer from an older copy.

    The time is 0 if there was no such answer; only requests up to twice the stated delay are considered.
    """
    ordered = sorted(answers, key=lambda answer: answer.sent_ms)
    sent_ms = [answer.sent_ms for answer in ordered]
    delays = []
    for purge in purges:
        end = bisect_left(sent_ms, purge.at_ms + 2 * delay_ms)
        after = ordered[bisect_left(sent_ms, purge.at_ms) : end]
        delays.append(
            max((answer.sent_ms - purge.at_ms for answer in after if is_older(answer, purge)), default=0.0)
        )
    return delays


def peak_per_s(times_s: Iterable[float], start_s: float, end_s: float) -> float:
    """Returns the largest number of times within one second of the interval."""
    seconds = Counter(int(time_s - start_s) for time_s in times_s if start_s <= time_s < end_s)
    return float(max(seconds.values(), default=0))
