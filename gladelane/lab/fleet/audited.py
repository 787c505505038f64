"""A run of which the audit is held against what the servers, the links and the board's own book say.

Nothing of the product judges here: attempts are those that stand-ins saw, tenures those whose questions and
answers passed the relays, lists those that the board told. What the audit says is read from the feeds'
folders once all has ended."""

from __future__ import annotations

import asyncio
import copy
import json
import signal
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from statistics import quantiles
from typing import Any

import msgspec

from ...control.http import Refused, fetch
from ...durable.files import Folder
from ...fleet.collector import recovered
from ...fleet.ledger import Known, Ledger, Row
from ...fleet.tenure import Stage
from ...fleet.trail import Span, sealed
from ...fleet.view import positions
from .day import play
from .fleet import TOKEN, Fleet, Shape
from .load import Load
from .relay import Reported
from .rules import SLACK_MS, Made, Purged, Sent

ON_TIME_MS = 50.0  # past a tenure's end, for what was on its way to the server that saw it
SEEN_MS = 60.0  # between a director's decision and the server's book, at the most
SETTLE_S = 1.2
LEDGER_S = 6.0


def ledger_of(folder: Path) -> Ledger:
    """Of a feed that has ended."""
    ledger = Ledger()
    log, _, _ = recovered(Folder(folder), ledger)
    log.close()
    return ledger


class Lists:
    """What the board told by revision: who was in service."""

    def __init__(self, notices: list[dict[str, Any]]) -> None:
        self._by_rev: dict[int, frozenset[str]] = {}
        state: dict[str, str] = {}
        for notice in notices:
            pool = notice.get("pool")
            if pool is not None:
                state = {} if pool.get("reset") else state
                state |= {one["instanceId"]: one["lifecycle"] for one in pool["instances"]}
            self._by_rev[notice["rev"]] = frozenset(n for n, life in state.items() if life == "in_service")

    def used(self, rev: int, sent: Sent) -> bool:
        """Whether a view with this revision could have sent it."""
        serving = self._by_rev.get(rev, frozenset())
        return sent.store in serving and (not sent.source or sent.source in serving)


def covering(rows: list[Row], at_ms: float) -> list[Row]:
    return [row for row in rows if row.from_ms - SEEN_MS <= at_ms <= row.to_ms + SEEN_MS]


def contradictions(
    ledger: Ledger, attempts: list[Sent], made: list[Made], purges: list[Purged], lists: Lists
) -> list[str]:
    """Attempts and answers that the audit's views could not have produced, or that it gives to no span
    though their director lived; and directors that sent more than their spans say."""
    found: list[str] = []
    rows = {name: ledger.of(name, 0.0, 2.0**53) for name in ledger.directors()}
    froms = {name: [row.from_ms for row in told] for name, told in rows.items()}
    seen: Counter[str] = Counter()

    def near(director: str, at_ms: float) -> list[Row]:
        told = rows.get(director, [])
        place = bisect_right(froms.get(director, []), at_ms + SEEN_MS)
        return covering(told[max(place - 400, 0) : place], at_ms)

    for sent in attempts:
        if not sent.director:
            continue
        candidates = near(sent.director, sent.at_ms)
        if any(row.known == Known.UNKNOWN.value for row in candidates):
            continue
        acted = [row for row in candidates if row.known == Known.ACTED.value and row.view in ledger.views]
        seen[sent.director] += 1
        if not acted:
            found.append(f"{sent.director} sent to {sent.store} at {sent.at_ms:.0f}, in no span")
        elif not any(lists.used(ledger.views[row.view].rev, sent) for row in acted):
            found.append(f"{sent.director} sent to {sent.store} at {sent.at_ms:.0f}, not under its views")
    for name, told in rows.items():
        counted = sum(count.sent for row in told for count in row.counts.values())
        if seen[name] > counted:
            found.append(f"{name} sent {seen[name]} that were seen, its spans say {counted}")
    return found + outdated(ledger, near, made, purges)


def outdated(
    ledger: Ledger, near: Callable[[str, float], list[Row]], made: list[Made], purges: list[Purged]
) -> list[str]:
    """Answers from a copy older than a purge that every view knew which may have sent for them."""
    found = []
    for answer in made:
        candidates = near(answer.director, answer.sent_ms)
        acted = [row for row in candidates if row.known == Known.ACTED.value and row.view in ledger.views]
        if not acted or len(acted) < len(candidates):
            continue
        first = positions(ledger.views[min(acted, key=lambda row: row.from_ms).view].purges)
        for purge in purges:
            known = first.get((purge.issuer, purge.epoch), 0) >= purge.seq > 0
            if (
                known
                and answer.dated_ms + SLACK_MS < purge.at_ms
                and purge.scope.covers(answer.cls, answer.group, answer.object, answer.part)
            ):
                found.append(f"{answer.director} answered from {answer.dated_ms:.0f}, its view knew a purge")
                break
    return found


