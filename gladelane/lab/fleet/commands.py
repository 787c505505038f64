"""Command lines, environments and configuration files of a fleet's processes."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from ..processes import ROOT
from .process import Life
from .stepped import STEPS as CLOCK_STEPS

if TYPE_CHECKING:
    from .fleet import Fleet

FEED = "from gladelane.cli import main; main()"
STEPPED_FEED = f"from gladelane.lab.fleet.stepped import install_steps; install_steps(); {FEED}"
START_WAIT_MS = 3000  # for which a director that starts waits for purges
REPORT_MS = 400  # between a director's reports to the audit


class Command(NamedTuple):
    """A process to start: its arguments, and its whole environment."""

    arguments: list[str]
    environment: dict[str, str]


def feed_command(fleet: Fleet, feed: Life, is_first_start: bool) -> Command:
    """How a control server is started."""
    shape = fleet.shape
    peers = [f"127.0.0.1:{fleet.links[feed.name, o.name].port}" for o in fleet.feeds if o is not feed]
    options = {
        "--name": feed.name,
        "--dir": feed.folder / "purges",
        "--tokens": fleet.folder / "tokens",
        "--listen": f"127.0.0.1:{feed.port}",
        "--copies": min(shape.copies, 1 + len(peers)),
    }
    if shape.marks:
        options["--mark"] = fleet.folder / f"{feed.name}.mark"
    if shape.audit:
        options |= {
            "--audit": feed.folder / "audit",
            "--tenure-ms": shape.tenure_ms,
            "--behind-ms": shape.behind_ms,
            "--share": shape.share,
        }
    if shape.owners:
        options |= {"--keeper": feed.folder / "keeper", "--lease-ms": shape.lease_ms}
    program = STEPPED_FEED if shape.feed_clocks else FEED
    arguments = [sys.executable, "-c", program, "purge", "serve"]
    arguments += [word for option, value in options.items() for word in (option, str(value))]
    arguments += [word for peer in peers for word in ("--peer", peer)]
    if is_first_start:
        arguments.append("--first")
    clock_steps = dict(zip(fleet.feeds, shape.feed_clocks, strict=False)).get(feed, "")
    return Command(arguments, {**os.environ, CLOCK_STEPS: clock_steps})


def director_command(fleet: Fleet, director: Life) -> Command:
    """How a director is started; writes its files."""
    config = fleet.folder / f"{director.name}.json"
    operator = fleet.folder / f"{director.name}.json5"
    config.write_text(json.dumps(_director_config(fleet, director)))
    operator.write_text(json.dumps(_operator_file(fleet, director)))
    temporary = director.folder / "tmp"
    temporary.mkdir(exist_ok=True)
    files = {"GW_CONFIG": str(config), "GW_OPERATOR": str(operator), "TMPDIR": str(temporary)}
    return Command([sys.executable, "-m", "gladelane"], {**os.environ, **files})


def _director_config(fleet: Fleet, director: Life) -> dict[str, Any]:
    """The example's, for this fleet."""
    config: dict[str, Any] = json.loads((ROOT / "example" / "config.json").read_text())
    config |= {
        "name": fleet.names.get(director.name, director.name),
        "listen": f"127.0.0.1:{director.port}",
        "known": fleet.world.board.known(),
        "board": f"127.0.0.1:{fleet.links[director.name, 'board'].port}",
        "ops": f"127.0.0.1:{director.door}",
    }
    config["settings"] |= {"balancers": fleet.shape.directors, "me": fleet.directors.index(director)}
    config["settings"] |= fleet.settings.get(director.name, {})
    config["seed"] = fleet.seed or config["seed"]
    return config


def _operator_file(fleet: Fleet, director: Life) -> dict[str, Any]:
    shape = fleet.shape
    recovery: dict[str, Any] = {"every_s": 1}
    if shape.warm:
        recovery["dir"] = str(director.folder / "warm")
    operator: dict[str, Any] = {"recovery": recovery}
    if fleet.feeds:
        operator["purges"] = _purge_options(fleet, director)
    if shape.audit:
        operator["fleet"] = {
            "alone": shape.alone,
            "board_ms": shape.board_ms,
            "report_ms": REPORT_MS,
            "enforce": shape.enforce,
        }
        if shape.trail:
            operator["fleet"]["dir"] = str(director.folder / "trail")
    if shape.owners:
        operator["owners"] = {"length_ms": shape.lease_ms, "shards": shape.shards}
    return operator | fleet.changes.get(director.name, {})


def _purge_options(fleet: Fleet, director: Life) -> dict[str, Any]:
    shape = fleet.shape
    return {
        "feeds": [f"127.0.0.1:{fleet.links[director.name, feed.name].port}" for feed in fleet.feeds],
        "token_file": str(fleet.folder / "tokens"),
        "dir": str(director.folder / "purges"),
        "delay_ms": shape.delay_ms,
        "strict": list(shape.strict),
        "lost": shape.lost,
        "cut_off_per_s": shape.cut_off_per_s,
        "origin_per_s": shape.origin_per_s,
        "start_wait_ms": START_WAIT_MS,
        "order_kinds": ["standard", "parent"],
    }


def log_path(fleet: Fleet, one: Life) -> Path:
    """Where the standard error of a process and its successors goes."""
    return fleet.folder / f"{one.name}.log"
