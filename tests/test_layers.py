"""The layers of the program: a module imports only what stands below its own package.

Every import counts, also one inside a function or under TYPE_CHECKING: those hide a dependency from the
interpreter, not from a reader. The message says which kind it is.
"""

from __future__ import annotations

import ast
from collections.abc import Iterator
from enum import Enum
from graphlib import CycleError, TopologicalSorter
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[1] / "gladelane"
PACKAGE = "gladelane"

#: From the bottom up. A package may import those of lower lines only, never its neighbours.
LAYERS: tuple[tuple[str, ...], ...] = (
    ("deployment", "clock"),
    ("structures", "sse", "logs", "process", "sockets"),
    ("storage", "endpoints"),
    ("control_plane",),  # the control server, which knows none of its parts
    ("purges",),
    ("routing", "leases", "discovery", "timer_wheel"),
    ("admin",),
    ("gladelane", "net"),  # `gladelane`: what the package itself gives out
    ("hot_restart",),
    ("recovery",),
    ("audit",),
    ("settings",),
    ("files", "operator_parts", "shutdown"),
    ("server",),
    ("__main__", "simhost"),
    ("lab",),
    ("cli",),
)

#: Imports that still go upward, as they are printed. May only shrink.
KNOWN: frozenset[str] = frozenset()


class Kind(Enum):
    """When an import is carried out."""

    LOADED = "when loaded"
    CALLED = "inside a function"
    TYPES = "for types only"


class Import(NamedTuple):
    """Modules are named without the package: `purges.index`; the package itself is `gladelane`."""

    importer: str
    imported: str
    kind: Kind

    def __str__(self) -> str:
        return f"{self.importer} -> {self.imported} ({self.kind.value})"


def module_names(root: Path) -> dict[str, Path]:
    """Each module below a package's folder, by its dotted name within the package."""
    found = {}
    for path in sorted(root.rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        found[name or PACKAGE] = path
    return found


def _nodes(tree: ast.AST, kind: Kind) -> Iterator[tuple[ast.Import | ast.ImportFrom, Kind]]:
    """All import statements of a module, with the kind that the code around them gives."""
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, ast.Import | ast.ImportFrom):
            yield node, kind
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield from _nodes(node, Kind.CALLED)
        elif isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test):
            yield from _nodes(node, Kind.TYPES)
        else:
            yield from _nodes(node, kind)


def _targets(node: ast.Import | ast.ImportFrom, importer: str, is_package: bool) -> Iterator[str]:
    """Absolute names of what a statement may import, modules and their members alike."""
    if isinstance(node, ast.Import):
        yield from (alias.name for alias in node.names)
        return
    base = node.module or ""
    if node.level:
        whole = [PACKAGE] if importer == PACKAGE else [PACKAGE, *importer.split(".")]
        parents = whole[: len(whole) - node.level + (1 if is_package else 0)]
        base = ".".join([*parents, *([node.module] if node.module else [])])
    yield from (f"{base}.{alias.name}" for alias in node.names)


def imports_of(root: Path) -> list[Import]:
    """Every import of one module of the package by another."""
    modules = module_names(root)
    found = set()
    for importer, path in modules.items():
        is_package = path.name == "__init__.py"
        for node, kind in _nodes(ast.parse(path.read_text()), Kind.LOADED):
            for target in _targets(node, importer, is_package):
                if not f"{target}.".startswith(f"{PACKAGE}."):
                    continue
                name = target[len(PACKAGE) + 1 :]
                while name and name not in modules:  # a member of a module
                    name = name.rpartition(".")[0]
                found.add(Import(importer, name or PACKAGE, kind))
    return sorted(found, key=str)


def unit_of(module: str) -> str:
    """The package, or the single module, that a layer names."""
    return module.partition(".")[0]


