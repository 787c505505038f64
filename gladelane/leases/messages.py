"""The messages between lease clients and lease servers, and between lease servers. Pure.

    POST /leases          `LeaseRequestBatch`, answered by `LeaseReplyBatch` once new tokens are stored
    GET  /leases/numbers  `KnownTokens`, for a peer that has just started
    GET  /leases          `LeaseServerStatus`, for operators' commands

The bodies are JSON. Some fields have an older name on the wire than in the code.
"""

from __future__ import annotations

import msgspec

MAX_BATCH_REQUESTS = 512
MAX_PROGRESS_CHARS = 65_536
# A reply without a lease has to use this object: msgspec omits a default value only if it is the same object.
NO_REMAINING_MS = 0.0


class LeaseRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A request of one client about one resource: a query, a claim, a renewal or a release.

    `fencing_token` is 0 for a query, otherwise the token that is claimed, renewed or released. A server
    limits `duration_ms` to the longest lease that it grants.
    """

    resource: str = msgspec.field(name="work")
    holder: str
    fencing_token: int = msgspec.field(default=0, name="number")
    duration_ms: float = msgspec.field(default=0.0, name="length_ms")
    is_release: bool = msgspec.field(default=False, name="release")


class LeaseReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer of one server to one request.

    `highest_token` is the highest fencing token that the server knows for the resource. `holder` and
    `remaining_ms` describe the lease that is active, if there is one. A server that is not ready grants no
    lease, and its `highest_token` may be too low.
    """

    server: str = msgspec.field(name="keeper")
    is_granted: bool = msgspec.field(name="granted")
    highest_token: int = msgspec.field(default=0, name="highest")
    holder: str = ""
    remaining_ms: float = msgspec.field(default=NO_REMAINING_MS, name="left_ms")
    is_ready: bool = msgspec.field(default=True, name="ready")


class ResourceProgress(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The progress of the work on a resource, as reported by its holder under `fencing_token`.

    Lease servers store the text for the next holder without interpreting it.
    """

    fencing_token: int
    text: str


class LeaseRequestBatch(msgspec.Struct, forbid_unknown_fields=True):
    """Requests of one client. `progress` is its progress by resource, stored only for granted requests."""

    requests: list[LeaseRequest] = msgspec.field(name="asks")
    progress: dict[str, str] = {}


class LeaseReplyBatch(msgspec.Struct):
    """One reply for each request, in the same order.

    `progress` has the last reported progress by resource, for the resources that were granted.
    """

    replies: list[LeaseReply]
    progress: dict[str, str] = {}


class KnownTokens(msgspec.Struct):
    """The highest fencing token and the last progress that a server knows, by resource."""

    server: str = msgspec.field(name="keeper")
    tokens: dict[str, int] = msgspec.field(name="numbers")
    progress: dict[str, ResourceProgress] = {}


class LeaseStatus(msgspec.Struct):
    """The state of a resource at a server. `holder` is empty and the times are 0 while no lease is active."""

    resource: str = msgspec.field(name="work")
    fencing_token: int = msgspec.field(name="number")
    holder: str
    remaining_ms: float = msgspec.field(name="left_ms")
    held_for_ms: float = msgspec.field(name="since_ms")


class LeaseServerStatus(msgspec.Struct):
    """All resources that a server knows. A server that is not ready grants no lease."""

    server: str = msgspec.field(name="keeper")
    is_ready: bool = msgspec.field(name="ready")
    leases: list[LeaseStatus] = msgspec.field(name="owners")


encode_json = msgspec.json.encode
request_batch_decoder: msgspec.json.Decoder[LeaseRequestBatch] = msgspec.json.Decoder(LeaseRequestBatch)
reply_batch_decoder: msgspec.json.Decoder[LeaseReplyBatch] = msgspec.json.Decoder(LeaseReplyBatch)
known_tokens_decoder: msgspec.json.Decoder[KnownTokens] = msgspec.json.Decoder(KnownTokens)
