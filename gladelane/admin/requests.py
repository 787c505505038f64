"""Requests to the admin endpoint as values, without I/O: a method and a target in, a request or a refusal
out."""

from __future__ import annotations

from enum import Enum
from urllib.parse import unquote_to_bytes

import msgspec

MAX_ID_BYTES = 256  # of a server's id, decoded


class AdminAction(Enum):
    """What an operator may ask for. The values also travel between two processes of one director."""

    HEALTH = "healthcheck"
    STATS = "stats"
    MAINT = "maint"  # takes a server out of service
    READY = "ready"  # puts it back
    FAIL = "fail"  # drains the director
    OK = "ok"  # ends the drain


class AdminRequest(msgspec.Struct, frozen=True):
    """`store` is the id of a server; empty for actions on the director itself."""

    action: AdminAction
    store: str = ""


class AdminResponse(msgspec.Struct, frozen=True):
    """An HTTP status and a text that ends in a line break."""

    status: int
    text: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class InvalidAdminRequestError(Exception):
    """A request that cannot be carried out. `response` is what its sender gets."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.response = AdminResponse(status, reason + "\n")


#: path -> the one method it takes, and what it asks for
DIRECTOR_PATHS = {
    "/healthcheck": ("GET", AdminAction.HEALTH),
    "/stats": ("GET", AdminAction.STATS),
    "/healthcheck/fail": ("POST", AdminAction.FAIL),
    "/healthcheck/ok": ("POST", AdminAction.OK),
}
#: last part of /caches/ID/...
SERVER_ACTIONS = {"maint": AdminAction.MAINT, "ready": AdminAction.READY}


def parse_request(method: str, target: str) -> AdminRequest:
    """Raises InvalidAdminRequestError.

    The id is split off before it is decoded, so it may hold a slash; a query is ignored. The target may be in
    absolute form (RFC 9112, section 3.2)."""
    if target.lower().startswith("http://"):
        target = "/" + target[7:].partition("/")[2]
    path = target.partition("?")[0]
    store = ""
    if path in DIRECTOR_PATHS:
        allowed, action = DIRECTOR_PATHS[path]
    else:
        steps = path.split("/")
        if len(steps) != 4 or steps[:2] != ["", "caches"] or steps[3] not in SERVER_ACTIONS:
            known = ", ".join([*DIRECTOR_PATHS, *(f"/caches/ID/{step}" for step in SERVER_ACTIONS)])
            raise InvalidAdminRequestError(404, f"no such path; expected one of {known}")
        allowed, action = "POST", SERVER_ACTIONS[steps[3]]
        store = _decode_id(steps[2])
    if method != allowed:
        raise InvalidAdminRequestError(405, f"{method} is not for this path; expected {allowed}")
    return AdminRequest(action, store)


def _decode_id(text: str) -> str:
    try:
        store = unquote_to_bytes(text).decode()
    except UnicodeDecodeError:
        raise InvalidAdminRequestError(400, "the id is no UTF-8") from None
    if not store or len(store.encode()) > MAX_ID_BYTES or not store.isprintable():
        raise InvalidAdminRequestError(
            400, f"the id is unusable; expected 1 to {MAX_ID_BYTES} printable bytes"
        )
    return store
