"""New settings for a running director: which of them apply without a restart, and which settings hold while
some clients use the old file and others the new one. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import fields, replace
from enum import Enum
from types import MappingProxyType

from ..routing.events import ClassSpec, Effect, Settings
from .drain import CLOSE_AFTER_MS

#: Time after the director was given a new file until all clients use it. Until then, each uses either file.
#: This is the operators' rule for live settings; no setting contains it.
CLIENT_SWITCH_MS = 1_200.0
#: Time for which both files hold: a request that a client wrote by the old file just before it switched may
#: still be in transit.
TRANSITION_MS = CLIENT_SWITCH_MS + CLOSE_AFTER_MS
#: Effects from the least strict to the strictest.
STRICTNESS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)
#: Settings that the router reads for each request. All others are bound to sockets or to learned state.
LIVE_SETTINGS = (
    "classes",
    "max_attempts",
    "second_copies",
    "cancel",
    "retry_after",
    "max_retry_after_ms",
    "joins",
)

#: Settings that permit the director to do something.
PERMISSIONS = ("second_copies", "cancel", "retry_after", "joins")


def apply_live(current: Settings, new: Settings) -> tuple[Settings, list[str]]:
    """Returns the settings in effect after a change, and the names of changed settings that need a
    restart."""
    restart = [f.name for f in fields(Settings) if f.name not in LIVE_SETTINGS]
    restart = [name for name in restart if getattr(current, name) != getattr(new, name)]
    return replace(current, **{name: getattr(new, name) for name in LIVE_SETTINGS}), restart


def describe_changes(current: Settings, new: Settings) -> list[str]:
    """Returns a text for each live setting that differs, such as `max_attempts 8 -> 3`, for the log."""
    changes = [f"class {name} added" for name in new.classes if name not in current.classes]
    changes += [f"class {name} removed" for name in current.classes if name not in new.classes]
    for name, spec in current.classes.items():
        if name in new.classes:
            names = [field.name for field in fields(ClassSpec)]
            changes += _changed_fields(spec, new.classes[name], names, f"class {name} ")
    names = [name for name in LIVE_SETTINGS if name != "classes"]
    return changes + _changed_fields(current, new, names)


def _changed_fields(old: object, new: object, names: Iterable[str], prefix: str = "") -> list[str]:
    """Describes those of the named fields that differ."""
    changes = []
    for name in names:
        before, after = _plain_value(getattr(old, name)), _plain_value(getattr(new, name))
        if before != after:
            changes.append(f"{prefix}{name} {before} -> {after}")
    return changes


def _plain_value(value: object) -> object:
    return value.value if isinstance(value, Enum) else value


def transition_settings(current: Settings, new: Settings) -> Settings:
    """Returns the settings for the time in which clients use either file: they contain every class, no class
    is less strict than in either file, and they permit only what both files permit."""
    classes = {**current.classes, **new.classes}
    for name in current.classes.keys() & new.classes.keys():
        classes[name] = combine_strictest(current.classes[name], new.classes[name])
    return replace(
        new,
        classes=MappingProxyType(classes),
        max_attempts=min(current.max_attempts, new.max_attempts),
        max_retry_after_ms=min(current.max_retry_after_ms, new.max_retry_after_ms),
        **{name: getattr(current, name) and getattr(new, name) for name in PERMISSIONS},
    )


def combine_strictest(one: ClassSpec, other: ClassSpec) -> ClassSpec:
    """Returns `other` with an effect, a window and a copy age that satisfy both."""
    effect = max(one.effect, other.effect, key=STRICTNESS.index)
    keyed = [spec for spec in (one, other) if spec.effect is Effect.KEYED]
    # A class may be keyless because of an earlier transition: when a third file follows soon, some clients
    # still use the first one.
    is_keyless = len(keyed) < 2 or any(spec.keyless for spec in keyed)
    if len(keyed) == 2 and one.group != other.group:
        effect = Effect.UNSAFE
    ages = [spec.fresh_ms for spec in (one, other) if spec.fresh_ms]  # 0: any age is allowed
    return replace(
        other,
        effect=effect,
        keyless=is_keyless,
        window_ms=min((spec.window_ms for spec in keyed), default=other.window_ms),
        group=keyed[-1].group if keyed else other.group,
        fresh_ms=min(ages, default=0.0),
    )
