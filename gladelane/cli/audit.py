"""`gladelane fleet versions | audit | stragglers | explain | expect | verify`: what a feed knows of which
director acted on which version."""

from __future__ import annotations

import datetime
import json
import sys
import time
from typing import Annotated, Any
from urllib.parse import quote

import typer
from rich.table import Table

from . import fail, out
from .purge import CaFile, FeedAt, TokenFile, ask_feed, moment_of

Json = Annotated[bool, typer.Option("--json", help="The feed's answer as it is.")]
KEYS = ("rev", "out", "purges", "horizon_ms", "settings", "operator", "program")


def _moment(text: str) -> float:
    if text == "now":
        return time.time() * 1000.0
    try:
        return float(text) if text.replace(".", "", 1).isdigit() else moment_of(text)
    except ValueError:
        fail(f"{text!r}; expected Unix ms, now, or a moment such as 2026-12-01T09:30:00Z")


def _clock(at_ms: float) -> str:
    if not 0.0 < at_ms < 2.0**52:
        return "" if at_ms <= 0.0 else "later"
    at = datetime.datetime.fromtimestamp(at_ms / 1000.0, datetime.UTC)
    return at.isoformat(timespec="milliseconds").removesuffix("+00:00")


def _wants_table(answer: dict[str, Any], json_: bool) -> bool:
    """Whether a table is wanted; what the answer may lack goes to standard error."""
    if json_:
        print(json.dumps(answer))
        return False
    for line in answer["lacks"]:
        print(f"{answer['feed']}: may lack: {line}", file=sys.stderr)
    return True


def _counts(row: dict[str, Any]) -> str:
    return " ".join(
        f"{cls}:{sent}>{served}"
        + (f" refused {refused}" if refused else "")
        + (f" failed {failed}" if failed else "")
        + (f" older {older}" if older else "")
        for cls, (sent, served, refused, failed, older) in sorted(row["counts"].items())
    )


def _offset(row: dict[str, Any]) -> str:
    return f"{row['offset'][0]:.1f}..{row['offset'][1]:.1f}" if row["offset"] else "not known"


