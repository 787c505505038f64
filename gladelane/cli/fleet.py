"""`gladelane fleet`: how the directors of a fleet are, asked at their doors."""

from __future__ import annotations

import asyncio
import json
from typing import Annotated

import typer
from rich.table import Table

from ..control.http import Refused, fetch
from ..recovery.phases import Phase, Reason
from . import out
from .purge import place_of

app = typer.Typer(no_args_is_help=True, help="The directors of a fleet, by their doors.")

AT_ONCE = 32  # doors asked side by side
WITHIN_S = 3.0
FIGURES = (
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


async def ask_all(doors: list[str]) -> dict[str, dict[str, int] | str]:
    """Each door's figures, or why there are none."""
    places = {door: place_of(door) for door in doors}
    gate = asyncio.Semaphore(AT_ONCE)

    async def one(door: str) -> dict[str, int] | str:
        host, port = places[door]
        try:
            async with gate:
                text = (await fetch(host, port, "GET", "/stats", within_s=WITHIN_S)).decode()
            pairs = (line.removeprefix("director.").partition("=") for line in text.splitlines())
            return {name: int(value) for name, _, value in pairs}
        except (OSError, Refused, TimeoutError, ValueError) as error:
            return f"{type(error).__name__} {error}".strip()

    found = await asyncio.gather(*(one(door) for door in doors))
    return dict(zip(doors, found, strict=True))


def chosen(metrics: dict[str, int]) -> dict[str, int]:
    return {name: metrics[name] for name in FIGURES if name in metrics}


def row(door: str, metrics: dict[str, int] | str) -> list[str]:
    if isinstance(metrics, str):
        return [door, "no answer", metrics]
    if "phase" not in metrics:
        return [door, "no phases", "neither purges nor recovery in its operator's file"]
    phase, reason = Phase(metrics["phase"]), Reason(metrics["phase_reason"])
    full = metrics["full_service_ms"] / 1000.0
    since = metrics.get("purges_known_since_ms", 0)
    return [
        door,
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
    door: Annotated[list[str], typer.Argument(help="IP:PORT of each director's door.")],
    json_: Annotated[
        bool, typer.Option("--json", help="One JSON object by door: figures, or why there are none.")
    ] = False,
) -> None:
    """Phases, seconds to full service and what is known of purges. Exits with 1 unless all are in full
    service."""
    found = asyncio.run(ask_all(door))
    if json_:
        print(
            json.dumps(
                {
                    at: metrics if isinstance(metrics, str) else chosen(metrics)
                    for at, metrics in found.items()
                }
            )
        )
    else:
        table = Table(
            "door",
            "phase",
            "reason",
            "full after s",
            "warm",
            "purges since",
            "feeds",
            "refused",
            box=None,
            pad_edge=False,
        )
        for at, metrics in found.items():
            table.add_row(*row(at, metrics))
        out.print(table)
    full = (isinstance(metrics, dict) and metrics.get("phase") == Phase.FULL for metrics in found.values())
    if not all(full):
        raise typer.Exit(1)
