"""The random fleet of a generated deployment: its directors, caches, parents, origin and network.

The caller names the zones. Links are in transfers at full rate, times in ms, storage in KB.
"""

from __future__ import annotations

from .deployments import Network, OriginSpec, StoreSpec
from .draws import Draws

MAX_DIRECTORS = 12
MAX_CACHES = 12
MEDIAN_MISSES = 0.4  # median part of the bytes that miss the caches, which are small here
MIN_LINK = 1.5  # of a cache, in transfers


def draw_directors(draws: Draws, locations: list[str]) -> list[str]:
    """The zone of each director."""
    rng = draws.rng
    most = MAX_DIRECTORS // len(locations)
    several = rng.random() < 0.3  # most deployments have one or two per location
    return [zone for zone in locations for _ in range(rng.randint(1, most if several else min(2, most)))]


def draw_caches(
    draws: Draws, locations: list[str], kind: str, link: float, weights: str
) -> tuple[StoreSpec, ...]:
    """Caches of kind `kind`, whose links have the sum `link`. `weights`: how the list states them."""
    rng = draws.rng
    most = MAX_CACHES // len(locations)
    placed = [(place, zone) for place, zone in enumerate(locations) for _ in range(rng.randint(1, most))]
    caches = []
    for place, zone in placed:
        own = max(link / len(placed) * rng.uniform(0.85, 1.15), MIN_LINK)
        cell = place * 4 + rng.randrange(3)  # no two zones share a cell
        listed_weight = _draw_listed_weight(draws, own, weights)
        caches.append(StoreSpec(draws.name(), zone, kind, cell, own, listed_weight, _draw_age(draws)))
    return tuple(caches)


def draw_joining(draws: Draws, caches: tuple[StoreSpec, ...], weights: str) -> tuple[StoreSpec, ...]:
    """Caches that start during the run."""
    joining = []
    for _ in range(draws.rng.randint(0, 3)):
        like = draws.rng.choice(caches)
        listed_weight = _draw_listed_weight(draws, like.link, weights)
        joining.append(StoreSpec(draws.name(), like.zone, like.kind, like.cell, like.link, listed_weight))
    return tuple(joining)


def draw_parents(
    draws: Draws, hubs: list[str], kind: str, link: float, weights: str
) -> tuple[StoreSpec, ...]:
    """Parents with enough capacity for the misses of caches whose links have the sum `link`."""
    rng = draws.rng
    count = rng.randint(1, 4)
    parents = []
    for place in range(count):
        own = max(link * MEDIAN_MISSES * rng.uniform(1.1, 1.6) / count, MIN_LINK)
        listed_weight = _draw_listed_weight(draws, own, weights)
        parents.append(
            StoreSpec(
                draws.name(), hubs[place % len(hubs)], kind, 60 + place, own, listed_weight, _draw_age(draws)
            )
        )
    return tuple(parents)


def draw_inlets(draws: Draws, locations: list[str], caches: tuple[StoreSpec, ...]) -> dict[str, float]:
    """The incoming link of each location, which its caches share."""
    return {
        zone: max(sum(c.link for c in caches if c.zone == zone) * draws.rng.uniform(0.4, 1.4), MIN_LINK)
        for zone in locations
    }


def draw_origin(draws: Draws, rate: float, link: float) -> OriginSpec:
    """An origin for `rate` requests per second and caches whose links have the sum `link`."""
    rng = draws.rng
    service = rng.uniform(15.0, 70.0)
    workers = max(round(rate * service / 1000.0 * rng.uniform(0.5, 2.5)), 2)
    return OriginSpec(workers, service, workers * rng.randint(3, 20), max(link * rng.uniform(0.3, 1.5), 2.0))


def draw_network(draws: Draws) -> Network:
    """Delays, and the probabilities of faults of the network."""
    rng = draws.rng
    least = rng.uniform(20.0, 600.0)
    return Network(
        near_ms=rng.uniform(0.2, 2.0),
        far_ms=rng.uniform(4.0, 45.0),
        jitter=rng.uniform(0.0, 0.3),
        slow_dial_chance=rng.choice([0.0, 0.1, 0.3]),
        slow_dial_ms=rng.uniform(100.0, 1500.0),
        late_answer_chance=rng.choice([0.0, 0.03]),
        late_answer_ms=rng.uniform(50.0, 800.0),
        lost_answer_chance=rng.choice([0.0, 0.0, 0.02]),
        list_delay_ms=(least, least + rng.uniform(10.0, 1500.0)),
    )


def _draw_listed_weight(draws: Draws, link: float, weights: str) -> float:
    """The weight in the endpoint list of a link, by the way in which the settings say that weights are
    made."""
    if weights == "nominal":
        return round(link, 2)
    if weights == "rough":
        return round(link * draws.rng.uniform(0.9, 1.1), 2)
    return round(link / draws.rng.uniform(1.0, 4.0), 2) if weights == "live" else 1.0


def _draw_age(draws: Draws) -> float:
    """For how long a store has run: most for long (0), some so briefly that they are in slow start."""
    return draws.rng.uniform(1.0, 4000.0) if draws.rng.random() < 0.15 else 0.0
