"""`gladelane addresses`: which addresses a server gets, by which rule, in which order and why."""

from __future__ import annotations

import fnmatch
from pathlib import Path
from typing import Annotated

import typer
from rich.table import Table

from ..endpoints.book import Book, Change
from ..endpoints.order import arrange, precedence, scope
from ..endpoints.plan import Options
from ..endpoints.rules import Listing, Rules, preference
from ..interface import State
from ..net.config import BadConfig, Config
from ..net.director import STATES
from . import fail, out

app = typer.Typer(no_args_is_help=True, help="Servers with several addresses.")


@app.callback()
def group() -> None:
    """Servers with several addresses."""


def listings_of(config: Config) -> list[Listing]:
    """The list that the platform's file knows, after all its notices."""
    listed: dict[str, Listing] = {}
    for notice in config.known.notices:
        if notice.pool is None:
            continue
        if notice.pool.reset:
            listed.clear()
        for told in notice.pool.instances:
            state = STATES.get(told.lifecycle, State.GONE)
            if state is State.GONE:
                listed.pop(told.instance_id, None)
                continue
            listed[told.instance_id] = Listing(
                told.instance_id,
                told.host_port,
                told.zone,
                told.machine_type,
                told.cell,
                state is State.READY,
                told.started_at_ms,
                tuple(told.addresses),
            )
    return list(listed.values())


def book_of(config: Config, rules: Rules) -> tuple[Book, Change]:
    book = Book(rules)
    return book, book.tell(listings_of(config), complete=True)


@app.command()
def explain(
    file: Annotated[Path, typer.Argument(help="An operator's JSON5 file.")],
    servers: Annotated[list[str], typer.Argument(help="Ids or globs; without --config, ID=HOST:PORT.")],
    config: Annotated[Path | None, typer.Option(help="The platform's file, whose list is used.")] = None,
    zone: Annotated[str, typer.Option(help="Of the servers given as ID=HOST:PORT.")] = "",
    kind: Annotated[str, typer.Option(help="Likewise.")] = "",
    cell: Annotated[int, typer.Option(help="Likewise.")] = 0,
) -> None:
    """The way to each server's addresses, rule by rule, and the order in which they are dialled."""
    from ..files import load, load_operator

    try:
        operator = load_operator(str(file))
        assert operator is not None
        known = listings_of(load(str(config))) if config else []
    except (BadConfig, OSError) as error:
        fail(error)
    for text in servers:
        if "=" in text:
            id_, _, host_port = text.partition("=")
            known.append(Listing(id_, host_port, zone, kind, cell))
    book = Book(operator.rules)
    book.tell(known, complete=True)
    for text in servers:
        glob = text.partition("=")[0]
        found = [listing for listing in known if fnmatch.fnmatchcase(listing.server, glob)]
        if not found:
            fail(f"{text}: no such server; expected an id or glob of the list, or ID=HOST:PORT")
        for listing in found:
            _show(listing, book, operator.options)


def _show(listing: Listing, book: Book, options: Options) -> None:
    out.print(f"{listing.server} zone={listing.zone} kind={listing.kind} at {listing.host_port}")
    for step in book.rules.explain(listing):
        out.print(f"  {step.rule}: {' '.join(a.text for a in step.addresses) or 'none'}")
        for line in step.bad:
            out.print(f"    passed over: {line}")
    for claim in book.rules.claims(listing).claims:
        owner = book.owner(claim.address)
        if owner != listing.server:
            out.print(f"  {claim.address.text} belongs to {owner}, which also claims it")
    table = Table("dialled", "address", "prefer", "precedence", "scope", box=None, pad_edge=False)
    prefer = book.prefer(listing.server) or options.prefer
    order = arrange(book.addresses(listing.server), prefer, first_family_count=options.first_family_count)
    for place, address in enumerate(order, 1):
        at = preference(address, prefer)
        preferred = str(at + 1) if at < len(prefer) else "-"
        table.add_row(str(place), address.text, preferred, str(precedence(address)), str(scope(address)))
    out.print(table)
