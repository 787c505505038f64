"""The files from which the processes of the fleet start: a director's configuration, and the operator's."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.example_site import example_config
from gladelane.lab.fake_discovery import FakeDiscovery

from .draws import STRICT

TOKEN = "benchmark-token-of-this-run"
DELAY_MS = 2000.0  # the stated delay
CUT_OFF_PER_S = 20.0  # what a director that is cut off may ask of the origin


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
        """What operators set: here the purges."""
        return self.folder / f"operator-{self.number}.json5"

    @property
    def log(self) -> Path:
        """Of all starts, one after the other."""
        return self.folder / f"director-{self.number}.log"

    def write(self, port: int, discovery_address: str, control_ports: Sequence[int]) -> None:
        """Without control servers the director takes no purges."""
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
            "strict": [STRICT],
            "cut_off_per_s": CUT_OFF_PER_S,
            "order_kinds": ["standard", "parent"],
        }

    def update_known(self, discovery: FakeDiscovery) -> None:
        """Before a start: the list as discovery has it now."""
        config = json.loads(self.config.read_text())
        self.config.write_text(json.dumps({**config, "known": discovery.known()}))


def write_tokens(folder: Path) -> Path:
    """The file with the one token that control servers and directors share."""
    path = folder / "tokens"
    path.write_text(f"bench {TOKEN}\n")
    return path
