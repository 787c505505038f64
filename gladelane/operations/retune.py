"""New settings for a director that serves: what applies, and what holds while clients go by either. Pure."""

from __future__ import annotations

from dataclasses import fields, replace
from types import MappingProxyType

from ..interface import ClassSpec, Effect, Settings
from .drain import TOLD_MS

#: clients go by a new file so long after the director was given it, until then by either (the operators'
#: rule for live settings; no setting tells it)
CLIENTS_FOLLOW_MS = 1_200.0
#: for which both files hold: what a client wrote by the old one just before it followed is still on its way
BOTH_MS = CLIENTS_FOLLOW_MS + TOLD_MS
STRICTNESS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)
#: what the module reads anew for each request; all else is bound to sockets or to what was learnt
APPLIED = ("classes", "max_attempts", "second_copies", "cancel", "retry_after", "max_retry_after_ms", "joins")


def applied(used: Settings, told: Settings) -> tuple[Settings, list[str]]:
    """The settings that hold after a change, and the names of those that take a restart."""
    later = [f.name for f in fields(Settings) if f.name not in APPLIED]
    later = [name for name in later if getattr(used, name) != getattr(told, name)]
    return replace(used, **{name: getattr(told, name) for name in APPLIED}), later


def between(used: Settings, told: Settings) -> Settings:
    """What holds while both do: no class is missing, and none is freer than either has it."""
    classes = {**used.classes, **told.classes}
    for name in used.classes.keys() & told.classes.keys():
        classes[name] = stricter(used.classes[name], told.classes[name])
    most = min(used.max_attempts, told.max_attempts)
    return replace(told, classes=MappingProxyType(classes), max_attempts=most)


def stricter(one: ClassSpec, other: ClassSpec) -> ClassSpec:
    """Of `other`, with the effect, the window and the age that satisfy both."""
    effect = max(one.effect, other.effect, key=STRICTNESS.index)
    keyed = [spec for spec in (one, other) if spec.effect is Effect.KEYED]
    if len(keyed) == 2 and one.group != other.group:
        effect = Effect.UNSAFE
    ages = [spec.fresh_ms for spec in (one, other) if spec.fresh_ms]  # 0: any age will do
    return replace(
        other,
        effect=effect,
        keyless=len(keyed) < 2,
        window_ms=min((spec.window_ms for spec in keyed), default=other.window_ms),
        group=keyed[-1].group if keyed else other.group,
        fresh_ms=min(ages, default=0.0),
    )
