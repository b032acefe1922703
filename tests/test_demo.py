"""Tests that the demos named in README.md start, do their work and end."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path


def test_the_demo_starts_all_frontends() -> None:
    command = [sys.executable, "-B", "-m", "standins.demo", "--json", "--seconds", "0.2"]
    root = Path(__file__).parent.parent
    done = subprocess.run(command, capture_output=True, text=True, cwd=root, timeout=120)
    assert done.returncode == 0, done.stderr
    addresses = json.loads(done.stdout.splitlines()[0])
    assert {"http", "processor", "graphql"} <= addresses.keys()


def test_the_trial_demo_partitions_three_nodes_and_heals_them() -> None:
    command = [sys.executable, "-B", "-m", "lab.trial.demo", "--json"]
    root = Path(__file__).parent.parent
    done = subprocess.run(command, capture_output=True, text=True, cwd=root, timeout=120)
    assert done.returncode == 0, done.stderr
    report = json.loads(done.stdout)
    partitioned, healed = (
        {"n0": "alone", "n1": "most", "n2": "most"},
        dict.fromkeys(("n0", "n1", "n2"), "whole"),
    )
    assert report["levels"] == [partitioned, healed]
    assert report["broken"] == [] and report["outcomes"]["served"] > 500
