"""Reads the files that a director is started with, and again on SIGHUP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .net.config import Config, ConfigError, host_port, read_config

if TYPE_CHECKING:
    from .settings.operator import Operator


class ConfigurationFiles:
    """The platform's file and an operator's, whose path may be empty.

    Remembers the platform's text in use, against which a changed file is read."""

    def __init__(self, path: str, operator_path: str) -> None:
        self._path, self._operator_path = path, operator_path
        self._text_in_use: bytes | None = None

    def read(self) -> tuple[Config, Operator | None]:
        """Both files. Raises ConfigError, which names the file, and OSError; then nothing is remembered."""
        config, text = _load_after(self._path, self._text_in_use)
        operator = load_operator(self._operator_path)
        self._text_in_use = text
        return config, operator


def load(path: str) -> Config:
    """The platform's file. Raises ConfigError, which names the file, and OSError."""
    return _load_after(path, None)[0]


def _load_after(path: str, text_in_use: bytes | None) -> tuple[Config, bytes]:
    """The platform's file, read against the text in use, and its own text. Raises as `load` does."""
    with open(path, "rb") as file:
        text = file.read()
    try:
        return read_config(text, text_in_use), text
    except ConfigError as error:
        raise error.in_file(path) from None


def parse_admin_place(text: str) -> tuple[str, int]:
    """Host and port of GW_OPS, where the admin endpoint listens. Raises ConfigError."""
    try:
        return host_port(text)
    except ValueError as error:
        raise ConfigError(f"GW_OPS: {error}") from None


def load_operator(path: str) -> Operator | None:
    """An operator's file; None without a path. Raises ConfigError, which names the file, and OSError.

    The JSON5 reader is imported only if there is such a file."""
    if not path:
        return None
    from .settings.operator import OperatorFileError, read_operator

    with open(path, "rb") as file:
        text = file.read()
    try:
        return read_operator(text)
    except OperatorFileError as error:
        raise ConfigError(f"{path}: {error}") from None
