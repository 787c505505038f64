"""`gladelane addresses`: which addresses a server gets, by which rule, in which order and why."""

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

app = typer.Typer(no_args_is_help=True, help="Servers with several addresses.")


@app.callback()
def group() -> None:
    """Servers with several addresses."""


def listings_of(config: Config) -> list[Listing]:
    """The endpoint list that the platform's file knows, after all its events."""
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


def registry_of(config: Config, rules: Rules) -> tuple[AddressRegistry, Change]:
    """A registry with the servers that the platform's file knows, and what entering them changed."""
    registry = AddressRegistry(rules)
    return registry, registry.update(listings_of(config), complete=True)


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
    from ..files import load_config, load_operator

    try:
        operator = load_operator(str(file))
        assert operator is not None
        known = listings_of(load_config(str(config))) if config else []
    except (ConfigError, OSError) as error:
        fail(error)
    for text in servers:
        if "=" in text:
            id_, _, host_port = text.partition("=")
            known.append(Listing(id_, host_port, zone, kind, cell))
    registry = AddressRegistry(operator.rules)
    registry.update(known, complete=True)
    for text in servers:
        glob = text.partition("=")[0]
        found = [listing for listing in known if fnmatch.fnmatchcase(listing.server, glob)]
        if not found:
            fail(f"{text}: no such server; expected an id or glob of the list, or ID=HOST:PORT")
        for listing in found:
            _show(listing, registry, operator.options)


def _show(listing: Listing, registry: AddressRegistry, options: Options) -> None:
    out.print(f"{listing.server} zone={listing.zone} kind={listing.kind} at {listing.host_port}")
    for step in registry.rules.explain(listing):
        out.print(f"  {step.rule}: {' '.join(a.text for a in step.addresses) or 'none'}")
        for line in step.errors:
            out.print(f"    passed over: {line}")
    for claim in registry.rules.claims(listing).claims:
        owner = registry.owner(claim.address)
        if owner != listing.server:
            out.print(f"  {claim.address.text} belongs to {owner}, which also claims it")
    table = Table("dialled", "address", "prefer", "precedence", "scope", box=None, pad_edge=False)
    prefer = registry.preferences(listing.server) or options.prefer
    order = sort_addresses(
        registry.addresses(listing.server), prefer, first_family_count=options.first_family_count
    )
    for place, address in enumerate(order, 1):
        at = preference(address, prefer)
        preferred = str(at + 1) if at < len(prefer) else "-"
        table.add_row(str(place), address.text, preferred, str(precedence(address)), str(scope(address)))
    out.print(table)
