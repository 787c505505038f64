"""The stream numbers that were used on a client connection, in bounded memory. Pure."""

from __future__ import annotations

from array import array
from bisect import bisect_right

MAX_RANGES = 1024  # a client that counts up by one needs one range, each number it leaves out another one


class StreamNumbers:
    """The stream numbers that requests have used on a connection, as ranges of adjacent numbers.

    At most MAX_RANGES ranges are remembered. Beyond that, the range that is farthest from the latest number
    is forgotten. So a number that was used long ago may be taken for a new one, but a new number is never
    taken for a used one."""

    __slots__ = ("_firsts", "_lasts")

    def __init__(self) -> None:
        self._firsts = array("L")  # the lowest number of each range, in ascending order
        self._lasts = array("L")  # the highest number of each range

    def use(self, stream: int) -> bool:
        """Marks a stream number as used. Returns False if it is remembered as used."""
        following = bisect_right(self._firsts, stream)  # index of the first range above the number
        if following and stream <= self._lasts[following - 1]:
            return False
        extends_lower = following > 0 and self._lasts[following - 1] == stream - 1
        extends_upper = following < len(self._firsts) and self._firsts[following] == stream + 1
        if extends_lower and extends_upper:
            self._lasts[following - 1] = self._lasts.pop(following)
            del self._firsts[following]
        elif extends_lower:
            self._lasts[following - 1] = stream
        elif extends_upper:
            self._firsts[following] = stream
        else:
            self._add_range(following, stream)
        return True

    def range_count(self) -> int:
        """The number of ranges that are remembered."""
        return len(self._firsts)

    def _add_range(self, index: int, stream: int) -> None:
        self._firsts.insert(index, stream)
        self._lasts.insert(index, stream)
        if len(self._firsts) > MAX_RANGES:
            farthest = 0 if index > MAX_RANGES // 2 else -1
            del self._firsts[farthest]
            del self._lasts[farthest]
