"""`gladelane purge`: a feed of purges, and speaking to one."""

from __future__ import annotations

import asyncio
import datetime
import json
import logging
import signal
import ssl
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import typer
from rich.table import Table

from ..control.http import Refused, fetch
from ..control.part import ControlPart
from ..control.server import ControlServer
from ..control.tokens import BadTokens, Tokens
from ..durable.files import Folder
from ..durable.log import Damaged
from ..endpoints.address import BadAddress, Family, parse
from ..logs import set_up
from ..purges.control_part import PurgePart
from ..purges.horizon import Foreign
from ..purges.markfile import BadMark, MarkFile
from ..purges.purge_log import PurgeLog
from ..purges.scope import BadScope
from ..purges.scope import parse as parse_scope
from . import fail, out

log = logging.getLogger(__name__)

app = typer.Typer(no_args_is_help=True, help="Fleet-wide purges: a feed, and speaking to one.")

FeedAt = Annotated[str, typer.Option("--feed", envvar="GL_FEED", help="A feed's IP:PORT.")]
TokenFile = Annotated[Path, typer.Option("--tokens", envvar="GL_TOKENS", help="Lines of NAME TOKEN.")]
CaFile = Annotated[Path | None, typer.Option("--tls-ca", help="Speak TLS; whom to trust.")]


def place_of(text: str) -> tuple[str, int]:
    try:
        address = parse(text)
    except BadAddress as error:
        fail(error)
    if address.family is Family.UNIX:
        fail(f"{text!r}: expected an IP address and a port")
    return address.host, address.port


def _catalog(path: Path | None) -> dict[str, str]:
    if path is None:
        return {}
    import pyjson5

    raw = pyjson5.decode(path.read_text())
    if not isinstance(raw, dict) or not all(isinstance(v, str) for v in raw.values()):
        raise BadScope(str(path), "no catalog", "an object of names and scopes")
    for name in raw:
        parse_scope(f"tag:{name}", raw)
    return raw


def _trust(ca: Path | None) -> ssl.SSLContext | None:
    return None if ca is None else ssl.create_default_context(cafile=str(ca))


@app.command()
def serve(
    dir: Annotated[Path, typer.Option(help="Where purges are stored; one feed a folder.")],
    tokens: TokenFile,
    listen: Annotated[str, typer.Option(help="IP:PORT.")] = "127.0.0.1:4300",
    name: Annotated[str, typer.Option(help="The issuer's name; no two feeds have one.")] = "feed",
    peer: Annotated[list[str] | None, typer.Option(help="Another feed's IP:PORT.")] = None,
    catalog: Annotated[Path | None, typer.Option(help="JSON5: names of tags and their scopes.")] = None,
    first: Annotated[bool, typer.Option(help="The folder is empty because this feed is new.")] = False,
    mark: Annotated[
        Path | None, typer.Option(help="A file on another disk than --dir; shows that the folder is older.")
    ] = None,
    copies: Annotated[int, typer.Option(help="Feeds that store a purge before it is answered.")] = 1,
    audit: Annotated[
        Path | None, typer.Option(help="Take directors' reports; where they are stored, a folder of its own.")
    ] = None,
    tenure_ms: Annotated[float, typer.Option(help="For which a director may act after an answer.")] = 3000.0,
    behind_ms: Annotated[
        float, typer.Option(help="How long behind until shut out; the steps before it are parts of this.")
    ] = 8000.0,
    share: Annotated[float, typer.Option(help="Of the fleet, that may be held back at once.")] = 0.25,
    keeper: Annotated[
        Path | None, typer.Option(help="Grant leases with the other feeds; where numbers are stored.")
    ] = None,
    lease_ms: Annotated[
        float, typer.Option(help="The longest lease; a start grants none for so long.")
    ] = 3000.0,
    retention_s: Annotated[float, typer.Option(help="For which a purge stands.")] = 604_800.0,
    tls_cert: Annotated[Path | None, typer.Option(help="Serve TLS.")] = None,
    tls_key: Annotated[Path | None, typer.Option(help="Its key.")] = None,
    tls_ca: CaFile = None,
) -> None:
    """Runs a feed until SIGTERM. It says `feed ready` once purges are taken."""
    set_up()
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    host, port = place_of(listen)
    peers = [place_of(text) for text in peer or ()]
    if not (1_000.0 <= tenure_ms <= 600_000.0 and 2_000.0 <= behind_ms <= 600_000.0 and 0.0 < share <= 1.0):
        fail("--tenure-ms 1000 to 600000, --behind-ms 2000 to 600000, --share above 0 and up to 1 expected")
    if not 1 <= copies <= len(peers) + 1:
        fail(f"--copies {copies}; expected 1 to {len(peers) + 1}, this feed and its peers")

    async def run() -> None:
        known = _catalog(catalog)
        tls = None
        if tls_cert is not None:
            tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            tls.load_cert_chain(tls_cert, tls_key)
        purge_log = PurgeLog(
            name,
            Folder(dir),
            Tokens(tokens),
            lambda: known,
            retention_ms=retention_s * 1000.0,
            first=first,
            copies=copies,
            mark=MarkFile(mark) if mark is not None else None,
        )
        parts: list[ControlPart] = [PurgePart(purge_log)]
        if audit is not None:
            from ..fleet.collector import Collector
            from ..fleet.straggle import ladder_of

            collector = Collector(
                name,
                Folder(audit),
                purge_log.tokens.own,
                purge_log.clock,
                ladder_of(behind_ms, share, tenure_ms),
                tenure_ms,
            )
            for place in peers:
                collector.hand_to(*place, tls=_trust(tls_ca))
            purge_log.listeners.append(collector)
            parts.append(collector)
        if keeper is not None:
            from ..fleet.steady import steady_ms
            from ..ownership.lease_part import LeasePart

            leases = LeasePart(
                name,
                Folder(keeper),
                purge_log.tokens.own,
                steady_ms,
                lease_ms,
                peers,
                _trust(tls_ca),
                first,
                purge_log.clock(),
            )
            parts.append(leases)
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
        for place in peers:
            purge_log.follow(*place, tls=_trust(tls_ca))
        server = ControlServer(purge_log.tokens, parts)
        log_ready(purge_log, host, await server.start(host, port, tls))
        await stop.wait()
        await server.close()

    try:
        asyncio.run(run())
    except (BadTokens, BadScope, BadMark, Foreign, Damaged, OSError) as error:
        fail(error)


