"""Compiles the preload libraries of this package with the machine's C compiler."""

from __future__ import annotations

import subprocess
from pathlib import Path

SOURCES = Path(__file__).parent
COMPILER = "cc"
FLAGS = ("-shared", "-fPIC", "-O2", "-Wall", "-Wextra", "-Werror", "-pthread")


def compile_library(name: str, folder: Path) -> Path:
    """Compiles `NAME.c` of this package into `folder` and returns the path of the shared library.

    Raises FileNotFoundError where the machine has no compiler, and CalledProcessError, with the compiler's
    messages on its `stderr`, for a source that does not compile.
    """
    library = folder / f"{name}.so"
    subprocess.run(
        [COMPILER, *FLAGS, "-o", str(library), str(SOURCES / f"{name}.c"), "-ldl"],
        check=True,
        capture_output=True,
        text=True,
    )
    return library
