"""Finds names in the code that contain a withdrawn word, that is one of `words` in `.ci/names.toml`.

Fails if a finished package has such a name without an exception, if the share of such names in the whole
tree exceeds the limit, or if an exception is no longer used. `python .ci/names.py --list PACKAGE` prints the
names of one package with file and line.
"""

from __future__ import annotations

import io
import re
import sys
import tokenize
import tomllib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "gladelane"
WORD_PATTERN = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")  # splits snake_case, CamelCase and UPPER_CASE


@dataclass(frozen=True)
class Rules:
    words: frozenset[str]
    finished: tuple[str, ...]
    exceptions: dict[str, dict[str, str]]  # package -> name -> reason
    limit_percent: float

    @classmethod
    def read(cls, path: Path) -> Rules:
        """Reads the rules from a TOML file. Raises ValueError if an exception has no reason."""
        raw = tomllib.loads(path.read_text())
        for package, names in raw["exceptions"].items():
            for name, reason in names.items():
                if not reason.strip():
                    raise ValueError(f"{path.name}: exceptions.{package}.{name}: expected a reason")
        return cls(frozenset(raw["words"]), tuple(raw["finished"]), raw["exceptions"], raw["limit_percent"])

    def has_withdrawn_word(self, name: str) -> bool:
        return any(part.lower() in self.words for part in WORD_PATTERN.findall(name))

    def has_exception(self, package: str, name: str) -> bool:
        return name in self.exceptions.get(package, {})


@dataclass(frozen=True)
class Occurrence:
    name: str
    path: Path
    line: int


def iter_names(path: Path) -> Iterator[Occurrence]:
    """Yields every name token of a source file. Raises OSError, tokenize.TokenError."""
    for token in tokenize.generate_tokens(io.StringIO(path.read_text()).readline):
        if token.type == tokenize.NAME:
            yield Occurrence(token.string, path, token.start[0])


def package_of(path: Path, root: Path) -> str:
    """The package of a source file: `purges` for `gladelane/purges/wire.py`, `sse` for `gladelane/sse.py`."""
    return path.relative_to(root).parts[0].removesuffix(".py")


def check(root: Path, rules: Rules) -> list[str]:
    """Returns the violations, one line each, and prints how many names contain a withdrawn word."""
    counts: Counter[str] = Counter()
    total = 0
    unused = {(package, name) for package, names in rules.exceptions.items() for name in names}
    errors = []
    for path in sorted(root.rglob("*.py")):
        package = package_of(path, root)
        for occurrence in iter_names(path):
            total += 1
            if not rules.has_withdrawn_word(occurrence.name):
                continue
            if rules.has_exception(package, occurrence.name):
                unused.discard((package, occurrence.name))
                continue
            counts[package] += 1
            if package in rules.finished:
                errors.append(f"{path}:{occurrence.line}: {occurrence.name!r} in a finished package")
    percent = 100.0 * counts.total() / max(total, 1)
    summary = f"{counts.total()} of {total} ({percent:.2f} %)"
    print(f"names with withdrawn words: {summary}; {dict(counts.most_common())}")
    if percent > rules.limit_percent:
        errors.append(f"{percent:.2f} % of all names carry a withdrawn word; at most {rules.limit_percent} %")
    errors += [f"names.toml: exceptions.{package}.{name} is not used" for package, name in sorted(unused)]
    return errors


def print_names(root: Path, rules: Rules, package: str) -> None:
    for path in sorted(root.rglob("*.py")):
        if package_of(path, root) != package:
            continue
        for occurrence in iter_names(path):
            if rules.has_withdrawn_word(occurrence.name) and not rules.has_exception(
                package, occurrence.name
            ):
                print(f"{path.relative_to(ROOT)}:{occurrence.line}: {occurrence.name}")


def main() -> int:
    rules = Rules.read(Path(__file__).with_name("names.toml"))
    if len(sys.argv) == 3 and sys.argv[1] == "--list":
        print_names(ROOT / PACKAGE, rules, sys.argv[2])
        return 0
    errors = check(ROOT / PACKAGE, rules)
    for error in errors:
        print(error, file=sys.stderr)
    return 1 if errors else 0


if __name__ == "__main__":
    sys.exit(main())
