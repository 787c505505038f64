"""Reads the configuration files of a director, at the start and on SIGHUP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .net.config import Config, ConfigError, host_port, read_config

if TYPE_CHECKING:
    from .settings.operator import Operator


class ConfigurationFiles:
    """The platform's file and the operator's file, whose path may be empty.

    Remembers the text of the platform's file that is in use, because `read_config` needs it to read a changed
    file."""

    def __init__(self, path: str, operator_path: str) -> None:
        self._path, self._operator_path = path, operator_path
        self._text_in_use: bytes | None = None

    def read(self) -> tuple[Config, Operator | None]:
        """Reads both files. Raises ConfigError, which names the file, or OSError; the remembered text is then
        kept."""
        config, text = _load_changed_config(self._path, self._text_in_use)
        operator = load_operator(self._operator_path)
        self._text_in_use = text
        return config, operator


def load_config(path: str) -> Config:
    """Reads the platform's file. Raises ConfigError, which names the file, or OSError."""
    return _load_changed_config(path, None)[0]


def _load_changed_config(path: str, text_in_use: bytes | None) -> tuple[Config, bytes]:
    """Reads the platform's file, which is checked against the text in use if there is one. Returns the
    configuration and the file's text. Raises ConfigError, which names the file, or OSError."""
    with open(path, "rb") as file:
        text = file.read()
    try:
        return read_config(text, text_in_use), text
    except ConfigError as error:
        raise error.in_file(path) from None


def parse_admin_address(text: str) -> tuple[str, int]:
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
