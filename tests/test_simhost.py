"""The simulator's adapter: translation in both directions, malformed lines, the end of the input."""

import json
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent

WIRE: dict[str, Any] = {
    "areas": ["hub", "edge"], "balancers": 1, "me": 0, "zone": "edge", "kinds": ["box", "mid", "root"],
    "registry_mode": "automatic", "weights": "off", "tick_ms": 2.0, "report": {"how": "off", "fields": []},
    "classes": [{"name": "film", "effect": "retryable", "aim_ms": 600.0, "deadline_ms": 5000.0, "value": 2.0}],
    "family_info": {"store_kind": 2, "upper_kind": 1, "hub_of": [0, 0], "seats_by_zone": [0, 1],
                    "notes_given": "all", "peers_fill": "off", "merges_fills": True, "pass_on": [False],
                    "good_for_ms": [0.0], "segmented": [True], "one_flow_kb_per_s": 4000.0,
                    "gone_everywhere_ms": 6000.0, "notice_time_ms": 500.0, "parent_cold_from": 1.0,
                    "parent_cold_ms": 0.0},
    "limits": {"max_attempts": 6, "max_open": 100, "dial_timeout_ms": 400.0, "cancel": True, "retry_after": True},
    "rules": {"drain_grace_ms": 1000.0, "cold_from": 0.2, "warm_after_ms": 9000.0, "fall_multiple": 2.0,
              "fall_ms": 2000.0},
}  # fmt: skip
START_TEMPLATE = (
    "CLOCK 1000\nABOUT 3\nBORN 5 {settings}\nREGISTER 0 3\nSTORE 1.1.1.1:1 edge box 0 IN 1 -\n"
    "STORE 1.1.1.2:1 hub mid 0 IN 1 -\nSTORE 1.1.1.3:1 hub root 0 IN 1 -\nVIEW 0 1 warm_copy\nYOUR_TURN\n"
)


def run_simhost(text: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "gladelane.simhost"]
    return subprocess.run(command, input=text, capture_output=True, text=True, cwd=ROOT, check=False)


def start_messages(**changes: object) -> str:
    return START_TEMPLATE.replace("{settings}", json.dumps({**WIRE, **changes}))


def test_a_request_is_answered_by_a_fetch_and_the_end_of_the_input_is_no_error() -> None:
    process = run_simhost(
        start_messages() + "CLOCK 1010\nABOUT 3\nINBOUND 42 film - 99 4010 640 11 3 1\nYOUR_TURN\n"
    )
    assert process.returncode == 0 and process.stderr == ""
    replies = process.stdout.split("DONE\n")
    assert len(replies) == 3
    assert "AT 3\n" in replies[1]
    assert "PULL_VIA 42 3000.000 1.1.1.1:1 0 - 1.1.1.2:1 1\n" in replies[1]


def test_a_keyed_request_is_not_repeated_at_another_store_if_no_store_has_a_cell() -> None:
    # Guards against a keyed request that runs twice, because an absent cell was read as cell 0.
    sheet = {"name": "sheet", "effect": "dedup", "group": "cell", "window_ms": 2000.0, "aim_ms": 800.0,
             "deadline_ms": 3000.0, "value": 3.0}  # fmt: skip
    start = start_messages(classes=[sheet]).replace(
        "REGISTER 0 3\n", "REGISTER 0 4\nSTORE 1.1.1.4:1 edge box 0 IN 1 -\n"
    )
    request = "CLOCK 1010\nABOUT 3\nINBOUND 42 sheet - 99 4010 640 11 3 1\nYOUR_TURN\n"
    sent = re.search(r"PULL_VIA 42 \S+ (\S+)", run_simhost(start + request).stdout)
    assert sent is not None
    failure = f"CLOCK 1020\nABOUT 3\nENDED 42 301 10 - 0 {sent[1]} - 0 -\nYOUR_TURN\n"
    assert "PULL_VIA" in run_simhost(start + request + failure).stdout.split("DONE\n")[2]
    without_cells = start.replace(" box 0 ", " box - ")
    assert "ERROR 42" in run_simhost(without_cells + request + failure).stdout.split("DONE\n")[2]


def test_an_empty_batch_gets_an_empty_reply() -> None:
    assert run_simhost("CLOCK 8412.25\nYOUR_TURN\n").stdout == "DONE\n"


def test_a_malformed_line_ends_the_run_with_one_message_and_a_failure_line() -> None:
    for malformed in (
        "HELLO 1",
        "INBOUND x film - 9 4010",
        "INBOUND 1 song - 9 4010",
        "VIEW 9 1 total",
        "ENDED 1 999",
    ):
        process = run_simhost(start_messages() + f"CLOCK 1010\nABOUT 3\n{malformed}\nYOUR_TURN\n")
        assert process.returncode != 0
        assert malformed in process.stderr and len(process.stderr.splitlines()) == 1
        assert process.stdout.split("DONE\n")[1].startswith("BUG ")
        assert process.stdout.endswith("DONE\n")


def test_the_error_for_an_invalid_setting_has_its_key() -> None:
    process = run_simhost(start_messages(balancers="many"))
    assert process.returncode != 0 and "balancers is 'many'; expected a whole number" in process.stderr


def test_a_stopped_director_ignores_later_messages() -> None:
    text = (
        start_messages()
        + "CLOCK 1010\nABOUT 3\nDOWN\nYOUR_TURN\nCLOCK 1020\nABOUT 3\nREMINDER sweep\nYOUR_TURN\n"
    )
    assert run_simhost(text).stdout.split("DONE\n")[2] == ""
