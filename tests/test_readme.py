"""Tests that the example in README.md runs as printed."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_the_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code
    exec(compile(code[1], "README.md", "exec"), {})
    assert re.fullmatch(
        r"request 1 goes to server [012], for 400 ms at most\n", capsys.readouterr().out
    )
