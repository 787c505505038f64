"""Runs the test suite without the known failures that KNOWN-RED.txt in the root folder lists.

Each line of the file has the form `TEST | CAUSE | ISSUE`, and is printed. It is an error if there are more
than three lines, if a line lacks a cause or an issue, or if it names no existing test.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

MAX_KNOWN_FAILURES = 3
PYTEST = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
#: Folders of tests whose results do not depend on real time; these run four at a time. All other tests run
#: one after another.
PARALLEL_FOLDERS = ["golden", "lab", "leases", "routing", "storage", "structures"]


def read_known_failures(path: Path) -> list[str]:
    """Returns the ids of the listed tests; none if there is no file. Raises ValueError if it is invalid."""
    lines = [line for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MAX_KNOWN_FAILURES:
        raise ValueError(f"{path.name}: {len(lines)} tests, {MAX_KNOWN_FAILURES} at most")
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
        tests = read_known_failures(Path("KNOWN-RED.txt"))
    except ValueError as error:
        print(error, file=sys.stderr)
        return 1
    for test in tests:
        collected = subprocess.run([*PYTEST, "--collect-only", test], capture_output=True, text=True)
        if collected.returncode:
            print(f"KNOWN-RED.txt: no such test: {test}", file=sys.stderr)
            return 1
    deselected = [f"--deselect={test}" for test in tests]
    folders = [f"tests/{name}" for name in PARALLEL_FOLDERS]
    parallel = subprocess.run([*PYTEST, "-n", "4", "--dist", "worksteal", *deselected, *folders]).returncode
    serial = subprocess.run([*PYTEST, *deselected, *(f"--ignore={folder}" for folder in folders)]).returncode
    return parallel or serial


if __name__ == "__main__":
    sys.exit(main())
