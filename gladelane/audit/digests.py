"""Digests of the settings and of the program, which identify their versions in reports."""

from __future__ import annotations

from hashlib import blake2b
from pathlib import Path

from ..recovery.warm_start import settings_fields
from ..routing.events import Settings
from .view import DIGEST_BYTES


def program_digest() -> str:
    """The digest of the program's own source files. Raises OSError."""
    root, found = Path(__file__).parent.parent, blake2b(digest_size=DIGEST_BYTES)
    for path in sorted(root.rglob("*.py")):
        found.update(str(path.relative_to(root)).encode())
        found.update(path.read_bytes())
    return found.hexdigest()


def settings_digest(settings: Settings) -> str:
    """The digest of all settings except `me`, the director's own number."""
    plain = {name: value for name, value in settings_fields(settings).items() if name != "me"}
    return blake2b(repr(sorted(plain.items())).encode(), digest_size=DIGEST_BYTES).hexdigest()
