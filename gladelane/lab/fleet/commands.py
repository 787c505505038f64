"""Command lines, environments and configuration files of the processes of a fleet."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from ..processes import ROOT
from .clock_steps import STEPS_VARIABLE as CLOCK_STEPS_VARIABLE
from .process import FleetProcess

if TYPE_CHECKING:
    from .fleet import Fleet

CONTROL_SERVER = "from gladelane.cli import main; main()"
STEPPED_CONTROL_SERVER = (
    f"from gladelane.lab.fleet.clock_steps import install_steps; install_steps(); {CONTROL_SERVER}"
)
START_WAIT_MS = 3000  # for which a starting director waits for purges
REPORT_MS = 400  # between the reports of a director to the audit


class Command(NamedTuple):
    """The arguments and the complete environment of a process to start."""

    arguments: list[str]
    environment: dict[str, str]


def control_server_command(fleet: Fleet, control_server: FleetProcess, is_first_start: bool) -> Command:
    """The command of a control server."""
    shape = fleet.shape
    peers = [
        f"127.0.0.1:{fleet.links[control_server.name, o.name].port}"
        for o in fleet.control_servers
        if o is not control_server
    ]
    options = {
        "--name": control_server.name,
        "--dir": control_server.folder / "purges",
        "--tokens": fleet.folder / "tokens",
        "--listen": f"127.0.0.1:{control_server.port}",
        "--copies": min(shape.copies, 1 + len(peers)),
    }
    if shape.marks:
        options["--mark"] = fleet.folder / f"{control_server.name}.mark"
    if shape.audit:
        options |= {
            "--audit": control_server.folder / "audit",
            "--tenure-ms": shape.view_lease_ms,
            "--behind-ms": shape.behind_ms,
            "--share": shape.share,
        }
    if shape.owners:
        options |= {"--keeper": control_server.folder / "keeper", "--lease-ms": shape.lease_ms}
    program = STEPPED_CONTROL_SERVER if shape.control_server_clocks else CONTROL_SERVER
    arguments = [sys.executable, "-c", program, "purge", "serve"]
    arguments += [word for option, value in options.items() for word in (option, str(value))]
    arguments += [word for peer in peers for word in ("--peer", peer)]
    if is_first_start:
        arguments.append("--first")
    clock_steps = dict(zip(fleet.control_servers, shape.control_server_clocks, strict=False)).get(
        control_server, ""
    )
    return Command(arguments, {**os.environ, CLOCK_STEPS_VARIABLE: clock_steps})


def director_command(fleet: Fleet, director: FleetProcess) -> Command:
    """The command of a director; writes its configuration files."""
    config = fleet.folder / f"{director.name}.json"
    operator = fleet.folder / f"{director.name}.json5"
    config.write_text(json.dumps(_director_config(fleet, director)))
    operator.write_text(json.dumps(_operator_file(fleet, director)))
    temporary = director.folder / "tmp"
    temporary.mkdir(exist_ok=True)
    files = {"GW_CONFIG": str(config), "GW_OPERATOR": str(operator), "TMPDIR": str(temporary)}
    return Command([sys.executable, "-m", "gladelane"], {**os.environ, **files})


def _director_config(fleet: Fleet, director: FleetProcess) -> dict[str, Any]:
    """The configuration of the example, adapted to this fleet."""
    config: dict[str, Any] = json.loads((ROOT / "example" / "config.json").read_text())
    config |= {
        "name": fleet.names.get(director.name, director.name),
        "listen": f"127.0.0.1:{director.port}",
        "known": fleet.world.discovery.known(),
        "board": f"127.0.0.1:{fleet.links[director.name, 'board'].port}",
        "ops": f"127.0.0.1:{director.admin_port}",
    }
    config["settings"] |= {"balancers": fleet.shape.directors, "me": fleet.directors.index(director)}
    config["settings"] |= fleet.settings.get(director.name, {})
    config["seed"] = fleet.seed or config["seed"]
    return config


def _operator_file(fleet: Fleet, director: FleetProcess) -> dict[str, Any]:
    shape = fleet.shape
    recovery: dict[str, Any] = {"every_s": 1}
    if shape.warm:
        recovery["dir"] = str(director.folder / "warm")
    operator: dict[str, Any] = {"recovery": recovery}
    if fleet.control_servers:
        operator["purges"] = _purge_options(fleet, director)
    if shape.audit:
        operator["fleet"] = {
            "alone": shape.alone,
            "board_ms": shape.endpoint_list_timeout_ms,
            "report_ms": REPORT_MS,
            "enforce": shape.enforce,
        }
        if shape.has_activity_log:
            operator["fleet"]["dir"] = str(director.folder / "trail")
    if shape.owners:
        operator["owners"] = {"length_ms": shape.lease_ms, "shards": shape.shards}
    return operator | fleet.changes.get(director.name, {})


def _purge_options(fleet: Fleet, director: FleetProcess) -> dict[str, Any]:
    shape = fleet.shape
    return {
        "feeds": [
            f"127.0.0.1:{fleet.links[director.name, control_server.name].port}"
            for control_server in fleet.control_servers
        ],
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


def log_path(fleet: Fleet, one: FleetProcess) -> Path:
    """The file for the standard error of a process and its successors."""
    return fleet.folder / f"{one.name}.log"
