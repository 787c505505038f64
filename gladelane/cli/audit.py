"""`gladelane fleet versions | audit | stragglers | explain | expect | verify | owners`: asks a control server
about the audit and about leases, and prints the answer.

Docstrings of commands are their help texts.
"""

from __future__ import annotations

import datetime
import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Annotated, Any
from urllib.parse import quote

import typer
from rich.table import Table

from . import fail, out
from .control_server_client import CaFile, ServerAddress, TokenFile, call, parse_moment_ms

Json = Annotated[bool, typer.Option("--json", help="The feed's answer as it is.")]
VIEW_KEYS = ("rev", "out", "purges", "horizon_ms", "settings", "operator", "program")
VERSION_KEYS = ("rev", "settings", "operator", "program")  # counted: how many directors have each
VERSIONS_COLUMNS = (
    *("director", "zone", "start", "span", "since", "rev", "purges", "settings", "operator", "program"),
    *("out", "stage", "clock ms"),
)
AUDIT_COLUMNS = (
    *("director", "start", "span", "from", "to", "known", "rev", "view", "sent>served", "worth", "clock ms"),
)
LAGGING_COLUMNS = ("director", "zone", "stage", "lacks", "heard s ago", "next", "why")
LEASE_COLUMNS = ("work", "owner", "number", "for s", "ends in s")
POLICY_STEPS = ("lag", "again", "kept", "emptied", "out")
MAX_PRINTED_MS = 2.0**52  # a later moment is no date


def _moment_ms(text: str) -> float:
    """Unix ms. Ends the command for a malformed moment."""
    if text == "now":
        return time.time() * 1000.0
    try:
        return float(text) if text.replace(".", "", 1).isdigit() else parse_moment_ms(text)
    except ValueError:
        fail(f"{text!r}; expected Unix ms, now, or a moment such as 2026-12-01T09:30:00Z")


def _date(at_ms: float) -> str:
    """A date and time of UTC; empty for 0."""
    if not 0.0 < at_ms < MAX_PRINTED_MS:
        return "" if at_ms <= 0.0 else "later"
    at = datetime.datetime.fromtimestamp(at_ms / 1000.0, datetime.UTC)
    return at.isoformat(timespec="milliseconds").removesuffix("+00:00")


def _wants_table(answer: dict[str, Any], json_: bool) -> bool:
    """Prints the answer as JSON and returns False where that is wanted. Otherwise prints to standard error
    what the answer may lack."""
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


def _table(columns: tuple[str, ...]) -> Table:
    return Table(*columns, box=None, pad_edge=False)


def _versions_row(row: dict[str, Any], view: dict[str, Any]) -> list[str]:
    return [
        row["director"],
        row["zone"],
        str(row["start"]),
        str(row["number"]),
        _date(row["from_ms"]),
        *(str(view.get(key, "")) for key in ("rev", "purges", "settings", "operator", "program")),
        ",".join(view.get("out", ())),
        row["why"] or "0",
        _offset(row),
    ]


def _audit_row(row: dict[str, Any], view: dict[str, Any]) -> list[str]:
    return [
        row["director"],
        str(row["start"]),
        str(row["number"] or ""),
        _date(row["from_ms"]),
        _date(row["to_ms"]),
        row["known"] + (f": {row['why']}" if row["why"] else ""),
        str(view.get("rev", "")),
        row["view"],
        _counts(row),
        f"{row['worth']:g}",
        _offset(row),
    ]


def _lagging_row(status: dict[str, Any]) -> list[str]:
    lacks = " ".join(f"{part}:{ms / 1000.0:.1f}s" for part, ms in status["behind_ms"].items())
    heard = f"{status['heard_ms'] / 1000.0:.1f}"
    return [
        status["director"],
        status["zone"],
        status["stage"],
        lacks,
        heard,
        status["next"],
        status["why"],
    ]


def _print_version_counts(answer: dict[str, Any]) -> None:
    """How many directors have each version, the most frequent first."""
    for key in VERSION_KEYS:
        counts: Counter[str] = Counter()
        for row in answer["rows"]:
            counts[str(answer["views"].get(row["view"], {}).get(key, ""))] += 1
        counted = sorted(counts.items(), key=lambda pair: -pair[1])
        out.print(f"{key}: " + ", ".join(f"{value} at {count}" for value, count in counted))