def after_out(fleet: Fleet, load: Load, tenure_ms: float) -> int:
    """Attempts, and answers of strict classes, by directors past their tenure or shut out."""
    told: dict[str, list[Reported]] = defaultdict(list)
    for (near, _), relay in fleet.links.items():
        told[near] += relay.reported
    for reports in told.values():
        reports.sort(key=lambda one: one.answered_ms)
    strict = fleet.shape.strict if fleet.shape.alone == "strict" else ()  # else nothing may go on
    acts = [
        (sent.director, sent.at_ms)
        for sent in load.attempts
        if sent.director and (not strict or sent.cls in strict)
    ]
    acts += [(a.director, a.answered_ms) for a in load.made if a.cls in fleet.shape.strict]
    late = 0
    for director, at in acts:
        reports = told[director]
        place = bisect_right(reports, at - ON_TIME_MS, key=lambda one: one.answered_ms)
        held = [one for one in reports[:place] if one.stage < Stage.OUT][-4:]
        # what came a moment before the act may have been heard before it
        held += [one for one in reports[place : place + 2] if one.answered_ms <= at]
        within = any(at <= one.asked_ms + tenure_ms + ON_TIME_MS for one in held)
        out = (
            place
            and reports[place - 1].stage >= Stage.OUT
            and not any(one.stage < Stage.OUT and one.answered_ms <= at for one in reports[place : place + 2])
        )
        late += not within or bool(out)
    return late


def moved(fleet: Fleet) -> dict[str, list[tuple[float, int]]]:
    """The stages that each director was told of, and when, as its links saw them."""
    found: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for (near, _), relay in fleet.links.items():
        found[near] += [(one.answered_ms, one.stage) for one in relay.reported]
    changes = {}
    for name, told in found.items():
        was, kept = 0, []
        for at, stage in sorted(told):
            if stage != was:
                kept.append((at, stage))
            was = stage
        changes[name] = kept
    return changes


def most_out(changes: dict[str, list[tuple[float, int]]]) -> int:
    """The most directors that were kept, emptied or out at one moment."""
    events = sorted((at, name, stage) for name, told in changes.items() for at, stage in told)
    held: set[str] = set()
    most = 0
    for _, name, stage in events:
        (held.add if stage >= Stage.KEPT else held.discard)(name)
        most = max(most, len(held))
    return most


async def asked(fleet: Fleet, number: int, target: str) -> dict[str, Any]:
    """A question to a feed. Raises OSError, Refused and TimeoutError."""
    port = fleet.feeds[number].port
    told: dict[str, Any] = json.loads(await fetch("127.0.0.1", port, "GET", target, TOKEN))
    return told


async def end_all(fleet: Fleet) -> list[Ledger]:
    """Ends directors, so that they say their last word, waits until the feeds have told one another, ends
    them, and reads what they have stored."""
    await asyncio.gather(*(fleet.end(one, signal.SIGTERM) for one in fleet.directors))
    until = asyncio.get_running_loop().time() + LEDGER_S
    while asyncio.get_running_loop().time() < until:
        marks = []
        for number in range(len(fleet.feeds)):
            try:
                marks.append(sorted((await asked(fleet, number, "/fleet/marks"))["marks"]))
            except (OSError, Refused, TimeoutError):
                marks.append([])
        if all(one == marks[0] for one in marks):
            break
        await asyncio.sleep(0.1)
    await asyncio.gather(*(fleet.end(one, signal.SIGTERM) for one in fleet.feeds))
    return [await asyncio.to_thread(ledger_of, one.folder / "audit") for one in fleet.feeds]


def unknown_share(ledger: Ledger) -> float:
    """Of the time from each director's first word to its last."""
    unknown = whole = 0.0
    for name in ledger.directors():
        for row in ledger.of(name, 0.0, 2.0**53):
            if row.to_ms >= 2.0**52:  # past the last word of all
                continue
            whole += row.to_ms - row.from_ms
            unknown += (row.to_ms - row.from_ms) * (row.known == Known.UNKNOWN.value)
    return unknown / max(whole, 1.0)


def same(one: Ledger, other: Ledger) -> bool:
    """Whether two feeds ended up with the same spans."""
    return one.marks() == other.marks() and one.spans == other.spans


