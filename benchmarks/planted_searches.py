"""Searches of all interleavings with and without planted faults, in processes beside the runs.

The runs leave most cores idle, so that the searches take no time of their own.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
WORKERS = 2


@dataclass(frozen=True)
class SearchResult(Generic[T]):
    """`clean`: what the search without a fault gave; `caught`: the planted faults that were found."""

    clean: T
    planted: int
    caught: list[str]

    @property
    def misses_any(self) -> bool:
        """Whether a planted fault was not found."""
        return len(self.caught) < self.planted


class PlantedSearches(Generic[T]):
    """Begins at once. A call with a planted fault gives the states that it saw, or as text what it found. All
    calls go to other processes: they are functions of a module, or partials of them."""

    def __init__(self, clean: Callable[[], T], planted: Mapping[str, Callable[[], int | str]]) -> None:
        self._pool = ProcessPoolExecutor(WORKERS)
        self._clean = self._pool.submit(clean)
        self._planted = {name: self._pool.submit(call) for name, call in planted.items()}

    def result(self) -> SearchResult[T]:
        """Waits for all searches."""
        found = {name: search.result() for name, search in self._planted.items()}
        clean = self._clean.result()
        self._pool.shutdown()
        caught = [name for name, what in found.items() if isinstance(what, str)]
        return SearchResult(clean, len(found), caught)
