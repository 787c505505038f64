"""The operators' calls as values, without I/O: method and target in, a call or the reason for a no out."""

from __future__ import annotations

from enum import Enum
from urllib.parse import unquote_to_bytes

import msgspec

MOST_ID = 256  # bytes of an id, decoded


class Word(Enum):
    HEALTH = "healthcheck"
    STATS = "stats"
    MAINT = "maint"  # a cache out
    READY = "ready"  # and back
    FAIL = "fail"  # the director empties itself
    OK = "ok"  # and works again


class Call(msgspec.Struct, frozen=True):
    word: Word
    store: str = ""


class Answer(msgspec.Struct, frozen=True):
    """2xx is yes, all else no. The text ends in a line break."""

    status: int
    text: str = ""

    @property
    def yes(self) -> bool:
        return 200 <= self.status < 300


class BadCall(Exception):
    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.answer = Answer(status, why + "\n")


#: path -> the one method it takes, and what it asks
PLAIN = {
    "/healthcheck": ("GET", Word.HEALTH),
    "/stats": ("GET", Word.STATS),
    "/healthcheck/fail": ("POST", Word.FAIL),
    "/healthcheck/ok": ("POST", Word.OK),
}
CACHE = {"maint": Word.MAINT, "ready": Word.READY}


def read_call(method: str, target: str) -> Call:
    """Raises BadCall. The id is split off before it is decoded, so it may hold a slash; a query is passed
    over. RFC 9112, section 3.2: the target may be in absolute form."""
    if target.lower().startswith("http://"):
        target = "/" + target[7:].partition("/")[2]
    path = target.partition("?")[0]
    store = ""
    if path in PLAIN:
        allowed, word = PLAIN[path]
    else:
        steps = path.split("/")
        if len(steps) != 4 or steps[:2] != ["", "caches"] or steps[3] not in CACHE:
            known = ", ".join([*PLAIN, *(f"/caches/ID/{step}" for step in CACHE)])
            raise BadCall(404, f"no such path; expected one of {known}")
        allowed, word = "POST", CACHE[steps[3]]
        store = _decoded(steps[2])
    if method != allowed:
        raise BadCall(405, f"{method} is not for this path; expected {allowed}")
    return Call(word, store)


def _decoded(text: str) -> str:
    try:
        store = unquote_to_bytes(text).decode()
    except UnicodeDecodeError:
        raise BadCall(400, "the id is no UTF-8") from None
    if not store or len(store.encode()) > MOST_ID or not store.isprintable():
        raise BadCall(400, f"the id is unusable; expected 1 to {MOST_ID} printable bytes")
    return store
