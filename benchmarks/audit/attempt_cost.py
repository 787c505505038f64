"""Measures the time that the audit adds to an attempt."""

from __future__ import annotations

import time

from gladelane.audit.activity_log import ActivityLog
from gladelane.audit.steady import steady_ms
from gladelane.audit.view_lease import ViewLease

ROUNDS, ATTEMPTS = 5, 100_000
LEASE_MS = 3_600_000.0
STRICT_CLASS = "question-item"


def measure_attempt_us() -> float:
    """Returns the time to check the lease and count an attempt, from the fastest of several rounds."""
    lease, log = ViewLease(), ActivityLog("d", 1, "v", {}, 0.0)
    lease.renew(steady_ms(), LEASE_MS)
    strict_classes = frozenset({STRICT_CLASS})
    rounds_s = []
    for _ in range(ROUNDS):
        started_s = time.perf_counter()
        for _ in range(ATTEMPTS):
            if lease.permits(STRICT_CLASS in strict_classes, steady_ms()):
                log.record_attempt(STRICT_CLASS)
        rounds_s.append(time.perf_counter() - started_s)
    return min(rounds_s) / ATTEMPTS * 1e6
