"""What a start may take of what the process before it had learnt, and what of that is still true. Pure.

Learnt things are guesses that make decisions better, never conditions that make them right: ages, purges,
drains, cold servers and the windows of keys are looked at as if nothing were known. So the worst that a
document can do is to be a bad guess, and it is taken only where it is likely to be a good one: of the same
director, the same settings, most of the same servers, and not too old. Each part ages by itself: counts of
objects halve as the module halves them, how a server does lately is void soon, limits later.
"""

from __future__ import annotations

from dataclasses import asdict
from hashlib import blake2b

import msgspec

from ..choice import AGEING_MS, DOWN_MS, FORGET_BELOW, Router
from ..interface import Settings
from ..upgrade.learnt import Learnt, restore

FORMAT = 1
HEALTH_MS = 10_000.0  # for which it says something that a server was failing or resting
LIMITS_MS = 60_000.0  # and how much it could take
SAME_SHARE = 0.5  # of the servers, with the same start of their process


class Warm(msgspec.Struct, array_like=True):
    format: int
    name: str  # the director's, with its address
    settings: str  # a digest
    written_ms: float
    learnt: Learnt


def digest(settings: Settings) -> str:
    """Of all that decides what learnt figures mean."""
    plain = {name: value for name, value in vars_of(settings).items() if name != "me"}
    return blake2b(repr(sorted(plain.items())).encode(), digest_size=12).hexdigest()


def vars_of(settings: Settings) -> dict[str, object]:
    fields = {name: getattr(settings, name) for name in settings.__dataclass_fields__}
    classes = settings.classes.items()
    fields["classes"] = sorted((name, sorted(asdict(spec).items())) for name, spec in classes)
    return fields


def unfit(told: Warm, name: str, settings: str, now_ms: float, most_age_ms: float) -> str:
    """Why it is not taken; empty: it is."""
    if told.format != FORMAT:
        return f"format {told.format}; expected {FORMAT}"
    if told.name != name:
        return f"of {told.name!r}; expected {name!r}"
    if told.settings != settings:
        return "other settings"
    age = now_ms - told.written_ms
    if not 0.0 <= age <= most_age_ms:
        return f"age {age:.0f} ms; expected 0 to {most_age_ms:.0f}"
    return ""


def aged(learnt: Learnt, age_ms: float) -> Learnt:
    """What of it is still true after so long."""
    faded = 0.5 ** (age_ms / AGEING_MS)
    objects = [
        msgspec.structs.replace(one, count=one.count * faded, utility=one.utility * faded)
        for one in learnt.objects
        if one.count * faded >= FORGET_BELOW
    ]
    stores = learnt.stores if age_ms <= LIMITS_MS else []
    if age_ms > HEALTH_MS:
        stores = [
            msgspec.structs.replace(one, fails=0.0, lateness=0.0, flaw=0.0, down_until=0.0, rest_ms=DOWN_MS)
            for one in stores
        ]
    return msgspec.structs.replace(learnt, objects=objects, stores=stores)


def apply(router: Router, told: Warm, now_ms: float) -> str:
    """To a router that has heard its list. Why nothing was taken, empty: it was. Budgets of further attempts
    never exceed those of a cold start: after most directors came back nobody is to have saved up for a
    crowd."""
    same = sum(
        one.store in router.stores and router.stores[one.store].member.came_up_ms == one.came_up_ms
        for one in told.learnt.stores
    )
    if same < SAME_SHARE * max(len(told.learnt.stores), len(router.stores), 1):
        return f"{same} of {len(router.stores)} servers are the same"
    learnt = aged(told.learnt, now_ms - told.written_ms)
    restore(
        router,
        msgspec.structs.replace(
            learnt, retries=min(learnt.retries, router.retries), hedges=min(learnt.hedges, router.hedges)
        ),
    )
    return ""
