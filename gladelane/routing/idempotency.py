"""When requests with idempotency keys may have run. The windows of keys outlive an attempt and a process.
Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

from .events import ClassSpec, Effect

#: Memory of one key with its attempts.
BYTES_PER_KEY = 700
#: The moment of one attempt, converted in two ways from another process's clock, differs by rounding only.
SAME_MOMENT_MS = 1.0


class KeyAttempt(NamedTuple):
    """An attempt that may have run. It compares by its moment."""

    at_ms: float
    store: str  # the server that it was sent to


NO_ATTEMPT = KeyAttempt(0.0, "")


class AttemptListener(Protocol):
    """Is called before an attempt with a key is recorded, and so before it is sent."""

    def __call__(self, key: str, at_ms: float, store: str, /) -> None:
        """`at_ms`: when the attempt begins; `store`: the server it goes to."""


def retention_for(classes: Iterable[ClassSpec]) -> float:
    """For how long after its latest attempt a key has to be known, in ms. Its client retries for as long as
    the class allows, and the last retry must be recognized as past the window."""
    keyed = (spec for spec in classes if spec.effect is Effect.KEYED)
    return max((spec.window_ms + spec.deadline_ms for spec in keyed), default=0.0)


def is_past_window(ran_ms: Iterable[float], now_ms: float, window_ms: float, spare_ms: float) -> bool:
    """Whether an attempt that begins now would repeat one that may have run, later than its window allows.

    `ran_ms`: when earlier attempts began; without any, this one is the first. `spare_ms`: by how much the
    window ends earlier, for clocks that count in ticks.
    """
    first_ms = min(ran_ms, default=None)
    return first_ms is not None and now_ms - first_ms >= window_ms - spare_ms


class KeyWindows:
    """The attempts of each key that may have run. Times are ms of the caller's clock.

    All attempts are recorded, and not only the first: while two attempts of a key are pending, the proof that
    one never ran must not hide the other. No key is evicted while it matters, since a retry of an evicted key
    would pass for its first attempt. Instead, new keys must be rejected where `is_full` says so.
    """

    def __init__(self, retention_ms: float, max_keys: int) -> None:
        self.retention_ms = retention_ms
        self.max_keys = max_keys
        #: Set where attempts are also stored.
        self.on_attempt: AttemptListener | None = None
        self._attempts: OrderedDict[str, list[KeyAttempt]] = OrderedDict()  # by their latest, oldest first

    def __len__(self) -> int:
        """The number of keys."""
        return len(self._attempts)

    def is_full(self, key: str, now: float) -> bool:
        """Whether an attempt of this key could not be recorded."""
        if len(self._attempts) < self.max_keys or key in self._attempts:
            return False
        self._drop_expired(now)
        return len(self._attempts) >= self.max_keys

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        """Records an attempt that begins at this moment."""
        if self.on_attempt is not None:
            self.on_attempt(key, at_ms, store)
        self._drop_expired(at_ms)
        self._attempts[key] = [*self._unexpired(key, at_ms), KeyAttempt(at_ms, store)]
        self._attempts.move_to_end(key)

    def never_ran(self, key: str, at_ms: float, store: str) -> None:
        """Removes the attempt that began at this moment: it is proven not to have run."""
        attempts = self._attempts.get(key, [])
        same = [one for one in attempts if one.store == store and abs(one.at_ms - at_ms) <= SAME_MOMENT_MS]
        if same:
            attempts.remove(min(same, key=lambda one: abs(one.at_ms - at_ms)))
        if not attempts:
            self._attempts.pop(key, None)

    def first_attempt(self, key: str, now: float) -> KeyAttempt:
        """The earliest attempt of a key that may have run; NO_ATTEMPT where none is known."""
        return min(self._unexpired(key, now), default=NO_ATTEMPT)

    def snapshot(self, now: float) -> dict[str, list[KeyAttempt]]:
        """All attempts that matter, for the process that follows this one."""
        self._drop_expired(now)
        return dict(self._attempts)

    def take_over(self, attempts: Mapping[str, Iterable[tuple[float, str]]]) -> None:
        """Adds attempts of another process: moments and servers by key."""
        for key, added in attempts.items():
            self._attempts[key] = [*self._attempts.get(key, []), *(KeyAttempt(*one) for one in added)]
        self._attempts = OrderedDict(sorted(self._attempts.items(), key=lambda item: max(item[1])))

    def take_over_undated(self, attempts: Mapping[str, Iterable[tuple[float, str]]], now: float) -> None:
        """Adds attempts whose moments cannot be converted to this process's timeline. Each may have run long
        ago, so that no retry is allowed, or just now, so that it is known for the full retention."""
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
