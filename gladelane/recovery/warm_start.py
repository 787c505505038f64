"""Decides what a start may use of the state that the previous process had learnt. Pure.

Learnt state makes decisions better and is never a condition for their being right: ages, purges, drains, slow
start and idempotency windows are checked as if nothing were known. The worst that a stored document can do is
to be a bad guess, so it is used only where it is likely to be a good one: the same director, the same
settings, most of the same servers, and a recent date. Each part expires by itself: object counts decay as the
router decays them, a server's health expires soon, concurrency limits later.
"""

from __future__ import annotations

from dataclasses import asdict
from hashlib import blake2b

import msgspec

from ..hot_restart.learnt import Learnt, restore
from ..routing.cache_admission import AGEING_MS, FORGET_BELOW
from ..routing.events import Settings
from ..routing.router import Router
from ..routing.store import MIN_EJECTION_MS
from ..storage.boot import BootMoment

FORMAT = 1
HEALTH_EXPIRES_MS = 10_000.0  # that a server was failing or resting
LIMITS_EXPIRE_MS = 60_000.0  # how many requests at once a server could take
SAME_SERVERS_SHARE = 0.5  # of the servers, with the same start of their process


class WarmStartDocument(msgspec.Struct, array_like=True):
    """The stored form of learnt state; fields are stored by their position."""

    format: int
    name: str  # the director's, with its address
    settings: str  # digest of the settings under which it was learnt
    written_ms: float  # Unix ms
    learnt: Learnt
    boot: str = ""  # with since_ms: the same moment as a BootMoment
    since_ms: float = 0.0


def settings_digest(settings: Settings) -> str:
    """Of all settings that decide what learnt figures mean; the director's own number does not."""
    fields = {name: value for name, value in settings_fields(settings).items() if name != "me"}
    return blake2b(repr(sorted(fields.items())).encode(), digest_size=12).hexdigest()


def settings_fields(settings: Settings) -> dict[str, object]:
    """All settings by name, in plain values of a fixed order."""
    fields = {name: getattr(settings, name) for name in settings.__dataclass_fields__}
    classes = settings.classes.items()
    fields["classes"] = sorted((name, sorted(asdict(spec).items())) for name, spec in classes)
    return fields


def document_age_ms(document: WarmStartDocument, now_ms: float, now: BootMoment) -> float:
    """How long ago it was written: exactly within one boot of the machine, else by the wall clock."""
    age_ms = BootMoment(document.boot, document.since_ms).age_ms(now)
    return now_ms - document.written_ms if age_ms is None else age_ms


def reason_to_reject(
    document: WarmStartDocument, name: str, settings: str, age_ms: float, most_age_ms: float
) -> str:
    """Why a document is not used, in words for the log; empty if it is."""
    if document.format != FORMAT:
        return f"format {document.format}; expected {FORMAT}"
    if document.name != name:
        return f"of {document.name!r}; expected {name!r}"
    if document.settings != settings:
        return "other settings"
    if not 0.0 <= age_ms <= most_age_ms:
        return f"age {age_ms:.0f} ms; expected 0 to {most_age_ms:.0f}"
    return ""


def decayed(learnt: Learnt, age_ms: float) -> Learnt:
    """What of it is still true after `age_ms`."""
    factor = 0.5 ** (age_ms / AGEING_MS)
    objects = [
        msgspec.structs.replace(one, count=one.count * factor, utility=one.utility * factor)
        for one in learnt.objects
        if one.count * factor >= FORGET_BELOW
    ]
    stores = learnt.stores if age_ms <= LIMITS_EXPIRE_MS else []
    if age_ms > HEALTH_EXPIRES_MS:
        stores = [
            msgspec.structs.replace(
                one,
                failure_score=0.0,
                lateness=0.0,
                error_rate=0.0,
                ejected_until_ms=0.0,
                ejection_ms=MIN_EJECTION_MS,
            )
            for one in stores
        ]
    return msgspec.structs.replace(learnt, objects=objects, stores=stores)


def with_moments_shifted(learnt: Learnt, by_ms: float) -> Learnt:
    """With all moments moved, for a clock that was stepped since they were written."""
    stores = [
        msgspec.structs.replace(
            one,
            answered_ms=_shifted(one.answered_ms, by_ms),
            ejected_until_ms=_shifted(one.ejected_until_ms, by_ms),
        )
        for one in learnt.stores
    ]
    return msgspec.structs.replace(learnt, stores=stores)


def _shifted(moment_ms: float, by_ms: float) -> float:
    """0 means that there is no such moment."""
    return moment_ms + by_ms if moment_ms > 0.0 else moment_ms


def apply_document(router: Router, document: WarmStartDocument, now_ms: float, age_ms: float) -> str:
    """Restores learnt state into a router that has its endpoint list. Returns why nothing was restored, in
    words for the log; empty if it was.

    Budgets for retries and hedged requests never exceed those of a cold start: after most directors restarted
    at once, none may have saved up for a retry storm."""
    same = sum(
        one.store in router.stores and router.stores[one.store].member.started_at_ms == one.started_at_ms
        for one in document.learnt.stores
    )
    if same < SAME_SERVERS_SHARE * max(len(document.learnt.stores), len(router.stores), 1):
        return f"{same} of {len(router.stores)} servers are the same"
    clock_step_ms = now_ms - age_ms - document.written_ms
    learnt = with_moments_shifted(decayed(document.learnt, age_ms), clock_step_ms)
    retries, hedges = min(learnt.retries, router.budgets.retries), min(learnt.hedges, router.budgets.hedges)
    restore(router, msgspec.structs.replace(learnt, retries=retries, hedges=hedges))
    return ""
