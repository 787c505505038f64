"""The commands that operators type: `gladelane serve`, `check`, `addresses`, `purge` and `fleet`.

One module a command group: it parses the options, calls the parts that decide, and prints. `purge_server`
composes a control server from its parts; `control_server_client` calls one. `build` gives the command line
as a Typer application, `main` runs it, `out` prints, `fail` ends a command with one line on standard error.

Nothing else of gladelane imports this package: the platform starts `python -m gladelane`, which needs neither
Typer nor Rich.
"""

from __future__ import annotations

import sys
from typing import NoReturn

import typer
from rich.console import Console

PIPE_WIDTH = 1_000  # columns: what goes into a pipe or a file is not cut to a screen's width
out = Console(
    soft_wrap=True, highlight=False, markup=False, width=None if sys.stdout.isatty() else PIPE_WIDTH
)


def fail(error: object) -> NoReturn:
    """One line on standard error and a status that is not 0."""
    print(f"gladelane: {' '.join(str(error).split())}", file=sys.stderr)
    raise typer.Exit(1)


def build() -> typer.Typer:
    """The application with all its commands. Imports the modules of the commands, which are heavy."""
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
    for name, command in audit.COMMANDS.items():
        fleet.app.command(name)(command)
    app.add_typer(fleet.app, name="fleet")
    return app


def main() -> None:
    """Runs the command of `sys.argv`, and exits with its status."""
    build()()
