"""Golden bytes of a hot restart: the messages between the old and the new process, and the handover file."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import threading
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import pytest
from channel_handler import RecordingHandler
from harness import wait_until

from gladelane.admin.requests import AdminAction
from gladelane.discovery.events import Instance, ListChange, PurgeEvent, WatchEvent
from gladelane.hot_restart.channel import Channel
from gladelane.hot_restart.decoding import MismatchError
from gladelane.hot_restart.handover import Handover, StoredSettings, decode, encode
from gladelane.hot_restart.handover_file import FILE_NAME
from gladelane.hot_restart.learned_state import LearnedState, ObjectLearnedState, StoreLearnedState
from gladelane.hot_restart.messages import (
    FILES_READ,
    MAY_HAVE_RUN,
    NEVER_RAN,
    SETTINGS_BIND,
    Message,
    hello_message,
    read_message,
)
from gladelane.hot_restart.rendezvous_socket import SOCKET_NAME
from gladelane.structures.crc32c import crc32c

NAME = "n0 127.0.0.1:4100"
#: a message, and the line that it is encoded to
MESSAGES: dict[str, tuple[Message, bytes]] = {
    "hello": (
        hello_message("hello", NAME),
        b'{"kind":"hello","name":"n0 127.0.0.1:4100","keys":true,"reads_settings_updates":true}\n',
    ),
    "hello_without_settings": (
        Message("hello", 1, NAME, "", "", True),
        b'{"kind":"hello","name":"n0 127.0.0.1:4100","keys":true}\n',
    ),
    "hello_of_an_older_version": (
        Message("hello", 1, NAME),
        b'{"kind":"hello","name":"n0 127.0.0.1:4100"}\n',
    ),
    "here": (
        hello_message("here", NAME),
        b'{"kind":"here","name":"n0 127.0.0.1:4100","keys":true,"reads_settings_updates":true}\n',
    ),
    "here_without_settings": (
        Message("here", 1, NAME, "", "", True),
        b'{"kind":"here","name":"n0 127.0.0.1:4100","keys":true}\n',
    ),
    "settings_bind": (
        Message("order", operation=SETTINGS_BIND, at_ms=5.0, boot_id="a-boot", settings='{"joins":true}'),
        b'{"kind":"order","word":"settings_bind","at_ms":5.0,"boot_id":"a-boot",'
        b'"settings":"{\\"joins\\":true}"}\n',
    ),
    "files_read": (
        Message("order", operation=FILES_READ),
        b'{"kind":"order","word":"files_read"}\n',
    ),
    "order_maint": (
        Message("order", 1, "", "maint", "cache-1"),
        b'{"kind":"order","word":"maint","store":"cache-1"}\n',
    ),
    "order_ready": (
        Message("order", 1, "", "ready", "cache-1"),
        b'{"kind":"order","word":"ready","store":"cache-1"}\n',
    ),
    "order_fail": (Message("order", 1, "", "fail"), b'{"kind":"order","word":"fail"}\n'),
    "order_ok": (Message("order", 1, "", "ok"), b'{"kind":"order","word":"ok"}\n'),
    "may_have_run": (
        Message(
            "order",
            1,
            "",
            MAY_HAVE_RUN,
            "cache-1",
            False,
            "5c0f",
            1764667245123.5,
            "a-boot",
            1764660000000.25,
        ),
        b'{"kind":"order","word":"may_have_run","store":"cache-1","key":"5c0f","at_ms":1764667245123.5,'
        b'"boot_id":"a-boot","zero_ms":1764660000000.25}\n',
    ),
    "never_ran": (
        Message(
            "order", 1, "", NEVER_RAN, "cache-1", False, "5c0f", 1764667245123.5, "a-boot", 1764660000000.25
        ),
        b'{"kind":"order","word":"never_ran","store":"cache-1","key":"5c0f","at_ms":1764667245123.5,'
        b'"boot_id":"a-boot","zero_ms":1764660000000.25}\n',
    ),
}
ORDERS = [name for name, (_, line) in MESSAGES.items() if b'"order"' in line]
INSTANCE = Instance("cache-1", "127.0.0.1:5001", "edge", "box", "in_service", 3, 2.5, 5.5, ["[::1]:5001"])
LEARNED_STATE = LearnedState(
    1.5,
    0.25,
    1e6,
    (2.5, 3.5),
    {"film": 0.75},
    [StoreLearnedState("cache-1", 5.0, 0.5, 0.25, 0.125, 6.0, 7.0, 500.0, 8.0, 2.0, True, (1.5, 9.0, 0.0))],
    [ObjectLearnedState(2**64 - 1, 3.0, 0.5, 2, 4, False, 1.25)],
)
#: a handover of the version that stored no settings, and its file in hex: magic, version, length, checksum,
#: payload
HANDOVERS_WITHOUT_SETTINGS: dict[str, tuple[Handover, str]] = {
    "full": (
        Handover(
            NAME,
            1764667245123.5,
            {"cache-1": 5.0},
            {"cache-2": 6.0},
            7.0,
            41,
            [
                WatchEvent(40, None, PurgeEvent(8.0, "7f3a9c21e0b4d655")),
                WatchEvent(41, ListChange([INSTANCE], True)),
            ],
            {"5c0f": [(9.0, "cache-1")]},
            LEARNED_STATE,
            "a-boot",
            1764660000000.25,
        ),
        "676c68616e646f76"
        "0001"
        "00000256"
        "ffe337a6"
        "9bb16e30203132372e302e302e313a34313030cb4279ade5d424380081a763616368652d31cb40140000000000"
        "0081a763616368652d32cb4018000000000000cb401c000000000000299283a372657628a4706f6f6cc0a5666c"
        "75736883a26d73cb4020000000000000a56173736574b037663361396332316530623464363535aa636f6c6c65"
        "6374696f6ec083a372657629a4706f6f6c82a9696e7374616e6365739189aa696e7374616e63654964a7636163"
        "68652d31a8686f7374506f7274ae3132372e302e302e313a35303031a47a6f6e65a465646765ab6d616368696e"
        "6554797065a3626f78a96c6966656379636c65aa696e5f73657276696365a463656c6c03a6776569676874cb40"
        "04000000000000ab7374617274656441744d73cb4016000000000000a961646472657373657391aa5b3a3a315d"
        "3a35303031a57265736574c3a5666c757368c081a4356330669192cb4022000000000000a763616368652d3197"
        "cb3ff8000000000000cb3fd0000000000000cb412e84800000000092cb4004000000000000cb400c0000000000"
        "0081a466696c6dcb3fe8000000000000919ca763616368652d31cb4014000000000000cb3fe0000000000000cb"
        "3fd0000000000000cb3fc0000000000000cb4018000000000000cb401c000000000000cb407f400000000000cb"
        "4020000000000000cb4000000000000000c393cb3ff8000000000000cb4022000000000000cb00000000000000"
        "009197cfffffffffffffffffcb4008000000000000cb3fe00000000000000204c2cb3ff4000000000000a6612d"
        "626f6f74cb4279addeeb500400",
    ),
    "default": (
        Handover(NAME, 5.0),
        "676c68616e646f76"
        "0001"
        "00000035"
        "86e857e7"
        "9bb16e30203132372e302e302e313a34313030cb40140000000000008080cb0000000000000000009080c0a0cb"
        "0000000000000000",
    ),
}


def with_settings() -> dict[str, tuple[Handover, str]]:
    """The same handovers as this version stores them: behind the earlier fields, with all settings that bind."""
    full, default = HANDOVERS_WITHOUT_SETTINGS["full"], HANDOVERS_WITHOUT_SETTINGS["default"]
    settings = [StoredSettings(b'{"joins":true}', 1.5)]
    full_payload = "9c" + full[1][38:] + "9192c40e7b226a6f696e73223a747275657dcb3ff8000000000000"
    default_payload = "9c" + default[1][38:] + "90"
    return {
        "full": (
            msgspec.structs.replace(full[0], binding_settings=settings),
            in_file("00000271", full_payload),
        ),
        "default": (default[0], in_file("00000036", default_payload)),
    }


def in_file(length: str, payload: str) -> str:
    return "676c68616e646f76" + "0001" + length + f"{crc32c(bytes.fromhex(payload)):08x}" + payload


HANDOVERS = with_settings()


def receive_line(sock: socket.socket) -> tuple[bytes, list[int]]:
    """Receives a line from the other process, and the file descriptors sent with it."""
    data, fds, _, _ = socket.recv_fds(sock, 4096, 1)
    while not data.endswith(b"\n"):
        data += sock.recv(4096)
    return data, fds


@asynccontextmanager
async def run_old_process(folder: Path) -> AsyncIterator[tuple[Channel, list[Message], socket.socket]]:
    """Yields the channel of an old process, the messages it receives, and the socket of a new process."""
    received_messages: list[Message] = []
    listening_socket = socket.socket()
    listening_socket.bind(("127.0.0.1", 0))
    channel = Channel(str(folder), NAME, RecordingHandler(received_messages, listening_socket))
    channel.listen()
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.settimeout(5.0)
    try:
        sock.connect(str(folder / "gladelane.sock"))
        yield channel, received_messages, sock
    finally:
        channel.close()
        sock.close()
        listening_socket.close()


@pytest.mark.parametrize("name", MESSAGES)
def test_a_line_is_decoded_to_its_message(name: str) -> None:
    message, line = MESSAGES[name]
    assert read_message(line[:-1], NAME) == message


def test_a_line_of_another_version_is_rejected() -> None:
    with pytest.raises(MismatchError, match="version 2; expected 1"):
        read_message(b'{"kind":"hello","version":2,"name":"n0 127.0.0.1:4100"}', NAME)


def test_the_keywords_of_orders() -> None:
    keywords = sorted({*(action.value for action in AdminAction), MAY_HAVE_RUN, NEVER_RAN})
    assert keywords == ["fail", "healthcheck", "maint", "may_have_run", "never_ran", "ok", "ready", "stats"]


def test_the_names_of_the_socket_and_the_handover_file() -> None:
    assert (SOCKET_NAME, FILE_NAME) == ("gladelane.sock", "gladelane.handover")


def test_a_new_process_sends_hello_and_receives_the_listening_socket(tmp_path: Path) -> None:
    received_lines: list[bytes] = []

    async def run(listening_socket: socket.socket) -> str:
        channel = Channel(str(tmp_path), NAME, RecordingHandler())
        received_socket = channel.connect()
        channel.close()
        assert received_socket is not None
        with received_socket:
            return str(received_socket.getsockname())

    with (
        socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as unix_listener,
        socket.socket() as listening_socket,
    ):
        unix_listener.bind(str(tmp_path / "gladelane.sock"))
        unix_listener.listen(1)
        listening_socket.bind(("127.0.0.1", 0))

        def reply_to_hello() -> None:
            sock, _ = unix_listener.accept()
            with sock:
                received_lines.append(sock.recv(4096))
                socket.send_fds(sock, [MESSAGES["here"][1]], [listening_socket.fileno()])

        old_process_thread = threading.Thread(target=reply_to_hello)
        old_process_thread.start()
        received_address = asyncio.run(run(listening_socket))
        old_process_thread.join()
        assert received_address == str(listening_socket.getsockname())
    assert received_lines == [MESSAGES["hello"][1]]


def test_an_old_process_replies_here_with_the_listening_socket(tmp_path: Path) -> None:
    async def run() -> tuple[bytes, list[int]]:
        async with run_old_process(tmp_path) as (_, _, sock):
            sock.sendall(MESSAGES["hello"][1])
            return await asyncio.to_thread(receive_line, sock)

    line, fds = asyncio.run(run())
    assert line == MESSAGES["here"][1]
    assert len(fds) == 1
    os.close(fds[0])


@pytest.mark.parametrize("name", ORDERS)
def test_an_order_is_received_and_broadcast_in_the_expected_bytes(name: str, tmp_path: Path) -> None:
    message, line = MESSAGES[name]

    async def run() -> bytes:
        async with run_old_process(tmp_path) as (channel, received_messages, sock):
            sock.sendall(MESSAGES["hello"][1])
            for fd in (await asyncio.to_thread(receive_line, sock))[1]:
                os.close(fd)
            sock.sendall(line)
            await wait_until(lambda: received_messages)
            assert received_messages == [message]
            channel.broadcast(message)
            return (await asyncio.to_thread(receive_line, sock))[0]

    assert asyncio.run(run()) == line


def test_messages_about_keys_are_not_sent_to_a_process_that_does_not_support_them(tmp_path: Path) -> None:
    async def run() -> bytes:
        async with run_old_process(tmp_path) as (channel, _, sock):
            sock.sendall(MESSAGES["hello_of_an_older_version"][1])
            for fd in (await asyncio.to_thread(receive_line, sock))[1]:
                os.close(fd)
            channel.broadcast(MESSAGES["may_have_run"][0])
            channel.broadcast(MESSAGES["order_ok"][0])
            return (await asyncio.to_thread(receive_line, sock))[0]

    assert asyncio.run(run()) == MESSAGES["order_ok"][1]


@pytest.mark.parametrize("name", HANDOVERS)
def test_a_handover_is_encoded_to_the_expected_bytes(name: str) -> None:
    document, text = HANDOVERS[name]
    assert encode(document).hex() == text


@pytest.mark.parametrize("name", HANDOVERS)
def test_a_handover_is_decoded_to_the_same_document(name: str) -> None:
    document, text = HANDOVERS[name]
    assert decode(bytes.fromhex(text), NAME) == document


@pytest.mark.parametrize("name", HANDOVERS_WITHOUT_SETTINGS)
def test_a_handover_of_the_version_before_is_decoded(name: str) -> None:
    document, text = HANDOVERS_WITHOUT_SETTINGS[name]
    assert decode(bytes.fromhex(text), NAME) == document


def test_the_header_of_a_handover_has_18_bytes() -> None:
    data = bytes.fromhex(HANDOVERS["default"][1])
    magic, version, length, _ = struct.unpack_from(">8sHII", data)
    assert (magic, version, length) == (b"glhandov", 1, len(data) - 18)