def versions(feed: FeedAt, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Which versions each director acts on now, and how many act on each."""
    answer = ask_feed(feed, tokens, tls_ca, "GET", "/fleet/versions")
    if not _wants_table(answer, json_):
        return
    table = Table(
        "director",
        "zone",
        "start",
        "span",
        "since",
        "rev",
        "purges",
        "settings",
        "operator",
        "program",
        "out",
        "stage",
        "clock ms",
        box=None,
        pad_edge=False,
    )
    for row in answer["rows"]:
        view = answer["views"].get(row["view"], {})
        table.add_row(
            row["director"],
            row["zone"],
            str(row["start"]),
            str(row["number"]),
            _clock(row["from_ms"]),
            *(str(view.get(key, "")) for key in ("rev", "purges", "settings", "operator", "program")),
            ",".join(view.get("out", ())),
            row["why"] or "0",
            _offset(row),
        )
    out.print(table)
    for key in ("rev", "settings", "operator", "program"):
        held: dict[str, int] = {}
        for row in answer["rows"]:
            value = str(answer["views"].get(row["view"], {}).get(key, ""))
            held[value] = held.get(value, 0) + 1
        counted = sorted(held.items(), key=lambda pair: -pair[1])
        out.print(f"{key}: " + ", ".join(f"{value} at {count}" for value, count in counted))
    for word in answer["expects"]:
        wanted = ", ".join(word.get("digests", ())) or "any"
        since, by = _clock(word["since_ms"]), word.get("by", "")
        out.print(f"expected {word['part']}: {wanted} since {since} by {by}")


def audit(
    feed: FeedAt,
    tokens: TokenFile,
    at: Annotated[
        str, typer.Option(help="What each director acted on then; Unix ms, now, or a moment.")
    ] = "",
    director: Annotated[str, typer.Option(help="One director's stretches instead.")] = "",
    from_: Annotated[str, typer.Option("--from", help="Their beginning.")] = "0",
    to: Annotated[str, typer.Option(help="Their end.")] = "now",
    json_: Json = False,
    tls_ca: CaFile = None,
) -> None:
    """What was done under which version. `unknown` is said where nobody can know."""
    if bool(at) == bool(director):
        fail("expected --at or --director")
    target = (
        f"/fleet/audit?at={_moment(at)}"
        if at
        else (f"/fleet/audit?director={quote(director)}&from={_moment(from_)}&to={_moment(to)}")
    )
    answer = ask_feed(feed, tokens, tls_ca, "GET", target)
    if not _wants_table(answer, json_):
        return
    table = Table(
        "director",
        "start",
        "span",
        "from",
        "to",
        "known",
        "rev",
        "view",
        "sent>served",
        "worth",
        "clock ms",
        box=None,
        pad_edge=False,
    )
    for row in answer["rows"]:
        view = answer["views"].get(row["view"], {})
        table.add_row(
            row["director"],
            str(row["start"]),
            str(row["number"] or ""),
            _clock(row["from_ms"]),
            _clock(row["to_ms"]),
            row["known"] + (f": {row['why']}" if row["why"] else ""),
            str(view.get("rev", "")),
            row["view"],
            _counts(row),
            f"{row['worth']:g}",
            _offset(row),
        )
    out.print(table)
    for name, view in answer["views"].items():
        out.print(f"{name}: " + " ".join(f"{key}={view[key]}" for key in KEYS))
    if answer["cut"]:
        out.print("more rows than one answer holds: ask for less time")


def stragglers(feed: FeedAt, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Who is behind or silent, as this feed judges. Exits with 1 if anybody is."""
    answer = ask_feed(feed, tokens, tls_ca, "GET", "/fleet/stragglers")
    if _wants_table(answer, json_):
        table = Table(
            "director", "zone", "stage", "lacks", "heard s ago", "next", "why", box=None, pad_edge=False
        )
        for one in answer["stragglers"]:
            lacks = " ".join(f"{part}:{ms / 1000.0:.1f}s" for part, ms in one["behind_ms"].items())
            heard = f"{one['heard_ms'] / 1000.0:.1f}"
            table.add_row(one["director"], one["zone"], one["stage"], lacks, heard, one["next"], one["why"])
        out.print(table)
        for part, count in answer["source"].items():
            out.print(f"most lack {part} ({count}): the fault is the source's, nobody is held back for it")
    if answer["stragglers"]:
        raise typer.Exit(1)


def explain(
    director: Annotated[str, typer.Argument(help="Its name.")],
    feed: FeedAt,
    tokens: TokenFile,
    json_: Json = False,
    tls_ca: CaFile = None,
) -> None:
    """Where a director stands on the ladder, why, and what comes next."""
    answer = ask_feed(feed, tokens, tls_ca, "GET", f"/fleet/explain?director={quote(director)}")
    if not _wants_table(answer, json_):
        return
    one, ladder = answer["explained"], answer["ladder"]
    why = f", {one['why']}" if one["why"] else ""
    out.print(f"{one['director']} (zone {one['zone']}): {one['stage']}{why}")
    for part, ms in one["behind_ms"].items():
        most = (
            f", as most do ({answer['source'][part]}): the source's fault" if part in answer["source"] else ""
        )
        out.print(f"  lacks {part} for {ms / 1000.0:.1f} s{most}")
    then = f"; next: {one['next']}" if one["next"] else ""
    out.print(f"  heard {one['heard_ms'] / 1000.0:.1f} s ago{then}")
    if one["lets_back_ms"]:
        out.print(f"  lacks nothing now; let back in {one['lets_back_ms'] / 1000.0:.1f} s")
    steps = ("lag", "again", "kept", "emptied", "out")
    out.print(
        "  ladder: "
        + ", ".join(f"{step} {ladder[f'{step}_ms'] / 1000.0:g} s" for step in steps)
        + f"; at most {ladder['share']:.0%} at once"
    )


def expect(
    part: Annotated[str, typer.Argument(help="settings, operator or program.")],
    feed: FeedAt,
    tokens: TokenFile,
    digest: Annotated[list[str] | None, typer.Argument(help="Those that are right; none: any is.")] = None,
    since: Annotated[str, typer.Option(help="From when on; a rollout needs its time.")] = "now",
    tls_ca: CaFile = None,
) -> None:
    """An operator's word on which versions are to be used: who has another counts as behind."""
    word = {"part": part, "digests": digest or [], "since_ms": _moment(since)}
    answer = ask_feed(feed, tokens, tls_ca, "POST", "/fleet/expect", json.dumps(word).encode())
    for one in answer["expects"]:
        wanted = ", ".join(one.get("digests", ())) or "any"
        out.print(f"{one['part']}: {wanted} since {_clock(one['since_ms'])}")


def verify(feed: FeedAt, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Whether all reports fit together. Exits with 1 if some were altered, dropped, doubled or misdated."""
    answer = ask_feed(feed, tokens, tls_ca, "GET", "/fleet/verify")
    if _wants_table(answer, json_):
        for one in answer["wrong"]:
            out.print(f"{one['director']}:{one['start']} span {one['number']}: {one['what']}")
    if any(one["what"] != "missing" for one in answer["wrong"]):
        raise typer.Exit(1)


def owners(feed: FeedAt, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Who has which piece of the fleet's work, as this keeper knows it."""
    answer = ask_feed(feed, tokens, tls_ca, "GET", "/leases")
    if json_:
        print(json.dumps(answer))
        return
    if not answer["ready"]:
        print(f"{answer['keeper']}: grants nothing yet: it has just started", file=sys.stderr)
    table = Table("work", "owner", "number", "for s", "ends in s", box=None, pad_edge=False)
    for one in answer["owners"]:
        since, left = f"{one['since_ms'] / 1000.0:.1f}", f"{one['left_ms'] / 1000.0:.1f}"
        table.add_row(one["work"], one["holder"] or "nobody", str(one["number"]), since, left)
    out.print(table)


COMMANDS = (versions, audit, stragglers, explain, expect, verify, owners)
