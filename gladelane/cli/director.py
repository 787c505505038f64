"""`gladelane serve`, which runs a director, and `gladelane check`, which validates its files."""

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
    config: Annotated[
        Path | None, typer.Option(help="The platform's file: checks it too, and both together.")
    ] = None,
) -> None:
    """Checks an operator's file. If it is invalid, prints the file, the key and what was expected."""
    from ..files import load_config, load_operator
    from ..net.config import ConfigError

    try:
        operator = load_operator(str(file))
        assert operator is not None
        out.print(f"{file}: good, {len(operator.rules.rules)} address rules, logs {operator.logs.format}")
        if config is None:
            return
        platform_config = load_config(str(config))
    except (ConfigError, OSError) as error:
        fail(error)
    from .addresses import build_registry

    registry, change = build_registry(platform_config, operator.rules)
    out.print(f"{config}: good, {len(registry)} servers")
    for conflict in change.conflicts:
        out.print(f"{conflict.address.text}: {conflict.owner} owns it, {conflict.other} claims it too")
    for server, message in change.errors:
        out.print(f"{server}: {message}")
    if change.errors:
        raise typer.Exit(1)
