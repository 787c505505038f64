"""Tests of .ci/known_red.py, which reads the list of tests that are known to fail."""

from __future__ import annotations

import importlib.util
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SPEC = importlib.util.spec_from_file_location("known_red", ROOT / ".ci" / "known_red.py")
assert SPEC is not None and SPEC.loader is not None
known_red = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(known_red)
LINE = "tests/test_x.py::test_a | a cause | 9\n"


@pytest.mark.parametrize(
    "text", [LINE * 4, "tests/test_x.py::test_a | a cause\n", "tests/test_x.py::test_a |  | 9\n"]
)
def test_list_with_too_many_or_incomplete_lines_is_rejected(tmp_path: Path, text: str) -> None:
    (tmp_path / "list").write_text(text)
    with pytest.raises(ValueError, match="list: "):
        known_red.read_known_failures(tmp_path / "list")


def test_known_failures_are_printed_and_a_missing_file_means_none(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "list").write_text(LINE * 2)
    assert known_red.read_known_failures(tmp_path / "list") == ["tests/test_x.py::test_a"] * 2
    assert capsys.readouterr().out.count("known to fail: tests/test_x.py::test_a | a cause | 9") == 2
    assert known_red.read_known_failures(tmp_path / "none") == []
