"""Small runs of the subjects have the format that the capacity page reads."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from badgercart.policy.endpoint import Endpoint
from badgercart.reload import checks
from benchmarks.scale import configuration, lists, policy, report
from benchmarks.scale.__main__ import main


@pytest.fixture(autouse=True)
def no_children(monkeypatch: pytest.MonkeyPatch) -> None:
    """Replace the process that measures memory at each size by a constant."""
    for module in (policy, lists, configuration):
        monkeypatch.setattr(module, "run_in_child", lambda code: 4096)
    monkeypatch.setattr(policy.PolicyHarness.decide, "__defaults__", (60,))


@pytest.mark.parametrize("subject", ["policy", "lists", "configuration"])
def test_a_small_run_is_stored_with_all_its_series(subject: str, tmp_path: Path) -> None:
    arguments = ["--only", subject, "--most", "20", "--out", str(tmp_path)]
    assert main(arguments) == 0
    raw = json.loads((tmp_path / f"{subject}.json").read_text())
    assert raw["command"] == f"python -m benchmarks.scale --only {subject} --most 20"
    assert raw["subject"] == subject and len(raw["revision"]) >= 40
    assert report.read(tmp_path / f"{subject}.json").series
    names = set()
    for series in raw["series"]:
        assert series.keys() == {"name", "unit", "over", "statistic", "fixed", "points"}
        assert all(size >= 0 and cost > 0 for size, cost in series["points"]), series
        assert max(size for size, _ in series["points"]) <= 20
        names.add(
            (
                series["name"],
                series["unit"],
                series["over"],
                series["statistic"],
                str(series["fixed"]),
            )
        )
    assert len(names) == len(raw["series"])


def test_the_limits_are_lifted_only_while_measuring() -> None:
    before = checks.MAX_CLASSES, checks.MAX_TENANTS
    assert len(configuration.make_config(classes=before[0] + 1, tenants=5).classes) == before[0] + 1
    assert before == (checks.MAX_CLASSES, checks.MAX_TENANTS)


def test_a_series_ends_where_it_takes_too_long(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration, "MAX_MEASUREMENT_S", 0.0)
    sizes, calls = configuration.BoundedSeries("classes"), []
    for size in (1, 2):
        sizes.measure("slow", size, lambda size=size: calls.append(size), 1)  # type: ignore[misc]
    monkeypatch.setattr(configuration, "MAX_MEASUREMENT_S", 10.0)
    sizes.measure("quick", 1, lambda: calls.append(10), 2)
    assert calls == [1, 10, 10] and sizes.stopped == {"slow"}


def test_ids_and_entries_of_servers_are_distinct() -> None:
    endpoints: list[Endpoint] = [policy.make_endpoint(number) for number in range(20_000)]
    assert len({endpoint.id for endpoint in endpoints}) == 20_000
    assert len({lists.make_entry(number)["hostPort"] for number in range(20_000)}) == 20_000
