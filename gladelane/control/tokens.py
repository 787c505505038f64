"""Who may call a control server: tokens from a file, one `NAME TOKEN` a line, read again when it changes."""

from __future__ import annotations

import hashlib
import hmac
import os
from pathlib import Path

MIN_TOKEN_CHARS = 16


class BadTokens(ValueError):
    """What is wrong with the file: its line and what was expected."""


class Tokens:
    """Compared by their hashes in constant time, and always with all: neither how much of a token fits nor
    whose it is shows in the time."""

    def __init__(self, path: str | Path) -> None:
        """Raises BadTokens and OSError."""
        self.path = Path(path)
        self._stamp = (0, 0, 0)
        self._hashes: dict[str, bytes] = {}
        self._first = ""
        self.problem = ""  # why the latest change of the file was not taken
        self.refresh()

    def refresh(self) -> None:
        """Takes a changed file. Raises where it cannot be used; the tokens known before stay."""
        found = os.stat(self.path)
        stamp = found.st_mtime_ns, found.st_size, found.st_ino
        if stamp == self._stamp:
            return
        hashes: dict[str, bytes] = {}
        first = ""
        for number, line in enumerate(self.path.read_text().splitlines(), 1):
            words = line.split()
            if not words or words[0].startswith("#"):
                continue
            if len(words) != 2 or len(words[1]) < MIN_TOKEN_CHARS or words[0] in hashes:
                wanted = f"expected a new NAME and a TOKEN of {MIN_TOKEN_CHARS} or more characters"
                raise BadTokens(f"{self.path}: line {number}: {wanted}")
            hashes[words[0]] = hashlib.sha256(words[1].encode()).digest()
            first = first or words[1]
        if not hashes:
            raise BadTokens(f"{self.path}: no token; expected lines of NAME TOKEN")
        self._hashes, self._first, self._stamp = hashes, first, stamp

    def name_of(self, header: str) -> str:
        """Whose `Authorization` this is, empty: nobody's. Looks at the file first."""
        try:
            self.refresh()
            self.problem = ""
        except (OSError, ValueError) as error:
            self.problem = str(error)
        kind, _, token = header.partition(" ")
        given = hashlib.sha256(token.strip().encode()).digest()
        found = ""
        for name, known in self._hashes.items():
            if hmac.compare_digest(known, given):
                found = name
        return found if kind.lower() == "bearer" else ""

    def own(self) -> str:
        """The file's first token, as who subscribes or sends shows it."""
        return self._first
