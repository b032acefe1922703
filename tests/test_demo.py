"""The command that the README begins with comes up with all its fronts, and ends."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path


def test_the_demo_comes_up_and_names_its_fronts() -> None:
    command = [sys.executable, "-B", "-m", "standins.demo", "--json", "--seconds", "0.2"]
    root = Path(__file__).parent.parent
    done = subprocess.run(command, capture_output=True, text=True, cwd=root, timeout=120)
    assert done.returncode == 0, done.stderr
    told = json.loads(done.stdout.splitlines()[0])
    assert {"http", "processor", "graphql"} <= told.keys()


def test_three_nodes_are_cut_apart_and_heal_before_your_eyes() -> None:
    command = [sys.executable, "-B", "-m", "lab.trial.demo", "--json"]
    root = Path(__file__).parent.parent
    done = subprocess.run(command, capture_output=True, text=True, cwd=root, timeout=120)
    assert done.returncode == 0, done.stderr
    told = json.loads(done.stdout)
    cut, healed = (
        {"n0": "alone", "n1": "most", "n2": "most"},
        dict.fromkeys(("n0", "n1", "n2"), "whole"),
    )
    assert told["levels"] == [cut, healed]
    assert told["broken"] == [] and told["outcomes"]["served"] > 500
