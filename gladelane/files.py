"""Reads the files that a director is started with, and again on SIGHUP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .net.config import BadConfig, Config, host_port, read_config

if TYPE_CHECKING:
    from .settings.operator import Operator


def load(path: str) -> Config:
    """Raises BadConfig, which names the file, and OSError."""
    return load_after(path, None)[0]


def load_after(path: str, used: bytes | None) -> tuple[Config, bytes]:
    """Read against the text of the file in use, with its own. Raises as `load` does."""
    with open(path, "rb") as file:
        data = file.read()
    try:
        return read_config(data, used), data
    except BadConfig as error:
        raise error.in_file(path) from None


def ops_place(text: str) -> tuple[str, int]:
    """Raises BadConfig."""
    try:
        return host_port(text)
    except ValueError as error:
        raise BadConfig(f"GW_OPS: {error}") from None


def load_operator(path: str) -> Operator | None:
    """None without a path. Raises BadConfig, which names the file, and OSError. The readers of JSON5 are
    imported for such a file alone."""
    if not path:
        return None
    from .settings.operator import BadOperatorFile, read_operator

    with open(path, "rb") as file:
        data = file.read()
    try:
        return read_operator(data)
    except BadOperatorFile as error:
        raise BadConfig(f"{path}: {error}") from None
