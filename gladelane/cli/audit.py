"""`gladelane fleet versions | audit | stragglers | explain | expect | verify | owners`: queries a control
server about the audit and about leases, and prints the answer.

The docstring of a command is its help text.
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

Json = Annotated[bool, typer.Option("--json", help="Print the control server's answer as JSON.")]
VIEW_KEYS = ("rev", "out", "purges", "horizon_ms", "settings", "operator", "program")
VERSION_KEYS = ("rev", "settings", "operator", "program")  # directors are counted by each of them
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
MAX_PRINTED_MS = 2.0**52  # larger values cannot be printed as dates


def _parse_time_ms(text: str) -> float:
    """Parses Unix ms, `now` or an ISO date to Unix ms. Ends the command for any other text."""
    if text == "now":
        return time.time() * 1000.0
    try:
        return float(text) if text.replace(".", "", 1).isdigit() else parse_moment_ms(text)
    except ValueError:
        fail(f"{text!r}; expected Unix ms, now, or a moment such as 2026-12-01T09:30:00Z")


def _format_date(at_ms: float) -> str:
    """Formats Unix ms as date and time in UTC; empty for 0."""
    if not 0.0 < at_ms < MAX_PRINTED_MS:
        return "" if at_ms <= 0.0 else "later"
    moment = datetime.datetime.fromtimestamp(at_ms / 1000.0, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").removesuffix("+00:00")


def _needs_table(answer: dict[str, Any], json_: bool) -> bool:
    """Returns whether the caller has to print tables. If JSON is wanted, prints the answer and returns False;
    otherwise prints on standard error what the answer may lack."""
    if json_:
        print(json.dumps(answer))
        return False
    for missing in answer["lacks"]:
        print(f"{answer['feed']}: may lack: {missing}", file=sys.stderr)
    return True


def _format_counts(row: dict[str, Any]) -> str:
    return " ".join(
        f"{cls}:{sent}>{served}"
        + (f" refused {refused}" if refused else "")
        + (f" failed {failed}" if failed else "")
        + (f" older {older}" if older else "")
        for cls, (sent, served, refused, failed, older) in sorted(row["counts"].items())
    )


def _format_offset(row: dict[str, Any]) -> str:
    return f"{row['offset'][0]:.1f}..{row['offset'][1]:.1f}" if row["offset"] else "not known"


def _make_table(columns: tuple[str, ...]) -> Table:
    return Table(*columns, box=None, pad_edge=False)


def _versions_row(row: dict[str, Any], view: dict[str, Any]) -> list[str]:
    return [
        row["director"],
        row["zone"],
        str(row["start"]),
        str(row["number"]),
        _format_date(row["from_ms"]),
        *(str(view.get(key, "")) for key in ("rev", "purges", "settings", "operator", "program")),
        ",".join(view.get("out", ())),
        row["why"] or "0",
        _format_offset(row),
    ]


def _audit_row(row: dict[str, Any], view: dict[str, Any]) -> list[str]:
    return [
        row["director"],
        str(row["start"]),
        str(row["number"] or ""),
        _format_date(row["from_ms"]),
        _format_date(row["to_ms"]),
        row["known"] + (f": {row['why']}" if row["why"] else ""),
        str(view.get("rev", "")),
        row["view"],
        _format_counts(row),
        f"{row['worth']:g}",
        _format_offset(row),
    ]


def _lagging_row(status: dict[str, Any]) -> list[str]:
    lagging_parts = " ".join(f"{part}:{ms / 1000.0:.1f}s" for part, ms in status["behind_ms"].items())
    silence_s = f"{status['heard_ms'] / 1000.0:.1f}"
    return [
        status["director"],
        status["zone"],
        status["stage"],
        lagging_parts,
        silence_s,
        status["next"],
        status["why"],
    ]


def _print_version_counts(answer: dict[str, Any]) -> None:
    """Prints how many directors have each version, the most frequent version first."""
    for key in VERSION_KEYS:
        counts: Counter[str] = Counter()
        for row in answer["rows"]:
            counts[str(answer["views"].get(row["view"], {}).get(key, ""))] += 1
        counted = sorted(counts.items(), key=lambda pair: -pair[1])
        out.print(f"{key}: " + ", ".join(f"{value} at {count}" for value, count in counted))


def versions(server: ServerAddress, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Shows which versions each director uses now, and how many directors use each."""
    answer = call(server, tokens, tls_ca, "GET", "/fleet/versions")
    if not _needs_table(answer, json_):
        return
    table = _make_table(VERSIONS_COLUMNS)
    for row in answer["rows"]:
        table.add_row(*_versions_row(row, answer["views"].get(row["view"], {})))
    out.print(table)
    _print_version_counts(answer)
    for expected in answer["expects"]:
        digests = ", ".join(expected.get("digests", ())) or "any"
        since, by = _format_date(expected["since_ms"]), expected.get("by", "")
        out.print(f"expected {expected['part']}: {digests} since {since} by {by}")


