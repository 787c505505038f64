"""The parameters of a fleet in virtual time."""

from __future__ import annotations

from dataclasses import dataclass

from ..routing.events import Settings


@dataclass(frozen=True, slots=True)
class Plan:
    """Sizes in KB, times in ms. `rate`: requests per second of the whole fleet."""

    settings: Settings
    caches: int = 3  # per location
    locations: int = 3
    parents: int = 2
    directors: int = 1  # per location
    rate: float = 200.0
    objects: int = 2000
    zipf: float = 0.9
    mean_kb: float = 400.0
    cache_storage_kb: float = 60_000.0
    parent_storage_kb: float = 300_000.0
    link: float = 8.0  # of a cache, in transfers at full rate
    parent_link: float = 40.0
    near_ms: float = 0.5
    far_ms: float = 10.0
    origin_workers: int = 16
    origin_ms: float = 30.0
    origin_max_requests: int = 400
    origin_link: float = 60.0
    cache_fills: int = 64  # the maximum at one cache at the same time
    client_tries: int = 2
    list_ms: float = 1500.0  # until a director is notified of a change of the list
    drop_ms: float = 4000.0  # until stores have removed the purged copies
