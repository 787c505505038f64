"""Records when requests that must not run twice may have run, under keys.

A key is the client's idempotency key, or for an unsafe request one that is made of its id.

The records must outlive attempts and processes, because the client may retry for as long as its class allows.
The module does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple, Protocol

from .events import ClassSpec, Effect

#: Memory that one key with its attempts takes.
BYTES_PER_KEY = 700
#: Times of one attempt that were converted from the clock of another process in two ways differ by no more
#: than this rounding error.
SAME_MOMENT_MS = 1.0


class KeyAttempt(NamedTuple):
    """An attempt that may have run. Attempts are ordered by their start."""

    at_ms: float
    store: str  # the server that it was sent to


NO_ATTEMPT = KeyAttempt(0.0, "")


class AttemptListener(Protocol):
    """A callback that is called before an attempt with a key is recorded, and thus before it is sent."""

    def __call__(self, key: str, at_ms: float, store: str, /) -> None:
        """Receives the key, the start of the attempt and the server to which it is sent."""


def attempt_keys(effect: Effect, request_id: str, idempotency_key: str) -> tuple[str, ...]:
    """The keys under which the attempts of a request are recorded; empty if they need no record. An
    idempotency key contains no equals sign.

    An unsafe request may carry an idempotency key: while new settings take effect, its class is keyed in
    other settings, under which the client may retry.
    """
    if effect is Effect.SAFE:
        return ()
    keys = (idempotency_key,) if idempotency_key else ()
    return (f"id={request_id}", *keys) if effect is Effect.UNSAFE else keys


def retention_for(classes: Iterable[ClassSpec]) -> float:
    """For how many ms after its latest attempt a key must be known. Its client retries for as long as the
    class allows, and the last retry must still be recognized as past the window. An unsafe request has no
    window: it may come again, from a client whose connection broke, until its deadline."""
    recorded = (spec for spec in classes if spec.effect is not Effect.SAFE)
    return max((spec.window_ms + spec.deadline_ms for spec in recorded), default=0.0)


def is_past_window(ran_ms: Iterable[float], now_ms: float, window_ms: float, spare_ms: float) -> bool:
    """Whether an attempt that starts now would repeat one that may have run, after the end of its window.

    `ran_ms`: when earlier attempts started; if empty, this one is the first. `spare_ms`: by how much the
    window ends earlier, because clocks advance in ticks.
    """
    first_ms = min(ran_ms, default=None)
    return first_ms is not None and now_ms - first_ms >= window_ms - spare_ms


class KeyWindows:
    """The attempts of each key that may have run. Times are ms of the caller's clock.

    All attempts are recorded and not only the first: if two attempts of a key are pending and one is proven
    never to have run, the other must remain known. No key is evicted during its retention, because a retry of
    an evicted key would be taken for its first attempt. New keys must be rejected instead while `is_full`.
    """

    def __init__(self, retention_ms: float, max_keys: int) -> None:
        self.retention_ms = retention_ms
        self.max_keys = max_keys
        #: Set if attempts are also stored.
        self.on_attempt: AttemptListener | None = None
        # by latest attempt, the oldest first
        self._attempts: OrderedDict[str, list[KeyAttempt]] = OrderedDict()

    def __len__(self) -> int:
        """The number of keys."""
        return len(self._attempts)

    def is_full(self, keys: Sequence[str], now: float) -> bool:
        """Whether an attempt of these keys could not be recorded."""
        if not self._would_exceed_limit(keys):
            return False
        self._drop_expired(now)
        return self._would_exceed_limit(keys)

    def _would_exceed_limit(self, keys: Sequence[str]) -> bool:
        added = sum(key not in self._attempts for key in keys)
        return added > 0 and len(self._attempts) + added > self.max_keys

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        """Records an attempt that starts at `at_ms`."""
        if self.on_attempt is not None:
            self.on_attempt(key, at_ms, store)
        self._drop_expired(at_ms)
        self._attempts[key] = [*self._unexpired(key, at_ms), KeyAttempt(at_ms, store)]
        self._attempts.move_to_end(key)

    def never_ran(self, key: str, at_ms: float, store: str) -> None:
        """Removes the attempt that started at `at_ms`, because it is proven never to have run."""
        attempts = self._attempts.get(key, [])
        same = [one for one in attempts if one.store == store and abs(one.at_ms - at_ms) <= SAME_MOMENT_MS]
        if same:
            attempts.remove(min(same, key=lambda one: abs(one.at_ms - at_ms)))
        if not attempts:
            self._attempts.pop(key, None)

    def first_attempt(self, key: str, now: float) -> KeyAttempt:
        """The earliest attempt of a key that may have run; NO_ATTEMPT if none is known."""
        return min(self._unexpired(key, now), default=NO_ATTEMPT)

    def has_attempt(self, keys: Iterable[str], now: float) -> bool:
        """Whether an attempt of any of these keys may have run."""
        return any(self.first_attempt(key, now) != NO_ATTEMPT for key in keys)

    def snapshot(self, now: float) -> dict[str, list[KeyAttempt]]:
        """All attempts within their retention, for the process that replaces this one."""
        self._drop_expired(now)
        return dict(self._attempts)

    def take_over(self, attempts: Mapping[str, Iterable[tuple[float, str]]]) -> None:
        """Adds attempts of another process: their start times and servers by key."""
        for key, added in attempts.items():
            self._attempts[key] = [*self._attempts.get(key, []), *(KeyAttempt(*one) for one in added)]
        self._attempts = OrderedDict(sorted(self._attempts.items(), key=lambda item: max(item[1])))

    def take_over_undated(self, attempts: Mapping[str, Iterable[tuple[float, str]]], now: float) -> None:
        """Adds attempts whose start times cannot be converted to this process's timeline. Each is recorded
        both as the oldest possible one, so that no retry is allowed, and as one that starts now, so that it
        is known for the full retention."""
        earliest = now - self.retention_ms
        self.take_over(
            {
                key: [KeyAttempt(at_ms, store) for _, store in undated for at_ms in (earliest, now)]
                for key, undated in attempts.items()
            }
        )

    def _unexpired(self, key: str, now: float) -> list[KeyAttempt]:
        attempts = self._attempts.get(key, [])
        return attempts if attempts and max(attempts).at_ms >= now - self.retention_ms else []

    def _drop_expired(self, now: float) -> None:
        while self._attempts:
            oldest = max(next(iter(self._attempts.values())))
            if oldest.at_ms >= now - self.retention_ms:
                return
            self._attempts.popitem(last=False)
