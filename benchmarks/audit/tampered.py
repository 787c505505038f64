"""Reports that were altered: each has to be noticed."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from gladelane.audit.audit_store import AuditStore
from gladelane.lab.fleet.altered_stores import caught, planted
from gladelane.lab.fleet.audited import contradictions


def notice_alterations(metrics: Mapping[str, Any], seed: int) -> dict[str, bool]:
    """Whether each alteration of a run's reports is noticed, by the store or against what servers saw."""
    load, lists = metrics["load"], metrics["lists"]

    def is_noticed(store: AuditStore) -> bool:
        return caught(store) or bool(
            contradictions(store, load.attempts, load.made, load.purges, lists, load.standstills)
        )

    return {name: is_noticed(store) for name, store in planted(metrics["ledger"], Random(seed)).items()}
