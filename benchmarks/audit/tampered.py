"""Reports that were altered: each has to be noticed."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

from gladelane.audit.audit_store import AuditStore
from gladelane.lab.fleet.altered_stores import altered_copies, has_inconsistency
from gladelane.lab.fleet.audit_comparison import find_contradictions


def notice_alterations(metrics: Mapping[str, Any], seed: int) -> dict[str, bool]:
    """Whether each alteration of a run's reports is noticed, by the store or against what servers saw."""
    load, lists = metrics["load"], metrics["lists"]

    def is_noticed(store: AuditStore) -> bool:
        return has_inconsistency(store) or bool(
            find_contradictions(store, load.attempts, load.replies, load.purges, lists, load.stalls)
        )

    return {
        name: is_noticed(store) for name, store in altered_copies(metrics["ledger"], Random(seed)).items()
    }
