"""Messages between two processes of one director, each of which is one line of JSON. Pure."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..admin.requests import AdminRequest
from ..clock import SharedClock
from .decoding import decode_with, expect_equal

PROTOCOL_VERSION = 1
#: Kinds of messages: a request for the listening socket, the reply with it, and all later messages.
HELLO, HELLO_REPLY, UPDATE = "hello", "here", "order"
#: Operations of an update about an attempt with an idempotency key.
MAY_HAVE_RUN, NEVER_RAN = "may_have_run", "never_ran"
#: Operations of an update about settings: settings that bind until `at_ms`, and that the sender has read its
#: files again because of a signal. All other operations are operators' requests.
SETTINGS_BIND, FILES_READ = "settings_bind", "files_read"


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """A message of any kind.

    The new process sends HELLO, and the old one answers with HELLO_REPLY and the listening socket. Afterwards
    either side sends UPDATE, with an operator's request or with the outcome of an attempt with a key.
    """

    kind: str
    version: int = PROTOCOL_VERSION
    name: str = ""  # of the director, with its address: two directors may be given one folder
    operation: str = msgspec.field(default="", name="word")  # of an UPDATE
    store: str = ""
    #: In HELLO and HELLO_REPLY: whether the sender reads updates about keys; older versions do not.
    reads_key_updates: bool = msgspec.field(default=False, name="keys")
    key: str = ""  # the idempotency key
    #: When the attempt's first byte was sent, or until when settings bind, as a date of `Clock.date`; older
    #: versions read it as Unix ms.
    at_ms: float = 0.0
    boot_id: str = ""  # of the sender's machine; older versions send neither `boot_id` nor `zero_ms`
    zero_ms: float = 0.0  # the date at which the sender's monotonic clock read 0
    #: In HELLO and HELLO_REPLY: whether the sender reads updates about settings; older versions do not.
    reads_settings_updates: bool = False
    settings: str = ""  # of SETTINGS_BIND: the settings as `shared_settings` encodes them

    @property
    def is_about_settings(self) -> bool:
        """Whether this reports settings or a change of them."""
        return self.operation in (SETTINGS_BIND, FILES_READ)

    @property
    def is_about_key(self) -> bool:
        """Whether this reports the outcome of an attempt with an idempotency key."""
        return self.operation in (MAY_HAVE_RUN, NEVER_RAN)

    @property
    def clock(self) -> SharedClock:
        """The clock that `at_ms` refers to."""
        return SharedClock(self.boot_id, self.zero_ms)


_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Returns the line of a message, including the line break."""
    return msgspec.json.encode(message) + b"\n"


def read_message(line: bytes, name: str) -> Message:
    """Decodes a line without its line break, for the director `name`. Raises HandoverError for a message that
    is malformed, of another version, or from a process of another director."""
    message = decode_with(_decoder, line)
    expect_equal("version", message.version, PROTOCOL_VERSION)
    if message.kind in (HELLO, HELLO_REPLY):
        expect_equal("of", message.name, name)
    return message


def hello_message(kind: str, name: str) -> Message:
    """Returns a HELLO or HELLO_REPLY of this version, for the director `name`."""
    return Message(kind, name=name, reads_key_updates=True, reads_settings_updates=True)


def request_messages(requests: Iterable[AdminRequest]) -> tuple[Message, ...]:
    """Returns the updates that pass on operators' requests."""
    return tuple(Message(UPDATE, operation=request.action.value, store=request.store) for request in requests)
