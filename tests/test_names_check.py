"""Tests of .ci/names.py, which fails CI if names in finished packages contain withdrawn words."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SPEC = importlib.util.spec_from_file_location("names_check", ROOT / ".ci" / "names.py")
assert SPEC is not None and SPEC.loader is not None
names = importlib.util.module_from_spec(SPEC)
sys.modules["names_check"] = names
SPEC.loader.exec_module(names)


def rules(finished: tuple[str, ...] = (), limit: float = 100.0, **exceptions: dict[str, str]) -> names.Rules:
    return names.Rules(frozenset({"told", "seat"}), finished, exceptions, limit)


@pytest.fixture
def source_tree(tmp_path: Path) -> Path:
    (tmp_path / "lists").mkdir()
    (tmp_path / "lists" / "watch.py").write_text('"""Told of a seat."""\ntold_ms = 1  # told\nsettled = 2\n')
    (tmp_path / "other.py").write_text("class SeatTold:\n    UNTOLD = 1\n")
    return tmp_path


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("told", True),
        ("_told_ms", True),
        ("SeatOf", True),
        ("LAST_TOLD", True),
        ("HTTPSeat", True),
        ("UNTOLD", False),
        ("seated", False),
        ("_", False),
    ],
)
def test_names_are_split_into_words(name: str, expected: bool) -> None:
    assert rules().has_withdrawn_word(name) is expected


def test_a_finished_package_with_a_withdrawn_word_is_named_with_its_line(source_tree: Path) -> None:
    errors = names.check(source_tree, rules(finished=("lists",)))
    assert len(errors) == 1 and errors[0].endswith("watch.py:2: 'told_ms' in a finished package")


def test_exception_permits_its_name_and_must_be_used(source_tree: Path) -> None:
    assert names.check(source_tree, rules(finished=("lists",), lists={"told_ms": "a key of the wire"})) == []
    errors = names.check(source_tree, rules(lists={"told_at": "a key of a file"}))
    assert errors == ["names.toml: exceptions.lists.told_at is not used"]


def test_exception_of_one_package_does_not_apply_to_another(source_tree: Path) -> None:
    errors = names.check(source_tree, rules(finished=("lists",), other={"told_ms": "a key of the wire"}))
    assert len(errors) == 2 and errors[1] == "names.toml: exceptions.other.told_ms is not used"


def test_more_withdrawn_words_than_the_limit_are_an_error(source_tree: Path) -> None:
    errors = names.check(source_tree, rules(limit=10.0))
    assert len(errors) == 1 and errors[0].endswith("at most 10.0 %")


def test_exception_without_a_reason_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "names.toml"
    path.write_text('words = []\nfinished = []\nlimit_percent = 1.0\n[exceptions.lists]\ntold_ms = " "\n')
    with pytest.raises(ValueError, match="exceptions.lists.told_ms: expected a reason"):
        names.Rules.read(path)
