"""`gladelane serve` and `gladelane check`."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import typer

from . import fail, out

ConfigFile = Annotated[Path, typer.Option("--config", envvar="GW_CONFIG", help="The platform's JSON file.")]
OperatorFile = Annotated[
    Path | None, typer.Option("--operator", envvar="GW_OPERATOR", help="An operator's JSON5 file.")
]


def serve(config: ConfigFile, operator: OperatorFile = None) -> None:
    """Runs one director in the foreground, as the platform does."""
    from ..__main__ import main

    os.environ["GW_CONFIG"] = str(config)
    if operator is not None:
        os.environ["GW_OPERATOR"] = str(operator)
    raise typer.Exit(main())


def check(
    file: Annotated[Path, typer.Argument(help="An operator's JSON5 file.")],
    config: Annotated[Path | None, typer.Option(help="Also the platform's file, and both together.")] = None,
) -> None:
    """Says whether a file can be used; else one line with file, key and what was expected."""
    from ..files import load_config, load_operator
    from ..net.config import ConfigError

    try:
        operator = load_operator(str(file))
        assert operator is not None
        out.print(f"{file}: good, {len(operator.rules.rules)} address rules, logs {operator.logs.format}")
        if config is None:
            return
        known = load_config(str(config))
    except (ConfigError, OSError) as error:
        fail(error)
    from .addresses import registry_of

    registry, change = registry_of(known, operator.rules)
    out.print(f"{config}: good, {len(registry)} servers")
    for conflict in change.conflicts:
        out.print(f"{conflict.address.text}: {conflict.owner} owns it, {conflict.other} claims it too")
    for server, line in change.errors:
        out.print(f"{server}: {line}")
    if change.errors:
        raise typer.Exit(1)