def upward(imports: list[Import]) -> list[Import]:
    """Imports of what stands higher than the importer's package, or beside it."""
    rank = {unit: n for n, units in enumerate(LAYERS) for unit in units}
    return [
        one
        for one in imports
        if (importer := unit_of(one.importer)) != (imported := unit_of(one.imported))
        and rank[imported] >= rank[importer]
    ]


def cycle(imports: list[Import]) -> list[str]:
    """Packages that import one another in a circle; empty: there is none."""
    graph: dict[str, set[str]] = {}
    for one in imports:
        importer, imported = unit_of(one.importer), unit_of(one.imported)
        if importer != imported:
            graph.setdefault(importer, set()).add(imported)
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        return list(error.args[1])
    return []


def test_every_package_has_its_layer() -> None:
    placed = [unit for units in LAYERS for unit in units]
    assert len(placed) == len(set(placed))
    assert {unit_of(name) for name in module_names(ROOT)} <= set(placed)


def test_no_module_imports_upward() -> None:
    assert {str(one) for one in upward(imports_of(ROOT))} == KNOWN


def test_no_packages_import_one_another_in_a_circle() -> None:
    assert cycle([one for one in imports_of(ROOT) if str(one) not in KNOWN]) == []


def reached(start: str, imports: list[Import]) -> set[str]:
    """All modules that a module loads, itself and through others."""
    found, waiting = set(), [start]
    while waiting:
        module = waiting.pop()
        if module not in found:
            found.add(module)
            waiting += [one.imported for one in imports if one.importer == module]
    return found


#: The parts of the control server, and the packages of the others.
PARTS = {
    "purges.control_part": {"audit", "leases"},
    "audit.server": {"purges", "leases"},
    "leases.server": {"purges", "audit"},
}


@pytest.mark.parametrize("part", PARTS)
def test_no_part_of_the_control_server_needs_another(part: str) -> None:
    modules = reached(part, imports_of(ROOT))
    assert "control_plane.part" in modules
    assert not {unit_of(module) for module in modules} & PARTS[part]


PLANTED = {
    "from ..net.director import Director": "purges.planted -> net.director (when loaded)",
    "from .. import routing": "purges.planted -> routing (when loaded)",
    "import gladelane.net.director": "purges.planted -> net.director (when loaded)",
    "try:\n    from ..net import director\nexcept ImportError:\n    pass":
        "purges.planted -> net.director (when loaded)",
    "def late() -> None:\n    from ..net.director import Director": "purges.planted -> net.director (inside a function)",
    "class Late:\n    async def late(self) -> None:\n        from gladelane.net import director":
        "purges.planted -> net.director (inside a function)",
    "import typing\nif typing.TYPE_CHECKING:\n    from ..routing.router import Router": "purges.planted -> routing.router (for types only)",
    "from gladelane import Router": "purges.planted -> gladelane (when loaded)",
    "from ..storage.log import WriteAheadLog\nimport gladelane_other": "",
}  # fmt: skip


@pytest.mark.parametrize(("code", "caught"), PLANTED.items())
def test_a_planted_upward_import_is_caught(tmp_path: Path, code: str, caught: str) -> None:
    for name in (
        "__init__",
        "routing/__init__",
        "routing/router",
        "net/__init__",
        "net/director",
        "purges/__init__",
        "storage/log",
    ):
        path = tmp_path / f"{name}.py"
        path.parent.mkdir(exist_ok=True)
        path.write_text("")
    (tmp_path / "purges" / "planted.py").write_text(code)
    assert [str(one) for one in upward(imports_of(tmp_path))] == ([caught] if caught else [])


def test_a_planted_circle_is_caught(tmp_path: Path) -> None:
    for name, code in {
        "leases": "from ..control_plane import a",
        "control_plane": "from ..leases import a",
    }.items():
        (tmp_path / name).mkdir()
        (tmp_path / name / "__init__.py").write_text("")
        (tmp_path / name / "a.py").write_text(code)
    assert set(cycle(imports_of(tmp_path))) == {"leases", "control_plane"}
