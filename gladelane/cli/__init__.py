"""The command line for operators: `gladelane serve`, `check`, `addresses`, `purge` and `fleet`.

There is one module per command group. It parses the options, calls other packages for the work, and prints
the results. `purge_server` composes a control server from its parts, and `control_server_client` sends
requests to one. `build` returns the command line as a Typer application, `main` runs it, `out` prints, and
`fail` ends a command with one line on standard error.

No other package of gladelane imports this one: the platform starts `python -m gladelane`, which needs neither
Typer nor Rich.
"""

from __future__ import annotations

import sys
from typing import NoReturn

import typer
from rich.console import Console

PIPE_WIDTH_COLUMNS = 1_000  # large, so that output to a pipe or a file is not cut to a terminal's width
out = Console(
    soft_wrap=True, highlight=False, markup=False, width=None if sys.stdout.isatty() else PIPE_WIDTH_COLUMNS
)


def fail(error: object) -> NoReturn:
    """Prints one line on standard error and ends the command with status 1."""
    print(f"gladelane: {' '.join(str(error).split())}", file=sys.stderr)
    raise typer.Exit(1)


def build() -> typer.Typer:
    """Returns the application with all its commands. Imports their modules here because they are large."""
    from . import addresses, audit, director, fleet, purge

    app = typer.Typer(
        name="gladelane",
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
        help="A director (request router) for a hierarchical cache fleet.",
    )
    app.command("serve")(director.serve)
    app.command("check")(director.check)
    app.add_typer(addresses.app, name="addresses")
    app.add_typer(purge.app, name="purge")
    for name, command in audit.COMMANDS.items():
        fleet.app.command(name)(command)
    app.add_typer(fleet.app, name="fleet")
    return app


def main() -> None:
    """Runs the command in `sys.argv` and exits with its status."""
    build()()
