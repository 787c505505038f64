"""The search of the state machine of losses, with and without planted ones."""

from __future__ import annotations

from gladelane.lab.losses import Plant, World, broken, steps
from gladelane.lab.modelcheck import InvariantViolationError, search

#: planted losses: how many feeds store a purge before it is answered, and how deep the search goes
PLANTS = {
    Plant.FIRST_START: (1, 5),
    Plant.SNAPSHOT_FORGETS: (1, 5),
    Plant.NEWER: (2, 5),
    Plant.SEED_LOWERS: (1, 5),
    Plant.ONE_COPY: (1, 5),
    Plant.EACH_OTHER: (2, 4),
}


def searched(copies: int, plant: Plant, most: int) -> int | str:
    """States, or what was found."""
    try:
        return search(
            [World(copies, True, plant)], lambda w: w.key(), lambda w: steps(w, most), broken
        ).states
    except InvariantViolationError as error:
        return str(error)


def search_planted() -> list[str]:
    """The planted losses that the search finds."""
    found = {plant: searched(copies, plant, most) for plant, (copies, most) in PLANTS.items()}
    return [plant.name for plant, what in found.items() if isinstance(what, str)]
