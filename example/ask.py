"""Sends one request to the director of example/config.json and prints the answer.

Usage: python example/ask.py [CLASS] [OBJECT] [PART]
"""

from __future__ import annotations

import asyncio
import secrets
import sys

from gladelane.net.client_protocol import FrameDecoder, FrameType, decode_fields, encode_fields, encode_frame

STATUS_NAMES = {0: "served", 1: "refused", 2: "failed"}


async def main(cls: str = "question-item", object_id: str = "7f3a9c21e0b4d655", part: str = "0") -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", 4100)
    fields = {"c": cls, "i": secrets.token_hex(8), "d": "1500", "o": object_id, "chunk": part, "tag": "17"}
    fields["m"] = "40"
    if cls == "answer-submit":
        fields["k"] = secrets.token_hex(16)
    writer.write(encode_frame(FrameType.REQUEST, 1, encode_fields(fields)))
    decoder = FrameDecoder()
    while data := await reader.read(65_536):
        for frame in decoder.feed(data):
            answer_fields, body = decode_fields(frame.payload[1:])
            print(STATUS_NAMES[frame.payload[0]], answer_fields, body.decode())
            writer.close()
            return


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
