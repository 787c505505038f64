"""Settings of a router in the manner of the first known deployment."""

from __future__ import annotations

from typing import Any

from gladelane.routing.events import (
    Settings,
)

_SETTINGS: dict[str, Any] = {
    "me": 0, "proxies": 4, "zone": "z0", "zones": ["hub", "z0", "z1"], "hub_of": [0, 0, 0],
    "seats_by_zone": [0, 2, 2], "origin_kind": "root", "parent_kind": "mid", "reports": "none",
    "notes": "hit", "peers_fill": "zone", "weights": "nominal", "straight": True, "joins": True,
    "flow_kb_per_s": 5000.0, "cancel": True, "second_copies": True, "retry_after": True,
    "max_retry_after_ms": 1000.0, "max_attempts": 8, "max_open": 20000, "connect_timeout_ms": 400.0,
    "drain_grace_ms": 1000.0, "answer_grace_ms": 8.0, "tick_ms": 2.0, "cold_from": 0.3,
    "warm_after_ms": 9000.0, "fall_multiple": 3.0, "fall_ms": 2000.0, "parent_cold_from": 0.1,
    "parent_cold_ms": 15000.0, "parent_fall_multiple": 2.0, "purge_grace_ms": 1000.0,
    "purge_done_ms": 6000.0,
    "classes": [
        {"name": "part", "effect": "safe", "aim_ms": 600.0, "aim_stretch": 1.6, "deadline_ms": 6000.0,
         "worth": 2.0, "late_worth": 0.15, "parts": True},
        {"name": "item", "effect": "safe", "aim_ms": 400.0, "aim_stretch": 2.0, "deadline_ms": 3000.0,
         "worth": 1.0, "late_worth": 0.2, "fresh_ms": 8000.0, "grace_ms": 12000.0},
        {"name": "submit", "effect": "keyed", "group": "all", "window_ms": 2000.0, "aim_ms": 800.0,
         "deadline_ms": 3000.0, "worth": 3.0, "cacheable": False},
        {"name": "once", "effect": "unsafe", "aim_ms": 800.0, "deadline_ms": 3000.0, "worth": 3.0,
         "cacheable": False},
    ],
}  # fmt: skip


def site_settings(**changes: Any) -> Settings:
    """Settings in the manner of the first known deployment."""
    return Settings.read({**_SETTINGS, **changes})
