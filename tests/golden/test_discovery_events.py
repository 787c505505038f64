"""Golden bytes of discovery: the request for the list, its events, and the same events in GW_CONFIG's `known`."""

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
BARE_INSTANCE = (
    '{"instanceId":"cache-2","hostPort":"127.0.0.1:5002","zone":"hub","machineType":"mid","lifecycle":"gone"}'
)
FULL = ("cache-1", "127.0.0.1:5001", "edge", "box", "in_service", 3, 2.5, 1764667245123.5, ["[::1]:5001"])
BARE = ("cache-2", "127.0.0.1:5002", "hub", "mid", "gone", 0, 1.0, 0.0, [])
#: the text of an event, and its values in the order of the declaration
EVENTS: dict[str, tuple[str, Any]] = {
    "nothing": ('{"rev":7}', (7, None, None)),
    "whole_list": (
        f'{{"rev":8,"pool":{{"generation":4,"reset":true,"instances":[{INSTANCE},{BARE_INSTANCE}]}}}}',
        (8, ([FULL, BARE], True), None),
    ),
    "change": (f'{{"rev":9,"pool":{{"instances":[{BARE_INSTANCE}]}}}}', (9, ([BARE], False), None)),
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


def plain(value: Any) -> Any:
    """A decoded value as tuples, without the names of its fields."""
    if isinstance(value, list):
        return [plain(one) for one in value]
    names = getattr(value, "__struct_fields__", None)
    return value if names is None else tuple(plain(getattr(value, name)) for name in names)


@pytest.mark.parametrize("name", EVENTS)
def test_an_event_is_read_so(name: str) -> None:
    text, values = EVENTS[name]
    assert plain(watch_event_decoder.decode(text)) == values


@pytest.mark.parametrize("name", EVENTS)
def test_an_event_is_read_so_in_known(name: str) -> None:
    text, values = EVENTS[name]
    platform = json.loads(config({}))
    platform["known"] = {"rev": 12, "notices": [json.loads(text)]}
    assert plain(read_config(json.dumps(platform).encode()).known) == (12, [values])


@pytest.mark.parametrize("path,missing", [
    ("rev", "known.notices[0].rev"), ("instances", "known.notices[0].pool.instances"),
    ("instanceId", "known.notices[0].pool.instances[0].instanceId"),
    ("hostPort", "known.notices[0].pool.instances[0].hostPort"),
    ("zone", "known.notices[0].pool.instances[0].zone"),
    ("machineType", "known.notices[0].pool.instances[0].machineType"),
    ("lifecycle", "known.notices[0].pool.instances[0].lifecycle"),
])  # fmt: skip
def test_a_key_that_known_may_not_lack_is_named_by_its_path(path: str, missing: str) -> None:
    notice = json.loads(EVENTS["whole_list"][0])
    for part in (notice, notice["pool"], notice["pool"]["instances"][0]):
        part.pop(path, None)
    platform = json.loads(config({}))
    platform["known"] = {"rev": 8, "notices": [notice]}
    with pytest.raises(Exception, match="is missing") as caught:
        read_config(json.dumps(platform).encode())
    assert str(caught.value).split(" ")[0] == missing


def test_the_stream_is_server_sent_events() -> None:
    body = RESPONSE.partition(b"\r\n\r\n")[2]
    assert list(EventStream().feed(body)) == ['{"rev":42}', '{"rev":\n43}']


@async_test
async def test_the_request_for_the_stream_and_what_is_heard_of_it() -> None:
    asked: list[bytes] = []
    heard: list[Any] = []
    done = asyncio.Event()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(RESPONSE)
        await writer.drain()
        writer.close()

    def tell(event: Any) -> None:
        heard.append(plain(event))
        if len(heard) == 2:
            done.set()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    following = asyncio.create_task(
        DiscoveryClient("127.0.0.1", port, lambda: 41, tell, random.Random(1)).run()
    )
    async with asyncio.timeout(5.0):
        await done.wait()
    following.cancel()
    server.close()
    assert asked[0] == REQUEST % port
    assert heard[:2] == [(42, None, None), (43, None, None)]
