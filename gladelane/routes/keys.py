"""When keyed requests may have run, by the client's key: windows outlive a try and a process. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from ..interface import ClassSpec, Effect

KEY_BYTES = 700  # of the memory, for a key with its tries


def kept_for(classes: Iterable[ClassSpec]) -> float:
    """How long after its latest try a key still matters, ms: its client asks on for as long as the class
    allows, and what is sent then must be known to be past the window."""
    keyed = (spec for spec in classes if spec.effect is Effect.KEYED)
    return max((spec.window_ms + spec.deadline_ms for spec in keyed), default=0.0)


def is_past_window(ran_ms: Iterable[float], now_ms: float, window_ms: float, spare_ms: float) -> bool:
    """Whether a try that begins now would repeat one that may have run, later than its window allows.

    `ran_ms`: when earlier tries began, Unix ms; none, and this one is the first. `spare_ms`: how much earlier
    the window is taken to end, for clocks that count in ticks."""
    first_ms = min(ran_ms, default=None)
    return first_ms is not None and now_ms - first_ms >= window_ms - spare_ms


class KeyWindows:
    """Times are Unix ms. All attempts that may have run are kept, not the first alone: while two tries of a
    key are out, the proof that one never ran must not hide the other. Nothing that counts is ever forgotten
    for want of room: where it is `full`, new keys must be turned away, or a later try of a forgotten one
    would pass for its first."""

    def __init__(self, kept_ms: float, most: int) -> None:
        self.kept_ms, self.most = kept_ms, most
        self._ran: OrderedDict[str, list[tuple[float, str]]] = OrderedDict()  # by their latest, oldest first
        self.told: Callable[[str, float, str], None] | None = None  # hears of each try before it is made

    def __len__(self) -> int:
        return len(self._ran)

    def full(self, key: str, now: float) -> bool:
        """Whether there is no room for this key."""
        if len(self._ran) < self.most or key in self._ran:
            return False
        self._expire(now)
        return len(self._ran) >= self.most

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        if self.told is not None:
            self.told(key, at_ms, store)
        self._expire(at_ms)
        self._ran[key] = [*self._live(key, at_ms), (at_ms, store)]
        self._ran.move_to_end(key)

    def never_ran(self, key: str, at_ms: float, store: str) -> None:
        """The attempt that began there and then is proven not to have run."""
        ran = self._ran.get(key, [])
        if (at_ms, store) in ran:
            ran.remove((at_ms, store))
        if not ran:
            self._ran.pop(key, None)

    def first(self, key: str, now: float) -> tuple[float, str]:
        """When and where; (0, '') where it is not known to have run."""
        return min(self._live(key, now), default=(0.0, ""))

    def known(self, now: float) -> dict[str, list[tuple[float, str]]]:
        """For the process that comes after this one."""
        self._expire(now)
        return dict(self._ran)

    def take_over(self, told: dict[str, list[tuple[float, str]]]) -> None:
        for key, ran in told.items():
            self._ran[key] = [*self._ran.get(key, []), *ran]
        self._ran = OrderedDict(sorted(self._ran.items(), key=lambda item: max(item[1])))

    def _live(self, key: str, now: float) -> list[tuple[float, str]]:
        ran = self._ran.get(key, [])
        return ran if ran and max(ran)[0] >= now - self.kept_ms else []

    def _expire(self, now: float) -> None:
        while self._ran and max(next(iter(self._ran.values())))[0] < now - self.kept_ms:
            self._ran.popitem(last=False)
