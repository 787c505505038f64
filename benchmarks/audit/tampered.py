"""Checks that tampered reports are detected."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from gladelane.audit.audit_store import AuditStore
from gladelane.lab.fleet.altered_stores import caught, planted
from gladelane.lab.fleet.audited import contradictions


def detect_tampering(metrics: Mapping[str, Any], seed: int) -> dict[str, bool]:
    """Returns, by its name, whether each tampering with the reports of a run is detected.

    It is detected by the store itself, or by a contradiction to what servers observed.
    """
    load, lists = metrics["load"], metrics["lists"]

    def is_detected(store: AuditStore) -> bool:
        return caught(store) or bool(
            contradictions(store, load.attempts, load.made, load.purges, lists, load.standstills)
        )

    return {name: is_detected(store) for name, store in planted(metrics["ledger"], Random(seed)).items()}
