"""The cases of the review as tests, so that KNOWN-RED.txt can name them. They are no part of the default test
run (`testpaths` is `tests`) and need the environment that the build of the deploy file makes."""

# ruff: noqa: D103

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

REVIEW = Path(__file__).resolve().parent


@pytest.mark.parametrize("number", ["1", "2", "3"])
def test_the_rule_of_the_case_holds(number: str) -> None:
    run = subprocess.run([REVIEW / number / "run.sh"], capture_output=True, text=True, timeout=130)
    assert run.returncode == 0, run.stdout
