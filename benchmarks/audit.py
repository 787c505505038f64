"""The audit of the fleet: what it says held against what servers, links and the board's own book say.

`python -m benchmarks.audit [--quick]`: fleets of directors and feeds as processes of their own, with faults
between them (`lab/fleet`). Every attempt that a server saw must fit a span of its director, reports that were
tampered with must be seen, a director past its tenure must do nothing; the same with `enforce` off must show
some, else the check proves nothing. Then the machines of tenure and ladder are searched with planted faults,
and a simulated week of 300 directors is asked. Exits with 1 if any of this fails.
"""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from random import Random
from typing import Any, NamedTuple

import uvloop

from benchmarks import conclude
from gladelane.audit.activity_log import ActivityLog
from gladelane.audit.audit_queries import rows_at, rows_between
from gladelane.audit.audit_store import AuditStore
from gladelane.audit.steady import steady_ms
from gladelane.audit.view import View, view_id
from gladelane.audit.view_lease import Stage, ViewLease
from gladelane.audit.wire import Report
from gladelane.lab.fleet.audited import caught, contradictions, p99, planted, play_audited
from gladelane.lab.fleet.faults import read_line
from gladelane.lab.fleet.fleet import Fleet
from gladelane.lab.fleet.load import Load
from gladelane.lab.fleet.shape import Shape
from gladelane.lab.fleet.world import CACHES
from gladelane.lab.view_leases import ESCALATION_PLANTS, LEASE_PLANTS, searched, searched_all

LAG_MS = 500.0  # what was told for less nobody lacks
WEEK_MS = 7 * 86_400_000.0


BACK_MS = 8_000.0  # for which one that was behind may still be held back
MOST = "most are behind"
HIDDEN = ("ledger", "load", "lists", "events", "line", "phases", "stages")


class Day(NamedTuple):
    name: str
    line: str
    shape: Shape
    seconds: float
    purges: int = 0


def days(quick: bool) -> list[Day]:
    n = 8 if quick else 24
    shape = Shape(n, tenure_ms=2000.0, behind_ms=4000.0)
    found = [
        Day(
            "a sleeper, a straggler, a kill, a feed killed",
            "0.5 stop directors:0 for 4; 1 drain caches:0 out; 1.2 purges 20 for 1; "
            "2 cut directors:1>board silent for 6; 2.5 drain caches:1 out; 4.5 kill directors:3; "
            "6 kill feeds:0; 7 drain caches:1 in; 8 cut directors:4>feeds:* oneway for 3",
            shape,
            14.0,
        ),
    ]
    if quick:
        return found
    half = n // 2 - 1
    return [
        *found,
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
            "; ".join(
                f"{0.5 + turn} kill directors:{(turn * 3) % n}-{(turn * 3) % n + 2} {how}"
                for turn, how in enumerate(
                    ("kept", "empty", "older", "torn", "kept", "empty", "kept", "kept")
                )
            )
            + "; 0 save directors:*; 2 purges 40 for 4; 3 drain caches:2 out",
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
        Day(
            "sleepers through everything",
            f"1 stop directors:0-{half} for 5; 2 drain caches:0 out; "
            "2 purges 40 for 2; 3 kill feeds:0; 8 stop feeds:* for 4",
            shape,
            16.0,
        ),
        Day(
            "many stragglers",
            f"1 cut directors:0-{n // 3}>board silent for 9; 2 drain caches:0 out; " "5 drain caches:0 in",
            shape,
            16.0,
        ),
        Day(MOST, f"1 cut directors:0-{n - 3}>board silent for 8; 2 drain caches:0 out", shape, 14.0),
    ]


BEFORE = Day(
    "not enforced",
    "0.3 stop directors:0 for 3; 0.5 drain caches:0 out; 0.8 cut directors:1>feeds:* oneway for 5",
    Shape(4, tenure_ms=1500.0, behind_ms=2000.0, enforce=False),
    6.0,
)


def windows(day: Day, run: dict[str, Any], seed: int) -> list[tuple[str, float, float]]:
    """Who was behind the list by what the line did: director, since when it lacked what had been told for the
    lag, and when it could hear again. Unix ms."""
    counts = {"directors": day.shape.directors, "feeds": day.shape.feeds, "caches": CACHES}
    steps = read_line(day.line, counts, Random(seed))
    zero = next(at for at, what in run["events"] if what == "line begins")
    news = [step.at for step in steps if step.word == "drain"]
    found = []
    for step in steps:
        for near, far in step.links:
            told = [at for at in news if step.at < at < step.at + step.last]
            if far[0] == "board" and told:
                healed = zero + (step.at + step.last) * 1000.0
                found.append((f"director-{near[1]}", zero + told[0] * 1000.0 + LAG_MS, healed))
    return found