def log_ready(purge_log: PurgeLog, host: str, port: int) -> None:
    log.info(
        "feed ready name=%s listen=%s:%d epoch=%d recovered=%s",
        purge_log.name,
        host,
        port,
        purge_log.epoch,
        purge_log.store.recovered,
    )


def ask_feed(
    feed: str, tokens: Path, ca: Path | None, method: str, target: str, body: bytes = b"", key: str = ""
) -> Any:
    host, port = place_of(feed)
    try:
        token = Tokens(tokens).own()
        headers = {"Idempotency-Key": key} if key else {}
        answer = asyncio.run(fetch(host, port, method, target, token, body, headers, _trust(ca)))
        return json.loads(answer)
    except Refused as error:
        fail(f"{feed}: {error.status}: {error}")
    except (BadTokens, OSError, TimeoutError) as error:
        fail(f"{feed}: {type(error).__name__} {error}")


@app.command()
def send(
    scope: Annotated[str, typer.Argument(help="Such as 'tag:road-signs' or 'objects:7f3a* & group:17'.")],
    feed: FeedAt,
    tokens: TokenFile,
    key: Annotated[str, typer.Option(help="Makes a repeat harmless; give the same again.")] = "",
    tag: Annotated[list[str] | None, typer.Option(help="NAME=SCOPE, sent along.")] = None,
    tls_ca: CaFile = None,
) -> None:
    """Purges; says so once it is stored."""
    tags = {name: value for name, _, value in (text.partition("=") for text in tag or ())}
    body = json.dumps({"scope": scope, "tags": tags}).encode()
    answer = ask_feed(feed, tokens, tls_ca, "POST", "/purges", body, key)
    again = ", asked for before" if answer["again"] else ""
    out.print(f"{answer['issuer']}:{answer['epoch']}={answer['seq']} {answer['scope']}{again}")


def _rows(purges: list[list[Any]]) -> None:
    table = Table("issuer", "epoch", "seq", "moment", "scope", box=None, pad_edge=False)
    for issuer, epoch, seq, at_ms, scope, *_ in purges:
        table.add_row(issuer, str(epoch), str(seq), f"{at_ms:.0f}", scope)
    out.print(table)


@app.command("list")
def list_(feed: FeedAt, tokens: TokenFile, tls_ca: CaFile = None) -> None:
    """All purges that stand."""
    _rows(ask_feed(feed, tokens, tls_ca, "GET", "/purges"))


@app.command()
def status(feed: FeedAt, tokens: TokenFile, tls_ca: CaFile = None) -> None:
    """How a feed is: positions, gaps, followers, peers."""
    for name, value in ask_feed(feed, tokens, tls_ca, "GET", "/status").items():
        out.print(f"{name}: {value}")


@app.command()
def vouch(
    feed: FeedAt,
    tokens: TokenFile,
    all_: Annotated[bool, typer.Option("--all", help="Nothing is missing.")] = False,
    since: Annotated[
        str, typer.Option(help="Nothing from this moment on is missing; Unix ms, or 2026-12-01T09:30:00Z.")
    ] = "",
    why: Annotated[str, typer.Option(help="Recorded with it.")] = "",
    tls_ca: CaFile = None,
) -> None:
    """An operator's word that purges that seemed lost are known after all, or were sent again."""
    if all_ == bool(since):
        fail("expected --all or --since")
    try:
        moment = 0.0 if all_ else float(since) if since.isdigit() else moment_of(since)
    except ValueError:
        fail(f"--since {since!r}; expected Unix ms or a moment such as 2026-12-01T09:30:00Z")
    body = json.dumps({"since_ms": moment, "why": why}).encode()
    for lost, epoch, *_ in ask_feed(feed, tokens, tls_ca, "POST", "/vouch", body):
        out.print(f"{lost}:{epoch} is closed from {moment:.0f} on")


def moment_of(text: str) -> float:
    at = datetime.datetime.fromisoformat(text)
    if at.tzinfo is None:
        raise ValueError("without a zone")
    return at.timestamp() * 1000.0


@app.command()
def explain(
    object: Annotated[str, typer.Argument(help="16 hex digits.")],
    feed: FeedAt,
    tokens: TokenFile,
    cls: Annotated[str, typer.Option("--class", help="Of the request.")] = "",
    group: Annotated[int, typer.Option(help="Of the object.")] = -1,
    part: Annotated[int, typer.Option(help="Of the object.")] = 0,
    tls_ca: CaFile = None,
) -> None:
    """Which purges bind a request, newest first: its copies must be from after the first."""
    target = f"/explain?object={quote(object)}&class={quote(cls)}&group={group}&part={part}"
    found = ask_feed(feed, tokens, tls_ca, "GET", target)
    if not found:
        out.print("no purge binds it")
        return
    _rows(found)
