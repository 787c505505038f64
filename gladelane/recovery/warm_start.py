"""Decides what a starting director may use of the state that the previous process had learned. Pure.

Learned state improves decisions, but correctness never depends on it: ages, purges, drains, slow start and
idempotency windows are checked as if nothing were known. The worst effect of a stored document is a bad
estimate. It is therefore used only where its estimates are probably good: for the same director, the same
settings, mostly the same servers, and a recent date. Each part expires separately: object counts decay as the
router decays them, a server's health expires soon, concurrency limits later.
"""

from __future__ import annotations

from dataclasses import asdict
from hashlib import blake2b

import msgspec

from ..hot_restart.learned_state import LearnedState, restore
from ..routing.cache_admission import AGEING_MS, FORGET_BELOW
from ..routing.events import Settings
from ..routing.router import Router
from ..routing.store import MIN_EJECTION_MS
from ..storage.boot import BootTimestamp

FORMAT = 1
HEALTH_EXPIRES_MS = 10_000.0  # of failures and ejections of a server
LIMITS_EXPIRE_MS = 60_000.0  # of concurrency limits
MIN_SAME_SERVERS_SHARE = 0.5  # servers count as the same if their processes have not been restarted


class WarmStartDocument(msgspec.Struct, array_like=True):
    """The stored form of learned state; fields are stored by their position."""

    format: int
    name: str  # the director's, with its address
    settings: str  # digest of the settings under which the state was learned
    written_ms: float  # Unix ms
    learned_state: LearnedState
    boot: str = ""  # with `since_boot_ms`: the time of writing as a BootTimestamp
    since_boot_ms: float = 0.0


def settings_digest(settings: Settings) -> str:
    """The digest of all settings that determine what learned state means: all but the director's own
    number."""
    fields = {name: value for name, value in settings_fields(settings).items() if name != "me"}
    return blake2b(repr(sorted(fields.items())).encode(), digest_size=12).hexdigest()


def settings_fields(settings: Settings) -> dict[str, object]:
    """All settings by name, as plain values in a fixed order."""
    fields = {name: getattr(settings, name) for name in settings.__dataclass_fields__}
    classes = settings.classes.items()
    fields["classes"] = sorted((name, sorted(asdict(spec).items())) for name, spec in classes)
    return fields


def document_age_ms(document: WarmStartDocument, now_ms: float, now: BootTimestamp) -> float:
    """The time since the document was written: by the boot clock if it is from the same boot of the machine,
    otherwise by the wall clock."""
    age_ms = BootTimestamp(document.boot, document.since_boot_ms).age_ms(now)
    return now_ms - document.written_ms if age_ms is None else age_ms


def reason_to_reject(
    document: WarmStartDocument, name: str, settings: str, age_ms: float, max_age_ms: float
) -> str:
    """Why a document must not be used, as a text for the log; empty if it may be used."""
    if document.format != FORMAT:
        return f"format {document.format}; expected {FORMAT}"
    if document.name != name:
        return f"written by {document.name!r}; expected {name!r}"
    if document.settings != settings:
        return "written under other settings"
    if not 0.0 <= age_ms <= max_age_ms:
        return f"age {age_ms:.0f} ms; expected 0 to {max_age_ms:.0f}"
    return ""


def decay_learned_state(learned_state: LearnedState, age_ms: float) -> LearnedState:
    """Returns the parts that are still valid after `age_ms`, with object counts decayed."""
    factor = 0.5 ** (age_ms / AGEING_MS)
    objects = [
        msgspec.structs.replace(entry, count=entry.count * factor, utility=entry.utility * factor)
        for entry in learned_state.objects
        if entry.count * factor >= FORGET_BELOW
    ]
    stores = learned_state.stores if age_ms <= LIMITS_EXPIRE_MS else []
    if age_ms > HEALTH_EXPIRES_MS:
        stores = [
            msgspec.structs.replace(
                store,
                failure_score=0.0,
                lateness=0.0,
                error_rate=0.0,
                ejected_until_ms=0.0,
                ejection_ms=MIN_EJECTION_MS,
            )
            for store in stores
        ]
    return msgspec.structs.replace(learned_state, objects=objects, stores=stores)


def shift_timestamps(learned_state: LearnedState, shift_ms: float) -> LearnedState:
    """Returns the state with all timestamps shifted, to correct for a step of the wall clock."""
    stores = [
        msgspec.structs.replace(
            store,
            answered_ms=_shift_timestamp(store.answered_ms, shift_ms),
            ejected_until_ms=_shift_timestamp(store.ejected_until_ms, shift_ms),
        )
        for store in learned_state.stores
    ]
    return msgspec.structs.replace(learned_state, stores=stores)


def _shift_timestamp(timestamp_ms: float, shift_ms: float) -> float:
    """Leaves 0 as it is, which means that the event has not happened."""
    return timestamp_ms + shift_ms if timestamp_ms > 0.0 else timestamp_ms


def apply_document(router: Router, document: WarmStartDocument, now_ms: float, age_ms: float) -> str:
    """Restores learned state into a router that has its endpoint list. Returns why nothing was restored, as a
    text for the log; empty if the state was restored.

    Budgets for retries and hedged requests never exceed those of a cold start: if most directors restart at
    the same time, saved budgets would permit a retry storm."""
    same_count = sum(
        stored.store in router.stores
        and router.stores[stored.store].member.started_at_ms == stored.started_at_ms
        for stored in document.learned_state.stores
    )
    if same_count < MIN_SAME_SERVERS_SHARE * max(len(document.learned_state.stores), len(router.stores), 1):
        return f"{same_count} of {len(router.stores)} servers are the same"
    clock_step_ms = now_ms - age_ms - document.written_ms
    learned = shift_timestamps(decay_learned_state(document.learned_state, age_ms), clock_step_ms)
    retries, hedges = min(learned.retries, router.budgets.retries), min(learned.hedges, router.budgets.hedges)
    restore(router, msgspec.structs.replace(learned, retries=retries, hedges=hedges))
    return ""
