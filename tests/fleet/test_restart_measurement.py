"""How `benchmarks.comeback` judges a restart: its start relative to the time of imports, the rest in seconds."""

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
class DirectorTimes:
    ups: list[float]
    downs: list[float] = field(default_factory=list)


@pytest.mark.parametrize(
    "directors,start_s",
    [
        ([DirectorTimes([101.0, 106.0], [105.0]), DirectorTimes([101.5, 107.25], [105.01])], 2.25),
        ([DirectorTimes([101.5]), DirectorTimes([101.0, 106.0], [105.0])], 1.0),  # one had no fault
        # a second fault, also of another director, does not belong to the first restart
        ([DirectorTimes([101.0, 106.0, 119.0], [105.0, 117.0]), DirectorTimes([101.5, 118.0], [117.0])], 1.0),
        (
            [DirectorTimes([101.5], [105.0]), DirectorTimes([101.0, 106.0], [105.0])],
            math.inf,
        ),  # one did not come back
    ],
)
def test_first_restart_ends_when_the_last_affected_director_replies(
    directors: list[DirectorTimes], start_s: float
) -> None:
    assert first_start_s(directors) == start_s


def write_program(folder: Path, text: str) -> None:
    """Writes a package `gladelane` with this text as `__main__`."""
    package = folder / "gladelane"
    package.mkdir()
    (package / "__init__.py").touch()
    (package / "__main__.py").write_text(text)


def test_import_time_is_measured_for_the_program_of_this_checkout(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    assert time_imports(1) > 0.0
    write_program(tmp_path, "import time\ntime.sleep(0.5)\n")
    monkeypatch.setattr(first_restart, "ROOT", tmp_path)
    assert time_imports(1) >= 0.5


def test_failed_imports_raise_an_error(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    write_program(tmp_path, "raise ImportError('planted')\n")
    monkeypatch.setattr(first_restart, "ROOT", tmp_path)
    with pytest.raises(RuntimeError, match="cannot be imported"):
        time_imports(1)


@pytest.mark.parametrize("is_installed", [True, False])  # in addition to what this environment has installed
def test_imports_of_a_program_outside_this_checkout_raise_an_error(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, is_installed: bool
) -> None:
    installed, checkout = tmp_path / "installed", tmp_path / "checkout"
    for folder in (installed, checkout):
        folder.mkdir()
    if is_installed:
        write_program(installed, "")
    monkeypatch.setenv("PYTHONPATH", str(installed))
    monkeypatch.setattr(first_restart, "ROOT", checkout)  # without the program
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
def test_restart_is_late_if_its_start_or_the_time_after_it_is_too_long(
    import_s: float, start_share: float, after_s: float, is_late: bool
) -> None:
    limit_s = Restart(import_s, 0.0).start_limit_s
    restart = Restart(import_s, start_share * limit_s)
    assert restart.is_late(restart.start_s + after_s) is is_late


@pytest.mark.parametrize("import_s", [0.1, 0.5, 0.74])
def test_limit_on_an_idle_machine_is_below_three_seconds(import_s: float) -> None:
    assert Restart(import_s, 0.0).start_limit_s + AFTER_START_S < 3.0


@pytest.mark.parametrize("import_s", [0.3, 0.6, 1.4, 3.0])
def test_deliberately_delayed_start_is_late(import_s: float) -> None:
    undelayed_s = 1.6 * import_s  # as restarts take under load
    delay_s = max(DELAY_S, Restart(import_s, 0.0).start_limit_s)
    late = Restart(import_s, undelayed_s + delay_s)
    assert DelayedStart(delay_s, late.start_s, late).is_noticed
    in_time = Restart(import_s, undelayed_s)
    assert not DelayedStart(delay_s, in_time.start_s, in_time).is_noticed
