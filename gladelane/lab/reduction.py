"""Reduces a deployment that breaks a rule to a minimal one that still breaks it. Pure."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

from .deployments import Clients, Deployment, Network

MIN_DURATION_MS = 200.0


def reduced(deployment: Deployment, breaks: Callable[[Deployment], bool]) -> Deployment:
    """Replaces the deployment by the first smaller one for which `breaks` holds, until there is none."""
    while True:
        smaller = next((one for one in _smaller(deployment) if breaks(one)), None)
        if smaller is None:
            return deployment
        deployment = smaller


def _smaller(deployment: Deployment) -> Iterator[Deployment]:
    faults = deployment.faults
    if len(faults) > 1:
        yield replace(deployment, faults=())
    for place in range(len(faults)):
        yield replace(deployment, faults=faults[:place] + faults[place + 1 :])
    yield from _without_clock_steps(deployment)
    yield from _calmer(deployment)
    for place in range(len(deployment.caches)):
        left = deployment.caches[:place] + deployment.caches[place + 1 :]
        if left and not _is_struck(deployment, deployment.caches[place].name):
            yield replace(deployment, caches=left)
    for place in range(len(deployment.parents)):
        if not _is_struck(deployment, deployment.parents[place].name):
            yield replace(deployment, parents=deployment.parents[:place] + deployment.parents[place + 1 :])
    if deployment.duration_ms / 2.0 > MIN_DURATION_MS:
        yield replace(deployment, duration_ms=deployment.duration_ms / 2.0)


def _without_clock_steps(deployment: Deployment) -> Iterator[Deployment]:
    plan = deployment.clocks
    for place in range(len(plan.steps)):
        fewer = replace(plan, steps=plan.steps[:place] + plan.steps[place + 1 :])
        yield replace(deployment, clocks=fewer)
    if plan.dates_purges:
        yield replace(deployment, clocks=replace(plan, dates_purges=""))


def _is_struck(deployment: Deployment, store: str) -> bool:
    return any(fault.store == store for fault in deployment.faults)


def _calmer(deployment: Deployment) -> Iterator[Deployment]:
    """Deployments without one of the random faults, as far as that makes a difference."""
    net, clients = deployment.network, deployment.clients
    calm: list[Network] = [
        replace(net, slow_dial_chance=0.0),
        replace(net, late_answer_chance=0.0),
        replace(net, lost_answer_chance=0.0),
        replace(net, jitter=0.0),
    ]
    yield from (replace(deployment, network=one) for one in calm if one != net)
    plain: list[Clients] = [replace(clients, retries=0), replace(clients, leave_chance=0.0)]
    yield from (replace(deployment, clients=one) for one in plain if one != clients)
    if deployment.filled_at_start:
        yield replace(deployment, filled_at_start=False)
