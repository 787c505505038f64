"""`gladelane`: what operators type. One module a command group; each parses, calls and prints.

The platform starts `python -m gladelane`, which imports nothing of this package.
"""

from __future__ import annotations

import sys
from typing import NoReturn

import typer
from rich.console import Console

PIPED = 1_000  # columns: what goes into a pipe or a file is not cut to a screen's width
out = Console(soft_wrap=True, highlight=False, markup=False, width=None if sys.stdout.isatty() else PIPED)


def fail(error: object) -> NoReturn:
    """One line on standard error and a status that is not 0."""
    print(f"gladelane: {' '.join(str(error).split())}", file=sys.stderr)
    raise typer.Exit(1)


def build() -> typer.Typer:
    from . import addresses, audit, director, fleet, purge

    app = typer.Typer(
        name="gladelane",
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
        help="A director for a branch-wise cache fleet.",
    )
    app.command("serve")(director.serve)
    app.command("check")(director.check)
    app.add_typer(addresses.app, name="addresses")
    app.add_typer(purge.app, name="purge")
    for command in audit.COMMANDS:
        fleet.app.command()(command)
    app.add_typer(fleet.app, name="fleet")
    return app


def main() -> None:
    build()()
