"""Golden bytes of the client protocol: each frame and its fields as they are on the wire."""

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
#: frame type -> bytes of a frame without a payload: length, type and stream
EMPTY_FRAMES = {
    18: "00000005" "12" "01020304",
    32: "00000005" "20" "01020304",
    48: "00000005" "30" "01020304",
}
#: A request with every field. A field is encoded as the length and text of its name, then of its value.
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
#: arguments of a `FinalAnswer`, and the frame that it is encoded to
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


def decode_frames(frames_hex: str) -> list[tuple[int, int, bytes]]:
    return [tuple(frame) for frame in FrameDecoder().feed(bytes.fromhex(frames_hex))]  # type: ignore[misc]


def test_the_numbers_of_the_frame_types() -> None:
    assert sorted(FrameType) == [16, 17, 18, 32, 33, 48]


def test_the_numbers_of_the_answer_codes() -> None:
    assert sorted(AnswerCode) == [0, 1, 2]


@pytest.mark.parametrize("frame_type", EMPTY_FRAMES)
def test_a_frame_without_a_payload_is_encoded_to_the_expected_bytes(frame_type: int) -> None:
    assert encode_frame(FrameType(frame_type), STREAM).hex() == EMPTY_FRAMES[frame_type]


@pytest.mark.parametrize("frame_type", EMPTY_FRAMES)
def test_a_frame_without_a_payload_is_decoded(frame_type: int) -> None:
    assert decode_frames(EMPTY_FRAMES[frame_type]) == [(frame_type, STREAM, b"")]


def test_the_fields_of_a_request_are_encoded_to_the_expected_bytes() -> None:
    assert (encode_fields(FULL_FIELDS) + b"\x00\xff\n").hex() == FULL_REQUEST


def test_a_request_frame_is_encoded_to_the_expected_bytes() -> None:
    assert encode_frame(FrameType(16), STREAM, bytes.fromhex(FULL_REQUEST)).hex() == REQUEST_FRAME


def test_a_request_frame_is_decoded_to_its_fields_and_body() -> None:
    [(frame_type, stream, payload)] = decode_frames(REQUEST_FRAME)
    assert (frame_type, stream, payload.hex()) == (16, STREAM, FULL_REQUEST)
    assert decode_fields(payload) == (FULL_FIELDS, b"\x00\xff\n")


def test_a_client_request_takes_every_field() -> None:
    request = decode_request(bytes.fromhex(FULL_REQUEST), settings_from_wire(settings()))
    values = tuple(getattr(request, name) for name in request.__struct_fields__)
    assert values == (ID, "sheet", 1500.5, OBJECT, 3, 17, 400.25, "5c0f", "4be0", b"\x00\xff\n")


@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_is_encoded_to_the_expected_bytes(name: str) -> None:
    arguments, expected_hex = ANSWERS[name]
    assert encode_answer(STREAM, FinalAnswer(*arguments)).hex() == expected_hex  # type: ignore[arg-type]


@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_is_decoded_as_one_frame(name: str) -> None:
    frame_hex = ANSWERS[name][1]
    assert decode_frames(frame_hex) == [(17, STREAM, bytes.fromhex(frame_hex)[9:])]


@pytest.mark.parametrize("is_ready,frame_hex", [
    (True, "00000007" "21" "01020304" "00" "00"), (False, "00000007" "21" "01020304" "01" "00"),
])  # fmt: skip
def test_a_readiness_frame_is_encoded_and_decoded(is_ready: bool, frame_hex: str) -> None:
    assert encode_ready(STREAM, is_ready).hex() == frame_hex
    assert decode_frames(frame_hex) == [(33, STREAM, bytes.fromhex(frame_hex)[9:])]


def test_the_largest_frame_has_262144_bytes_after_its_length_field() -> None:
    largest = encode_frame(FrameType(17), STREAM, b"x" * 262_139)
    assert largest[:9].hex() == "00040000" "11" "01020304"
    assert [len(frame[2]) for frame in FrameDecoder().feed(largest)] == [262_139]
