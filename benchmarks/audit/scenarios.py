"""The scenarios of the benchmark, each with its fault schedule."""

from __future__ import annotations

from benchmarks.fleet_scenarios import Scenario
from gladelane.lab.fleet.shape import Shape

DIRECTORS, QUICK_DIRECTORS = 24, 8
MOST_ARE_BEHIND = "most are behind"

NOT_ENFORCED = Scenario(
    "not enforced",
    "0.3 stop directors:0 for 3; 0.5 drain caches:0 out; 0.8 cut directors:1>feeds:* oneway for 5",
    Shape(4, view_lease_ms=1500.0, behind_ms=2000.0, enforce=False),
    6.0,
)


def scenarios(quick: bool) -> list[Scenario]:
    """Returns the scenario of the quick form, or it followed by the other ones of the long form."""
    shape = Shape(QUICK_DIRECTORS if quick else DIRECTORS, view_lease_ms=2000.0, behind_ms=4000.0)
    quick_scenario = Scenario(
        "a sleeper, a straggler, a kill, a feed killed",
        "0.5 stop directors:0 for 4; 1 drain caches:0 out; 1.2 purges 20 for 1; "
        "2 cut directors:1>board silent for 6; 2.5 drain caches:1 out; 4.5 kill directors:3; "
        "6 kill feeds:0; 7 drain caches:1 in; 8 cut directors:4>feeds:* oneway for 3",
        shape,
        14.0,
    )
    return [quick_scenario] if quick else [quick_scenario, *_loss_scenarios(shape), *_lag_scenarios(shape)]


def _loss_scenarios(shape: Shape) -> list[Scenario]:
    """Scenarios in which connections, processes and disks are lost."""
    count = shape.directors
    last_of_half = count // 2 - 1
    kinds_of_kill = ("kept", "empty", "older", "torn", "kept", "empty", "kept", "kept")
    waves = [
        f"{0.5 + index} kill directors:{(index * 3) % count}-{(index * 3) % count + 2} {way}"
        for index, way in enumerate(kinds_of_kill)
    ]
    return [
        Scenario(
            "half on either side of a cut",
            f"1 cut directors:0-{last_of_half}>feeds:0 closed for 6; "
            f"1 cut directors:{last_of_half + 1}-{count - 1}>feeds:1 closed for 6; "
            "1 cut feeds:0>feeds:1 closed for 6; 1 cut feeds:1>feeds:0 closed for 6; 2 purges 20 for 2; "
            "3 drain caches:0 out",
            shape,
            12.0,
        ),
        Scenario(
            "waves of kills",
            "; ".join(waves) + "; 0 save directors:*; 2 purges 40 for 4; 3 drain caches:2 out",
            shape,
            14.0,
        ),
        Scenario(
            "feeds lose disks in turn",
            "0 save feeds:*; 1 purges 20 for 3; 2 kill feeds:0 empty; "
            "5 kill feeds:1 older; 8 kill feeds:0 kept; 3 drain caches:0 out",
            shape,
            13.0,
        ),
    ]


def _lag_scenarios(shape: Shape) -> list[Scenario]:
    """Scenarios in which directors are stopped, or miss changes of the endpoint list."""
    count = shape.directors
    last_of_half = count // 2 - 1
    return [
        Scenario(
            "sleepers through everything",
            f"1 stop directors:0-{last_of_half} for 5; 2 drain caches:0 out; "
            "2 purges 40 for 2; 3 kill feeds:0; 8 stop feeds:* for 4",
            shape,
            16.0,
        ),
        Scenario(
            "many stragglers",
            f"1 cut directors:0-{count // 3}>board silent for 9; 2 drain caches:0 out; 5 drain caches:0 in",
            shape,
            16.0,
        ),
        Scenario(
            MOST_ARE_BEHIND,
            f"1 cut directors:0-{count - 3}>board silent for 8; 2 drain caches:0 out",
            shape,
            14.0,
        ),
    ]
