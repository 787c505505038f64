"""Golden bytes of discovery: the request for the endpoint list, its events in the stream and in GW_CONFIG."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

import pytest
from harness import async_test, config

from gladelane.discovery.client import DiscoveryClient
from gladelane.discovery.events import watch_event_decoder
from gladelane.net.config import read_config
from gladelane.sse import EventStream

INSTANCE = (
    '{"instanceId":"cache-1","hostPort":"127.0.0.1:5001","zone":"edge","machineType":"box",'
    '"lifecycle":"in_service","cell":3,"weight":2.5,"startedAtMs":1764667245123.5,"addresses":["[::1]:5001"]}'
)
MINIMAL_INSTANCE = (
    '{"instanceId":"cache-2","hostPort":"127.0.0.1:5002","zone":"hub","machineType":"mid","lifecycle":"gone"}'
)
FULL_VALUES = (
    "cache-1",
    "127.0.0.1:5001",
    "edge",
    "box",
    "in_service",
    3,
    2.5,
    1764667245123.5,
    ["[::1]:5001"],
)
MINIMAL_VALUES = ("cache-2", "127.0.0.1:5002", "hub", "mid", "gone", -1, 1.0, 0.0, [])
#: JSON of an event, and its decoded values in the order in which the struct declares its fields
EVENTS: dict[str, tuple[str, Any]] = {
    "nothing": ('{"rev":7}', (7, None, None)),
    "whole_list": (
        f'{{"rev":8,"pool":{{"generation":4,"reset":true,"instances":[{INSTANCE},{MINIMAL_INSTANCE}]}}}}',
        (8, ([FULL_VALUES, MINIMAL_VALUES], True), None),
    ),
    "change": (
        f'{{"rev":9,"pool":{{"instances":[{MINIMAL_INSTANCE}]}}}}',
        (9, ([MINIMAL_VALUES], False), None),
    ),
    "flush_of_an_object": (
        '{"rev":10,"flush":{"ms":1764667245123.5,"asset":"7f3a9c21e0b4d655"}}',
        (10, None, (1764667245123.5, "7f3a9c21e0b4d655", None)),
    ),
    "flush_of_a_collection": (
        '{"rev":11,"flush":{"ms":1764667245123,"collection":17}}',
        (11, None, (1764667245123.0, None, 17)),
    ),
    "empty_parts": ('{"rev":12,"pool":null,"flush":null}', (12, None, None)),
}
REQUEST = b"GET /board/poll HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nAccept: text/event-stream\r\nLast-Event-ID: 41\r\n\r\n"
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    b': beat\n\ndata: {"rev":42}\n\nid: 43\r\ndata: {"rev":\r\ndata: 43}\r\n\r\n'
)


def to_tuples(value: Any) -> Any:
    """Converts structs, also those inside lists, to tuples of their field values."""
    if isinstance(value, list):
        return [to_tuples(item) for item in value]
    names = getattr(value, "__struct_fields__", None)
    return value if names is None else tuple(to_tuples(getattr(value, name)) for name in names)


@pytest.mark.parametrize("name", EVENTS)
def test_an_event_is_decoded_to_the_expected_values(name: str) -> None:
    text, values = EVENTS[name]
    assert to_tuples(watch_event_decoder.decode(text)) == values


@pytest.mark.parametrize("name", EVENTS)
def test_an_event_in_the_known_list_of_the_configuration_is_decoded(name: str) -> None:
    text, values = EVENTS[name]
    platform_config = json.loads(config({}))
    platform_config["known"] = {"rev": 12, "notices": [json.loads(text)]}
    assert to_tuples(read_config(json.dumps(platform_config).encode()).known) == (12, [values])


@pytest.mark.parametrize("key,missing_path", [
    ("rev", "known.notices[0].rev"), ("instances", "known.notices[0].pool.instances"),
    ("instanceId", "known.notices[0].pool.instances[0].instanceId"),
    ("hostPort", "known.notices[0].pool.instances[0].hostPort"),
    ("zone", "known.notices[0].pool.instances[0].zone"),
    ("machineType", "known.notices[0].pool.instances[0].machineType"),
    ("lifecycle", "known.notices[0].pool.instances[0].lifecycle"),
])  # fmt: skip
def test_a_missing_required_key_in_the_known_list_is_reported_by_its_path(
    key: str, missing_path: str
) -> None:
    notice = json.loads(EVENTS["whole_list"][0])
    for json_object in (notice, notice["pool"], notice["pool"]["instances"][0]):
        json_object.pop(key, None)
    platform_config = json.loads(config({}))
    platform_config["known"] = {"rev": 8, "notices": [notice]}
    with pytest.raises(Exception, match="is missing") as caught:
        read_config(json.dumps(platform_config).encode())
    assert str(caught.value).split(" ")[0] == missing_path


def test_the_stream_is_parsed_as_server_sent_events() -> None:
    body = RESPONSE.partition(b"\r\n\r\n")[2]
    assert list(EventStream().feed(body)) == ['{"rev":42}', '{"rev":\n43}']


@async_test
async def test_the_client_requests_the_stream_and_delivers_its_events() -> None:
    requests: list[bytes] = []
    events: list[Any] = []
    both_received = asyncio.Event()

    async def serve_stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(RESPONSE)
        await writer.drain()
        writer.close()

    def record_event(event: Any) -> None:
        events.append(to_tuples(event))
        if len(events) == 2:
            both_received.set()

    server = await asyncio.start_server(serve_stream, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client_task = asyncio.create_task(
        DiscoveryClient("127.0.0.1", port, lambda: 41, record_event, random.Random(1)).run()
    )
    async with asyncio.timeout(5.0):
        await both_received.wait()
    client_task.cancel()
    server.close()
    assert requests[0] == REQUEST % port
    assert events[:2] == [(42, None, None), (43, None, None)]
