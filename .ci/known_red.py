"""Tests that may fail, by KNOWN-RED.txt at the root: `TEST | CAUSE | ISSUE` a line, three at the most.

Prints each of them, then runs the tests without them. Fails on more than three lines, on one that
lacks a cause or an issue, and on one that names no test.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

MOST = 3
PYTEST = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
#: Tests that judge nothing by real time: four at a time. All others run one after another.
PARALLEL = ["golden", "lab", "leases", "routing", "storage", "structures"]


def read(path: Path) -> list[str]:
    """The tests' ids. Raises ValueError."""
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MOST:
        raise ValueError(f"{path.name}: {len(lines)} tests, {MOST} at most")
    tests = []
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{path.name}: expected 'TEST | CAUSE | ISSUE', got {line!r}")
        print(f"known to fail: {line}", flush=True)
        tests.append(parts[0])
    return tests


def main() -> int:
    try:
        tests = read(Path("KNOWN-RED.txt"))
    except ValueError as error:
        print(error, file=sys.stderr)
        return 1
    for test in tests:
        found = subprocess.run([*PYTEST, "--collect-only", test], capture_output=True, text=True)
        if found.returncode:
            print(f"KNOWN-RED.txt: no such test: {test}", file=sys.stderr)
            return 1
    deselected = [f"--deselect={test}" for test in tests]
    folders = [f"tests/{name}" for name in PARALLEL]
    parallel = subprocess.run([*PYTEST, "-n", "4", "--dist", "worksteal", *deselected, *folders]).returncode
    serial = subprocess.run([*PYTEST, *deselected, *(f"--ignore={folder}" for folder in folders)]).returncode
    return parallel or serial


if __name__ == "__main__":
    sys.exit(main())
