"""`gladelane fleet status`: asks the admin endpoints of a fleet's directors how each is."""

from __future__ import annotations

import asyncio
import json
from typing import Annotated

import typer
from rich.table import Table

from ..control_plane.errors import error_label
from ..control_plane.http import HttpStatusError, fetch
from ..recovery.phases import Phase, Reason
from . import out
from .control_server_client import socket_address

app = typer.Typer(no_args_is_help=True, help="The directors of a fleet, by their doors.")

MAX_CONCURRENT = 32  # endpoints asked at once
TIMEOUT_S = 3.0
COLUMNS = ("door", "phase", "reason", "full after s", "warm", "purges since", "feeds", "refused")
METRICS = (
    "phase",
    "phase_reason",
    "phase_since_ms",
    "full_service_ms",
    "warm_start",
    "purges_known_since_ms",
    "feeds_followed",
    "renewals",
    "renewals_refused",
    "renewals_bind",
    "reseeded",
)

Metrics = dict[str, int]  #: as `GET /stats` has them, without the prefix of their names


async def ask_all(endpoints: list[str]) -> dict[str, Metrics | str]:
    """The metrics by endpoint (IP:PORT), or as a text why there are none. Ends the command for a malformed
    endpoint."""
    addresses = {endpoint: socket_address(endpoint) for endpoint in endpoints}
    limit = asyncio.Semaphore(MAX_CONCURRENT)

    async def ask(endpoint: str) -> Metrics | str:
        host, port = addresses[endpoint]
        try:
            async with limit:
                text = (await fetch(host, port, "GET", "/stats", within_s=TIMEOUT_S)).decode()
            pairs = (line.removeprefix("director.").partition("=") for line in text.splitlines())
            return {name: int(value) for name, _, value in pairs}
        except (OSError, HttpStatusError, TimeoutError, ValueError) as error:
            return f"{error_label(error)} {error}".strip()

    found = await asyncio.gather(*(ask(endpoint) for endpoint in endpoints))
    return dict(zip(endpoints, found, strict=True))


def recovery_metrics(metrics: Metrics) -> Metrics:
    """Those of the metrics that tell of a recovery."""
    return {name: metrics[name] for name in METRICS if name in metrics}


def row(endpoint: str, metrics: Metrics | str) -> list[str]:
    """The cells of one director; `metrics` as `ask_all` gives them."""
    if isinstance(metrics, str):
        return [endpoint, "no answer", metrics]
    if "phase" not in metrics:
        return [endpoint, "no phases", "neither purges nor recovery in its operator's file"]
    phase, reason = Phase(metrics["phase"]), Reason(metrics["phase_reason"])
    full = metrics["full_service_ms"] / 1000.0
    since = metrics.get("purges_known_since_ms", 0)
    return [
        endpoint,
        phase.name.lower(),
        "" if reason is Reason.NONE else reason.name.lower(),
        f"{full:.1f}" if full else f"not for {metrics['phase_since_ms'] / 1000.0:.0f}",
        "yes" if metrics["warm_start"] else "no",
        str(since) if since else "all",
        str(metrics.get("feeds_followed", "")),
        str(metrics.get("renewals_refused", "")),
    ]


@app.command()
def status(
    endpoints: Annotated[list[str], typer.Argument(metavar="door", help="IP:PORT of each director's door.")],
    json_: Annotated[
        bool, typer.Option("--json", help="One JSON object by door: figures, or why there are none.")
    ] = False,
) -> None:
    """Phases, seconds to full service and what is known of purges. Exits with 1 unless all are in full
    service."""
    found = asyncio.run(ask_all(endpoints))
    if json_:
        _print_json(found)
    else:
        _print_table(found)
    full = (isinstance(metrics, dict) and metrics.get("phase") == Phase.FULL for metrics in found.values())
    if not all(full):
        raise typer.Exit(1)


def _print_json(found: dict[str, Metrics | str]) -> None:
    objects = {
        endpoint: metrics if isinstance(metrics, str) else recovery_metrics(metrics)
        for endpoint, metrics in found.items()
    }
    print(json.dumps(objects))


def _print_table(found: dict[str, Metrics | str]) -> None:
    table = Table(*COLUMNS, box=None, pad_edge=False)
    for endpoint, metrics in found.items():
        table.add_row(*row(endpoint, metrics))
    out.print(table)
