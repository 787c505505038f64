"""Builds the parts of a director that only an operator's file enables.

Each part is imported, with its dependencies, when it is built."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from .admin.handler import AdminHandler
from .clock import Clock
from .net.client_listener import ClientListener
from .net.config import Config, ConfigError
from .net.director import Director

if TYPE_CHECKING:
    from .audit.options import AuditOptions
    from .audit.service import AuditService
    from .leases.client import LeaseClient
    from .leases.options import LeaseOptions
    from .purges.options import Options as PurgeOptions
    from .purges.subscription import PurgeSubscription
    from .recovery.options import Options as RecoveryOptions
    from .recovery.service import Recovery

log = logging.getLogger("gladelane")


def open_purges(options: PurgeOptions, director: Director, clock: Clock) -> PurgeSubscription:
    """Opens the subscription to the fleet's purges. Raises ConfigError if a file is invalid, or OSError."""
    from pathlib import Path

    from .control_plane.tokens import TokenFileError
    from .purges.subscription import PurgeSubscription
    from .storage.files import Folder, rename_damaged_folder
    from .storage.log import CorruptLogError

    unknown = sorted(options.strict - director.settings.classes.keys())
    if unknown:
        raise ConfigError(f"purges.strict: {unknown[0]!r}; expected classes of the settings")

    def open_subscription() -> PurgeSubscription:
        folder = Folder(options.folder) if options.folder else None
        try:
            return PurgeSubscription(
                options, director.router.purges, clock.now, folder, director.settings.proxies, random.Random()
            )
        except BaseException:
            if folder is not None:
                folder.close()
            raise

    try:
        return open_subscription()
    except TokenFileError as error:
        raise ConfigError(str(error)) from None
    except CorruptLogError as error:
        # A damaged folder does not prevent the start, because the purge servers send all purges again.
        renamed_folder = rename_damaged_folder(Path(options.folder))
        log.error("purges: damaged folder renamed to %s: %s", renamed_folder, error)  # noqa: TRY400  names it
        return open_subscription()


def open_recovery(
    options: RecoveryOptions,
    config: Config,
    director: Director,
    purges: PurgeSubscription | None,
    clock: Clock,
    admin_handler: AdminHandler,
) -> Recovery:
    """Opens the store of learned state and idempotency keys that outlive the process. Raises OSError if the
    folder cannot be used."""
    from .recovery.service import Recovery

    host, port = config.listen
    name = f"{config.name} {host}:{port}"
    return Recovery(options, name, director, purges, clock.now, lambda: admin_handler.accepts_clients)


def open_audit(
    options: AuditOptions,
    config: Config,
    director: Director,
    purges: PurgeSubscription,
    clock: Clock,
    client_listener: ClientListener,
    reconnect_discovery: Callable[[], None],
) -> AuditService:
    """Opens the audit: reports, activity log and view lease. Raises OSError if the folder cannot be used."""
    from .audit.service import AuditService

    return AuditService(
        options,
        config.name,
        director,
        purges,
        clock.now,
        client_listener.drain,
        client_listener.send_goaway_to_all,
        reconnect_discovery,
    )


def open_leases(options: LeaseOptions, purges: PurgeSubscription, config: Config) -> LeaseClient:
    """Creates the client that acquires leases of shards. Only the director that holds a shard's lease sends
    the purge orders of that shard to servers."""
    from .audit.steady import steady_ms
    from .leases.client import LeaseClient
    from .leases.shards import ShardedOrders, shard_ranks

    settings = config.settings
    client = LeaseClient(
        shard_ranks(options.shard_count, settings.me, settings.proxies),
        config.name,
        list(purges.options.servers),
        options.duration_ms,
        purges.own_token,
        steady_ms,
        random.Random(),
    )
    sharded_orders = ShardedOrders(
        purges.orders,
        options.shard_count,
        client.is_held,
        client.has_lost_quorum,
        purges.active.positions.vector,
    )
    client.progress_handler = sharded_orders
    purges.orders.is_responsible_for = sharded_orders.is_responsible_for
    return client
