"""The operator's file: errors, its digest, the commands that read it, the imports of a director without one, and
the formats of the log."""

from __future__ import annotations

import json
import logging
import subprocess
import sys
from pathlib import Path

import pytest
from harness import config
from typer.testing import CliRunner

from gladelane import logs
from gladelane.cli import build
from gladelane.endpoints.plan import Options
from gladelane.settings.operator import OperatorFileError, read_operator

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "deploy" / "operator.example.json5"
FEEDS = "{purges: {feeds: ['127.0.0.1:1'], token_file: 't'}, fleet: {%s}}"
RULE = "{endpoints: {rules: [{name: 'x', %s}]}}"


@pytest.mark.parametrize("text,message", [
    ("{\n\nendpoints: {,}}", "line 3: .*expected JSON5"), ("[]", "the whole file: expected object"),
    ("{endpoint: {}}", "endpoint: unknown key; expected one of endpoints, purges, recovery, fleet, owners, logs"),
    (RULE % "match: {zon: 'a'}", r"endpoints.rules\[0\].match.zon: unknown key; expected one of id, zone"),
    (RULE % "add: 'x'", r"endpoints.rules\[0\].add: expected array, got str"),
    (RULE % "", r"endpoints.rules\[0\]: expected exactly one of add, replace, order"),
    (RULE % "add: ['unix:@a'], order: ['unix']", "expected exactly one"),
    (RULE % "add: ['unix:@{who}']", r"add\[0\]: .*unknown variable \{who\}"),
    (RULE % "add: ['depot:80']", r"add\[0\]: .*expected IPv4:port"),
    (RULE % "add: ['unix:@a'], match: {network: '10.0.0.0/33'}", r"match.network: '10.0.0.0/33'; expected a network"),
    ("{endpoints: {rules: [{name: 'x', order: ['ipv4']}, {name: 'x', order: ['ipv6']}]}}", r"rules\[1\].name: 'x'; expected"),
    ("{endpoints: {prefer: ['ipv5']}}", r"endpoints.prefer\[0\]: 'ipv5'; expected unix, ipv4, ipv6 or a network"),
    ("{endpoints: {delay: {least_ms: 5}}}", "endpoints.delay.least_ms: 5; expected a number from 10 to 2000"),
    ("{endpoints: {delay: {first_ms: NaN}}}", "endpoints.delay.first_ms: nan; expected a number"),
    ("{endpoints: {pause: {most_ms: 1}}}", "endpoints.pause.most_ms: 1; expected a number from 500"),
    ("{owners: {}}", "owners: needs purges.order_kinds; expected kinds"),
    ("{fleet: {}}", "fleet: needs purges.feeds; expected feeds that take reports"),
    ("{fleet: {alone: 'no'}}", "fleet.alone: 'no'; expected one of out, strict"),
    (FEEDS % "board_ms: 500", "fleet.board_ms: 500; expected a number from 2000"),
    (FEEDS % "report_ms: 0", "fleet.report_ms: 0; expected a number from 100"), (FEEDS % "board: ''", "fleet.board: ''; expected a name"),
    ("{logs: {format: 'xml'}}", "logs.format: 'xml'; expected one of json, keyvalue, plain"),
])  # fmt: skip
def test_an_error_is_one_line_with_the_key_and_what_was_expected(text: str, message: str) -> None:
    with pytest.raises(OperatorFileError, match=message) as caught:
        read_operator(text.encode())
    assert "\n" not in str(caught.value)


def test_the_digest_of_a_file_ignores_paths_and_addresses() -> None:
    def digest(text: str) -> str:
        audit_options = read_operator(text.encode()).fleet
        assert audit_options is not None
        return audit_options.digest

    other_paths = (FEEDS % "dir: '/a'").replace("127.0.0.1:1", "127.0.0.1:2").replace("'t'", "'u'")
    assert (
        digest(FEEDS % "dir: ''")
        == digest(FEEDS % "")
        == digest(other_paths)
        != digest(FEEDS % "alone: 'strict'")
    )


