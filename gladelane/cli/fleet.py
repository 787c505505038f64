"""`gladelane fleet status`: queries the admin endpoints of directors and prints their recovery state."""

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

app = typer.Typer(no_args_is_help=True, help="Status, audit and leases of a fleet's directors.")

MAX_CONCURRENT_REQUESTS = 32
TIMEOUT_S = 3.0
COLUMNS = ("door", "phase", "reason", "full after s", "warm", "purges since", "feeds", "refused")
RECOVERY_METRICS = (
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

Metrics = dict[str, int]  #: the metrics of `GET /stats`, without the prefix of their names


async def query_all(endpoints: list[str]) -> dict[str, Metrics | str]:
    """Returns by endpoint (IP:PORT) its metrics, or the error as a text. Ends the command for a malformed
    endpoint."""
    addresses = {endpoint: socket_address(endpoint) for endpoint in endpoints}
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def query(endpoint: str) -> Metrics | str:
        host, port = addresses[endpoint]
        try:
            async with semaphore:
                text = (await fetch(host, port, "GET", "/stats", within_s=TIMEOUT_S)).decode()
            pairs = (line.removeprefix("director.").partition("=") for line in text.splitlines())
            return {name: int(value) for name, _, value in pairs}
        except (OSError, HttpStatusError, TimeoutError, ValueError) as error:
            return f"{error_label(error)} {error}".strip()

    results = await asyncio.gather(*(query(endpoint) for endpoint in endpoints))
    return dict(zip(endpoints, results, strict=True))


def recovery_metrics(metrics: Metrics) -> Metrics:
    """The metrics that describe a recovery."""
    return {name: metrics[name] for name in RECOVERY_METRICS if name in metrics}


def status_row(endpoint: str, metrics: Metrics | str) -> list[str]:
    """The table row of one director; `metrics` is a value that `query_all` returns."""
    if isinstance(metrics, str):
        return [endpoint, "no answer", metrics]
    if "phase" not in metrics:
        return [endpoint, "no phases", "neither purges nor recovery in its operator's file"]
    phase, reason = Phase(metrics["phase"]), Reason(metrics["phase_reason"])
    full_service_s = metrics["full_service_ms"] / 1000.0
    known_since_ms = metrics.get("purges_known_since_ms", 0)
    return [
        endpoint,
        phase.name.lower(),
        "" if reason is Reason.NONE else reason.name.lower(),
        f"{full_service_s:.1f}" if full_service_s else f"not for {metrics['phase_since_ms'] / 1000.0:.0f}",
        "yes" if metrics["warm_start"] else "no",
        str(known_since_ms) if known_since_ms else "all",
        str(metrics.get("feeds_followed", "")),
        str(metrics.get("renewals_refused", "")),
    ]


@app.command()
def status(
    endpoints: Annotated[
        list[str], typer.Argument(metavar="door", help="IP:PORT of each director's admin endpoint.")
    ],
    json_: Annotated[
        bool, typer.Option("--json", help="Print one JSON object: by endpoint its metrics, or the error.")
    ] = False,
) -> None:
    """Prints each director's phase, seconds to full service and known purges. Exits with 1 unless all
    directors are in full service."""
    results = asyncio.run(query_all(endpoints))
    if json_:
        _print_json(results)
    else:
        _print_table(results)
    in_full_service = (
        isinstance(metrics, dict) and metrics.get("phase") == Phase.FULL for metrics in results.values()
    )
    if not all(in_full_service):
        raise typer.Exit(1)


def _print_json(results: dict[str, Metrics | str]) -> None:
    objects = {
        endpoint: metrics if isinstance(metrics, str) else recovery_metrics(metrics)
        for endpoint, metrics in results.items()
    }
    print(json.dumps(objects))


def _print_table(results: dict[str, Metrics | str]) -> None:
    table = Table(*COLUMNS, box=None, pad_edge=False)
    for endpoint, metrics in results.items():
        table.add_row(*status_row(endpoint, metrics))
    out.print(table)
