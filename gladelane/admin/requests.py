"""Requests to the admin endpoint, parsed from an HTTP method and target, and responses to them. Pure."""

from __future__ import annotations

from enum import Enum
from urllib.parse import unquote_to_bytes

import msgspec

MAX_ID_BYTES = 256  # of a server's id, decoded


class AdminAction(Enum):
    """What an operator may request. The values are also sent between two processes of one director."""

    HEALTH = "healthcheck"
    STATS = "stats"
    MAINT = "maint"  # takes a server out of service
    READY = "ready"  # puts it back
    FAIL = "fail"  # drains the director
    OK = "ok"  # ends the drain


class AdminRequest(msgspec.Struct, frozen=True):
    """An action. `store` is the id of the server it applies to, and empty for the director itself."""

    action: AdminAction
    store: str = ""


class AdminResponse(msgspec.Struct, frozen=True):
    """An HTTP status and a text that ends with a line break."""

    status: int
    text: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class InvalidAdminRequestError(Exception):
    """A request that cannot be executed. `response` is sent back to the client."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.response = AdminResponse(status, reason + "\n")


#: Path to its only allowed method and its action.
DIRECTOR_PATHS = {
    "/healthcheck": ("GET", AdminAction.HEALTH),
    "/stats": ("GET", AdminAction.STATS),
    "/healthcheck/fail": ("POST", AdminAction.FAIL),
    "/healthcheck/ok": ("POST", AdminAction.OK),
}
#: Last segment of /caches/ID/... to its action.
SERVER_ACTIONS = {"maint": AdminAction.MAINT, "ready": AdminAction.READY}


def parse_request(method: str, target: str) -> AdminRequest:
    """Parses a request. Raises InvalidAdminRequestError.

    The path is split before the id is decoded, so an id may contain an encoded slash. A query is ignored. The
    target may be in absolute form (RFC 9112, section 3.2)."""
    if target.lower().startswith("http://"):
        target = "/" + target[7:].partition("/")[2]
    path = target.partition("?")[0]
    store = ""
    if path in DIRECTOR_PATHS:
        allowed, action = DIRECTOR_PATHS[path]
    else:
        segments = path.split("/")
        if len(segments) != 4 or segments[:2] != ["", "caches"] or segments[3] not in SERVER_ACTIONS:
            known = ", ".join([*DIRECTOR_PATHS, *(f"/caches/ID/{name}" for name in SERVER_ACTIONS)])
            raise InvalidAdminRequestError(404, f"no such path; expected one of {known}")
        allowed, action = "POST", SERVER_ACTIONS[segments[3]]
        store = _decode_id(segments[2])
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
