"""When keyed requests first may have run, by the client's key: windows outlive a try and a process. Pure."""

from __future__ import annotations

from collections import OrderedDict

KEPT_MS = 10_000.0  # longer than any window of a class should be
MOST = 4096  # keys; the oldest are forgotten first, as if their window were over


class KeyWindows:
    """Times are Unix ms."""

    def __init__(self) -> None:
        self._first: OrderedDict[str, tuple[float, str]] = OrderedDict()  # oldest first

    def __len__(self) -> int:
        return len(self._first)

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        """The first moment counts, until it is forgotten."""
        self._expire(at_ms)
        self._first.setdefault(key, (at_ms, store))
        if len(self._first) > MOST:
            self._first.popitem(last=False)

    def never_ran(self, key: str, at_ms: float) -> None:
        """The attempt that began at `at_ms` is proven not to have run; another first one stays."""
        if self._first.get(key, (0.0, ""))[0] == at_ms:
            del self._first[key]

    def first(self, key: str, now: float) -> tuple[float, str]:
        """When and where; (0, '') where it is not known to have run."""
        self._expire(now)
        return self._first.get(key, (0.0, ""))

    def known(self, now: float) -> dict[str, tuple[float, str]]:
        """For the process that comes after this one."""
        self._expire(now)
        return dict(self._first)

    def take_over(self, told: dict[str, tuple[float, str]]) -> None:
        self._first = OrderedDict(sorted({**self._first, **told}.items(), key=lambda item: item[1][0]))

    def _expire(self, now: float) -> None:
        while self._first and next(iter(self._first.values()))[0] < now - KEPT_MS:
            self._first.popitem(last=False)
