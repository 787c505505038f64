"""Checks that tampered reports are detected."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from gladelane.audit.audit_store import AuditStore
from gladelane.lab.fleet.altered_stores import altered_copies, has_inconsistency
from gladelane.lab.fleet.audit_comparison import find_contradictions


def detect_tampering(metrics: Mapping[str, Any], seed: int) -> dict[str, bool]:
    """Returns, by its name, whether each tampering with the reports of a run is detected.

    It is detected by the store itself, or by a contradiction to what servers observed.
    """
    load, lists = metrics["load"], metrics["lists"]

    def is_detected(store: AuditStore) -> bool:
        return has_inconsistency(store) or bool(
            find_contradictions(store, load.attempts, load.replies, load.purges, lists, load.stalls)
        )

    return {
        name: is_detected(store) for name, store in altered_copies(metrics["ledger"], Random(seed)).items()
    }
