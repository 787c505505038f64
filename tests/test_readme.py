"""Tests that the README's embedding example runs unchanged and prints the documented output."""

import re
from pathlib import Path

import pytest

README = (Path(__file__).parent.parent / "README.md").read_text()


def test_embedding_example_prints_the_documented_output(capsys: pytest.CaptureFixture[str]) -> None:
    code_blocks = re.findall(r"```python\n(.*?)```", README, re.S)
    assert len(code_blocks) == 1
    exec(compile(code_blocks[0], "README.md", "exec"), {})
    assert capsys.readouterr().out == "cache-1 depot-1 0\n"
