"""When keyed requests may have run, by the client's key: windows outlive a try and a process. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

KEPT_MS = 10_000.0  # longer than a window of a class and the time a client goes on asking
MOST = 4096  # keys; beyond, the oldest is forgotten, and its next try counts as a first


class KeyWindows:
    """Times are Unix ms. All attempts that may have run are kept, not the first alone: while two tries of a
    key are out, the proof that one never ran must not hide the other."""

    def __init__(self) -> None:
        self._ran: OrderedDict[str, list[tuple[float, str]]] = OrderedDict()  # by their latest, oldest first
        self.told: Callable[[str, float, str], None] | None = None  # hears of each try before it is made

    def __len__(self) -> int:
        return len(self._ran)

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        if self.told is not None:
            self.told(key, at_ms, store)
        self._expire(at_ms)
        self._ran[key] = [*self._live(key, at_ms), (at_ms, store)]
        self._ran.move_to_end(key)
        if len(self._ran) > MOST:
            self._ran.popitem(last=False)

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
        return ran if ran and max(ran)[0] >= now - KEPT_MS else []

    def _expire(self, now: float) -> None:
        while self._ran and max(next(iter(self._ran.values())))[0] < now - KEPT_MS:
            self._ran.popitem(last=False)
