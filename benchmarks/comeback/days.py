"""The days that are played, each with its faults."""

from __future__ import annotations

from benchmarks.fleet_days import Day
from gladelane.lab.fleet.shape import Shape

DIRECTORS, QUICK_DIRECTORS = 40, 12
KILLED = "nine of ten, warm and then cold"
WARM, COLD = "kill directors:90% kept", "kill directors:90% empty"
SEED, RATE = 11, 250.0  # requests a second
COLD_AT_S = 12  # leaves 9 s for full service after the warm restart, also on a slow machine
WARM_AFTER_S = 0.5
SAVED = "0 store caches:* save; 0 store hub save; 0.2 purges 60 for 1.2; "
BACK = "; 2.1 store caches:* back; 2.1 store hub back"
LOST = SAVED + "2 kill feeds:* empty; 2 kill directors:* empty" + BACK


def days(quick: bool) -> list[Day]:
    """The quick form's, with which the long form begins too."""
    shape = Shape(QUICK_DIRECTORS if quick else DIRECTORS)
    last = shape.directors - 1
    first = [
        Day(KILLED, f"{WARM_AFTER_S} {WARM}; {COLD_AT_S} {COLD}", shape, 26.0),
        Day(
            "both empty, one director lives",
            SAVED + f"2 kill feeds:* empty; 2 kill directors:1-{last} empty" + BACK,
            shape,
            18.0,
        ),
    ]
    return (
        first if quick else [*first, *_days_of_kills(shape), *_days_of_losses(shape), *_days_of_faults(shape)]
    )


def _days_of_kills(shape: Shape) -> list[Day]:
    """Processes end, many or again and again."""
    last = shape.directors - 1
    wave = [f"{0.5 + 0.15 * turn} kill directors:{turn * 4}-{min(turn * 4 + 7, last)}" for turn in range(9)]
    loop = [f"{0.5 + 2 * turn} kill directors:0-2" for turn in range(10)]
    return [
        Day("all lost", LOST, shape, 9.0),
        Day("all directors, cold", "1 kill directors:* empty", shape, 9.0),
        Day("a wave that overtakes itself", "; ".join(wave), shape, 9.0),
        Day("ten kills in 20 s", "; ".join(loop), shape, 24.0),
    ]


def _days_of_losses(shape: Shape) -> list[Day]:
    """Stored state is lost or older, with other faults beside it."""
    half = shape.directors // 2
    feeds = "2 kill feeds:0 empty; 2 kill feeds:1 older; 2 kill directors:* empty"
    flood = (
        "2 purges 120 for 3; 2.2 kill feeds:* empty; 2.2 kill directors:* empty; "
        "2.4 store origin slow for 2; 2.4 store hub renew"
    )
    return [
        Day("one feed empty", SAVED + "2 kill feeds:0 empty; 2 kill directors:90% empty" + BACK, shape, 9.0),
        Day(
            "one empty, one older",
            "0 save feeds:1; " + SAVED + feeds + BACK,
            Shape(shape.directors, marks=True),
            9.0,
        ),
        Day("in a flood, origin slow, hub new", SAVED + flood + BACK, shape, 20.0),
        Day(
            "half cut off",
            SAVED + f"2 kill feeds:* empty; 2 cut directors:0-{half}>feeds:* for 4" + BACK,
            shape,
            11.0,
        ),
    ]


def _days_of_faults(shape: Shape) -> list[Day]:
    """Disks are full, the endpoint list comes late, processes are stopped for a while."""
    half = shape.directors // 2
    disks = "0.2 full feeds:* for 3; 0.2 full directors:* for 3; 0.5 purges 40 for 2; "
    late_list = "0 save directors:*; 0.5 drain caches:0 out; 1 board late for 3; "
    return [
        Day("full disks", disks + "4 kill directors:90%; 4 kill feeds:*", shape, 9.0, 20),
        Day(
            "board late, old folders",
            late_list + "2 kill directors:90% older; 3 drain caches:1 out",
            shape,
            8.0,
        ),
        Day("sleepers", f"1 stop directors:1-{half} for 3; 1.5 purges 40 for 1", shape, 12.0),
    ]
