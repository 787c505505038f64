"""What travels between holders and keepers. No I/O.

POST /leases          `Asks`, answered with `Replies` once new numbers are stored
GET  /leases/numbers  what a keeper has seen, for one that starts
GET  /leases          who holds what, for commands
"""

from __future__ import annotations

import msgspec

from .keeper import Ask, Reply

MOST_ASKS = 512
MOST_PROGRESS = 65_536  # characters


class Asks(msgspec.Struct, forbid_unknown_fields=True):
    """progress: of work that the asker holds, for whoever comes after it, by work; taken where the ask is
    granted."""

    asks: list[Ask]
    progress: dict[str, str] = {}


class Replies(msgspec.Struct):
    """In the order of the asks. progress: by work, as the last owner left it; with grants only."""

    replies: list[Reply]
    progress: dict[str, str] = {}


class Numbers(msgspec.Struct):
    keeper: str
    numbers: dict[str, int]
    progress: dict[str, tuple[int, str]] = {}


class Owned(msgspec.Struct):
    """One work as a keeper knows it."""

    work: str
    number: int
    holder: str
    left_ms: float
    since_ms: float  # ago, of this number


class Owners(msgspec.Struct):
    """All works that a keeper knows. ready: it grants leases."""

    keeper: str
    ready: bool
    owners: list[Owned]


asks_decoder: msgspec.json.Decoder[Asks] = msgspec.json.Decoder(Asks)
replies_decoder: msgspec.json.Decoder[Replies] = msgspec.json.Decoder(Replies)
numbers_decoder: msgspec.json.Decoder[Numbers] = msgspec.json.Decoder(Numbers)
encode_json = msgspec.json.encode
