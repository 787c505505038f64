"""Searches the state machine of losses, with and without planted faults."""

from __future__ import annotations

from gladelane.lab.losses import Plant, World, broken, steps
from gladelane.lab.modelcheck import InvariantViolationError, search

#: planted fault -> how many control servers store a purge before it is answered, and the depth of the search
PLANTS = {
    Plant.FIRST_START: (1, 5),
    Plant.SNAPSHOT_FORGETS: (1, 5),
    Plant.NEWER: (2, 5),
    Plant.SEED_LOWERS: (1, 5),
    Plant.ONE_COPY: (1, 5),
    Plant.EACH_OTHER: (2, 4),
}


def search_states(copies: int, plant: Plant, max_steps: int) -> int | str:
    """Returns the number of states, or the message of the violation that was found."""
    try:
        return search(
            [World(copies, True, plant)],
            lambda world: world.key(),
            lambda world: steps(world, max_steps),
            broken,
        ).states
    except InvariantViolationError as error:
        return str(error)


def search_planted() -> list[str]:
    """Returns the names of the planted faults that the search finds."""
    found = {plant: search_states(copies, plant, max_steps) for plant, (copies, max_steps) in PLANTS.items()}
    return [plant.name for plant, result in found.items() if isinstance(result, str)]
