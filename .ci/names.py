"""Counts names of the code that carry a word of an earlier house style, as `.ci/names.toml` lists them.

Fails if a finished package has such a name without an exception, if the whole tree has more than the limit,
or if an exception is no longer used. `python .ci/names.py --list PACKAGE` prints them with their places.
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
WORD = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+")  # of snake_case, CamelCase and UPPER_CASE


@dataclass(frozen=True)
class Rules:
    words: frozenset[str]
    finished: tuple[str, ...]
    exceptions: dict[str, dict[str, str]]  # package -> name -> reason
    limit_percent: float

    @classmethod
    def read(cls, path: Path) -> Rules:
        """Raises ValueError where an exception has no reason."""
        raw = tomllib.loads(path.read_text())
        for package, names in raw["exceptions"].items():
            for name, reason in names.items():
                if not reason.strip():
                    raise ValueError(f"{path.name}: exceptions.{package}.{name}: expected a reason")
        return cls(frozenset(raw["words"]), tuple(raw["finished"]), raw["exceptions"], raw["limit_percent"])

    def carries_word(self, name: str) -> bool:
        return any(part.lower() in self.words for part in WORD.findall(name))

    def excuses(self, package: str, name: str) -> bool:
        return name in self.exceptions.get(package, {})


@dataclass(frozen=True)
class Occurrence:
    name: str
    path: Path
    line: int


def names_in(path: Path) -> Iterator[Occurrence]:
    """Every name token of a source file. Raises OSError, tokenize.TokenError."""
    for token in tokenize.generate_tokens(io.StringIO(path.read_text()).readline):
        if token.type == tokenize.NAME:
            yield Occurrence(token.string, path, token.start[0])


def package_of(path: Path, root: Path) -> str:
    """`gladelane/purges/wire.py` belongs to `purges`, `gladelane/sse.py` to `sse`."""
    return path.relative_to(root).parts[0].removesuffix(".py")


def check(root: Path, rules: Rules) -> list[str]:
    """What is wrong, a line each."""
    found: Counter[str] = Counter()
    total = 0
    unused = {(package, name) for package, names in rules.exceptions.items() for name in names}
    errors = []
    for path in sorted(root.rglob("*.py")):
        package = package_of(path, root)
        for occurrence in names_in(path):
            total += 1
            if not rules.carries_word(occurrence.name):
                continue
            if rules.excuses(package, occurrence.name):
                unused.discard((package, occurrence.name))
                continue
            found[package] += 1
            if package in rules.finished:
                errors.append(f"{path}:{occurrence.line}: {occurrence.name!r} in a finished package")
    percent = 100.0 * found.total() / max(total, 1)
    share = f"{found.total()} of {total} ({percent:.2f} %)"
    print(f"names with withdrawn words: {share}; {dict(found.most_common())}")
    if percent > rules.limit_percent:
        errors.append(f"{percent:.2f} % of all names carry a withdrawn word; at most {rules.limit_percent} %")
    errors += [f"names.toml: exceptions.{package}.{name} is not used" for package, name in sorted(unused)]
    return errors


def print_names(root: Path, rules: Rules, package: str) -> None:
    for path in sorted(root.rglob("*.py")):
        if package_of(path, root) != package:
            continue
        for occurrence in names_in(path):
            if rules.carries_word(occurrence.name) and not rules.excuses(package, occurrence.name):
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
