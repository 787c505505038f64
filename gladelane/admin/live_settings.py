"""New settings for a director that is serving: which of them apply, and what holds while clients use either
file. Pure.
"""

from __future__ import annotations

from dataclasses import fields, replace
from types import MappingProxyType

from ..routing.events import ClassSpec, Effect, Settings
from .drain import CLOSE_AFTER_MS

#: Clients follow a new file so long after the director was given it, and use either until then (the
#: operators' rule for live settings; no setting says so).
CLIENTS_FOLLOW_MS = 1_200.0
#: For so long both files hold: what a client wrote by the old file just before it followed is still on its
#: way.
TRANSITION_MS = CLIENTS_FOLLOW_MS + CLOSE_AFTER_MS
STRICTNESS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)
#: Settings that the router reads anew for each request; all others are bound to sockets or to learnt state.
APPLIED = ("classes", "max_attempts", "second_copies", "cancel", "retry_after", "max_retry_after_ms", "joins")

#: What may be done only where the settings permit it.
PERMISSIONS = ("second_copies", "cancel", "retry_after", "joins")


def apply_live(used: Settings, new: Settings) -> tuple[Settings, list[str]]:
    """The settings in force after a change, and the names of those that need a restart."""
    restart = [f.name for f in fields(Settings) if f.name not in APPLIED]
    restart = [name for name in restart if getattr(used, name) != getattr(new, name)]
    return replace(used, **{name: getattr(new, name) for name in APPLIED}), restart


def transition_settings(used: Settings, new: Settings) -> Settings:
    """What holds while clients use either file: no class is missing, none is less strict than in one of them,
    and nothing is done that one of them does not permit."""
    classes = {**used.classes, **new.classes}
    for name in used.classes.keys() & new.classes.keys():
        classes[name] = stricter(used.classes[name], new.classes[name])
    return replace(
        new,
        classes=MappingProxyType(classes),
        max_attempts=min(used.max_attempts, new.max_attempts),
        max_retry_after_ms=min(used.max_retry_after_ms, new.max_retry_after_ms),
        **{name: getattr(used, name) and getattr(new, name) for name in PERMISSIONS},
    )


def stricter(one: ClassSpec, other: ClassSpec) -> ClassSpec:
    """`other` with the effect, the window and the age that satisfy both."""
    effect = max(one.effect, other.effect, key=STRICTNESS.index)
    keyed = [spec for spec in (one, other) if spec.effect is Effect.KEYED]
    # The first two of three files in a row may have made it so: clients still use the first one.
    is_keyless = len(keyed) < 2 or any(spec.keyless for spec in keyed)
    if len(keyed) == 2 and one.group != other.group:
        effect = Effect.UNSAFE
    ages = [spec.fresh_ms for spec in (one, other) if spec.fresh_ms]  # 0: any age will do
    return replace(
        other,
        effect=effect,
        keyless=is_keyless,
        window_ms=min((spec.window_ms for spec in keyed), default=other.window_ms),
        group=keyed[-1].group if keyed else other.group,
        fresh_ms=min(ages, default=0.0),
    )
