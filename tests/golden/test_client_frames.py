"""Golden bytes of the client protocol: what a frame looks like on the wire, whatever the code calls it."""

from __future__ import annotations

import pytest
from harness import settings

from gladelane.deployment.wire import settings_from_wire
from gladelane.net.client_protocol import (
    FrameDecoder,
    FrameType,
    decode_fields,
    decode_request,
    encode_answer,
    encode_fields,
    encode_frame,
    encode_ready,
)
from gladelane.net.exchange import AnswerCode, FinalAnswer

STREAM = 0x01020304
ID, OBJECT = "9b1f03aa5c7e2d41", "7f3a9c21e0b4d655"
#: frames of the types that carry nothing beside their type and stream
BARE = {
    18: "00000005" "12" "01020304",
    32: "00000005" "20" "01020304",
    48: "00000005" "30" "01020304",
}
#: a request with every field; each field is its name's length and text, then its value's length and text
FULL_FIELDS = {
    "c": "sheet",
    "i": ID,
    "d": "1500.5",
    "o": OBJECT,
    "chunk": "3",
    "tag": "17",
    "m": "400.25",
    "k": "5c0f",
    "known": "4be0",
}
FULL_REQUEST = (
    "09"
    "0163" "0005" "7368656574"
    "0169" "0010" "39623166303361613563376532643431"
    "0164" "0006" "313530302e35"
    "016f" "0010" "37663361396332316530623464363535"
    "056368756e6b" "0001" "33"
    "03746167" "0002" "3137"
    "016d" "0006" "3430302e3235"
    "016b" "0004" "35633066"
    "056b6e6f776e" "0004" "34626530"
    "00ff0a"
)  # fmt: skip
REQUEST_FRAME = "00000073" "10" "01020304" + FULL_REQUEST
ANSWERS = {
    "served": ((AnswerCode.SERVED, b"ab"), "00000009" "11" "01020304" "00" "00" "6162"),
    "served_valid": (
        (AnswerCode.SERVED, b"", True),
        "00000010" "11" "01020304" "00" "01" "0576616c6964" "0001" "31",
    ),
    "refused": ((AnswerCode.REFUSED,), "00000007" "11" "01020304" "01" "00"),
    "refused_come_back": (
        (AnswerCode.REFUSED, b"", False, 420.7),
        "0000000e" "11" "01020304" "01" "01" "0177" "0003" "343230",
    ),
    "failed": ((AnswerCode.FAILED,), "00000007" "11" "01020304" "02" "00"),
    "every_field": (
        (AnswerCode.SERVED, b"ab", True, 1.0),
        "00000017" "11" "01020304" "00" "02" "0576616c6964" "0001" "31" "0177" "0001" "31" "6162",
    ),
}


def decoded(text: str) -> list[tuple[int, int, bytes]]:
    return [tuple(frame) for frame in FrameDecoder().feed(bytes.fromhex(text))]  # type: ignore[misc]


def test_the_types_are_six_numbers() -> None:
    assert sorted(FrameType) == [16, 17, 18, 32, 33, 48]


def test_the_codes_of_an_answer_are_three_numbers() -> None:
    assert sorted(AnswerCode) == [0, 1, 2]


@pytest.mark.parametrize("number", BARE)
def test_a_frame_without_a_payload_is_written_so(number: int) -> None:
    assert encode_frame(FrameType(number), STREAM).hex() == BARE[number]


@pytest.mark.parametrize("number", BARE)
def test_a_frame_without_a_payload_is_read_so(number: int) -> None:
    assert decoded(BARE[number]) == [(number, STREAM, b"")]


def test_the_fields_of_a_request_are_written_so() -> None:
    assert (encode_fields(FULL_FIELDS) + b"\x00\xff\n").hex() == FULL_REQUEST


def test_the_frame_of_a_request_is_written_so() -> None:
    assert encode_frame(FrameType(16), STREAM, bytes.fromhex(FULL_REQUEST)).hex() == REQUEST_FRAME


def test_the_frame_of_a_request_is_read_so() -> None:
    [(number, stream, payload)] = decoded(REQUEST_FRAME)
    assert (number, stream, payload.hex()) == (16, STREAM, FULL_REQUEST)
    assert decode_fields(payload) == (FULL_FIELDS, b"\x00\xff\n")


def test_every_field_of_a_request_is_read() -> None:
    asked = decode_request(bytes.fromhex(FULL_REQUEST), settings_from_wire(settings()))
    values = tuple(getattr(asked, name) for name in asked.__struct_fields__)
    assert values == (ID, "sheet", 1500.5, OBJECT, 3, 17, 400.25, "5c0f", "4be0", b"\x00\xff\n")


@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_is_written_so(name: str) -> None:
    final, text = ANSWERS[name]
    assert encode_answer(STREAM, FinalAnswer(*final)).hex() == text  # type: ignore[arg-type]


@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_is_read_as_one_frame(name: str) -> None:
    text = ANSWERS[name][1]
    assert decoded(text) == [(17, STREAM, bytes.fromhex(text)[9:])]


@pytest.mark.parametrize("ready,text", [
    (True, "00000007" "21" "01020304" "00" "00"), (False, "00000007" "21" "01020304" "01" "00"),
])  # fmt: skip
def test_whether_clients_are_taken_is_written_so(ready: bool, text: str) -> None:
    assert encode_ready(STREAM, ready).hex() == text
    assert decoded(text) == [(33, STREAM, bytes.fromhex(text)[9:])]


def test_the_largest_frame_is_262144_bytes_behind_its_length() -> None:
    largest = encode_frame(FrameType(17), STREAM, b"x" * 262_139)
    assert largest[:9].hex() == "00040000" "11" "01020304"
    assert [len(frame[2]) for frame in FrameDecoder().feed(largest)] == [262_139]
