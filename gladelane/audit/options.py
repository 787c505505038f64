"""The audit section of an operator's file."""

from __future__ import annotations

import msgspec

from .view_lease import IsolationPolicy


class AuditOptions(msgspec.Struct, frozen=True):
    """The validated audit options of a director.

    `dir` is a persistent folder that only this director uses; without one, the unreported work of a killed
    process is unknown. `report_ms` is the time between reports. `list_source` is the operators' name of the
    discovery server, the same at all directors that follow the same one. `list_lease_ms` is how long the
    endpoint list is valid without a reply from the discovery server; 0 means without limit. `alone` is what a
    director does while no control server answers. With `enforce` false the audit only reports. `log_bytes`
    bounds the activity log in memory. `digest` is the digest of the operator's file without paths and tokens,
    which differ between directors.
    """

    dir: str = ""
    report_ms: float = 500.0
    list_source: str = "main"
    list_lease_ms: float = 0.0
    alone: IsolationPolicy = "out"
    enforce: bool = True
    log_bytes: int = 4_000_000
    digest: str = ""
