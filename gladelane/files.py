"""Reads the configuration files of a director, at the start and on SIGHUP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .net.config import Config, ConfigError, host_port, read_config

if TYPE_CHECKING:
    from .settings.operator import Operator


class ConfigurationFiles:
    """The platform's file and the operator's file, whose path may be empty.

    Remembers the text of the platform's file in use, because a changed file is read against it."""

    def __init__(self, path: str, operator_path: str) -> None:
        self._path, self._operator_path = path, operator_path
        self._text_in_use: bytes | None = None

    def read(self) -> tuple[Config, Operator | None]:
        """Reads both files. Raises ConfigError, which names the file, or OSError; the text remembered then
        stays the same."""
        config, text = _load_after(self._path, self._text_in_use)
        operator = load_operator(self._operator_path)
        self._text_in_use = text
        return config, operator


def load(path: str) -> Config:
    """Reads the platform's file. Raises ConfigError, which names the file, or OSError."""
    return _load_after(path, None)[0]


def _load_after(path: str, text_in_use: bytes | None) -> tuple[Config, bytes]:
    """Reads the platform's file against the text in use; returns it with its text. Raises what `load`
    raises."""
    with open(path, "rb") as file:
        text = file.read()
    try:
        return read_config(text, text_in_use), text
    except ConfigError as error:
        raise error.in_file(path) from None


def parse_admin_place(text: str) -> tuple[str, int]:
    """The host and port in GW_OPS, at which the admin endpoint listens. Raises ConfigError."""
    try:
        return host_port(text)
    except ValueError as error:
        raise ConfigError(f"GW_OPS: {error}") from None


def load_operator(path: str) -> Operator | None:
    """Reads the operator's file; None without a path. Raises ConfigError, which names the file, or OSError.

    The JSON5 parser is imported only if there is such a file."""
    if not path:
        return None
    from .settings.operator import OperatorFileError, read_operator

    with open(path, "rb") as file:
        text = file.read()
    try:
        return read_operator(text)
    except OperatorFileError as error:
        raise ConfigError(f"{path}: {error}") from None
