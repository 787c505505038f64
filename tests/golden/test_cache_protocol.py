"""Golden bytes of the cache protocol: the lines sent to a cache, and the values decoded from its replies."""

from __future__ import annotations

from typing import Any

import pytest

from gladelane.net.attempt_outcomes import STATUS
from gladelane.net.cache_protocol import MalformedReplyError, ReplyDecoder, encode_abort, encode_fetch
from gladelane.net.exchange import Attempt, ClientRequest, Exchange

ID, OBJECT = "9b1f03aa5c7e2d41", "7f3a9c21e0b4d655"
NOW_MS = 1000.0
FULL_REQUEST = (ID, "sheet", 1500.0, OBJECT, 3, 17, 400.0, "5c0f", "4be0", b"\x00\xff\n")
MINIMAL_REQUEST = (ID, "film", 1500.0, OBJECT, 0, 17)
MINIMAL_FIELDS = "profile=film,thing=7f3a9c21e0b4d655,nth=0,max=1500"

#: result keyword of a reply -> its bytes, and the values decoded from them
REPLIES = {
    "served": (
        b"a-1 served digest=1f2e,dated=1764667245123.5,remark=f,first=12.5,report=inflight:7;util:0.61 3\r\nab\n\r\n",
        ("a-1", "ok", 2, 12.5, b"ab\n", 1764667245123.5, {"inflight": 7.0, "util": 0.61}),
    ),
    "still_good": (
        b"a-1 still_good digest=1f2e,dated=5,remark=h 0\r\n\r\n",
        ("a-1", "ok", 1, 0.0, b"", 5.0, None),
    ),
    "not_here": (b"a-1 not_here - 0\r\n\r\n", ("a-1", "miss", 0, 0.0, b"", 0.0, None)),
    "overload": (
        b"a-1 overload remark=r,report=util:1.5e-2 0\r\n\r\n",
        ("a-1", "full", 6, 0.0, b"", 0.0, {"util": 0.015}),
    ),
    "crashed": (b"a-1 crashed remark=x,first=3 0\r\n\r\n", ("a-1", "error", 10, 3.0, b"", 0.0, None)),
    "nobody": (b"a-1 nobody - 0\r\n\r\n", ("a-1", "moot", 0, 0.0, b"", 0.0, None)),
}
#: letter of the `remark` field -> number of the enum value that it is decoded to
REMARKS = {"h": 1, "f": 2, "o": 3, "j": 4, "s": 5, "r": 6, "b": 7, "l": 8, "n": 9, "x": 10}


def encode_fetch_line(request_fields: tuple[Any, ...], *attempt_fields: Any, now_ms: float = NOW_MS) -> bytes:
    """Returns the line of the first attempt of this request, sent to `cache-1` at `NOW_MS`."""
    client_request = ClientRequest(*request_fields)
    exchange = Exchange(client_request, None, None, None, 6)  # type: ignore[arg-type]
    fields = Attempt(exchange, 0, "cache-1", NOW_MS, *attempt_fields).fields(now_ms)
    return encode_fetch("a-1", fields, client_request.body)


def decode_replies(line: bytes) -> list[tuple[Any, ...]]:
    return [
        (id_, STATUS[status].value, remark.value, *others)
        for id_, status, remark, *others in ReplyDecoder().feed(line)
    ]


def test_a_fetch_line_with_every_field() -> None:
    assert encode_fetch_line(FULL_REQUEST, 2500.9, "parent-1", 2, 8000.7, ("a", "b")) == (
        b"fetch a-1 profile=sheet,thing=7f3a9c21e0b4d655,nth=3,max=1500,replay=5c0f,parent=parent-1,shelf=2,"
        b"accept=8000,hints=a+b,got=4be0 3\r\n\x00\xff\n\r\n"
    )


@pytest.mark.parametrize("attempt_fields,expected_suffix", [
    ((2500.0,), ""),
    ((2500.0, "parent-1"), ",parent=parent-1"),
    ((2500.0, "", 1), ",shelf=1"),
    ((2500.0, "", 0, 250.0), ",accept=250"),
    ((2500.0, "", 0, 0.3), ",accept=1"),
    ((2500.0, "", 0, 0.0, ("a",)), ",hints=a"),
])  # fmt: skip
def test_a_fetch_line_omits_fields_with_default_values(
    attempt_fields: tuple[Any, ...], expected_suffix: str
) -> None:
    assert (
        encode_fetch_line(MINIMAL_REQUEST, *attempt_fields)
        == f"fetch a-1 {MINIMAL_FIELDS}{expected_suffix} 0\r\n\r\n".encode()
    )


@pytest.mark.parametrize("now_ms,max_ms", [(1000.0, 1500), (1000.1, 1499), (2499.5, 1), (2600.0, 1)])
def test_max_is_the_remaining_time_in_whole_ms_and_at_least_1(now_ms: float, max_ms: int) -> None:
    line = encode_fetch_line(MINIMAL_REQUEST, 2500.0, now_ms=now_ms)
    assert line == f"fetch a-1 profile=film,thing={OBJECT},nth=0,max={max_ms} 0\r\n\r\n".encode()


def test_a_fetch_line_without_fields_has_a_dash_in_their_place() -> None:
    assert encode_fetch("a-1", {}, b"") == b"fetch a-1 - 0\r\n\r\n"


def test_abort_line_bytes() -> None:
    assert encode_abort("a-1") == b"abort a-1\r\n"


@pytest.mark.parametrize("keyword", REPLIES)
def test_a_reply_is_decoded_to_the_expected_values(keyword: str) -> None:
    line, values = REPLIES[keyword]
    assert decode_replies(line) == [values]


@pytest.mark.parametrize("letter", REMARKS)
def test_each_remark_letter_is_decoded_to_its_number(letter: str) -> None:
    assert [reply[2] for reply in decode_replies(f"a-1 served remark={letter} 0\r\n\r\n".encode())] == [
        REMARKS[letter]
    ]


def test_an_unknown_result_keyword_is_rejected() -> None:
    with pytest.raises(MalformedReplyError, match="unreadable answer"):
        decode_replies(b"a-1 unheard - 0\r\n\r\n")
