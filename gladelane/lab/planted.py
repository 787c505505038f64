"""Planted faults: directors with one fault each, to show that monitors of generated deployments find it."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from ..discovery.events import Instance, WatchEvent
from ..endpoints.plan import Endpoints
from ..net.director import Director
from ..net.exchange import ClientRequest, Exchange, FinalAnswer, never_gone
from ..net.list_changes import ListChanges
from ..routing.events import Effect, Member, Settings, State
from ..routing.request_state import PendingRequest
from ..routing.retries import RepeatRules
from ..routing.server_credit import Tokens
from ..routing.slow_start import ColdBudgets, Work
from ..timer_wheel import TimerWheel
from .deployed_directors import MakeDirector

MISREAD_DRAIN_GRACE_MS = 1000.0
MORE_ATTEMPTS = 5  # more attempts than the settings allow
ANSWERED_TWICE = 50  # one in so many requests


class _LongDrainGrace(ListChanges):
    """Takes every drain grace as 1,000 ms: applies the draining state that much later."""

    def apply_list(self, servers: list[tuple[Instance, Member]], is_complete: bool) -> None:
        draining = [one for one in servers if one[1].state is not State.READY]
        others = [one for one in servers if one[1].state is State.READY]
        if draining:
            later = partial(super().apply_list, draining, False)
            self._context.timers.schedule(self._context.clock() + MISREAD_DRAIN_GRACE_MS, later)
        if others or is_complete:
            super().apply_list(others, is_complete)


class _UnsafeRepeated(RepeatRules):
    """Retries requests that are not idempotent."""

    def may_repeat(self, pending: PendingRequest) -> bool:
        return pending.spec.effect is Effect.UNSAFE or super().may_repeat(pending)


class _WindowsIgnored(RepeatRules):
    """Retries requests with an idempotency key after their window."""

    def may_repeat(self, pending: PendingRequest) -> bool:
        return pending.spec.effect is Effect.KEYED or super().may_repeat(pending)


class _FreeFills(ColdBudgets):
    """Counts nothing against the slow-start budget of a hub. Nearly all that a hub gets are fills."""

    def allows(self, member: Member, tokens: Tokens, now: float, work: Work) -> bool:
        return member.kind == self.parent_kind or super().allows(member, tokens, now, work)

    def spend(self, member: Member, tokens: Tokens, now: float, work: Work) -> None:
        if member.kind != self.parent_kind:
            super().spend(member, tokens, now, work)


class PurgePassedOver(Director):
    """Ignores purges."""

    def apply_watch_event(self, event: WatchEvent) -> None:
        """Applies all events except purges."""
        if event.flush is None:
            super().apply_watch_event(event)


class SecondAnswer(Director):
    """Answers some requests twice."""

    def admit(
        self,
        ask: ClientRequest,
        deliver: Callable[[FinalAnswer], None],
        is_client_gone: Callable[[], bool] = never_gone,
    ) -> Exchange:
        """Admits the request, and delivers the final answer of some requests twice."""

        def twice(final: FinalAnswer) -> None:
            deliver(final)
            if int(ask.id, 16) % ANSWERED_TWICE == 0:
                deliver(final)

        return super().admit(ask, twice, is_client_gone)


def _changed(change: Callable[[Director], None], make_director: MakeDirector = Director) -> MakeDirector:
    """A factory of directors whose parts are changed after construction."""

    def make(
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        timers: TimerWheel,
        endpoints: Endpoints,
        max_keys: int,
    ) -> Director:
        director = make_director(settings, seed, clock, timers, endpoints, max_keys)
        change(director)
        return director

    return make


def _misread(misread: Callable[[Settings], Settings]) -> MakeDirector:
    """A factory of directors that get other settings than the deployment has."""

    def make(
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        timers: TimerWheel,
        endpoints: Endpoints,
        max_keys: int,
    ) -> Director:
        return Director(misread(settings), seed, clock, timers, endpoints, max_keys)

    return make


def _repeat_unsafe(director: Director) -> None:
    director.router.attempts.rules = _UnsafeRepeated(director.router.context)


def _ignore_windows(director: Director) -> None:
    director.router.attempts.rules = _WindowsIgnored(director.router.context)
    director.attempt_checks.is_past_window = lambda attempt, now: False  # type: ignore[method-assign]  # noqa: ARG005


def _lengthen_drain_grace(director: Director) -> None:
    director.list_changes = _LongDrainGrace(director, director.endpoint_list, director.copy_dates)


def _count_no_fills(director: Director) -> None:
    router = director.router
    router.cold = _FreeFills(director.settings, router.context.directors_in_zone, random.Random(1))


@dataclass(frozen=True, slots=True)
class Plant:
    """A planted fault. `rule` is the one that a run with this director breaks."""

    make_director: MakeDirector
    rule: str


PLANTS: dict[str, Plant] = {
    "drain grace read as 1,000 ms": Plant(_changed(_lengthen_drain_grace), "drain"),
    "an unsafe class repeated": Plant(_changed(_repeat_unsafe), "repeat"),
    "a cold hub counted without fills": Plant(_changed(_count_no_fills), "cold"),
    "a window ignored": Plant(_changed(_ignore_windows), "repeat"),
    "a purge passed over": Plant(PurgePassedOver, "purge"),
    "a second final answer": Plant(SecondAnswer, "answer"),
    "more attempts than allowed": Plant(
        _misread(lambda s: replace(s, max_attempts=s.max_attempts + MORE_ATTEMPTS)), "attempts"
    ),
    "two attempts out where one may be": Plant(_misread(lambda s: replace(s, second_copies=True)), "repeat"),
    "straight to the origin where that is not allowed": Plant(
        _misread(lambda s: replace(s, straight=True)), "reach"
    ),
    "a cancel where none is allowed": Plant(_misread(lambda s: replace(s, cancel=True)), "cancel"),
}
