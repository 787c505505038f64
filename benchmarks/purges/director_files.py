"""The files with which the processes of the fleet start: configurations, operator files and tokens."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.example_site import example_config
from gladelane.lab.fake_discovery import FakeDiscovery

from .random_scopes import STRICT_CLASS

TOKEN = "benchmark-token-of-this-run"
DELAY_MS = 2000.0  # the stated delay
CUT_OFF_ORIGIN_REQUESTS_PER_S = 20.0  # limit for a director that is cut off from control servers


@dataclass(frozen=True)
class DirectorFiles:
    """The files of one director in the folder of the run."""

    folder: Path
    number: int

    @property
    def config(self) -> Path:
        """The configuration, which has the list of servers that was known at the last start."""
        return self.folder / f"director-{self.number}.json"

    @property
    def operator(self) -> Path:
        """The operator file, which has the settings of purges."""
        return self.folder / f"operator-{self.number}.json5"

    @property
    def log(self) -> Path:
        """The log of all starts, one after the other."""
        return self.folder / f"director-{self.number}.log"

    def write(self, port: int, discovery_address: str, control_ports: Sequence[int]) -> None:
        """Writes both files; without control servers the director takes no purges."""
        changes = {"name": f"n{self.number}", "listen": f"127.0.0.1:{port}", "board": discovery_address}
        self.config.write_text(json.dumps(example_config() | changes))
        operator = {"purges": self._purge_options(control_ports)} if control_ports else {}
        self.operator.write_text(json.dumps(operator))

    def _purge_options(self, control_ports: Sequence[int]) -> dict[str, Any]:
        return {
            "feeds": [f"127.0.0.1:{port}" for port in control_ports],
            "delay_ms": DELAY_MS,
            "token_file": str(write_tokens(self.folder)),
            "dir": str(self.folder / f"kept-{self.number}"),
            "strict": [STRICT_CLASS],
            "cut_off_per_s": CUT_OFF_ORIGIN_REQUESTS_PER_S,
            "order_kinds": ["standard", "parent"],
        }

    def update_known(self, discovery: FakeDiscovery) -> None:
        """Writes the current list of discovery into the configuration, before a start."""
        config = json.loads(self.config.read_text())
        self.config.write_text(json.dumps({**config, "known": discovery.known()}))


def write_tokens(folder: Path) -> Path:
    """Writes the file with the token that control servers and directors share, and returns its path."""
    path = folder / "tokens"
    path.write_text(f"bench {TOKEN}\n")
    return path