def slept(day: Day, run: dict[str, Any], seed: int) -> list[tuple[str, float, float]]:
    """Likewise for who was stopped, or cut off from feeds: behind when it is heard again."""
    counts = {"directors": day.shape.directors, "feeds": day.shape.feeds, "caches": CACHES}
    zero = next(at for at, what in run["events"] if what == "line begins")
    found = []
    for step in read_line(day.line, counts, Random(seed)):
        names = [f"director-{number}" for kind, number in step.whom if kind == "directors"]
        names += [f"director-{near[1]}" for near, _ in step.links]
        if step.word in ("stop", "cut"):
            until = zero + (step.at + step.last) * 1000.0
            found += [(name, zero + step.at * 1000.0, until) for name in names]
    return found


def detection(run: dict[str, Any], told: list[tuple[str, float, float]]) -> tuple[list[float], list[float]]:
    """Until each was told that it is behind, and until it was let back once it could hear, in ms."""
    found, back = [], []
    for name, behind_ms, healed_ms in told:
        stages = run["stages"].get(name, [])
        found += [at - behind_ms for at, stage in stages if stage and at >= behind_ms - LAG_MS][:1]
        back += [at - healed_ms for at, stage in stages if not stage and at >= healed_ms][:1]
    return found, back


def wrongly(run: dict[str, Any], told: list[tuple[str, float, float]]) -> list[str]:
    """Directors that were held back while they lacked nothing that had been told."""
    found = []
    for name, stages in run["stages"].items():
        for at, stage in stages:
            within = any(who == name and since <= at <= until + BACK_MS for who, since, until in told)
            if stage >= Stage.RESTRICTED and not within:
                found.append(f"{name} at {at:.0f}: stage {stage}")
    return found


def emptied(run: dict[str, Any], directors: int) -> int:
    """How often all directors of the branch served nobody at once."""
    events = sorted((at, name, stage) for name, told in run["stages"].items() for at, stage in told)
    out: set[str] = set()
    times = 0
    for _, name, stage in events:
        was = len(out)
        (out.add if stage >= Stage.DRAINED else out.discard)(name)
        times += len(out) == directors > was
    return times


def recheck_us() -> float:
    """What is added to an attempt: the tenure, the view's number, the count."""
    tenure, trail = ViewLease(), ActivityLog("d", 1, "v", {}, 0.0)
    tenure.renew(steady_ms(), 3_600_000.0)
    strict = frozenset({"question-item"})
    best = 1e9
    for _ in range(5):
        began = time.perf_counter()
        for _ in range(100_000):
            if tenure.permits("question-item" in strict, steady_ms()):
                trail.record_attempt("question-item")
        best = min(best, (time.perf_counter() - began) * 10.0)
    return best


def week(directors: int, spans: int) -> dict[str, float]:
    """A week of a fleet: bytes a director and hour, the slowest of some questions in ms, and how long a
    snapshot and a start take."""
    ledger, step = AuditStore(), WEEK_MS / spans
    views = [View("main", rev, f"{rev:016x}", (), f"f:1={rev}") for rev in range(1, spans + 1)]
    names = [view_id(view) for view in views]
    totals = {"question-item": [0, 0, 0], "video-part": [0, 0, 0], "answer-submit": [0, 0, 0]}
    for number in range(directors):
        trail = ActivityLog(f"director-{number}", 1, names[0], {"question-item": 1.0}, 0.0, 10**9)
        for turn in range(1, spans):
            for cls, row in totals.items():
                trail.record_attempt(cls)
                row[0] += 1
            trail.close_interval(names[turn], totals, turn * step)
        ledger.add(
            Report(
                trail.director,
                1,
                "branch",
                0.0,
                views[-1],
                trail.intervals(),
                dict(zip(names, views, strict=True)),
                taken_ms=WEEK_MS,
                by="feed",
            )
        )
        totals = {cls: [0, 0, 0] for cls in totals}
    took = []
    rng = Random(7)
    for _ in range(20):
        at = rng.uniform(0.0, WEEK_MS)
        began = time.perf_counter()
        rows = rows_at(ledger, at)
        took.append((time.perf_counter() - began) * 1000.0)
        assert len(rows) >= directors - 1
        began = time.perf_counter()
        rows_between(ledger, f"director-{rng.randrange(directors)}", at, at + 3_600_000.0)
        took.append((time.perf_counter() - began) * 1000.0)
    began = time.perf_counter()
    payload = ledger.snapshot()
    stored = time.perf_counter()
    again = AuditStore()
    again.restore(payload)
    assert again.interval_count == ledger.interval_count
    return {
        "week_spans": ledger.interval_count,
        "query_ms": round(max(took), 1),
        "week_bytes_per_director_hour": round(len(payload) / directors / (WEEK_MS / 3_600_000.0)),
        "snapshot_ms": round((stored - began) * 1000.0),
        "recover_s": round(time.perf_counter() - stored, 2),
    }


async def events(fleet: Fleet, load: Load) -> dict[str, Any]:
    """What the line did, in Unix ms."""
    del load
    zero = time.time() - time.monotonic() + fleet.began
    return {"events": [((zero + at) * 1000.0, what) for at, what, _ in fleet.events]}


