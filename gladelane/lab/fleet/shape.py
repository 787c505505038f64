"""How a fleet of a run is set up. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Shape:
    """How a fleet is set up. lost: what strict classes make of copies from before a loss; feed_clocks: of
    each feed, how its wall clock is wrong (`stepped`)."""

    directors: int = 12
    feeds: int = 2
    copies: int = 2
    marks: bool = False
    warm: bool = True
    lost: str = "void"
    delay_ms: float = 2000.0
    cut_off_per_s: float = 40.0
    origin_per_s: float = 0.0
    strict: tuple[str, ...] = ("question-item",)
    audit: bool = False
    alone: str = "out"
    board_ms: float = 0.0
    tenure_ms: float = 3000.0
    behind_ms: float = 8000.0
    share: float = 0.25
    trail: bool = True  # each director has a folder for its trail
    enforce: bool = True
    owners: bool = False  # feeds are keepers, directors own shards of orders
    lease_ms: float = 1500.0
    shards: int = 8
    feed_clocks: tuple[str, ...] = ()
