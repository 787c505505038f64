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
    """A token file that cannot be used. `line` counts from 1; 0 means the file as a whole."""

    label = "BadTokens"

    def __init__(self, path: Path, reason: str, line: int = 0) -> None:
        """Formats the message from the place and the reason."""
        super().__init__(f"{path}: line {line}: {reason}" if line else f"{path}: {reason}")
        self.path = path
        self.reason = reason
        self.line = line


class FileStamp(NamedTuple):
    """What changes when a file is written or replaced."""

    modified_ns: int
    size: int
    inode: int


class Tokens:
    """The tokens of a file.

    A given token is compared by its hash, in constant time, with the tokens of all callers, so that the time
    of a comparison reveals neither how much of a token matches nor whose it is.
    """

    def __init__(self, path: str | Path) -> None:
        """Reads the file. Raises TokenFileError and OSError."""
        self.path = Path(path)
        self._stamp = FileStamp(0, 0, 0)
        self._hashes: dict[str, bytes] = {}
        self._first_token = ""
        self.reload_error = ""  # why the latest change of the file was not applied
        self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Reads the file if it was changed. Raises TokenFileError or OSError; earlier tokens then stay."""
        status = os.stat(self.path)
        stamp = FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
        if stamp == self._stamp:
            return
        tokens = _parse_tokens(self.path, self.path.read_text())
        self._hashes = {name: _hash(token) for name, token in tokens.items()}
        self._first_token = next(iter(tokens.values()))
        self._stamp = stamp

    def caller_name(self, authorization: str) -> str:
        """The name of the caller with this `Authorization` header, or "" if its token is unknown.

        Reloads a changed file first; `reload_error` says whether that failed.
        """
        try:
            self.reload_if_changed()
            self.reload_error = ""
        except (OSError, ValueError) as error:
            self.reload_error = str(error)
        scheme, _, token = authorization.partition(" ")
        given = _hash(token.strip())
        found = ""
        for name, known in self._hashes.items():
            if hmac.compare_digest(known, given):
                found = name
        return found if scheme.lower() == "bearer" else ""

    def first_token(self) -> str:
        """The file's first token, which this process uses for its own calls."""
        return self._first_token


def _hash(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()


def _parse_tokens(path: Path, text: str) -> dict[str, str]:
    """Tokens by name, in the order of the file. Raises TokenFileError."""
    tokens: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if len(words) != 2 or len(words[1]) < MIN_TOKEN_CHARS or words[0] in tokens:
            expected = f"expected a new NAME and a TOKEN of {MIN_TOKEN_CHARS} or more characters"
            raise TokenFileError(path, expected, number)
        tokens[words[0]] = words[1]
    if not tokens:
        raise TokenFileError(path, "no token; expected lines of NAME TOKEN")
    return tokens
