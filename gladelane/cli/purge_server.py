"""Runs the control server of `gladelane purge serve`: purges, and optionally audit and leases."""

from __future__ import annotations

import asyncio
import logging
import signal
import ssl
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from ..clock import Clock
from ..control_plane.part import ControlPart
from ..control_plane.server import ControlServer
from ..control_plane.tokens import Tokens
from ..purges.checkpoint_file import CheckpointFile
from ..purges.control_part import PurgePart
from ..purges.purge_log import PurgeLog
from ..storage.files import Folder

log = logging.getLogger(__name__)

Address = tuple[str, int]


@dataclass(frozen=True)
class TlsFiles:
    """Paths of PEM files. `certificate` and `key` are the server's own; `ca` signed those of its peers."""

    certificate: Path | None = None
    key: Path | None = None
    ca: Path | None = None

    def server_context(self) -> ssl.SSLContext | None:
        """The context for serving TLS; None, for plain HTTP, without a certificate. Raises OSError,
        ssl.SSLError."""
        if self.certificate is None:
            return None
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.load_cert_chain(self.certificate, self.key)
        return context

    def client_context(self) -> ssl.SSLContext | None:
        """The context for requests to peers; None, for plain HTTP, without a certificate authority."""
        return None if self.ca is None else ssl.create_default_context(cafile=str(self.ca))


@dataclass(frozen=True)
class AuditOptions:
    """The folder for directors' reports, and the limits by which a lagging director is stopped."""

    folder: Path
    view_lease_ms: float
    lag_limit_ms: float
    share: float


@dataclass(frozen=True)
class LeaseServerOptions:
    """The folder for granted leases, and the longest duration that is granted."""

    folder: Path
    max_lease_ms: float


@dataclass(frozen=True)
class PurgeServerOptions:
    """All options of the command line for one control server."""

    name: str
    folder: Path
    tokens: Path
    listen: Address
    peers: tuple[Address, ...]
    catalog: Mapping[str, str]
    copies: int
    is_first: bool
    checkpoint: Path | None
    retention_ms: float
    tls: TlsFiles
    audit: AuditOptions | None = None
    leases: LeaseServerOptions | None = None


async def run_purge_server(options: PurgeServerOptions) -> None:
    """Serves until SIGTERM or SIGINT. Raises the errors of opening the folders and the port."""
    purge_log = open_purge_log(options)
    parts: list[ControlPart] = [PurgePart(purge_log)]
    if options.audit is not None:
        parts.append(open_audit(options, options.audit, purge_log))
    if options.leases is not None:
        parts.append(open_leases(options, options.leases, purge_log))
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    for address in options.peers:
        purge_log.subscribe_to_peer(*address, tls=options.tls.client_context())
    server = ControlServer(purge_log.tokens, parts)
    host, port = options.listen
    log_ready(purge_log, host, await server.start(host, port, options.tls.server_context()))
    await stop.wait()
    await server.close()


def open_purge_log(options: PurgeServerOptions) -> PurgeLog:
    """Opens the purge log and reads its folder. Raises OSError, and the errors of invalid contents."""
    clock = Clock()
    return PurgeLog(
        options.name,
        Folder(options.folder),
        Tokens(options.tokens),
        lambda: dict(options.catalog),
        retention_ms=options.retention_ms,
        clock=clock.now,
        wall_clock=lambda: float(clock.unix()),
        is_first_start=options.is_first,
        copies=options.copies,
        checkpoint_file=CheckpointFile(options.checkpoint) if options.checkpoint is not None else None,
    )


def open_audit(options: PurgeServerOptions, audit: AuditOptions, purge_log: PurgeLog) -> ControlPart:
    """Opens the audit part, which accepts directors' reports and is notified of each purge."""
    from ..audit.escalation import scaled_policy
    from ..audit.server import AuditServer

    server = AuditServer(
        options.name,
        Folder(audit.folder),
        purge_log.tokens.first_token,
        purge_log.clock,
        scaled_policy(audit.lag_limit_ms, audit.share, audit.view_lease_ms),
        audit.view_lease_ms,
    )
    for address in options.peers:
        server.add_peer(*address, tls=options.tls.client_context())
    purge_log.listeners.append(server)
    return server


def open_leases(options: PurgeServerOptions, leases: LeaseServerOptions, purge_log: PurgeLog) -> ControlPart:
    """Opens the lease part, which grants leases together with the peers."""
    from ..audit.steady import steady_ms
    from ..leases.server import LeaseServer

    return LeaseServer(
        options.name,
        Folder(leases.folder),
        purge_log.tokens.first_token,
        steady_ms,
        leases.max_lease_ms,
        list(options.peers),
        options.tls.client_context(),
        options.is_first,
        purge_log.clock(),
    )


def log_ready(purge_log: PurgeLog, host: str, port: int) -> None:
    """Logs the line by which scripts and tests learn that the server accepts purges."""
    log.info(
        "feed ready name=%s listen=%s:%d epoch=%d recovered=%s",
        purge_log.name,
        host,
        port,
        purge_log.epoch,
        purge_log.store.recovered,
    )
