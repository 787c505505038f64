"""Errors in settings name the key, unknown names are errors, and the routing modules stay short."""

import ast
import tomllib
from pathlib import Path

import pytest
from conftest import BASE_SETTINGS, settings

from gladelane.routing.events import Settings

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize(
    "key", ["me", "zone", "origin_kind", "max_attempts", "cold_from", "fall_ms", "classes"]
)
def test_the_error_for_a_missing_key_names_it(key: str) -> None:
    with pytest.raises(ValueError, match=key):
        Settings.read({k: v for k, v in BASE_SETTINGS.items() if k != key})


@pytest.mark.parametrize(
    ("key", "value"),
    [("me", -1), ("me", "x"), ("joins", 1), ("notes", "some"), ("zone", "nowhere"), ("fall_ms", float("nan")),
     ("hub_of", [5, 0]), ("seats_by_zone", [1]), ("max_attempts", 0), ("tick_ms", float("inf")), ("classes", [])],
)  # fmt: skip
def test_the_error_for_a_wrong_value_names_its_key(key: str, value: object) -> None:
    with pytest.raises(ValueError, match=key):
        settings(**{key: value})


def test_the_error_for_a_wrong_class_value_names_its_key() -> None:
    bad = [dict(BASE_SETTINGS["classes"][0], effect="maybe")]
    with pytest.raises(ValueError, match=r"classes\[0\].effect"):
        settings(classes=bad)


def test_unknown_keys_are_ignored_and_unknown_names_are_errors() -> None:
    known = settings(colour="blue")
    with pytest.raises(ValueError, match="unknown class 'song'"):
        known.get_class("song")
    with pytest.raises(ValueError, match="unknown zone 'moon'"):
        known.check_zone("moon")


ROUTING = sorted((ROOT / "gladelane" / "routing").glob("*.py"))
MAX_MODULE_LINES, MAX_CLASS_LINES, MAX_FUNCTION_LINES, MAX_LINE_LENGTH = 300, 250, 40, 110


def too_long(source: str, name: str) -> list[str]:
    """The names of the module, classes and functions that exceed the limits on lines."""
    found = [name] if len(source.splitlines()) > MAX_MODULE_LINES else []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ClassDef):
            limit = MAX_CLASS_LINES
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            limit = MAX_FUNCTION_LINES
        else:
            continue
        assert node.end_lineno is not None
        if node.end_lineno - node.lineno + 1 > limit:
            found.append(f"{name}:{node.name}")
    return found


@pytest.mark.parametrize("path", ROUTING, ids=lambda path: path.name)
def test_routing_modules_stay_within_the_line_limits(path: Path) -> None:
    assert too_long(path.read_text(), path.name) == []


@pytest.mark.parametrize(
    ("source", "found"),
    [
        ("x = 1\n" * 300, []),
        ("x = 1\n" * 301, ["m"]),
        ("class A:\n" + "    x = 1\n" * 249, []),
        ("class A:\n" + "    x = 1\n" * 250, ["m:A"]),
        ("class A:\n    async def f(self):\n" + "        x = 1\n" * 40, ["m:f"]),
        ("def f():\n" + "    x = 1\n" * 39, []),
        ("def f():\n" + "    x = 1\n" * 40, ["m:f"]),
    ],
)
def test_too_long_modules_classes_and_functions_are_found(source: str, found: list[str]) -> None:
    assert too_long(source, "m") == found


def test_lines_stay_within_the_limit() -> None:
    for path in [*(ROOT / "gladelane").glob("*.py"), *ROUTING]:
        assert all(len(line) <= MAX_LINE_LENGTH for line in path.read_text().splitlines()), path


def test_the_router_module_names_the_interface_first() -> None:
    docstring = ast.get_docstring(ast.parse((ROOT / "gladelane" / "routing" / "router.py").read_text()))
    assert docstring is not None and "gladelane/routing/events.py" in docstring.split("The parts")[0]


def test_the_deploy_file_names_every_routing_module() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    modules = {
        path.relative_to(ROOT).as_posix() for path in ROUTING if path.stem not in ("__init__", "events")
    }
    assert set(deploy["policy"]) == modules and len(deploy["policy"]) == len(modules)
    assert "gladelane/routing/events.py" in deploy["node"]
