"""Helpers that most benchmarks share: the example configuration, endpoint list entries and request fields.

The example site has caches, one parent server and one origin, named PARENT and ORIGIN.
"""

from __future__ import annotations

import json
from typing import Any

from gladelane.lab.processes import ROOT

PARENT, ORIGIN = "depot", "bank"
_KINDS = {PARENT: "parent", ORIGIN: "origin"}
_CACHE_KIND = "standard"


def example_config() -> dict[str, Any]:
    """Reads the example configuration; the caller may change the result."""
    config: dict[str, Any] = json.loads((ROOT / "example" / "config.json").read_text())
    return config


def list_entry(name: str, address: str, weight: float, **extra_fields: Any) -> dict[str, Any]:
    """Returns the endpoint list entry of a server in service.

    A server named PARENT or ORIGIN gets that role; every other name is a cache.
    """
    kind = _KINDS.get(name, _CACHE_KIND)
    return {
        "instanceId": name,
        "hostPort": address,
        "machineType": kind,
        "zone": "branch" if kind == _CACHE_KIND else "hub",
        "lifecycle": "in_service",
        "weight": weight,
        **extra_fields,
    }


def request_fields(
    class_name: str,
    request_id: str,
    deadline_ms: int,
    object_id: str,
    *,
    part: int = 0,
    group: int = 1,
    size_kb: str = "1",
) -> dict[str, str]:
    """Returns the fields of a request as clients send them."""
    return {
        "c": class_name,
        "i": request_id,
        "d": str(deadline_ms),
        "o": object_id,
        "chunk": str(part),
        "tag": str(group),
        "m": size_kb,
    }