def play_audited(
    line: str,
    shape: Shape,
    seed: int,
    seconds: float,
    per_s: float = 150.0,
    purges: int = 0,
    look: Callable[[Fleet, Load], Any] | None = None,
) -> Any:
    """As `day.play`, with what the audit came to."""

    async def seen(fleet: Fleet, load: Load) -> dict[str, Any]:
        extra = await look(fleet, load) if look is not None else {}
        await asyncio.sleep(SETTLE_S)
        changes = moved(fleet)
        told = sum(relay.report_bytes for relay in fleet.links.values())
        late = after_out(fleet, load, shape.tenure_ms)
        ledgers = await end_all(fleet)
        ledger = max(ledgers, key=lambda one: one.spans)
        lists = Lists(fleet.world.board.notices)
        stored = sum(path.stat().st_size for path in (fleet.feeds[0].folder / "audit").iterdir())
        return {
            "attempts": len(load.attempts),
            "spans": ledger.spans,
            "ledger": ledger,
            "load": load,
            "lists": lists,
            "same": all(same(ledger, one) for one in ledgers),
            "wrong": [w for w in ledger.verify() if w.what != "missing"],
            "contradictions": contradictions(ledger, load.attempts, load.made, load.purges, lists),
            "unknown_share": unknown_share(ledger),
            "acted_after_out": late,
            "stages": changes,
            "most_out_at_once": most_out(changes),
            "report_bytes": told,
            "stored_bytes": stored,
            **extra,
        }

    return play(line, replace(shape, audit=True), seed, seconds, per_s, purges, look=seen)


# --- planted faults: reports altered, dropped, doubled, dated wrongly


def planted(ledger: Ledger, rng: Random) -> dict[str, Ledger]:
    """The same reports with one thing wrong in each."""
    found: dict[str, Ledger] = {}
    key, number = _victim(ledger, rng)

    def changed(name: str, change: Callable[[list[Span]], list[Span]]) -> None:
        made = Ledger()
        for report in ledger.beyond({}, 2**31):
            spans = report.spans
            if (report.director, report.start) == key:
                spans = change(list(spans))
            made.take(msgspec.structs.replace(report, spans=spans))
        found[name] = made

    def each(change: Callable[[Span], Span]) -> Callable[[list[Span]], list[Span]]:
        return lambda spans: [change(span) if span.number == number else span for span in spans]

    def more(span: Span) -> Span:
        counts = copy.deepcopy(span.counts)
        next(iter(counts.values())).sent += 1
        return msgspec.structs.replace(span, counts=counts)

    other = next(name for name in ledger.views if name != _span(ledger, key, number).view)
    changed("a count altered", each(more))
    changed("a view altered", each(lambda span: msgspec.structs.replace(span, view=other)))
    changed("a span dropped", lambda spans: [span for span in spans if span.number != number])
    changed(
        "a span doubled, with other counts",
        lambda spans: [*spans, *(more(span) for span in spans if span.number == number)],
    )
    changed(
        "a span dated later",
        each(lambda span: msgspec.structs.replace(span, from_ms=span.from_ms + 5e3, to_ms=span.to_ms + 5e3)),
    )
    changed(
        "a span dated earlier",
        each(lambda span: msgspec.structs.replace(span, from_ms=span.from_ms - 5e3, to_ms=span.to_ms - 5e3)),
    )
    changed("altered and sealed anew", each(lambda span: sealed("00", more(span))))
    lied = copy.deepcopy(ledger)
    lied.views[other] = msgspec.structs.replace(lied.views[other], rev=lied.views[other].rev + 7)
    made = Ledger()
    for report in lied.beyond({}, 2**31):
        made.take(report)
    found["a view under another's name"] = made
    return found


def _victim(ledger: Ledger, rng: Random) -> tuple[tuple[str, int], int]:
    """A span in the middle that counted something."""
    able = [
        ((report.director, report.start), span.number)
        for report in ledger.beyond({}, 2**31)
        for span in report.spans[1:-1]
        if any(count.sent for count in span.counts.values())
    ]
    return rng.choice(able)


def _span(ledger: Ledger, key: tuple[str, int], number: int) -> Span:
    report = next(ledger.beyond_run(key, number - 1, 1))
    return report.spans[0]


def caught(ledger: Ledger) -> bool:
    return any(wrong.what != "missing" for wrong in ledger.verify())


def p99(values: list[float]) -> float:
    """0 for none."""
    return quantiles(values, n=100)[98] if len(values) > 1 else (values[0] if values else 0.0)