def versions(server: ServerAddress, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Which versions each director acts on now, and how many act on each."""
    answer = call(server, tokens, tls_ca, "GET", "/fleet/versions")
    if not _wants_table(answer, json_):
        return
    table = _table(VERSIONS_COLUMNS)
    for row in answer["rows"]:
        table.add_row(*_versions_row(row, answer["views"].get(row["view"], {})))
    out.print(table)
    _print_version_counts(answer)
    for expected in answer["expects"]:
        digests = ", ".join(expected.get("digests", ())) or "any"
        since, by = _date(expected["since_ms"]), expected.get("by", "")
        out.print(f"expected {expected['part']}: {digests} since {since} by {by}")


def audit(
    server: ServerAddress,
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
        f"/fleet/audit?at={_moment_ms(at)}"
        if at
        else (f"/fleet/audit?director={quote(director)}&from={_moment_ms(from_)}&to={_moment_ms(to)}")
    )
    answer = call(server, tokens, tls_ca, "GET", target)
    if not _wants_table(answer, json_):
        return
    table = _table(AUDIT_COLUMNS)
    for row in answer["rows"]:
        table.add_row(*_audit_row(row, answer["views"].get(row["view"], {})))
    out.print(table)
    for name, view in answer["views"].items():
        out.print(f"{name}: " + " ".join(f"{key}={view[key]}" for key in VIEW_KEYS))
    if answer["cut"]:
        out.print("more rows than one answer holds: ask for less time")


def lagging(server: ServerAddress, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Who is behind or silent, as this feed judges. Exits with 1 if anybody is."""
    answer = call(server, tokens, tls_ca, "GET", "/fleet/stragglers")
    if _wants_table(answer, json_):
        table = _table(LAGGING_COLUMNS)
        for status in answer["stragglers"]:
            table.add_row(*_lagging_row(status))
        out.print(table)
        for part, count in answer["source"].items():
            out.print(f"most lack {part} ({count}): the fault is the source's, nobody is held back for it")
    if answer["stragglers"]:
        raise typer.Exit(1)


def explain(
    director: Annotated[str, typer.Argument(help="Its name.")],
    server: ServerAddress,
    tokens: TokenFile,
    json_: Json = False,
    tls_ca: CaFile = None,
) -> None:
    """Where a director stands on the ladder, why, and what comes next."""
    answer = call(server, tokens, tls_ca, "GET", f"/fleet/explain?director={quote(director)}")
    if not _wants_table(answer, json_):
        return
    status, policy = answer["explained"], answer["ladder"]
    reason = f", {status['why']}" if status["why"] else ""
    out.print(f"{status['director']} (zone {status['zone']}): {status['stage']}{reason}")
    for part, ms in status["behind_ms"].items():
        most = (
            f", as most do ({answer['source'][part]}): the source's fault" if part in answer["source"] else ""
        )
        out.print(f"  lacks {part} for {ms / 1000.0:.1f} s{most}")
    next_step = f"; next: {status['next']}" if status["next"] else ""
    out.print(f"  heard {status['heard_ms'] / 1000.0:.1f} s ago{next_step}")
    if status["lets_back_ms"]:
        out.print(f"  lacks nothing now; let back in {status['lets_back_ms'] / 1000.0:.1f} s")
    out.print(
        "  ladder: "
        + ", ".join(f"{step} {policy[f'{step}_ms'] / 1000.0:g} s" for step in POLICY_STEPS)
        + f"; at most {policy['share']:.0%} at once"
    )


def expect(
    part: Annotated[str, typer.Argument(help="settings, operator or program.")],
    server: ServerAddress,
    tokens: TokenFile,
    digest: Annotated[list[str] | None, typer.Argument(help="Those that are right; none: any is.")] = None,
    since: Annotated[str, typer.Option(help="From when on; a rollout needs its time.")] = "now",
    tls_ca: CaFile = None,
) -> None:
    """An operator's word on which versions are to be used: who has another counts as behind."""
    expected = {"part": part, "digests": digest or [], "since_ms": _moment_ms(since)}
    answer = call(server, tokens, tls_ca, "POST", "/fleet/expect", json.dumps(expected).encode())
    for one in answer["expects"]:
        digests = ", ".join(one.get("digests", ())) or "any"
        out.print(f"{one['part']}: {digests} since {_date(one['since_ms'])}")


def verify(server: ServerAddress, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Whether all reports fit together. Exits with 1 if some were altered, dropped, doubled or misdated."""
    answer = call(server, tokens, tls_ca, "GET", "/fleet/verify")
    if _wants_table(answer, json_):
        for one in answer["wrong"]:
            out.print(f"{one['director']}:{one['start']} span {one['number']}: {one['what']}")
    if any(one["what"] != "missing" for one in answer["wrong"]):
        raise typer.Exit(1)


def owners(server: ServerAddress, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Who has which piece of the fleet's work, as this keeper knows it."""
    answer = call(server, tokens, tls_ca, "GET", "/leases")
    if json_:
        print(json.dumps(answer))
        return
    if not answer["ready"]:
        print(f"{answer['keeper']}: grants nothing yet: it has just started", file=sys.stderr)
    table = _table(LEASE_COLUMNS)
    for one in answer["owners"]:
        since, left = f"{one['since_ms'] / 1000.0:.1f}", f"{one['left_ms'] / 1000.0:.1f}"
        table.add_row(one["work"], one["holder"] or "nobody", str(one["number"]), since, left)
    out.print(table)


#: by the name that operators type
COMMANDS: dict[str, Callable[..., None]] = {
    "versions": versions,
    "audit": audit,
    "stragglers": lagging,
    "explain": explain,
    "expect": expect,
    "verify": verify,
    "owners": owners,
}
