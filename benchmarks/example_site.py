"""What most benchmarks share: the example configuration, entries of an endpoint list, fields of a request.

The site of the example has caches, one parent server and one origin, which are known here by their names.
"""

from __future__ import annotations

import json
from typing import Any

from gladelane.lab.processes import ROOT

PARENT, ORIGIN = "depot", "bank"
_KINDS = {PARENT: "parent", ORIGIN: "origin"}
_CACHE_KIND = "standard"


def example_config() -> dict[str, Any]:
    """A copy of the example configuration, which the caller may change."""
    config: dict[str, Any] = json.loads((ROOT / "example" / "config.json").read_text())
    return config


def list_entry(name: str, address: str, weight: float, **further: Any) -> dict[str, Any]:
    """The entry of a server in service; the name says whether it is the parent, the origin or a cache."""
    kind = _KINDS.get(name, _CACHE_KIND)
    return {
        "instanceId": name,
        "hostPort": address,
        "machineType": kind,
        "zone": "branch" if kind == _CACHE_KIND else "hub",
        "lifecycle": "in_service",
        "weight": weight,
        **further,
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
    """The fields of a request, as clients send them."""
    return {
        "c": class_name,
        "i": request_id,
        "d": str(deadline_ms),
        "o": object_id,
        "chunk": str(part),
        "tag": str(group),
        "m": size_kb,
    }
