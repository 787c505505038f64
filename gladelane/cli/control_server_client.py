"""Requests to a control server, and the options of all commands that send one.

An error ends the command with one line on standard error.
"""

from __future__ import annotations

import asyncio
import datetime
import json
import ssl
from pathlib import Path
from typing import Annotated, Any

import typer

from ..control_plane.errors import error_label
from ..control_plane.http import HttpStatusError, fetch
from ..control_plane.tokens import TokenFileError, Tokens
from ..endpoints.address import Family, InvalidAddressError, parse
from . import fail

ServerAddress = Annotated[
    str, typer.Option("--feed", envvar="GL_FEED", help="IP:PORT of a control server (feed).")
]
TokenFile = Annotated[
    Path, typer.Option("--tokens", envvar="GL_TOKENS", help="A file with a line NAME TOKEN for each token.")
]
CaFile = Annotated[
    Path | None, typer.Option("--tls-ca", help="Use TLS, and trust certificates of this authority (PEM).")
]


def socket_address(text: str) -> tuple[str, int]:
    """Splits `IP:PORT` into host and port. Ends the command for any other text."""
    try:
        address = parse(text)
    except InvalidAddressError as error:
        fail(error)
    if address.family is Family.UNIX:
        fail(f"{text!r}: expected an IP address and a port")
    return address.host, address.port


def parse_moment_ms(text: str) -> float:
    """Converts an ISO date with a time zone to Unix ms. Raises ValueError."""
    moment = datetime.datetime.fromisoformat(text)
    if moment.tzinfo is None:
        raise ValueError("without a zone")
    return moment.timestamp() * 1000.0


def call(
    server: str, tokens: Path, ca: Path | None, method: str, target: str, body: bytes = b"", key: str = ""
) -> Any:
    """Sends a request to the control server at `server` (IP:PORT) and returns its decoded JSON answer. Ends
    the command on an error.

    The first token of the file `tokens` is sent along, over TLS if `ca` is given; `key` is the idempotency
    key.
    """
    host, port = socket_address(server)
    try:
        token = Tokens(tokens).first_token()
        headers = {"Idempotency-Key": key} if key else {}
        context = None if ca is None else ssl.create_default_context(cafile=str(ca))
        answer = asyncio.run(fetch(host, port, method, target, token, body, headers, context))
        return json.loads(answer)
    except HttpStatusError as error:
        fail(f"{server}: {error.status}: {error}")
    except (TokenFileError, OSError, TimeoutError) as error:
        fail(f"{server}: {error_label(error)} {error}")
