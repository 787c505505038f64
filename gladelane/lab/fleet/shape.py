"""The configuration of a fleet. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Shape:
    """The configuration of a fleet.

    - `lost`: how strict classes treat copies from before a loss of purges.
    - `control_server_clocks`: the steps of the wall clock of each control server (see `clock_steps`).
    """

    directors: int = 12
    control_servers: int = 2
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
    endpoint_list_timeout_ms: float = 0.0
    view_lease_ms: float = 3000.0
    behind_ms: float = 8000.0
    share: float = 0.25
    has_activity_log: bool = True  # each director has a folder for its activity log
    enforce: bool = True
    owners: bool = False  # control servers are also lease servers; directors own shards of orders
    lease_ms: float = 1500.0
    shards: int = 8
    control_server_clocks: tuple[str, ...] = ()
