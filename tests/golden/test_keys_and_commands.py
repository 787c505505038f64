"""Golden names for operators and the platform: keys of files, commands, options, variables, exit codes."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import pytest
import typer.main
from harness import config

from gladelane.cli import build
from gladelane.deployment.wire import settings_from_wire
from gladelane.net.config import ConfigError, read_config
from gladelane.settings.operator import OperatorFileError, read_operator

ROOT = Path(__file__).parents[2]
#: every key that the director reads from the file named by GW_CONFIG; `[0]` stands for an element of a list
CONFIG_KEYS = """
board
known
known.notices
known.notices[0].flush
known.notices[0].flush.asset
known.notices[0].flush.collection
known.notices[0].flush.ms
known.notices[0].pool
known.notices[0].pool.instances
known.notices[0].pool.instances[0].addresses
known.notices[0].pool.instances[0].cell
known.notices[0].pool.instances[0].hostPort
known.notices[0].pool.instances[0].instanceId
known.notices[0].pool.instances[0].lifecycle
known.notices[0].pool.instances[0].machineType
known.notices[0].pool.instances[0].startedAtMs
known.notices[0].pool.instances[0].weight
known.notices[0].pool.instances[0].zone
known.notices[0].pool.reset
known.notices[0].rev
known.rev
limits
limits.memory_mb
limits.sockets
listen
name
ops
seed
settings
settings.areas
settings.balancers
settings.classes
settings.classes[0].aim_ms
settings.classes[0].aim_stretch
settings.classes[0].deadline_ms
settings.classes[0].effect
settings.classes[0].group
settings.classes[0].late_worth
settings.classes[0].name
settings.classes[0].stream
settings.classes[0].value
settings.classes[0].window_ms
settings.family_info
settings.family_info.gone_everywhere_ms
settings.family_info.good_for_ms
settings.family_info.hub_of
settings.family_info.inlet_kb_per_s
settings.family_info.merges_fills
settings.family_info.notes_given
settings.family_info.notice_time_ms
settings.family_info.one_flow_kb_per_s
settings.family_info.origin_bears_ms
settings.family_info.origin_fall_multiple
settings.family_info.parent_breaks_at
settings.family_info.parent_cold_from
settings.family_info.parent_cold_ms
settings.family_info.pass_on
settings.family_info.peers_fill
settings.family_info.seats_by_zone
settings.family_info.segmented
settings.family_info.stale_for_ms
settings.family_info.store_kind
settings.family_info.straight
settings.family_info.upper_kind
settings.kinds
settings.limits
settings.limits.cancel
settings.limits.conn_idle_ms
settings.limits.dial_timeout_ms
settings.limits.max_attempts
settings.limits.max_open
settings.limits.max_retry_after_ms
settings.limits.max_streams
settings.limits.may_duplicate
settings.limits.may_tell
settings.limits.probes
settings.limits.retry_after
settings.me
settings.registry_mode
settings.report
settings.report.fields
settings.report.how
settings.rules
settings.rules.ask_within_ms
settings.rules.cold_from
settings.rules.drain_grace_ms
settings.rules.fall_ms
settings.rules.fall_multiple
settings.rules.grace_to_answer_ms
settings.rules.warm_after_ms
settings.tick_ms
settings.weights
settings.zone
""".split()
#: path of an object in an operator file -> the keys that it may have
OPERATOR_KEYS = {
    "": "endpoints, purges, recovery, fleet, owners, logs",
    "endpoints": "rules, prefer, first_family_count, family_few, delay, pause",
    "endpoints.rules[0]": "name, match, add, replace, order, last",
    "endpoints.rules[0].match": "id, zone, kind, network",
    "endpoints.delay": "first_ms, least_ms, most_ms",
    "endpoints.pause": "first_ms, most_ms, stall_ms",
    "purges": "feeds, token_file, dir, retention_s, skew_ms, delay_ms, strict, cut_off_per_s, start_wait_ms, "
    "order_kinds, orders_per_s, origin_per_s, lost",
    "recovery": "dir, every_s, most_age_s",
    "fleet": "dir, report_ms, board, board_ms, alone, enforce, trail_mb",
    "owners": "length_ms, shards",
    "logs": "format, level",
}
#: path of a key in an operator file -> the keywords that it accepts
OPERATOR_KEYWORDS = {
    "logs.format": "json, keyvalue, plain",
    "logs.level": "debug, error, info, warning",
    "purges.lost": "serve, void",
    "fleet.alone": "out, strict",
}
#: Command -> its options, and ARGUMENT for each positional argument. The environment variable that can
#: replace an option follows in parentheses, and ! marks what is required.
COMMANDS: dict[str, str] = {
    "addresses explain": "--cell --config --kind --zone ARGUMENT! ARGUMENT!",
    "check": "--config ARGUMENT!",
    "fleet audit": "--at --director --feed(GL_FEED)! --from --json --tls-ca --to --tokens(GL_TOKENS)!",
    "fleet expect": "--feed(GL_FEED)! --since --tls-ca --tokens(GL_TOKENS)! ARGUMENT ARGUMENT!",
    "fleet explain": "--feed(GL_FEED)! --json --tls-ca --tokens(GL_TOKENS)! ARGUMENT!",
    "fleet owners": "--feed(GL_FEED)! --json --tls-ca --tokens(GL_TOKENS)!",
    "fleet status": "--json ARGUMENT!",
    "fleet stragglers": "--feed(GL_FEED)! --json --tls-ca --tokens(GL_TOKENS)!",
    "fleet verify": "--feed(GL_FEED)! --json --tls-ca --tokens(GL_TOKENS)!",
    "fleet versions": "--feed(GL_FEED)! --json --tls-ca --tokens(GL_TOKENS)!",
    "purge explain": "--class --feed(GL_FEED)! --group --part --tls-ca --tokens(GL_TOKENS)! ARGUMENT!",
    "purge list": "--feed(GL_FEED)! --tls-ca --tokens(GL_TOKENS)!",
    "purge send": "--feed(GL_FEED)! --key --tag --tls-ca --tokens(GL_TOKENS)! ARGUMENT!",
    "purge serve": "--audit --behind-ms --catalog --copies --dir! --first/--no-first --keeper --lease-ms "
    "--listen --mark --name --peer --retention-s --share --tenure-ms --tls-ca --tls-cert --tls-key "
    "--tokens(GL_TOKENS)!",
    "purge status": "--feed(GL_FEED)! --tls-ca --tokens(GL_TOKENS)!",
    "purge vouch": "--all --feed(GL_FEED)! --since --tls-ca --tokens(GL_TOKENS)! --why",
    "serve": "--config(GW_CONFIG)! --operator(GW_OPERATOR)",
}
#: values of GW_CONFIG, GW_OPERATOR and GW_OPS, and the error with which the director exits with code 1
FAILED_STARTS = {
    "no_file_named": ({}, "gladelane: GW_CONFIG names no file"),
    "missing_file": (
        {"GW_CONFIG": "{folder}/none.json"},
        "gladelane: [Errno 2] No such file or directory: '{folder}/none.json'",
    ),
    "empty_file": (
        {"GW_CONFIG": "{folder}/empty.json"},
        "gladelane: {folder}/empty.json: the whole file is empty; expected a JSON object",
    ),
    "bad_key": (
        {"GW_CONFIG": "{folder}/bad.json"},
        "gladelane: {folder}/bad.json: listen is 'nowhere'; expected an address, as host:port",
    ),
    "missing_operator_file": (
        {"GW_CONFIG": "{folder}/good.json", "GW_OPERATOR": "{folder}/none.json5"},
        "gladelane: [Errno 2] No such file or directory: '{folder}/none.json5'",
    ),
    "bad_operator_file": (
        {"GW_CONFIG": "{folder}/good.json", "GW_OPERATOR": "{folder}/bad.json5"},
        "gladelane: {folder}/bad.json5: logs.level: 'loud'; expected one of debug, error, info, warning",
    ),
    "bad_ops": (
        {"GW_CONFIG": "{folder}/good.json", "GW_OPS": "nowhere"},
        "gladelane: GW_OPS: 'nowhere' is no address; expected host:port",
    ),
}
#: command line -> its exit code
EXIT_CODES = {
    "check {folder}/good.json5": 0,
    "check {folder}/good.json5 --config {folder}/good.json": 0,
    "check {folder}/bad.json5": 1,
    "check {folder}/none.json5": 1,
    "check {folder}/good.json5 --config {folder}/bad.json": 1,
    "purge send all --feed nowhere --tokens {folder}/none": 1,
    "serve --config {folder}/none.json": 1,
    "serve": 2,
    "check": 2,
    "nothing": 2,
}


class LookupRecorder(dict[str, Any]):
    """Wraps a JSON object and records the path of every key that is looked up."""

    def __init__(self, source: Mapping[str, Any], looked_up: set[str], path: str = "") -> None:
        super().__init__({key: self._wrap(value, looked_up, f"{path}{key}") for key, value in source.items()})
        self._looked_up, self._path = looked_up, path

    @classmethod
    def _wrap(cls, value: Any, looked_up: set[str], path: str) -> Any:
        if isinstance(value, dict):
            return cls(value, looked_up, f"{path}.")
        if isinstance(value, list):
            return [cls._wrap(item, looked_up, f"{path}[{index}]") for index, item in enumerate(value)]
        return value

    def get(self, key: str, default: Any = None) -> Any:
        self._looked_up.add(f"{self._path}{key}")
        return super().get(key, default)

    def __getitem__(self, key: str) -> Any:
        self._looked_up.add(f"{self._path}{key}")
        return super().__getitem__(key)


def full_config() -> dict[str, Any]:
    """Returns a configuration of one cache, purge and class, with every object the platform may write."""
    platform_config: dict[str, Any] = json.loads(config({"c1": "127.0.0.1:5001"}))
    platform_config["known"]["notices"][0]["flush"] = {"ms": 5.0, "collection": 17}
    settings = platform_config["settings"]
    del settings["classes"][1:]
    for name in ("pass_on", "good_for_ms", "segmented"):
        del settings["family_info"][name][1:]
    return platform_config


def with_wrong_value(raw: dict[str, Any], path: str) -> dict[str, Any]:
    """Returns a copy with a value at the path that its key cannot accept."""
    changed = copy.deepcopy(raw)
    *steps, last = path.replace("[0]", ".0").split(".")
    parent: Any = changed
    for step in steps:
        parent = parent[int(step)] if step.isdecimal() else parent[step]
    parent[last] = 7 if isinstance(parent.get(last), dict) else {"wrong": []}
    return changed


@pytest.mark.parametrize("path", CONFIG_KEYS)
def test_a_wrong_value_of_a_configuration_key_is_reported_by_its_path(path: str) -> None:
    with pytest.raises(ConfigError) as caught:
        read_config(json.dumps(with_wrong_value(full_config(), path)).encode())
    assert str(caught.value).startswith(f"{path} is ")


def test_settings_are_read_from_exactly_the_listed_keys() -> None:
    looked_up: set[str] = set()
    settings_from_wire(LookupRecorder(full_config()["settings"], looked_up))
    expected = {path.removeprefix("settings.") for path in CONFIG_KEYS if path.startswith("settings.")}
    assert looked_up == expected - {"limits.max_streams", "limits.conn_idle_ms"}  # for cache connections


def operator_file_with_unknown_key(path: str) -> dict[str, Any]:
    """Returns an operator file in which the object at the path has one unknown key."""
    document: Any = {"?": 1}
    for step in reversed(path.replace("[0]", ".0").split(".") if path else []):
        document = [document] if step == "0" else {step: document}
    operator_file: dict[str, Any] = document
    return operator_file


@pytest.mark.parametrize("path", OPERATOR_KEYS)
def test_an_unknown_key_in_an_operator_file_is_rejected_with_the_valid_keys(path: str) -> None:
    with pytest.raises(OperatorFileError) as caught:
        read_operator(json.dumps(operator_file_with_unknown_key(path)).encode())
    expected = f"{path}.?: unknown key; expected one of {OPERATOR_KEYS[path]}".removeprefix(".")
    assert str(caught.value) == expected


@pytest.mark.parametrize("path", OPERATOR_KEYWORDS)
def test_an_unknown_keyword_in_an_operator_file_is_rejected_with_the_valid_keywords(path: str) -> None:
    section, key = path.split(".")
    values = {**({"feeds": [], "token_file": ""} if section == "purges" else {}), key: "?"}
    with pytest.raises(OperatorFileError) as caught:
        read_operator(json.dumps({section: values}).encode())
    assert str(caught.value) == f"{path}: '?'; expected one of {OPERATOR_KEYWORDS[path]}"


def test_the_keys_of_the_balancer_file() -> None:
    balancer = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert {key: type(value).__name__ for key, value in balancer.items()} == {
        "build": "str",
        "node": "list",
        "packages": "list",
        "policy": "list",
        "run": "str",
        "sim": "str",
    }


def test_the_files_named_in_the_balancer_file_exist() -> None:
    balancer = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    missing = [path for path in (*balancer["policy"], *balancer["node"]) if not (ROOT / path).exists()]
    assert missing == []


def list_commands(command: Any, name: str = "") -> Iterator[tuple[str, str]]:
    if hasattr(command, "commands"):
        for subcommand_name, subcommand in command.commands.items():
            yield from list_commands(subcommand, f"{name} {subcommand_name}".strip())
        return
    parameters = []
    for parameter in command.params:
        names = (
            ["ARGUMENT"]
            if parameter.param_type_name == "argument"
            else [*parameter.opts, *parameter.secondary_opts]
        )
        variable = f"({parameter.envvar})" if parameter.envvar else ""
        parameters.append("/".join(names) + variable + "!" * parameter.required)
    yield name, " ".join(sorted(parameters))


def test_the_program_has_exactly_the_listed_commands() -> None:
    assert sorted(name for name, _ in list_commands(typer.main.get_command(build()))) == sorted(COMMANDS)


@pytest.mark.parametrize("name", COMMANDS)
def test_the_arguments_and_options_of_a_command(name: str) -> None:
    assert dict(list_commands(typer.main.get_command(build())))[name] == COMMANDS[name]


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Creates the files that the commands read."""
    path = tmp_path_factory.mktemp("files")
    good = full_config()
    (path / "good.json").write_text(json.dumps(good))
    (path / "bad.json").write_text(json.dumps({**good, "listen": "nowhere"}))
    (path / "empty.json").write_text("")
    (path / "good.json5").write_text("{ /* the defaults */ }")
    (path / "bad.json5").write_text('{ logs: { level: "loud" } }')
    return path


def run_python(arguments: list[str], variables: dict[str, str]) -> subprocess.CompletedProcess[str]:
    inherited = {name: value for name, value in os.environ.items() if not name.startswith(("GW_", "GL_"))}
    return subprocess.run(
        [sys.executable, *arguments],
        env={**inherited, **variables},
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )


@pytest.mark.parametrize("name", FAILED_STARTS)
def test_a_failed_start_prints_one_line_and_exits_with_code_1(name: str, folder: Path) -> None:
    variables, line = FAILED_STARTS[name]
    environment = {key: value.format(folder=folder) for key, value in variables.items()}
    completed = run_python(["-m", "gladelane"], environment)
    assert (completed.returncode, completed.stdout, completed.stderr) == (
        1,
        "",
        line.format(folder=folder) + "\n",
    )


@pytest.mark.parametrize("command", EXIT_CODES)
def test_the_exit_code_of_a_command(command: str, folder: Path) -> None:
    arguments = command.format(folder=folder).split()
    completed = run_python(["-c", "from gladelane.cli import main; main()", *arguments], {})
    assert completed.returncode == EXIT_CODES[command]
