"""The scenarios of the benchmark, each with its fault schedule."""

from __future__ import annotations

from benchmarks.fleet_scenarios import Scenario
from gladelane.lab.fleet.shape import Shape

DIRECTORS, QUICK_DIRECTORS = 40, 12
KILLED = "nine of ten, warm and then cold"
WARM, COLD = "kill directors:90% kept", "kill directors:90% empty"
SEED, REQUESTS_PER_S = 11, 250.0
COLD_AT_S = 12  # leaves 9 s for recovery from the warm restart, also on a slow machine
WARM_AFTER_S = 0.5
SAVE_STORES = "0 store caches:* save; 0 store hub save; 0.2 purges 60 for 1.2; "
RESTORE_STORES = "; 2.1 store caches:* back; 2.1 store hub back"
ALL_LOST = SAVE_STORES + "2 kill feeds:* empty; 2 kill directors:* empty" + RESTORE_STORES


def scenarios(quick: bool) -> list[Scenario]:
    """Returns the scenarios of the quick form, or these followed by the other ones of the long form."""
    shape = Shape(QUICK_DIRECTORS if quick else DIRECTORS)
    last = shape.directors - 1
    quick_scenarios = [
        Scenario(KILLED, f"{WARM_AFTER_S} {WARM}; {COLD_AT_S} {COLD}", shape, 26.0),
        Scenario(
            "both empty, one director lives",
            SAVE_STORES + f"2 kill feeds:* empty; 2 kill directors:1-{last} empty" + RESTORE_STORES,
            shape,
            18.0,
        ),
    ]
    return (
        quick_scenarios
        if quick
        else [
            *quick_scenarios,
            *_kill_scenarios(shape),
            *_loss_scenarios(shape),
            *_other_fault_scenarios(shape),
        ]
    )


def _kill_scenarios(shape: Shape) -> list[Scenario]:
    """Scenarios in which processes are killed, many at once or repeatedly."""
    last = shape.directors - 1
    wave = [
        f"{0.5 + 0.15 * index} kill directors:{index * 4}-{min(index * 4 + 7, last)}" for index in range(9)
    ]
    repeated = [f"{0.5 + 2 * index} kill directors:0-2" for index in range(10)]
    return [
        Scenario("all lost", ALL_LOST, shape, 9.0),
        Scenario("all directors, cold", "1 kill directors:* empty", shape, 9.0),
        Scenario("a wave that overtakes itself", "; ".join(wave), shape, 9.0),
        Scenario("ten kills in 20 s", "; ".join(repeated), shape, 24.0),
    ]


def _loss_scenarios(shape: Shape) -> list[Scenario]:
    """Scenarios in which stored state is lost or out of date, together with other faults."""
    middle = shape.directors // 2
    feeds = "2 kill feeds:0 empty; 2 kill feeds:1 older; 2 kill directors:* empty"
    flood = (
        "2 purges 120 for 3; 2.2 kill feeds:* empty; 2.2 kill directors:* empty; "
        "2.4 store origin slow for 2; 2.4 store hub renew"
    )
    return [
        Scenario(
            "one feed empty",
            SAVE_STORES + "2 kill feeds:0 empty; 2 kill directors:90% empty" + RESTORE_STORES,
            shape,
            9.0,
        ),
        Scenario(
            "one empty, one older",
            "0 save feeds:1; " + SAVE_STORES + feeds + RESTORE_STORES,
            Shape(shape.directors, marks=True),
            9.0,
        ),
        Scenario("in a flood, origin slow, hub new", SAVE_STORES + flood + RESTORE_STORES, shape, 20.0),
        Scenario(
            "half cut off",
            SAVE_STORES + f"2 kill feeds:* empty; 2 cut directors:0-{middle}>feeds:* for 4" + RESTORE_STORES,
            shape,
            11.0,
        ),
    ]


def _other_fault_scenarios(shape: Shape) -> list[Scenario]:
    """Scenarios with full disks, a late endpoint list and processes that are stopped for a while."""
    middle = shape.directors // 2
    disks = "0.2 full feeds:* for 3; 0.2 full directors:* for 3; 0.5 purges 40 for 2; "
    late_list = "0 save directors:*; 0.5 drain caches:0 out; 1 board late for 3; "
    return [
        Scenario("full disks", disks + "4 kill directors:90%; 4 kill feeds:*", shape, 9.0, 20),
        Scenario(
            "board late, old folders",
            late_list + "2 kill directors:90% older; 3 drain caches:1 out",
            shape,
            8.0,
        ),
        Scenario("sleepers", f"1 stop directors:1-{middle} for 3; 1.5 purges 40 for 1", shape, 12.0),
    ]
