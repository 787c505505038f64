"""Runs searches of all interleavings, with and without planted faults, in processes beside the runs.

The runs leave most cores idle, so that the searches do not extend the benchmark.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Generic, TypeVar

CleanResult = TypeVar("CleanResult")
WORKERS = 2


@dataclass(frozen=True)
class SearchResult(Generic[CleanResult]):
    """The results of all searches.

    `clean` is the result of the search without a fault; `caught` names the planted faults that were detected.
    """

    clean: CleanResult
    planted: int
    caught: list[str]

    @property
    def misses_any(self) -> bool:
        """Whether a planted fault was not detected."""
        return len(self.caught) < self.planted


class PlantedSearches(Generic[CleanResult]):
    """Searches that start at once in other processes.

    A search with a planted fault returns the number of states, or a text with the fault that it detected. The
    searches have to be functions of a module, or partials of them, so that they can go to other processes.
    """

    def __init__(
        self, clean: Callable[[], CleanResult], planted: Mapping[str, Callable[[], int | str]]
    ) -> None:
        self._pool = ProcessPoolExecutor(WORKERS)
        self._clean = self._pool.submit(clean)
        self._planted = {name: self._pool.submit(call) for name, call in planted.items()}

    def result(self) -> SearchResult[CleanResult]:
        """Waits for all searches and returns their results."""
        found = {name: search.result() for name, search in self._planted.items()}
        clean = self._clean.result()
        self._pool.shutdown()
        caught = [name for name, result in found.items() if isinstance(result, str)]
        return SearchResult(clean, len(found), caught)
