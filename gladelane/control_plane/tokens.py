"""Authentication of callers by a token file: one `NAME TOKEN` per line, reloaded when it changes."""

from __future__ import annotations

import hashlib
import hmac
import os
from pathlib import Path
from typing import NamedTuple

from .errors import LabelledError

MIN_TOKEN_CHARS = 16


class TokenFileError(LabelledError, ValueError):
    """A token file that cannot be used. `line` counts from 1; 0 stands for the file as a whole."""

    label = "BadTokens"

    def __init__(self, path: Path, reason: str, line: int = 0) -> None:
        """Builds the message from the path, the line and the reason."""
        super().__init__(f"{path}: line {line}: {reason}" if line else f"{path}: {reason}")
        self.path = path
        self.reason = reason
        self.line = line


class FileStamp(NamedTuple):
    """File attributes that change when the file is written or replaced."""

    modified_ns: int
    size: int
    inode: int


class Tokens:
    """The tokens of a token file.

    The hash of a received token is compared in constant time with those of all callers, so that the duration
    reveals neither how much of a token matches nor which caller it belongs to.
    """

    def __init__(self, path: str | Path) -> None:
        """Reads the file. Raises TokenFileError and OSError."""
        self.path = Path(path)
        self._stamp = FileStamp(0, 0, 0)
        self._hashes: dict[str, bytes] = {}
        self._first_token = ""
        self.reload_error = ""  # why the latest change of the file was not applied, or ""
        self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Reads a changed file. Raises TokenFileError or OSError, and then keeps the earlier tokens."""
        status = os.stat(self.path)
        stamp = FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
        if stamp == self._stamp:
            return
        tokens = _parse_tokens(self.path, self.path.read_text())
        self._hashes = {name: _hash(token) for name, token in tokens.items()}
        self._first_token = next(iter(tokens.values()))
        self._stamp = stamp

    def caller_name(self, authorization: str) -> str:
        """Returns the name of the caller with this `Authorization` header, or "" if its token is unknown.

        Reloads a changed file first; `reload_error` is set if that fails.
        """
        try:
            self.reload_if_changed()
            self.reload_error = ""
        except (OSError, ValueError) as error:
            self.reload_error = str(error)
        scheme, _, token = authorization.partition(" ")
        token_hash = _hash(token.strip())
        caller = ""
        for name, known_hash in self._hashes.items():
            if hmac.compare_digest(known_hash, token_hash):
                caller = name
        return caller if scheme.lower() == "bearer" else ""

    def first_token(self) -> str:
        """Returns the file's first token, which this process uses for its own calls."""
        return self._first_token


def _hash(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()


def _parse_tokens(path: Path, text: str) -> dict[str, str]:
    """Parses the file into tokens by name, in the order of the file. Raises TokenFileError."""
    tokens: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        fields = line.split()
        if not fields or fields[0].startswith("#"):
            continue
        if len(fields) != 2 or len(fields[1]) < MIN_TOKEN_CHARS or fields[0] in tokens:
            expected = f"expected a new NAME and a TOKEN of {MIN_TOKEN_CHARS} or more characters"
            raise TokenFileError(path, expected, number)
        tokens[fields[0]] = fields[1]
    if not tokens:
        raise TokenFileError(path, "no token; expected lines of NAME TOKEN")
    return tokens
