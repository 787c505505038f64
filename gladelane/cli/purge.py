"""`gladelane purge`: the commands that send purges to a control server and ask what it knows."""

from __future__ import annotations

import json
from typing import Annotated, Any
from urllib.parse import quote

import typer
from rich.table import Table

from . import fail, out
from .control_server_client import CaFile, ServerAddress, TokenFile, call, parse_moment_ms
from .purge_serve import serve

app = typer.Typer(no_args_is_help=True, help="Fleet-wide purges: a feed, and speaking to one.")
app.command()(serve)


@app.command()
def send(
    scope: Annotated[str, typer.Argument(help="Such as 'tag:road-signs' or 'objects:7f3a* & group:17'.")],
    server: ServerAddress,
    tokens: TokenFile,
    key: Annotated[str, typer.Option(help="Makes a repeat harmless; give the same again.")] = "",
    tag: Annotated[list[str] | None, typer.Option(help="NAME=SCOPE, sent along.")] = None,
    tls_ca: CaFile = None,
) -> None:
    """Purges; says so once it is stored."""
    tags = {name: value for name, _, value in (text.partition("=") for text in tag or ())}
    body = json.dumps({"scope": scope, "tags": tags}).encode()
    answer = call(server, tokens, tls_ca, "POST", "/purges", body, key)
    repeated = ", asked for before" if answer["again"] else ""
    out.print(f"{answer['issuer']}:{answer['epoch']}={answer['seq']} {answer['scope']}{repeated}")


def _print_purges(purges: list[list[Any]]) -> None:
    """`purges` as the control server lists them: issuer, epoch, number, Unix ms, scope."""
    table = Table("issuer", "epoch", "seq", "moment", "scope", box=None, pad_edge=False)
    for issuer, epoch, seq, at_ms, scope, *_ in purges:
        table.add_row(issuer, str(epoch), str(seq), f"{at_ms:.0f}", scope)
    out.print(table)


@app.command("list")
def list_(server: ServerAddress, tokens: TokenFile, tls_ca: CaFile = None) -> None:
    """All purges that stand."""
    _print_purges(call(server, tokens, tls_ca, "GET", "/purges"))


@app.command()
def status(server: ServerAddress, tokens: TokenFile, tls_ca: CaFile = None) -> None:
    """How a feed is: positions, gaps, followers, peers."""
    for name, value in call(server, tokens, tls_ca, "GET", "/status").items():
        out.print(f"{name}: {value}")


@app.command("vouch")
def attest(
    server: ServerAddress,
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
        moment = 0.0 if all_ else float(since) if since.isdigit() else parse_moment_ms(since)
    except ValueError:
        fail(f"--since {since!r}; expected Unix ms or a moment such as 2026-12-01T09:30:00Z")
    body = json.dumps({"since_ms": moment, "why": why}).encode()
    for lost, epoch, *_ in call(server, tokens, tls_ca, "POST", "/vouch", body):
        out.print(f"{lost}:{epoch} is closed from {moment:.0f} on")


@app.command()
def explain(
    object: Annotated[str, typer.Argument(help="16 hex digits.")],
    server: ServerAddress,
    tokens: TokenFile,
    cls: Annotated[str, typer.Option("--class", help="Of the request.")] = "",
    group: Annotated[int, typer.Option(help="Of the object.")] = -1,
    part: Annotated[int, typer.Option(help="Of the object.")] = 0,
    tls_ca: CaFile = None,
) -> None:
    """Which purges bind a request, newest first: its copies must be from after the first."""
    target = f"/explain?object={quote(object)}&class={quote(cls)}&group={group}&part={part}"
    found = call(server, tokens, tls_ca, "GET", target)
    if not found:
        out.print("no purge binds it")
        return
    _print_purges(found)
