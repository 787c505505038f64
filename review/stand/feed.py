"""Starts the project's own control server (a feed for purges) as a process.

`gladelane purge serve` needs packages that the build of the deploy file does not install. This script runs
what that command runs, `run_purge_server`, without the package's command line.
"""

# ruff: noqa: D103

from __future__ import annotations

import argparse
import asyncio
import importlib.util
import sys
import types
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def main() -> None:
    parser = argparse.ArgumentParser()
    for name in ("--name", "--dir", "--listen", "--tokens"):
        parser.add_argument(name, required=True)
    parser.add_argument("--peer", action="append", default=[])
    parser.add_argument("--copies", type=int, default=1)
    given = parser.parse_args()
    # the package `gladelane.cli` imports its command line; its modules are used without that here
    package = types.ModuleType("gladelane.cli")
    package.__path__ = [str(ROOT / "gladelane" / "cli")]
    sys.modules["gladelane.cli"] = package
    assert importlib.util.find_spec("gladelane.cli.purge_server") is not None
    from gladelane.cli.purge_server import PurgeServerOptions, TlsFiles, run_purge_server
    from gladelane.logs import set_up_logging

    set_up_logging()
    options = PurgeServerOptions(
        name=given.name, folder=Path(given.dir), tokens=Path(given.tokens), listen=address(given.listen),
        peers=tuple(address(peer) for peer in given.peer), catalog={}, copies=given.copies, is_first=True,
        checkpoint=None, retention_ms=604_800_000.0, tls=TlsFiles(),
    )  # fmt: skip
    asyncio.run(run_purge_server(options))


if __name__ == "__main__":
    main()
