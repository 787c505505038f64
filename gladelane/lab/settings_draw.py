"""Random settings in wire form, and the load of their classes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from .deployments import ClassLoad
from .draws import Draws


def draw_classes(draws: Draws) -> list[dict[str, Any]]:
    """The rows of `classes` in wire form; `_own` has values of a class that stand elsewhere on the wire."""
    return [_draw_class(draws, place) for place in range(draws.rng.randint(1, 5))]


def _draw_class(draws: Draws, place: int) -> dict[str, Any]:
    rng = draws.rng
    # the first class is safe: with side effects only, nothing would ever be cached
    effect = "retryable" if place == 0 else rng.choice(["retryable", "dedup", "fragile"])
    write = place > 0 and rng.random() < (0.1 if effect == "retryable" else 0.8)
    deadline = draws.between(400.0, 7000.0)
    fresh = 0.0 if write else rng.choice([0.0, draws.between(500.0, 20_000.0)])
    row = {
        "name": draws.name(),
        "effect": effect,
        "group": rng.choice(["all", "zone", "cell"]),
        "window_ms": draws.between(60.0, 5000.0),
        "aim_ms": deadline * rng.uniform(0.1, 0.9),
        "deadline_ms": deadline,
        "value": rng.uniform(0.5, 4.0),
        "late_worth": rng.choice([0.0, 0.15]),
        "stream": False,
        "_own": {
            "pass_on": write,
            "segmented": not write and rng.random() < 0.5,
            "good_for_ms": fresh,
            "stale_for_ms": rng.choice([0.0, fresh * 1.5]),
        },
    }
    if rng.random() < 0.7:
        row["aim_stretch"] = rng.uniform(0.5, 2.5)
    return row


def draw_loads(draws: Draws, classes: Sequence[Mapping[str, Any]], flow: float) -> tuple[ClassLoad, ...]:
    """The load of each class. `flow`: rate of one transfer in KB per second."""
    rng = draws.rng
    raw = [draws.between(0.1, 1.0) for _ in classes]
    loads = []
    for share, row in zip(raw, classes, strict=True):
        own = row["_own"]
        work = rng.uniform(5.0, 30.0) if own["pass_on"] else draws.between(30.0, 500.0)
        work = min(work, row["deadline_ms"] / 4.0)
        parts = rng.randint(2, 17) if own["segmented"] else 1
        loads.append(ClassLoad(share / sum(raw), work * flow / 1000.0, rng.randint(10, 300), parts))
    return tuple(loads)


def draw_wire(
    draws: Draws,
    zones: list[str],
    hubs: list[str],
    directors: list[str],
    classes: list[dict[str, Any]],
    flow: float,
    weights: str,
    inlets: Mapping[str, float],
) -> dict[str, Any]:
    """The settings without the kinds of servers. Removes `_own` from each row of `classes`."""
    rng = draws.rng
    family = _draw_family(draws, zones, hubs, directors, classes, flow, inlets)
    reports = rng.choice(["inline", "on_probe", "off"])
    return {
        "areas": zones,
        "balancers": len(directors),
        "classes": classes,
        "family_info": family,
        "registry_mode": rng.choice(["automatic", "subscribe"]),
        "report": {"how": reports, "fields": [] if reports == "off" else ["busy", "x1"]},
        "weights": weights,
        "tick_ms": rng.choice([1.0, 2.0, 5.0]),
        "limits": _draw_limits(draws),
        "rules": _draw_rules(draws),
    }


def _draw_family(
    draws: Draws,
    zones: list[str],
    hubs: list[str],
    directors: list[str],
    classes: list[dict[str, Any]],
    flow: float,
    inlets: Mapping[str, float],
) -> dict[str, Any]:
    rng = draws.rng
    own = [row.pop("_own") for row in classes]
    purge_grace = rng.uniform(200.0, 1500.0)
    family: dict[str, Any] = {
        key: [values[key] for values in own]
        for key in ("pass_on", "segmented", "good_for_ms", "stale_for_ms")
    }
    family |= {
        "hub_of": [zones.index(z) if z in hubs else rng.randrange(len(hubs)) for z in zones],
        "seats_by_zone": [directors.count(zone) for zone in zones],
        "inlet_kb_per_s": [inlets.get(zone, 0.0) * flow if rng.random() < 0.8 else 0.0 for zone in zones],
        "one_flow_kb_per_s": flow,
        "notes_given": rng.choice(["all", "hit", "off"]),
        "peers_fill": rng.choice(["off", "location", "any"]),
        "merges_fills": rng.random() < 0.7,
        "straight": rng.random() < 0.7,
        "notice_time_ms": purge_grace,
        "gone_everywhere_ms": rng.uniform(2000.0, 8000.0),
        "parent_cold_from": draws.between(0.04, 0.6),
        "parent_cold_ms": draws.between(2000.0, 25_000.0),
        "parent_breaks_at": rng.uniform(1.3, 5.0),
        "origin_fall_multiple": rng.choice([0.0, 2.5]),
        "origin_bears_ms": 3000.0,
    }
    return family


def _draw_limits(draws: Draws) -> dict[str, Any]:
    rng = draws.rng
    return {
        "cancel": rng.random() < 0.7,
        "may_duplicate": rng.random() < 0.5,
        "may_tell": rng.random() < 0.2,
        "probes": rng.random() < 0.2,
        "retry_after": rng.random() < 0.5,
        "max_retry_after_ms": rng.uniform(0.0, 3000.0),
        "max_attempts": rng.randint(1, 10),
        "max_open": rng.choice([100, 20_000]),
        "max_streams": rng.choice([1, 4, 32, 100]),
        "dial_timeout_ms": rng.uniform(100.0, 600.0),
        "conn_idle_ms": rng.uniform(3000.0, 20_000.0),
    }


def _draw_rules(draws: Draws) -> dict[str, Any]:
    rng = draws.rng
    return {
        "drain_grace_ms": rng.choice([100.0, 250.0, 1000.0, rng.uniform(100.0, 2000.0)]),
        "grace_to_answer_ms": rng.choice([0.0, 8.0]),
        "cold_from": draws.between(0.08, 0.7),
        "warm_after_ms": draws.between(2000.0, 20_000.0),
        "fall_multiple": rng.uniform(1.5, 5.0),
        "fall_ms": draws.between(500.0, 3000.0),
        "ask_within_ms": rng.uniform(5000.0, 20_000.0),
    }
