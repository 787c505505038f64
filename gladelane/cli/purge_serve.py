"""`gladelane purge serve`: runs a control server in the foreground.

Each option has a named type with its help text, so that the signature of the command shows only names and
defaults.
"""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
from typing import Annotated

import typer

from ..control_plane.tokens import TokenFileError
from ..logs import set_up_logging
from ..purges.checkpoint_file import InvalidCheckpointError
from ..purges.loss_detection import ForeignFolderError
from ..purges.scope import InvalidScopeError
from ..purges.scope import parse as parse_scope
from ..storage.log import CorruptLogError
from . import fail
from .control_server_client import CaFile, TokenFile, socket_address
from .purge_server import AuditOptions, LeaseServerOptions, PurgeServerOptions, TlsFiles, run_purge_server

#: Errors that the operator can correct: the command ends with one line and without a traceback.
START_ERRORS = (
    TokenFileError,
    InvalidScopeError,
    InvalidCheckpointError,
    ForeignFolderError,
    CorruptLogError,
    OSError,
)
MIN_VIEW_LEASE_MS, MIN_LAG_MS, MAX_LIMIT_MS = 1_000.0, 2_000.0, 600_000.0

Directory = Annotated[
    Path, typer.Option(help="The folder in which purges are stored; each feed needs its own.")
]
ListenAddress = Annotated[str, typer.Option(help="IP:PORT to listen at.")]
IssuerName = Annotated[str, typer.Option(help="The issuer's name, which must be unique among the feeds.")]
Peers = Annotated[list[str] | None, typer.Option(help="IP:PORT of another feed; may be repeated.")]
CatalogFile = Annotated[
    Path | None, typer.Option(help="A JSON5 file with the scope of each tag by its name.")
]
IsFirstStart = Annotated[
    bool, typer.Option(help="Confirms that the folder is empty because this feed is new.")
]
CheckpointPath = Annotated[
    Path | None,
    typer.Option(help="A file on another disk than --dir, by which a restored older folder is detected."),
]
Copies = Annotated[
    int, typer.Option(help="The number of feeds that must store a purge before it is confirmed.")
]
AuditFolder = Annotated[
    Path | None,
    typer.Option(help="Accept directors' reports, and store them in this folder, which must be separate."),
]
ViewLeaseMs = Annotated[
    float, typer.Option("--tenure-ms", help="How long a director may act after an answer, ms.")
]
LagLimitMs = Annotated[
    float,
    typer.Option(help="The lag after which a director is excluded, ms; earlier steps take fractions of it."),
]
QuarantineShare = Annotated[
    float, typer.Option(help="The share of the fleet that may be restricted at the same time.")
]
LeaseFolder = Annotated[
    Path | None,
    typer.Option(
        "--keeper", help="Grant leases together with the other feeds; numbers are stored in this folder."
    ),
]
MaxLeaseMs = Annotated[
    float, typer.Option(help="The longest lease, ms; none is granted for as long after a start.")
]
RetentionS = Annotated[float, typer.Option(help="How long a purge is in force, s.")]
TlsCertificate = Annotated[Path | None, typer.Option(help="Serve TLS with this certificate (PEM).")]
TlsKey = Annotated[Path | None, typer.Option(help="The private key of --tls-cert (PEM).")]


def serve(
    dir: Directory,
    tokens: TokenFile,
    listen: ListenAddress = "127.0.0.1:4300",
    name: IssuerName = "feed",
    peer: Peers = None,
    catalog: CatalogFile = None,
    first: IsFirstStart = False,
    mark: CheckpointPath = None,
    copies: Copies = 1,
    audit: AuditFolder = None,
    view_lease_ms: ViewLeaseMs = 3000.0,
    behind_ms: LagLimitMs = 8000.0,
    share: QuarantineShare = 0.25,
    lease_folder: LeaseFolder = None,
    lease_ms: MaxLeaseMs = 3000.0,
    retention_s: RetentionS = 604_800.0,
    tls_cert: TlsCertificate = None,
    tls_key: TlsKey = None,
    tls_ca: CaFile = None,
) -> None:
    """Runs a control server (feed) until SIGTERM. Logs `feed ready` once it accepts purges."""
    set_up_logging()
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    listen_address = socket_address(listen)
    peers = tuple(socket_address(text) for text in peer or ())
    _check_limits(view_lease_ms, behind_ms, share)
    _check_copies(copies, len(peers))
    try:
        options = PurgeServerOptions(
            name=name, folder=dir, tokens=tokens, listen=listen_address, peers=peers,
            catalog=_read_catalog(catalog), copies=copies, is_first=first, checkpoint=mark,
            retention_ms=retention_s * 1000.0, tls=TlsFiles(tls_cert, tls_key, tls_ca),
            audit=None if audit is None else AuditOptions(audit, view_lease_ms, behind_ms, share),
            leases=None if lease_folder is None else LeaseServerOptions(lease_folder, lease_ms),
        )  # fmt: skip
        asyncio.run(run_purge_server(options))
    except START_ERRORS as error:
        fail(error)


def _check_limits(view_lease_ms: float, lag_limit_ms: float, share: float) -> None:
    """Ends the command if a limit is outside its range."""
    lease_fits = MIN_VIEW_LEASE_MS <= view_lease_ms <= MAX_LIMIT_MS
    lag_fits = MIN_LAG_MS <= lag_limit_ms <= MAX_LIMIT_MS
    if not (lease_fits and lag_fits and 0.0 < share <= 1.0):
        fail("--tenure-ms 1000 to 600000, --behind-ms 2000 to 600000, --share above 0 and up to 1 expected")


def _check_copies(copies: int, peer_count: int) -> None:
    """Ends the command if more servers have to store a purge than there are."""
    if not 1 <= copies <= peer_count + 1:
        fail(f"--copies {copies}; expected 1 to {peer_count + 1}, this feed and its peers")


def _read_catalog(path: Path | None) -> dict[str, str]:
    """Reads the catalog: scopes by the name of their tag. Raises OSError, InvalidScopeError."""
    if path is None:
        return {}
    import pyjson5

    raw = pyjson5.decode(path.read_text())
    if not isinstance(raw, dict) or not all(isinstance(scope, str) for scope in raw.values()):
        raise InvalidScopeError(str(path), "no catalog", "an object of names and scopes")
    for name in raw:
        parse_scope(f"tag:{name}", raw)
    return raw
