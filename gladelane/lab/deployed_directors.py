"""The directors of a generated deployment, each with its connections and timers in virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..endpoints.plan import Endpoints
from ..net.config import ConnLimits
from ..net.director import Director
from ..routing.events import Settings
from ..timer_wheel import TimerWheel
from .deployments import Deployment, director_name
from .model.timeline import Timeline
from .virtual_sender import VirtualSender, VirtualTimers, Watcher, World

MAX_KEYS = 10_000  # windows of idempotency keys that a director stores

#: makes a director: the real one, or one with a planted fault
MakeDirector = Callable[[Settings, int, Callable[[], float], TimerWheel, Endpoints, int], Director]


@dataclass(slots=True, eq=False)
class DirectorNode:
    """A director and its parts. `notified_ms`: when its last event is due; the next is not due earlier."""

    name: str
    director: Director
    sender: VirtualSender
    timers: VirtualTimers
    rev: int = 1
    notified_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What all directors of a run share: time, the stores that they reach, and who observes them."""

    line: Timeline
    world: World
    watcher: Watcher


def make_node(
    deployment: Deployment,
    place: int,
    clock: Callable[[], float],
    make_director: MakeDirector,
    surroundings: Surroundings,
) -> DirectorNode:
    """The director with number `place`, not yet notified of any server."""
    settings = deployment.settings(place)
    seed = deployment.seed + place
    name = director_name(place)
    timers = VirtualTimers(clock)
    endpoints = Endpoints(random.Random(seed))
    director = make_director(settings, seed, clock, timers, endpoints, MAX_KEYS)
    limits = deployment.wire["limits"]
    conn = ConnLimits(limits["max_streams"], limits["dial_timeout_ms"], limits["conn_idle_ms"])
    sender = VirtualSender(name, director, surroundings.line, surroundings.world, surroundings.watcher, conn)
    director.sender = sender
    return DirectorNode(name, director, sender, timers)
