"""The measure of full service in `benchmarks.comeback`: the start of processes against imports at the same time, what
comes after it in seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from benchmarks.comeback import first_restart
from benchmarks.comeback.first_restart import (
    AFTER_START_S,
    DELAY_S,
    DelayedStart,
    Restart,
    first_start_s,
    time_imports,
)


@dataclass
class Life:
    ups: list[float]
    downs: list[float] = field(default_factory=list)


@pytest.mark.parametrize(
    "directors,start_s",
    [
        ([Life([101.0, 106.0], [105.0]), Life([101.5, 107.25], [105.01])], 2.25),
        ([Life([101.5]), Life([101.0, 106.0], [105.0])], 1.0),  # one was not struck
        # the second fault, of another director too, is no part of the first restart
        ([Life([101.0, 106.0, 119.0], [105.0, 117.0]), Life([101.5, 118.0], [117.0])], 1.0),
        ([Life([101.5], [105.0]), Life([101.0, 106.0], [105.0])], math.inf),  # one never came back
    ],
)
def test_the_first_restart_lasts_until_the_last_director_that_was_struck_answers(
    directors: list[Life], start_s: float
) -> None:
    assert first_start_s(directors) == start_s


def put_program(folder: Path, text: str) -> None:
    """A program of which the package is empty and `__main__` is the text."""
    package = folder / "gladelane"
    package.mkdir()
    (package / "__init__.py").touch()
    (package / "__main__.py").write_text(text)


def test_imports_of_the_program_of_this_checkout_are_measured(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    assert time_imports(1) > 0.0
    put_program(tmp_path, "import time\ntime.sleep(0.5)\n")
    monkeypatch.setattr(first_restart, "ROOT", tmp_path)
    assert time_imports(1) >= 0.5


def test_imports_that_fail_are_no_measure(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    put_program(tmp_path, "raise ImportError('planted')\n")
    monkeypatch.setattr(first_restart, "ROOT", tmp_path)
    with pytest.raises(RuntimeError, match="cannot be imported"):
        time_imports(1)


@pytest.mark.parametrize("is_installed", [True, False])  # beside what this environment itself has installed
def test_imports_of_a_program_that_is_not_of_this_checkout_are_no_measure(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, is_installed: bool
) -> None:
    installed, checkout = tmp_path / "installed", tmp_path / "checkout"
    for folder in (installed, checkout):
        folder.mkdir()
    if is_installed:
        put_program(installed, "")
    monkeypatch.setenv("PYTHONPATH", str(installed))
    monkeypatch.setattr(first_restart, "ROOT", checkout)  # the program is not there
    with pytest.raises(RuntimeError, match="cannot be imported"):
        time_imports(1)


@pytest.mark.parametrize("import_s", [0.3, 0.6, 1.4, 3.0])  # a fast, a usual, a busy and a very busy machine
@pytest.mark.parametrize(
    "start_share,after_s,is_late",
    [
        (0.5, 0.0, False),
        (1.0, AFTER_START_S - 0.01, False),
        (1.0, AFTER_START_S + 0.1, True),
        (1.0, math.inf, True),
        (1.01, 0.0, True),
        (math.inf, 0.0, True),
        (math.inf, math.inf, True),
        (math.inf, math.nan, True),
    ],
)
def test_a_restart_is_late_where_its_start_or_what_follows_takes_too_long(
    import_s: float, start_share: float, after_s: float, is_late: bool
) -> None:
    limit_s = Restart(import_s, 0.0).start_limit_s
    restart = Restart(import_s, start_share * limit_s)
    assert restart.is_late(restart.start_s + after_s) is is_late


@pytest.mark.parametrize("import_s", [0.1, 0.5, 0.74])
def test_on_a_machine_at_rest_no_more_than_the_three_seconds_of_before_are_allowed(import_s: float) -> None:
    assert Restart(import_s, 0.0).start_limit_s + AFTER_START_S < 3.0


@pytest.mark.parametrize("import_s", [0.3, 0.6, 1.4, 3.0])
def test_a_start_that_is_delayed_on_purpose_counts_as_late(import_s: float) -> None:
    undelayed_s = 1.6 * import_s  # as long as restarts were seen to take under load
    delay_s = max(DELAY_S, Restart(import_s, 0.0).start_limit_s)
    late = Restart(import_s, undelayed_s + delay_s)
    assert DelayedStart(delay_s, late.start_s, late).is_noticed
    in_time = Restart(import_s, undelayed_s)
    assert not DelayedStart(delay_s, in_time.start_s, in_time).is_noticed
