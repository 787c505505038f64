"""Settings that are wrong name their key; unknown names are errors; the module's size stays in bounds."""

from pathlib import Path

import pytest
from conftest import PLAIN, settings

from gladelane.interface import Settings

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    "key", ["me", "zone", "origin_kind", "max_attempts", "cold_from", "fall_ms", "classes"]
)
def test_a_missing_key_is_named(key: str) -> None:
    with pytest.raises(ValueError, match=key):
        Settings.read({k: v for k, v in PLAIN.items() if k != key})


@pytest.mark.parametrize(
    ("key", "value"),
    [("me", -1), ("me", "x"), ("joins", 1), ("notes", "some"), ("zone", "nowhere"), ("fall_ms", float("nan")),
     ("hub_of", [5, 0]), ("seats_by_zone", [1]), ("max_attempts", 0), ("tick_ms", float("inf")), ("classes", [])],
)  # fmt: skip
def test_a_wrong_value_is_named(key: str, value: object) -> None:
    with pytest.raises(ValueError, match=key):
        settings(**{key: value})


def test_a_wrong_class_value_is_named() -> None:
    bad = [dict(PLAIN["classes"][0], effect="maybe")]
    with pytest.raises(ValueError, match=r"classes\[0\].effect"):
        settings(classes=bad)


def test_unknown_keys_are_passed_over_and_unknown_names_are_errors() -> None:
    known = settings(colour="blue")
    with pytest.raises(ValueError, match="unknown class 'song'"):
        known.class_named("song")
    with pytest.raises(ValueError, match="unknown zone 'moon'"):
        known.known_zone("moon")


def test_the_module_stays_small_enough_to_port() -> None:
    lines = (ROOT / "gladelane" / "choice.py").read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 740  # the operators run no longer module
    for path in (ROOT / "gladelane").glob("*.py"):
        assert all(len(line) <= 110 for line in path.read_text().splitlines()), path


def test_the_interface_is_named_first_in_the_module() -> None:
    text = (ROOT / "gladelane" / "choice.py").read_text()
    assert "gladelane/interface.py" in text.split("Map, top to bottom")[0]