def played(day: Day, seed: int) -> dict[str, Any]:
    async def whole() -> dict[str, Any]:
        run: dict[str, Any] = await play_audited(
            day.line, day.shape, seed, day.seconds, purges=day.purges, look=events
        )
        return run

    return uvloop.run(whole())


def main() -> int:
    quick = "--quick" in sys.argv
    seed = 11
    runs: dict[str, dict[str, Any]] = {}
    detect: list[float] = []
    back: list[float] = []
    wrong_out: list[str] = []
    searches = ProcessPoolExecutor(2)  # beside the runs, which leave most cores idle
    plants = (*LEASE_PLANTS, *ESCALATION_PLANTS)
    cleanly = searches.submit(searched_all, 6, 2 if quick else 3)
    seeking = {plant.name: searches.submit(searched, plant) for plant in plants}
    for day in days(quick):
        run = runs[day.name] = played(day, seed)
        late, known = windows(day, run, seed), slept(day, run, seed)
        if day.name != MOST:
            found = detection(run, late)
            detect += found[0]
            back += found[1]
            wrong_out += wrongly(run, late + known)
        else:  # the fault is the source's, and nobody is held back for it
            wrong_out += wrongly(run, [])
        shown = {k: v for k, v in run.items() if k not in HIDDEN}
        print(f"{day.name}: {shown}", flush=True)
    before = played(BEFORE, seed)
    print(f"not enforced: attempts {before['attempts']}, after out {before['acted_after_out']}", flush=True)
    first = runs[days(quick)[0].name]
    rigged = {
        name: caught(ledger)
        or bool(
            contradictions(
                ledger, first["load"].attempts, first["load"].made, first["load"].purges, first["lists"]
            )
        )
        for name, ledger in planted(first["ledger"], Random(seed)).items()
    }
    clean, sought = cleanly.result(), {name: found.result() for name, found in seeking.items()}
    searches.shutdown()
    asked = week(300, 170 if quick else 2016)

    def total(name: str) -> int:
        return sum(run[name] for run in runs.values())

    hours = sum(day.shape.directors * (day.seconds + 3.0) for day in days(quick)) / 3600.0
    told: dict[str, Any] = {
        "quick": quick,
        "directors": days(quick)[0].shape.directors,
        "runs": len(runs) + 1,
        "faults": sum(day.line.count(";") + 1 for day in days(quick)),
        "attempts": total("attempts"),
        "answers": total("answers"),
        "spans": total("spans"),
        "contradictions": sum(len(run["contradictions"]) for run in runs.values()),
        "wrong": sum(len(run["wrong"]) for run in runs.values()),
        "feeds_the_same": all(run["same"] for run in runs.values()),
        "planted": len(rigged),
        "planted_caught": sum(rigged.values()),
        "unknown_share": round(max(run["unknown_share"] for run in runs.values()), 4),
        "acted_after_out": total("acted_after_out"),
        "acted_after_out_before": before["acted_after_out"],
        "detect_ms_p99": round(p99(detect)),
        "caught_up_ms_p99": round(p99(back)),
        "stragglers": len(detect),
        "shut_out_wrongly": len(wrong_out),
        "most_out_at_once": max(run["most_out_at_once"] for run in runs.values()),
        "branch_emptied": sum(
            emptied(run, day.shape.directors) for day, run in zip(days(quick), runs.values(), strict=True)
        ),
        "stale": total("stale_strict"),
        "rules_broken": total("rules_broken"),
        "lost": total("lost"),
        "recheck_us": round(recheck_us(), 2),
        "bytes_per_director_hour": round(total("stored_bytes") / hours),
        "report_bytes_per_director_hour": round(total("report_bytes") / hours),
        **asked,
        "search_states": clean,
        "search_planted": len(sought),
        "search_caught": [name for name, found in sought.items() if isinstance(found, str)],
    }
    broken = {
        "contradictions": told["contradictions"] > 0,
        "what was reported does not fit": told["wrong"] > 0,
        "feeds differ": not told["feeds_the_same"],
        "planted reports not caught": told["planted_caught"] < told["planted"],
        "acted after out": told["acted_after_out"] > 0,
        "the check proves nothing": told["acted_after_out_before"] == 0,
        "shut out wrongly": told["shut_out_wrongly"] > 0,
        "a branch emptied": told["branch_emptied"] > 0,
        "detected late": not told["stragglers"] or told["detect_ms_p99"] > 1_000,
        "stale": told["stale"] > 0,
        "rules": told["rules_broken"] > 0,
        "lost": told["lost"] > 0,
        "recheck": told["recheck_us"] > 4.0,
        "query": told["query_ms"] > 200.0,
        "search": "violation" in clean or len(told["search_caught"]) < len(sought),
    }
    for name in wrong_out[:5]:
        print(name)
    return conclude(told, (name for name, is_broken in broken.items() if is_broken))


if __name__ == "__main__":
    sys.exit(main())
