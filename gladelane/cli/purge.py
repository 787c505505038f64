"""`gladelane purge`: sends purges to a control server and shows which purges it knows."""

from __future__ import annotations

import json
from typing import Annotated, Any
from urllib.parse import quote

import typer
from rich.table import Table

from . import fail, out
from .control_server_client import CaFile, ServerAddress, TokenFile, call, parse_moment_ms
from .purge_serve import serve

app = typer.Typer(
    no_args_is_help=True, help="Fleet-wide purges: runs a control server (feed), and sends requests to one."
)
app.command()(serve)


@app.command()
def send(
    scope: Annotated[
        str, typer.Argument(help="What to purge, such as 'tag:road-signs' or 'objects:7f3a* & group:17'.")
    ],
    server: ServerAddress,
    tokens: TokenFile,
    key: Annotated[
        str, typer.Option(help="Idempotency key: a repetition with the same key purges nothing twice.")
    ] = "",
    tag: Annotated[list[str] | None, typer.Option(help="NAME=SCOPE: defines a tag for this purge.")] = None,
    tls_ca: CaFile = None,
) -> None:
    """Sends a purge, and prints its issuer, epoch, number and scope once it is stored."""
    tags = {name: value for name, _, value in (text.partition("=") for text in tag or ())}
    body = json.dumps({"scope": scope, "tags": tags}).encode()
    answer = call(server, tokens, tls_ca, "POST", "/purges", body, key)
    repeated = ", asked for before" if answer["again"] else ""
    out.print(f"{answer['issuer']}:{answer['epoch']}={answer['seq']} {answer['scope']}{repeated}")


def _print_purges(purges: list[list[Any]]) -> None:
    """Prints a table of purges, which a control server lists as issuer, epoch, number, Unix ms and scope."""
    table = Table("issuer", "epoch", "seq", "moment", "scope", box=None, pad_edge=False)
    for issuer, epoch, seq, at_ms, scope, *_ in purges:
        table.add_row(issuer, str(epoch), str(seq), f"{at_ms:.0f}", scope)
    out.print(table)


@app.command("list")
def list_(server: ServerAddress, tokens: TokenFile, tls_ca: CaFile = None) -> None:
    """Lists all purges in force."""
    _print_purges(call(server, tokens, tls_ca, "GET", "/purges"))


@app.command()
def status(server: ServerAddress, tokens: TokenFile, tls_ca: CaFile = None) -> None:
    """Shows the status of a control server: positions, gaps, followers, peers."""
    for name, value in call(server, tokens, tls_ca, "GET", "/status").items():
        out.print(f"{name}: {value}")


@app.command("vouch")
def attest(
    server: ServerAddress,
    tokens: TokenFile,
    all_: Annotated[bool, typer.Option("--all", help="No purge is missing.")] = False,
    since: Annotated[
        str, typer.Option(help="No purge from this moment on is missing; Unix ms, or 2026-12-01T09:30:00Z.")
    ] = "",
    why: Annotated[str, typer.Option(help="The reason, which is recorded.")] = "",
    tls_ca: CaFile = None,
) -> None:
    """Attests that purges which seemed lost are known after all, or were sent again."""
    if all_ == bool(since):
        fail("expected --all or --since")
    try:
        since_ms = 0.0 if all_ else float(since) if since.isdigit() else parse_moment_ms(since)
    except ValueError:
        fail(f"--since {since!r}; expected Unix ms or a moment such as 2026-12-01T09:30:00Z")
    body = json.dumps({"since_ms": since_ms, "why": why}).encode()
    for issuer, epoch, *_ in call(server, tokens, tls_ca, "POST", "/vouch", body):
        out.print(f"{issuer}:{epoch} is closed from {since_ms:.0f} on")


@app.command()
def explain(
    object: Annotated[str, typer.Argument(help="The object, 16 hex digits.")],
    server: ServerAddress,
    tokens: TokenFile,
    cls: Annotated[str, typer.Option("--class", help="Class of the request.")] = "",
    group: Annotated[int, typer.Option(help="Group of the object.")] = -1,
    part: Annotated[int, typer.Option(help="Part of the object.")] = 0,
    tls_ca: CaFile = None,
) -> None:
    """Lists the purges that apply to a request, newest first: its copies must be newer than the first."""
    target = f"/explain?object={quote(object)}&class={quote(cls)}&group={group}&part={part}"
    purges = call(server, tokens, tls_ca, "GET", target)
    if not purges:
        out.print("no purge binds it")
        return
    _print_purges(purges)