def audit(
    server: ServerAddress,
    tokens: TokenFile,
    at: Annotated[
        str,
        typer.Option(
            help="What each director used at this time: Unix ms, now, or a date such as 2026-12-01T09:30:00Z."
        ),
    ] = "",
    director: Annotated[str, typer.Option(help="Instead, what one director used over time.")] = "",
    from_: Annotated[str, typer.Option("--from", help="With --director: the start of the period.")] = "0",
    to: Annotated[str, typer.Option(help="With --director: the end of the period.")] = "now",
    json_: Json = False,
    tls_ca: CaFile = None,
) -> None:
    """Shows what directors did under which version; `unknown` where this is not known for certain."""
    if bool(at) == bool(director):
        fail("expected --at or --director")
    target = (
        f"/fleet/audit?at={_parse_time_ms(at)}"
        if at
        else (f"/fleet/audit?director={quote(director)}&from={_parse_time_ms(from_)}&to={_parse_time_ms(to)}")
    )
    answer = call(server, tokens, tls_ca, "GET", target)
    if not _needs_table(answer, json_):
        return
    table = _make_table(AUDIT_COLUMNS)
    for row in answer["rows"]:
        table.add_row(*_audit_row(row, answer["views"].get(row["view"], {})))
    out.print(table)
    for name, view in answer["views"].items():
        out.print(f"{name}: " + " ".join(f"{key}={view[key]}" for key in VIEW_KEYS))
    if answer["cut"]:
        out.print("more rows than one answer holds: ask for less time")


def lagging(server: ServerAddress, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Lists the directors that lag or do not report, as this control server sees them. Exits with 1 if there
    are any."""
    answer = call(server, tokens, tls_ca, "GET", "/fleet/stragglers")
    if _needs_table(answer, json_):
        table = _make_table(LAGGING_COLUMNS)
        for status in answer["stragglers"]:
            table.add_row(*_lagging_row(status))
        out.print(table)
        for part, count in answer["source"].items():
            out.print(f"most lack {part} ({count}): the fault is the source's, nobody is held back for it")
    if answer["stragglers"]:
        raise typer.Exit(1)


def explain(
    director: Annotated[str, typer.Argument(help="The director's name.")],
    server: ServerAddress,
    tokens: TokenFile,
    json_: Json = False,
    tls_ca: CaFile = None,
) -> None:
    """Shows the escalation stage of a director, the reason, and the next stage."""
    answer = call(server, tokens, tls_ca, "GET", f"/fleet/explain?director={quote(director)}")
    if not _needs_table(answer, json_):
        return
    status, policy = answer["explained"], answer["ladder"]
    reason = f", {status['why']}" if status["why"] else ""
    out.print(f"{status['director']} (zone {status['zone']}): {status['stage']}{reason}")
    for part, ms in status["behind_ms"].items():
        source_fault = (
            f", as most do ({answer['source'][part]}): the source's fault" if part in answer["source"] else ""
        )
        out.print(f"  lacks {part} for {ms / 1000.0:.1f} s{source_fault}")
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
    digest: Annotated[
        list[str] | None, typer.Argument(help="The expected versions; none: any version is accepted.")
    ] = None,
    since: Annotated[str, typer.Option(help="From when on; leave time for a rollout.")] = "now",
    tls_ca: CaFile = None,
) -> None:
    """Sets the versions that directors are expected to use: one with another version counts as lagging."""
    expected = {"part": part, "digests": digest or [], "since_ms": _parse_time_ms(since)}
    answer = call(server, tokens, tls_ca, "POST", "/fleet/expect", json.dumps(expected).encode())
    for rule in answer["expects"]:
        digests = ", ".join(rule.get("digests", ())) or "any"
        out.print(f"{rule['part']}: {digests} since {_format_date(rule['since_ms'])}")


def verify(server: ServerAddress, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Verifies that all reports are consistent. Exits with 1 if some were altered, dropped, duplicated or
    misdated."""
    answer = call(server, tokens, tls_ca, "GET", "/fleet/verify")
    if _needs_table(answer, json_):
        for fault in answer["wrong"]:
            out.print(f"{fault['director']}:{fault['start']} span {fault['number']}: {fault['what']}")
    if any(fault["what"] != "missing" for fault in answer["wrong"]):
        raise typer.Exit(1)


def owners(server: ServerAddress, tokens: TokenFile, json_: Json = False, tls_ca: CaFile = None) -> None:
    """Lists which director holds which lease, as this control server knows it."""
    answer = call(server, tokens, tls_ca, "GET", "/leases")
    if json_:
        print(json.dumps(answer))
        return
    if not answer["ready"]:
        print(f"{answer['keeper']}: grants nothing yet: it has just started", file=sys.stderr)
    table = _make_table(LEASE_COLUMNS)
    for lease in answer["owners"]:
        since_s, left_s = f"{lease['since_ms'] / 1000.0:.1f}", f"{lease['left_ms'] / 1000.0:.1f}"
        table.add_row(lease["work"], lease["holder"] or "nobody", str(lease["number"]), since_s, left_s)
    out.print(table)


#: The commands by the names that operators type.
COMMANDS: dict[str, Callable[..., None]] = {
    "versions": versions,
    "audit": audit,
    "stragglers": lagging,
    "explain": explain,
    "expect": expect,
    "verify": verify,
    "owners": owners,
}
