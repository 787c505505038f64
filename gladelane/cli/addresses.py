"""`gladelane addresses`: shows which rule gives a server which addresses, and their dialling order."""

from __future__ import annotations

import fnmatch
from pathlib import Path
from typing import Annotated

import typer
from rich.table import Table

from ..endpoints.address_selection import precedence, scope, sort_addresses
from ..endpoints.plan import Options
from ..endpoints.registry import AddressRegistry, Change
from ..endpoints.rules import Listing, Rules, preference
from ..net.config import Config, ConfigError
from ..net.endpoint_list import STATES
from ..routing.events import State
from . import fail, out

app = typer.Typer(no_args_is_help=True, help="Shows the addresses of servers that have several.")


@app.callback()
def command_group() -> None:
    """Shows the addresses of servers that have several."""


def listings_in(config: Config) -> list[Listing]:
    """The endpoint list that results from all events in the platform's file."""
    listed: dict[str, Listing] = {}
    for event in config.known.notices:
        if event.pool is None:
            continue
        if event.pool.reset:
            listed.clear()
        for instance in event.pool.instances:
            state = STATES.get(instance.lifecycle, State.GONE)
            if state is State.GONE:
                listed.pop(instance.instance_id, None)
                continue
            listed[instance.instance_id] = Listing(
                instance.instance_id,
                instance.host_port,
                instance.zone,
                instance.machine_type,
                instance.cell,
                state is State.READY,
                float(instance.started_at_ms),
                tuple(instance.addresses),
            )
    return list(listed.values())


def build_registry(config: Config, rules: Rules) -> tuple[AddressRegistry, Change]:
    """Returns a registry with the servers in the platform's file, and the change that adding them made."""
    registry = AddressRegistry(rules)
    return registry, registry.update(listings_in(config), complete=True)


@app.command()
def explain(
    file: Annotated[Path, typer.Argument(help="An operator's JSON5 file.")],
    servers: Annotated[
        list[str], typer.Argument(help="Ids or globs of servers; without --config, ID=HOST:PORT.")
    ],
    config: Annotated[
        Path | None, typer.Option(help="The platform's file, whose endpoint list is used.")
    ] = None,
    zone: Annotated[str, typer.Option(help="Zone of the servers given as ID=HOST:PORT.")] = "",
    kind: Annotated[str, typer.Option(help="Kind of the servers given as ID=HOST:PORT.")] = "",
    cell: Annotated[int, typer.Option(help="Cell of the servers given as ID=HOST:PORT.")] = 0,
) -> None:
    """Shows how each server gets its addresses, rule by rule, and the order in which they are dialled."""
    from ..files import load_config, load_operator

    try:
        operator = load_operator(str(file))
        assert operator is not None
        listings = listings_in(load_config(str(config))) if config else []
    except (ConfigError, OSError) as error:
        fail(error)
    for text in servers:
        if "=" in text:
            server_id, _, host_port = text.partition("=")
            listings.append(Listing(server_id, host_port, zone, kind, cell))
    registry = AddressRegistry(operator.rules)
    registry.update(listings, complete=True)
    for text in servers:
        pattern = text.partition("=")[0]
        matches = [listing for listing in listings if fnmatch.fnmatchcase(listing.server, pattern)]
        if not matches:
            fail(f"{text}: no such server; expected an id or glob of the list, or ID=HOST:PORT")
        for listing in matches:
            _print_addresses(listing, registry, operator.options)


def _print_addresses(listing: Listing, registry: AddressRegistry, options: Options) -> None:
    out.print(f"{listing.server} zone={listing.zone} kind={listing.kind} at {listing.host_port}")
    for step in registry.rules.explain(listing):
        out.print(f"  {step.rule}: {' '.join(address.text for address in step.addresses) or 'none'}")
        for error in step.errors:
            out.print(f"    passed over: {error}")
    for claim in registry.rules.claims(listing).claims:
        owner = registry.owner(claim.address)
        if owner != listing.server:
            out.print(f"  {claim.address.text} belongs to {owner}, which also claims it")
    table = Table("dialled", "address", "prefer", "precedence", "scope", box=None, pad_edge=False)
    prefer = registry.preferences(listing.server) or options.prefer
    order = sort_addresses(
        registry.addresses(listing.server), prefer, first_family_count=options.first_family_count
    )
    for position, address in enumerate(order, 1):
        rank = preference(address, prefer)
        preferred = str(rank + 1) if rank < len(prefer) else "-"
        table.add_row(str(position), address.text, preferred, str(precedence(address)), str(scope(address)))
    out.print(table)
