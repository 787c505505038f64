"""Live settings as one process of a director passes them to another. Pure.

They are encoded by the names of their fields, so that a version may know more of them than another.
"""

from __future__ import annotations

from dataclasses import replace
from types import MappingProxyType
from typing import Any

import msgspec

from ..admin.live_settings import LIVE_SETTINGS
from ..routing.events import ClassSpec, Settings
from .decoding import decode_with


class LiveSettings(msgspec.Struct, frozen=True):
    """The fields of `Settings` that apply without a restart."""

    classes: dict[str, ClassSpec]
    max_attempts: int
    second_copies: bool
    cancel: bool
    retry_after: bool
    max_retry_after_ms: float
    joins: bool


_decoder: msgspec.json.Decoder[LiveSettings] = msgspec.json.Decoder(LiveSettings)


def encode_settings(settings: Settings) -> bytes:
    """Returns the live settings as JSON without line breaks."""
    values: dict[str, Any] = {name: getattr(settings, name) for name in LIVE_SETTINGS}
    values["classes"] = dict(settings.classes)
    return msgspec.json.encode(LiveSettings(**values))


def decode_settings(data: bytes, own: Settings) -> Settings:
    """Returns the settings `own` with the live ones in `data`. Raises HandoverError."""
    live = decode_with(_decoder, data, "settings")
    values: dict[str, Any] = {name: getattr(live, name) for name in LIVE_SETTINGS}
    values["classes"] = MappingProxyType(live.classes)
    return replace(own, **values)