def test_the_example_has_every_key_at_its_default() -> None:
    operator = read_operator(EXAMPLE.read_bytes())
    assert operator.options == Options() and len(operator.rules.rules) == 3
    for name in (
        "endpoints",
        "rules",
        "prefer",
        "first_family_count",
        "family_few",
        "delay",
        "pause",
        "logs",
    ):
        assert f"{name}:" in EXAMPLE.read_text()


def test_check_and_explain_print_the_addresses_of_servers_and_fail_in_one_line(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.json5", tmp_path / "bad.json5"
    good.write_text(
        "{endpoints: {rules: [{name: 'box', match: {id: 'c*'}, add: ['unix:@shared', '[fd00::{octet4}]:{port}']}]}}"
    )
    bad.write_text("{endpoints: {rules: 1}}")
    known = tmp_path / "config.json"
    known.write_bytes(config({"c0": "10.0.0.1:80", "c1": "10.0.0.2:80", "r0": "10.0.0.3:80"}))
    run = CliRunner().invoke
    result = run(build(), ["check", str(good), "--config", str(known)])
    assert (
        result.exit_code == 0
        and "3 servers" in result.output
        and "unix:@shared: c1 owns it, c0 claims it too" in result.output
    )
    result = run(build(), ["addresses", "explain", str(good), "c*", "x9=10.0.0.9:1", "--config", str(known)])
    lines = result.output.splitlines()
    assert result.exit_code == 0 and "  box: 10.0.0.1:80 unix:@shared [fd00::1]:80" in lines
    assert "  unix:@shared belongs to c1, which also claims it" in lines
    assert [line.split()[1] for line in lines if line.startswith(("1 ", "2 "))] == [
        "10.0.0.1:80", "[fd00::1]:80", "unix:@shared", "10.0.0.2:80", "10.0.0.9:1"]  # fmt: skip
    for arguments, message in ((["check", str(bad)], "endpoints.rules: expected array"), (["check", str(tmp_path / "no")], "No such file"),
                               (["addresses", "explain", str(good), "zz"], "zz: no such server")):  # fmt: skip
        command = [sys.executable, "-c", "from gladelane.cli import main; main()", *arguments]
        process = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, check=False)
        assert process.returncode == 1 and message in process.stderr and len(process.stderr.splitlines()) == 1


def test_a_director_without_an_operators_file_imports_no_optional_packages() -> None:
    code = "import sys, gladelane.__main__; print(sorted(m for m in sys.modules if '.' not in m or 'gladelane' in m))"
    process = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True
    )
    for module in (
        "typer",
        "rich",
        "structlog",
        "pyjson5",
        "netaddr",
        "gladelane.lab",
        "gladelane.cli",
        "gladelane.settings",
        "gladelane.audit",
        "gladelane.leases",
    ):
        assert f"'{module}'" not in process.stdout


@pytest.mark.parametrize("log_format", ["plain", "keyvalue", "json"])
def test_the_three_log_formats_have_the_same_text_and_fields(
    log_format: str, capfd: pytest.CaptureFixture[str]
) -> None:
    root, handlers_before = logging.getLogger(), logging.getLogger().handlers[:]
    try:
        logs.set_up_logging(log_format, "info")
        log = logging.getLogger("gladelane.x")
        log.debug("unseen")
        for _ in range(9):
            log.warning("mute peer=%s open=%d", "10.0.0.1:80", 3)
        lines = capfd.readouterr().err.splitlines()
        assert len(lines) == logs.MAX_LINES_PER_S
        if log_format == "json":
            event = json.loads(lines[0])
            assert (event["event"], event["peer"], event["open"], event["level"]) == (
                "mute",
                "10.0.0.1:80",
                "3",
                "warning",
            )
        elif log_format == "keyvalue":
            assert "event='mute'" in lines[0] and "peer='10.0.0.1:80'" in lines[0]
        else:
            assert "WARNING gladelane.x mute peer=10.0.0.1:80 open=3" in lines[0]
    finally:
        logging.basicConfig(force=True)
        root.handlers[:] = handlers_before
