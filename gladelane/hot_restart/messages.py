"""Messages between two processes of one director: a line of JSON each. Pure."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..admin.requests import AdminRequest
from ..clock import SharedClock
from .decoding import decode_with, expect_equal

PROTOCOL_VERSION = 1
#: Kinds of messages.
HELLO, HERE, ORDER = "hello", "here", "order"
#: Words of an `order` about an attempt with an idempotency key; all other words are operators' requests.
MAY_HAVE_RUN, NEVER_RAN = "may_have_run", "never_ran"


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """`hello` comes from the new process, and `here` with the listening socket from the old one. Then either
    side sends `order`, with an operator's request or with what became of an attempt with a key."""

    kind: str
    version: int = PROTOCOL_VERSION
    name: str = ""  # the director's, with its address: two directors may be given one folder
    word: str = ""
    store: str = ""
    keys: bool = False  # in `hello` and `here`: the sender reads orders about keys; older versions do not
    key: str = ""  # the idempotency key
    at_ms: float = (
        0.0  # when the attempt's first byte left, as `Clock.dated` gives it: older versions read Unix ms
    )
    boot_id: str = ""  # of the sender's machine; older versions send neither this nor the next
    zero_ms: float = 0.0  # the date at which the sender's monotonic clock read 0

    @property
    def is_about_key(self) -> bool:
        """Whether this reports what became of an attempt with an idempotency key."""
        return self.word in (MAY_HAVE_RUN, NEVER_RAN)

    @property
    def clock(self) -> SharedClock:
        """The clock by which `at_ms` is dated."""
        return SharedClock(self.boot_id, self.zero_ms)


_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """The line of a message, with its end."""
    return msgspec.json.encode(message) + b"\n"


def read_message(line: bytes, name: str) -> Message:
    """The message in a line, without its end, as the director `name` reads it. Raises HandoverError for one
    that is malformed, of another version, or from a process of another director."""
    message = decode_with(_decoder, line)
    expect_equal("version", message.version, PROTOCOL_VERSION)
    if message.kind in (HELLO, HERE):
        expect_equal("of", message.name, name)
    return message


def order_messages(requests: Iterable[AdminRequest]) -> tuple[Message, ...]:
    """The orders that pass on operators' requests."""
    return tuple(Message(ORDER, word=request.action.value, store=request.store) for request in requests)
