"""The layers of the program: a module imports only from layers below that of its own package.

Every import counts, including those inside functions or under TYPE_CHECKING, because they are dependencies for the
reader as well. A failure says which kind of import it is.
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

#: The layers from the bottom up. A package may import packages of lower layers only, none of its own layer.
LAYERS: tuple[tuple[str, ...], ...] = (
    ("deployment", "clock"),
    ("structures", "sse", "logs", "process", "sockets"),
    ("supervision", "worker_threads"),
    ("storage", "endpoints"),
    ("control_plane",),  # the control server, which does not depend on its parts
    ("purges",),
    ("routing", "leases", "discovery", "timer_wheel"),
    ("admin",),
    ("gladelane", "net"),  # `gladelane`: the names that the package itself exports
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

#: Permitted upward imports, in the form of `str(Import)`. None may be added.
KNOWN_UPWARD_IMPORTS: frozenset[str] = frozenset()


class ImportKind(Enum):
    """When an import statement is executed."""

    LOADED = "when loaded"
    CALLED = "inside a function"
    TYPES = "for types only"


class Import(NamedTuple):
    """An import of one module by another. Module names lack the package, as in `purges.index`; the package itself is
    called `gladelane`."""

    importer: str
    imported: str
    kind: ImportKind

    def __str__(self) -> str:
        return f"{self.importer} -> {self.imported} ({self.kind.value})"


def module_names(root: Path) -> dict[str, Path]:
    """The paths of all modules in a package's folder, by their dotted names within the package."""
    modules = {}
    for path in sorted(root.rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        modules[name or PACKAGE] = path
    return modules


def _import_statements(
    tree: ast.AST, kind: ImportKind
) -> Iterator[tuple[ast.Import | ast.ImportFrom, ImportKind]]:
    """Yields all import statements of a module, with the kind that follows from the code around them."""
    for node in ast.iter_child_nodes(tree):
        if isinstance(node, ast.Import | ast.ImportFrom):
            yield node, kind
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            yield from _import_statements(node, ImportKind.CALLED)
        elif isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test):
            yield from _import_statements(node, ImportKind.TYPES)
        else:
            yield from _import_statements(node, kind)


def _imported_names(node: ast.Import | ast.ImportFrom, importer: str, is_package: bool) -> Iterator[str]:
    """Yields the absolute names that a statement may import, whether modules or members of modules."""
    if isinstance(node, ast.Import):
        yield from (alias.name for alias in node.names)
        return
    base = node.module or ""
    if node.level:
        importer_path = [PACKAGE] if importer == PACKAGE else [PACKAGE, *importer.split(".")]
        parents = importer_path[: len(importer_path) - node.level + (1 if is_package else 0)]
        base = ".".join([*parents, *([node.module] if node.module else [])])
    yield from (f"{base}.{alias.name}" for alias in node.names)


def imports_of(root: Path) -> list[Import]:
    """Every import of one module of the package by another."""
    modules = module_names(root)
    found = set()
    for importer, path in modules.items():
        is_package = path.name == "__init__.py"
        for node, kind in _import_statements(ast.parse(path.read_text()), ImportKind.LOADED):
            for target in _imported_names(node, importer, is_package):
                if not f"{target}.".startswith(f"{PACKAGE}."):
                    continue
                name = target[len(PACKAGE) + 1 :]
                while name and name not in modules:  # a member of a module
                    name = name.rpartition(".")[0]
                found.add(Import(importer, name or PACKAGE, kind))
    return sorted(found, key=str)


def unit_of(module: str) -> str:
    """The package or top-level module by which `LAYERS` places a module."""
    return module.partition(".")[0]


def upward_imports(imports: list[Import]) -> list[Import]:
    """The imports from a higher layer than the importer's, or from another package of the same layer."""
    rank = {unit: layer for layer, units in enumerate(LAYERS) for unit in units}
    return [
        import_
        for import_ in imports
        if (importer := unit_of(import_.importer)) != (imported := unit_of(import_.imported))
        and rank[imported] >= rank[importer]
    ]


def find_cycle(imports: list[Import]) -> list[str]:
    """The packages of an import cycle; empty if there is none."""
    graph: dict[str, set[str]] = {}
    for import_ in imports:
        importer, imported = unit_of(import_.importer), unit_of(import_.imported)
        if importer != imported:
            graph.setdefault(importer, set()).add(imported)
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        return list(error.args[1])
    return []


def test_every_package_belongs_to_one_layer() -> None:
    placed_units = [unit for units in LAYERS for unit in units]
    assert len(placed_units) == len(set(placed_units))
    assert {unit_of(name) for name in module_names(ROOT)} <= set(placed_units)


def test_no_module_imports_upward() -> None:
    assert {str(import_) for import_ in upward_imports(imports_of(ROOT))} == KNOWN_UPWARD_IMPORTS


def test_there_are_no_import_cycles_between_packages() -> None:
    assert (
        find_cycle([import_ for import_ in imports_of(ROOT) if str(import_) not in KNOWN_UPWARD_IMPORTS])
        == []
    )


def loaded_by(start: str, imports: list[Import]) -> set[str]:
    """All modules that a module imports directly or indirectly, including itself."""
    loaded, pending = set(), [start]
    while pending:
        module = pending.pop()
        if module not in loaded:
            loaded.add(module)
            pending += [import_.imported for import_ in imports if import_.importer == module]
    return loaded


#: The parts of the control server, each with the packages of the other parts.
CONTROL_SERVER_PARTS = {
    "purges.control_part": {"audit", "leases"},
    "audit.server": {"purges", "leases"},
    "leases.server": {"purges", "audit"},
}


@pytest.mark.parametrize("part", CONTROL_SERVER_PARTS)
def test_parts_of_the_control_server_do_not_import_one_another(part: str) -> None:
    modules = loaded_by(part, imports_of(ROOT))
    assert "control_plane.part" in modules
    assert not {unit_of(module) for module in modules} & CONTROL_SERVER_PARTS[part]


PLANTED_IMPORTS = {
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


@pytest.mark.parametrize(("code", "detected"), PLANTED_IMPORTS.items())
def test_upward_imports_are_detected(tmp_path: Path, code: str, detected: str) -> None:
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
    assert [str(import_) for import_ in upward_imports(imports_of(tmp_path))] == (
        [detected] if detected else []
    )


def test_import_cycles_are_detected(tmp_path: Path) -> None:
    for name, code in {
        "leases": "from ..control_plane import a",
        "control_plane": "from ..leases import a",
    }.items():
        (tmp_path / name).mkdir()
        (tmp_path / name / "__init__.py").write_text("")
        (tmp_path / name / "a.py").write_text(code)
    assert set(find_cycle(imports_of(tmp_path))) == {"leases", "control_plane"}
