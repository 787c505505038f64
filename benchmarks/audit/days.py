"""The days that are played, each with its faults."""

from __future__ import annotations

from benchmarks.fleet_days import Day
from gladelane.lab.fleet.shape import Shape

DIRECTORS, QUICK_DIRECTORS = 24, 8
MOST_ARE_BEHIND = "most are behind"

NOT_ENFORCED = Day(
    "not enforced",
    "0.3 stop directors:0 for 3; 0.5 drain caches:0 out; 0.8 cut directors:1>feeds:* oneway for 5",
    Shape(4, view_lease_ms=1500.0, behind_ms=2000.0, enforce=False),
    6.0,
)


def days(quick: bool) -> list[Day]:
    """The quick form's, with which the long form begins too."""
    shape = Shape(QUICK_DIRECTORS if quick else DIRECTORS, view_lease_ms=2000.0, behind_ms=4000.0)
    first = Day(
        "a sleeper, a straggler, a kill, a feed killed",
        "0.5 stop directors:0 for 4; 1 drain caches:0 out; 1.2 purges 20 for 1; "
        "2 cut directors:1>board silent for 6; 2.5 drain caches:1 out; 4.5 kill directors:3; "
        "6 kill feeds:0; 7 drain caches:1 in; 8 cut directors:4>feeds:* oneway for 3",
        shape,
        14.0,
    )
    return [first] if quick else [first, *_days_of_losses(shape), *_days_of_lag(shape)]


def _days_of_losses(shape: Shape) -> list[Day]:
    """Connections, processes and disks are lost."""
    n = shape.directors
    half = n // 2 - 1
    kinds_of_kill = ("kept", "empty", "older", "torn", "kept", "empty", "kept", "kept")
    waves = [
        f"{0.5 + turn} kill directors:{(turn * 3) % n}-{(turn * 3) % n + 2} {how}"
        for turn, how in enumerate(kinds_of_kill)
    ]
    return [
        Day(
            "half on either side of a cut",
            f"1 cut directors:0-{half}>feeds:0 closed for 6; "
            f"1 cut directors:{half + 1}-{n - 1}>feeds:1 closed for 6; "
            "1 cut feeds:0>feeds:1 closed for 6; 1 cut feeds:1>feeds:0 closed for 6; 2 purges 20 for 2; "
            "3 drain caches:0 out",
            shape,
            12.0,
        ),
        Day(
            "waves of kills",
            "; ".join(waves) + "; 0 save directors:*; 2 purges 40 for 4; 3 drain caches:2 out",
            shape,
            14.0,
        ),
        Day(
            "feeds lose disks in turn",
            "0 save feeds:*; 1 purges 20 for 3; 2 kill feeds:0 empty; "
            "5 kill feeds:1 older; 8 kill feeds:0 kept; 3 drain caches:0 out",
            shape,
            13.0,
        ),
    ]


def _days_of_lag(shape: Shape) -> list[Day]:
    """Directors are stopped, or do not hear of changes of the endpoint list."""
    n = shape.directors
    half = n // 2 - 1
    return [
        Day(
            "sleepers through everything",
            f"1 stop directors:0-{half} for 5; 2 drain caches:0 out; "
            "2 purges 40 for 2; 3 kill feeds:0; 8 stop feeds:* for 4",
            shape,
            16.0,
        ),
        Day(
            "many stragglers",
            f"1 cut directors:0-{n // 3}>board silent for 9; 2 drain caches:0 out; 5 drain caches:0 in",
            shape,
            16.0,
        ),
        Day(
            MOST_ARE_BEHIND,
            f"1 cut directors:0-{n - 3}>board silent for 8; 2 drain caches:0 out",
            shape,
            14.0,
        ),
    ]
