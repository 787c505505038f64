"""Tables of cases for the parsers: frames, fields, requests, replies of caches, events and the configuration."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from harness import config, raw_frame, settings
from hypothesis import given
from hypothesis import strategies as st

from gladelane.deployment.wire import settings_from_wire
from gladelane.net.attempt_outcomes import STATUS, AttemptOutcome
from gladelane.net.cache_protocol import (
    MAX_UNREADABLE_LOGGED,
    OUTCOME_BY_WORD,
    MalformedReplyError,
    Reply,
    ReplyDecoder,
    encode_fetch,
)
from gladelane.net.client_protocol import (
    FrameDecoder,
    FramingError,
    InvalidRequestError,
    decode_fields,
    decode_request,
    encode_answer,
    encode_fields,
    encode_frame,
)
from gladelane.net.config import ConfigError, host_port, read_config
from gladelane.net.exchange import AnswerCode, FinalAnswer
from gladelane.routing.events import NEVER_RAN, Note, Status
from gladelane.sse import EventStream

SETTINGS = settings_from_wire(settings())
VALID_FIELDS = {
    "c": "film",
    "i": "9b1f03aa5c7e2d41",
    "d": "1500",
    "o": "7f3a9c21e0b4d655",
    "chunk": "3",
    "tag": "17",
}


@given(st.lists(st.tuples(st.integers(0, 255), st.integers(0, 2**32 - 1), st.binary(max_size=40))), st.data())
def test_frames_are_decoded_wherever_the_bytes_are_split(
    frames: list[tuple[int, int, bytes]], data: st.DataObject
) -> None:
    wire = b"".join(encode_frame(*frame) for frame in frames)  # type: ignore[arg-type]
    decoder, decoded, position = FrameDecoder(), [], 0
    while position < len(wire):
        step = data.draw(st.integers(1, len(wire)))
        decoded += [tuple(f) for f in decoder.feed(wire[position : position + step])]
        position += step
    assert decoded == frames


@pytest.mark.parametrize("length", [0, 4, 262_145, 2**32 - 1])
def test_an_invalid_frame_length_is_a_framing_error(length: int) -> None:
    with pytest.raises(FramingError):
        list(FrameDecoder().feed(raw_frame(length, 16, 1)))


@pytest.mark.parametrize("payload", [
    b"", b"\x01", b"\x01\x01c", b"\x01\x01c\x00\x09film", b"\x01\x01\xff\x00\x01a", b"\x01\x01c\x00\x01\xff",
    b"\x02\x01c\x00\x01a\x01c\x00\x01b",
])  # fmt: skip
def test_unreadable_fields_are_an_invalid_request(payload: bytes) -> None:
    with pytest.raises(InvalidRequestError):
        decode_fields(payload)


@given(
    st.dictionaries(st.text(min_size=1, max_size=9), st.text(max_size=99), max_size=9), st.binary(max_size=9)
)
def test_decoding_encoded_fields_returns_the_same_fields_and_body(
    fields: dict[str, str], body: bytes
) -> None:
    assert decode_fields(encode_fields(fields) + body) == (fields, body)


@pytest.mark.parametrize("change", [
    {"c": None}, {"c": "song"}, {"i": None}, {"i": "9b1f"}, {"i": "9b1f03aa5c7e2d4g"}, {"d": None}, {"d": "soon"},
    {"d": "-1"}, {"d": "1_0"}, {"d": "+5"}, {"d": " 5"}, {"d": "1e3"}, {"d": "99999999"}, {"m": "1e5"}, {"d": "nan"}, {"d": "inf"}, {"o": None}, {"o": "0x3a9c21e0b4d655"}, {"chunk": None},
    {"chunk": "-1"}, {"chunk": "1.5"}, {"chunk": "²"}, {"tag": None}, {"tag": "256"}, {"m": "big"},
    {"known": "a b"}, {"known": "a,b=c"}, {"known": ""}, {"c": "sheet"}, {"c": "sheet", "k": "a\r\nabort"},
])  # fmt: skip
def test_a_request_with_a_missing_or_invalid_field_is_rejected(change: dict[str, str | None]) -> None:
    fields = {name: value for name, value in {**VALID_FIELDS, **change}.items() if value is not None}
    with pytest.raises(InvalidRequestError):
        decode_request(encode_fields(fields), SETTINGS)


def test_all_fields_of_a_request_are_decoded() -> None:
    request = decode_request(
        encode_fields({**VALID_FIELDS, "o": "7F3a9c21e0b4d655", "k": "5c0f", "known": "4be0"}) + b"x",
        SETTINGS,
    )
    assert (request.id, request.object, request.part, request.group) == (
        VALID_FIELDS["i"],
        "7F3a9c21e0b4d655",
        3,
        17,
    )
    assert (request.key, request.known, request.body, request.wait_ms, request.size_kb) == (
        "5c0f",
        "4be0",
        b"x",
        1500.0,
        0.0,
    )


@pytest.mark.parametrize(("final", "payload"), [
    (FinalAnswer(AnswerCode.SERVED, b"abc"), b"\x00\x00abc"),
    (FinalAnswer(AnswerCode.SERVED, valid=True), b"\x00\x01\x05valid\x00\x011"),
    (FinalAnswer(AnswerCode.REFUSED, retry_after_ms=420.7), b"\x01\x01\x01w\x00\x03420"),
    (FinalAnswer(AnswerCode.REFUSED, retry_after_ms=0.4), b"\x01\x00"),
    (FinalAnswer(AnswerCode.FAILED), b"\x02\x00"),
])  # fmt: skip
def test_final_answers_are_encoded(final: FinalAnswer, payload: bytes) -> None:
    assert encode_answer(7, final) == encode_frame(17, 7, payload)  # type: ignore[arg-type]


REPLIES = [
    (
        b"a1 served digest=x,dated=5,remark=f,first=12.5,report=inflight:7;util:0.61 3\r\nab\n\r\n",
        ("a1", AttemptOutcome.SERVED, Note.PARENT_HELD, 12.5, b"ab\n", 5.0, {"inflight": 7.0, "util": 0.61}),
    ),
    (
        b"a1 still_good digest=x,remark=h 0\r\n\r\n",
        ("a1", AttemptOutcome.STILL_GOOD, Note.HIT, 0.0, b"", 0.0, None),
    ),
    (b"a1 not_here - 0\r\n\r\n", ("a1", AttemptOutcome.NOT_HERE, Note.NOT_REPORTED, 0.0, b"", 0.0, None)),
    (b"a1 not_here remark=j 0\r\n\r\n", ("a1", AttemptOutcome.NOT_HERE, Note.JOINED, 0.0, b"", 0.0, None)),
    (
        b"a1 overload remark= 0\r\n\r\n",
        ("a1", AttemptOutcome.OVERLOAD, Note.NOT_REPORTED, 0.0, b"", 0.0, None),
    ),
]


@pytest.mark.parametrize(("line", "reply"), REPLIES)
def test_replies_of_caches_are_decoded_whole_and_byte_by_byte(line: bytes, reply: tuple[Any, ...]) -> None:
    decoder = ReplyDecoder()
    assert [tuple(r) for r in decoder.feed(line * 2)] == [reply, reply]
    bytewise_decoder = ReplyDecoder()
    assert [tuple(r) for byte in line for r in bytewise_decoder.feed(bytes([byte]))] == [reply]


@pytest.mark.parametrize("line", [
    b"a1 served - 3\r\nabcd\r\n", b"a1 served - -1\r\n", b"a1 served - 262145\r\n", b"a1 eaten - 0\r\n\r\n",
    b"a1 served -\r\n\r\n", b"\r\n", b"a1 served digest 0\r\n\r\n", b"\xff served - 0\r\n\r\n",
    b"a1 served - +3\r\nabc\r\n", b"a1 served - 1_0\r\n", b"a1 served - 3000000000\r\n", b"a1 served - " + b"9" * 4000 + b"\r\n", b"x" * 5000, b"x" * 5000 + b"\r\n",
    b"a1 \xff - 0\r\n\r\n", b"a1 served - \xb2\r\n", b"a1 served  0\r\n\r\n", b"a1 served - - 0\r\n\r\n", b"a1 served remark=h j 0\r\n\r\n",
])  # fmt: skip
def test_invalid_replies_are_rejected_as_malformed(line: bytes) -> None:
    with pytest.raises(MalformedReplyError):
        list(ReplyDecoder().feed(line))


@pytest.mark.parametrize("letter,note", zip("hfojsrblnx", list(Note)[1:], strict=True))
def test_every_remark_letter_is_decoded_to_its_note(letter: str, note: Note) -> None:
    assert [r.note for r in ReplyDecoder().feed(f"a1 crashed remark={letter} 0\r\n\r\n".encode())] == [note]


UNREADABLE_FIELDS = [
    b"remark=q", b"remark=hh", b"remark=H", b"remark=h,j", b"remark=\xff", b"remark==",
    b"first=x", b"first=nan", b"first=-1", b"first=inf", b"first=1_0", b"first=1e3", b"first=5,5", b"first=1234567890",
    b"dated=x", b"dated=-5", b"dated=1_0", b"dated=\xb2",
    b"report=x", b"report=util", b"report=util:", b"report=util:nan", b"report=util:-1", b"report=util:0.6;", b"report=;util:0.6",
    b"report=util:0.6,x1:2", b"report=util:0.6;util:0.7", b"report=util:0.6;x1:q", b"report=\xff:1", b"report=util:1e999",
    b"report=" + b";".join(b"v%d:1" % n for n in range(17)),
]  # fmt: skip


@pytest.mark.parametrize("field", UNREADABLE_FIELDS)
def test_an_unreadable_field_is_ignored_and_the_reply_is_used(field: bytes) -> None:
    line = b"a1 served digest=x," + field + b" 2\r\nok\r\n"
    reply_without_field = Reply("a1", AttemptOutcome.SERVED, body=b"ok")
    assert list(ReplyDecoder().feed(line * 2)) == [reply_without_field, reply_without_field]


def test_the_fields_next_to_an_unreadable_field_are_decoded() -> None:
    line = b"a1 served remark=?,first=7,dated=9,report=util:0.5 0\r\n\r\n"
    assert list(ReplyDecoder().feed(line)) == [
        Reply("a1", AttemptOutcome.SERVED, Note.NOT_REPORTED, 7.0, b"", 9.0, {"util": 0.5})
    ]


# values that leave the format of a reply line intact: no space, which separates its parts, and no line end
VALUES = st.tuples(st.binary(max_size=60), st.sampled_from([b"\r", b"\n"])).map(
    lambda drawn: drawn[0].replace(b" ", b"").replace(drawn[1], b"")
)


@given(VALUES, VALUES, VALUES, VALUES, st.binary(max_size=40), st.sampled_from(sorted(OUTCOME_BY_WORD)))
def test_no_bytes_in_the_fields_of_a_reply_raise_an_error_or_lose_the_reply(
    remark: bytes, first: bytes, report: bytes, dated: bytes, body: bytes, outcome_word: str
) -> None:
    fields = b"remark=%b,first=%b,report=%b,dated=%b" % (remark, first, report, dated)
    line = b"7f %b %b %d\r\n%b\r\n" % (outcome_word.encode(), fields, len(body), body)
    replies = list(ReplyDecoder().feed(line + b"80 not_here - 0\r\n\r\n"))
    assert [(r.id, r.outcome, r.body) for r in replies] == [
        ("7f", OUTCOME_BY_WORD[outcome_word], body),
        ("80", AttemptOutcome.NOT_HERE, b""),
    ]
    for reply in replies:
        assert 0.0 <= reply.source_wait_ms < 1e9 and 0.0 <= reply.dated_ms < 1e15
        assert all(0.0 <= value < 1e120 for value in (reply.report or {}).values())


def test_a_connection_with_only_unreadable_fields_logs_a_few_lines(
    caplog: pytest.LogCaptureFixture,
) -> None:
    decoder = ReplyDecoder()
    for _ in range(200):
        list(decoder.feed(b"a1 served remark=?,first=?,report=?,dated=? 0\r\n\r\n"))
    assert len(caplog.records) == MAX_UNREADABLE_LOGGED
    assert all(record.getMessage().isascii() for record in caplog.records)


def test_a_fetch_command_is_encoded() -> None:
    assert encode_fetch("a1", {"max": "5", "got": "x"}, b"\r\n") == b"fetch a1 max=5,got=x 2\r\n\r\n\r\n"


@pytest.mark.parametrize(("chunks", "events"), [
    ([b"id: 4\ndata: {}\n\n"], ["{}"]),
    ([b"data: a\r\n", b"data: b\r\n\r\n"], ["a\nb"]),
    ([b":\n\n", b": still here\n\n"], []),
    ([b"da", b"ta:a\n", b"\ndata:b\n\n"], ["a", "b"]),
])  # fmt: skip
def test_server_sent_events_are_decoded(chunks: list[bytes], events: list[str]) -> None:
    stream = EventStream()
    assert [event for chunk in chunks for event in stream.feed(chunk)] == events


def test_every_outcome_has_a_status_and_only_unsent_attempts_are_known_not_to_have_run() -> None:
    assert set(STATUS) == set(AttemptOutcome)
    may_have_run = {outcome for outcome in AttemptOutcome if STATUS[outcome] not in NEVER_RAN}
    assert may_have_run == {AttemptOutcome.SERVED, AttemptOutcome.STILL_GOOD, AttemptOutcome.CRASHED, AttemptOutcome.RESET, AttemptOutcome.CLOSED, AttemptOutcome.GARBLED, AttemptOutcome.CUT_SHORT, AttemptOutcome.SILENT, AttemptOutcome.TIMED_OUT,
                            AttemptOutcome.CANCELLED, AttemptOutcome.IDLE, AttemptOutcome.OUTDATED, AttemptOutcome.SUPERSEDED, AttemptOutcome.WITHHELD}  # fmt: skip
    assert {outcome for outcome in AttemptOutcome if STATUS[outcome] is Status.OK} == {
        AttemptOutcome.SERVED,
        AttemptOutcome.STILL_GOOD,
    }


@pytest.mark.parametrize("change", [
    {"name": None}, {"listen": "4100"}, {"listen": "a:b"}, {"seed": "xyz"}, {"limits": {}}, {"known": {"rev": "a"}},
    {"settings": {}}, {"settings": {**settings(), "limits": {"max_attempts": 3, "max_open": 9, "dial_timeout_ms": 1}}},
])  # fmt: skip
def test_an_invalid_configuration_is_reported_in_one_line(change: dict[str, Any]) -> None:
    raw = json.loads(config({"c0": "127.0.0.1:9"}))
    raw.update(change)
    with pytest.raises(ConfigError) as caught:
        read_config(json.dumps({k: v for k, v in raw.items() if v is not None}).encode())
    assert len(str(caught.value).splitlines()) == 1


def test_host_and_port_are_parsed() -> None:
    assert host_port("127.0.0.1:80") == ("127.0.0.1", 80) and host_port("[::1]:80")[1] == 80
    for bad in ("", ":80", "a", "a:70000", "a:-1"):
        with pytest.raises(ValueError):
            host_port(bad)


def test_the_example_configuration_is_valid() -> None:
    configuration = read_config((Path(__file__).parent.parent / "example" / "config.json").read_bytes())
    assert [i.instance_id for n in configuration.known.notices if n.pool for i in n.pool.instances] == [
        "cache-1",
        "depot-1",
        "bank",
    ]
