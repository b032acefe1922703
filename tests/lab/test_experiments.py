"""Tests of experiment files, sweeps, commands, statistics and the policies to compare with."""

from __future__ import annotations

import json
import multiprocessing
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.app.faults import SettingsFileError
from lab.__main__ import main
from lab.metrics import DayMetrics
from lab.peers import NAMES, make
from lab.peers.limits import Aimd, Gradient, RetryBudget
from lab.peers.pickers import WeightedLeastRequest
from lab.settings import Cell, grid_cells, load_day
from lab.stats import Interval, mean_interval, paired_difference, verdict
from lab.sweep import Sweep, SweepError, read_result, result_file_name, sweep
from tests.lab.killing import (
    kill_always,
    kill_first,
    kill_first_at_its_end,
    kill_first_slowly,
    kill_once,
    kill_three_of_four,
)
from tests.lab.support import day

VALID_FILE = """[experiment]
name = "small"
seconds = 2
seeds = [1, 2]
policies = ["badgercart", "p2c"]
[[class]]
name = "find"
[grid]
"arrivals.load" = [0.3, 0.6]
"""


def write_file(folder: Path, text: str = VALID_FILE) -> str:
    path = folder / "day.toml"
    path.write_text(text)
    return str(path)


@pytest.mark.parametrize(
    ("change", "line", "message"),
    [
        (("seconds = 2", "secconds = 2"), 3, "secconds: is not known here; known are"),
        (("seconds = 2", "seconds = 0.5"), 3, "is not within 1 to 86400"),
        (('"p2c"', '"p3c"'), 5, "'p3c' is none of badgercart, random"),
        (("[[class]]", "[fleet]\nserver = 3\n[[class]]"), 7, "server: is not known here"),
        (('"arrivals.load"', '"arrivals.lode"'), 9, "there is no setting 'arrivals.lode'"),
        (("[0.3, 0.6]", "[0.3, -1]"), 9, "greater than 0"),
        (("[0.3, 0.6]", "0.3"), 9, "takes a list of values"),
        (('name = "find"', 'name = "find"\naim_ms = 9000'), 8, "is longer than deadline_ms"),
        (("[grid]", '[[trouble]]\nkind = "slow"\nat_s = 9\n[grid]'), 10, "is after the day's end"),
        (
            ("[grid]", '[[trouble]]\nkind = "slaw"\nat_s = 1\n[grid]'),
            9,
            "'slaw' is none of slow, silent",
        ),
        (('name = "find"', 'dist = "pareto"'), 6, "name is missing"),
    ],
)
def test_faults_of_a_file_are_reported_by_line(
    tmp_path: Path,
    change: tuple[str, str],
    line: int,
    message: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = write_file(tmp_path, VALID_FILE.replace(*change))
    with pytest.raises(SettingsFileError) as caught:
        load_day(path, NAMES)
    assert message in str(caught.value) and f"line {line}" in str(caught.value), str(caught.value)
    assert main(["sweep", path]) == 2 and message in capsys.readouterr().err


def test_a_grid_expands_to_every_day_once_by_values_policies_and_seeds(tmp_path: Path) -> None:
    expanded = list(grid_cells(load_day(write_file(tmp_path), NAMES)))
    assert [cell.name for cell in expanded] == [
        f"{policy} arrivals.load={value} seed={seed}"
        for value in (0.3, 0.6) for policy in ("badgercart", "p2c") for seed in (1, 2)
    ]  # fmt: skip
    assert len({result_file_name(cell) for cell in expanded}) == 8


def test_a_sweep_continues_after_a_killed_worker_and_names_failed_days(tmp_path: Path) -> None:
    all_cells = list(grid_cells(load_day(write_file(tmp_path), NAMES)))
    folder = tmp_path / "results"
    with pytest.raises(SweepError) as caught:
        list(sweep(all_cells, folder, 2, task=kill_once))
    lines = str(caught.value).splitlines()
    assert len(lines) == 2 and all("p2c arrivals.load=0.6 seed=" in line and "as the test wants" in line
                                   for line in lines)  # fmt: skip
    finished = [path for path in folder.glob("*.json") if read_result(path) is not None]
    assert len(finished) == 6 and not list(folder.glob(".*"))
    times = {path: path.stat().st_mtime_ns for path in finished}
    days = list(sweep(all_cells, folder, 2))
    assert [cell.name for cell, _ in days] == [cell.name for cell in all_cells]
    # Finished days are not played again.
    assert all(path.stat().st_mtime_ns == before for path, before in times.items())


def test_a_day_that_always_kills_its_worker_fails_alone(tmp_path: Path) -> None:
    all_cells = list(grid_cells(load_day(write_file(tmp_path), NAMES)))
    with pytest.raises(SweepError) as caught:
        list(sweep(all_cells, tmp_path / "r", 2, task=kill_always))
    assert [line.split(": ")[1] for line in str(caught.value).splitlines()] == [
        "its process was killed"
    ] * 2
    assert len(list((tmp_path / "r").glob("*.json"))) == 6


def test_a_day_with_an_invalid_result_file_is_played_again(tmp_path: Path) -> None:
    cell = next(grid_cells(load_day(write_file(tmp_path), NAMES)))
    for text in ("", "{", "[1]", "{}"):
        (tmp_path / result_file_name(cell)).write_text(text)
        assert read_result(tmp_path / result_file_name(cell)) is None
    ((_, result),) = sweep([cell], tmp_path, 1)
    assert result["requests"] > 50


def test_commands_print_and_write_their_results(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_file(tmp_path)
    assert main(["run", path, "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["policy"] == "badgercart"
    assert main(["sweep", path, "--markdown"]) == 0
    table = capsys.readouterr().out.splitlines()
    assert len(table) == 6 and table[2].startswith("| badgercart arrivals.load=0.3 |")
    assert main(["compare", path, "p2c", "badgercart"]) == 0
    assert "arrivals.load=0.6" in capsys.readouterr().out
    assert main(["compare", path, "p2c", "random"]) == 2
    out = tmp_path / "page.html"
    assert main(["report", path, "-o", str(out)]) == 0
    text = out.read_text()
    assert text.count("<svg") >= 4 and "http://www.w3.org" in text and "<script" not in text
    assert 'src="' not in text and (tmp_path / "page-heat.png").read_bytes()[:4] == b"\x89PNG"
    assert main(["run", path, "--policy", "none"]) == 2 and main(["load", path]) == 2
    assert main(["load", path, "--record"]) == 1 and "uniform law" in capsys.readouterr().err


# Statistics and measures.


@settings(max_examples=30, deadline=None)
@given(st.lists(st.floats(0, 1), min_size=3, max_size=12), st.floats(0.01, 0.5))
def test_paired_differences_detect_a_change_that_is_equal_for_all_seeds(
    values: list[float], more: float
) -> None:
    difference = paired_difference([v + more for v in values], values)
    assert difference.mean == pytest.approx(more) and verdict(difference) == "better"
    assert verdict(paired_difference(values, [v + more for v in values])) == "worse"
    interval = mean_interval(values)
    assert min(values) - 1e-9 <= interval.low <= interval.mean + 1e-9
    assert interval.mean - 1e-9 <= interval.high
    assert verdict(Interval(0.0, -0.1, 0.1)) == "not told apart"


def test_worth_outcomes_jams_and_recovery_count_by_the_arrival_of_requests() -> None:
    measure = DayMetrics(day(10.0, [{"kind": "slow", "at_s": 2.0, "for_s": 2.0}],
                          experiment={"measured_from_s": 1.0}))  # fmt: skip
    for second in range(10):
        for cls, took in ((0, 100.0), (1, 900.0 if 2 <= second < 6 else 100.0)):
            measure.request_offered(second * 1000.0)
            measure.request_ended(second * 1000.0, cls, 0, "served", took)
    result = measure.to_dict()
    assert result["classes"]["lookup"]["ends"] == {"served": 9}
    assert result["classes"]["assign"]["ends"] == {"served": 5, "late": 4}
    assert result["share"] == pytest.approx((9 * 2 + 5 * 8) / (9 * 10))
    assert result["recovery_s"] == 2.0 and result["jam_s"] == 0
    assert result["quantiles"]["p50"] == pytest.approx(100.0, rel=0.01)


# Policies to compare with.


def test_an_unknown_policy_is_rejected() -> None:
    from badgercart.core.request_pipeline import RequestPipeline
    from lab.clock import VirtualClock

    clock = VirtualClock()
    for name in ("nobody", "p2c+nobody", "badgercart+aimd"):
        with pytest.raises(LookupError, match="is none of"):
            make(name, day(), RequestPipeline(day().policy_settings(0), 1, clock, clock.time), 1)


def test_limits_and_the_retry_budget_follow_their_specifications() -> None:
    aimd = Aimd()
    for _ in range(30):
        aimd.ended(0.0, 10.0, False, 1000)
    assert aimd.limit == 50.0 and aimd.allows(49) and not aimd.allows(50)
    aimd.ended(0.0, 10.0, True, 50)
    assert aimd.limit == 45.0
    # The limit grows only while it is in use.
    aimd.ended(0.0, 10.0, False, 3)
    assert aimd.limit == 45.0
    gradient = Gradient()
    for _ in range(200):
        gradient.ended(0.0, 10.0, False, 1000)
    grown = gradient.limit
    for _ in range(50):
        gradient.ended(0.0, 200.0, False, 1000)
    assert grown > 100 and gradient.limit < grown / 2
    budget = RetryBudget(0.2)
    # Ten retries per second, over 10 s.
    assert sum(budget.take(0.0) for _ in range(1000)) == 100
    for _ in range(50):
        budget.request(1000.0)
    assert sum(budget.take(1000.0) for _ in range(1000)) == 10
    assert sum(budget.take(30_000.0) for _ in range(1000)) == 100


def test_weighted_least_request_picks_in_proportion_to_weights() -> None:
    import random

    from badgercart.policy.endpoint import Endpoint, EndpointState
    from lab.peers.base import Host

    picker = WeightedLeastRequest(random.Random(1))
    hosts = [Host(Endpoint(n, 0, 0, 0, EndpointState.READY, float(n), 0.0)) for n in (1, 2, 5)]
    picker.hosts(hosts)
    counts: dict[int, int] = dict.fromkeys((1, 2, 5), 0)
    for _ in range(800):
        host = picker.pick(0.0, [])
        assert host is not None
        counts[host.entry.id] += 1
    assert [counts[n] for n in (1, 2, 5)] == [pytest.approx(n * 100, abs=3) for n in (1, 2, 5)]
    assert picker.pick(0.0, [1, 2, 5]) is None


@pytest.mark.parametrize("task", [kill_first, kill_first_slowly, kill_first_at_its_end])
def test_a_day_that_kills_its_worker_leaves_the_other_days_all_workers(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, task: Callable[[Cell, str], str]
) -> None:
    # Guards against a sweep that never ends, or loses days, as one of its workers has died: before
    # the next days are started, while they run, or with its result written.
    text = VALID_FILE.replace("seeds = [1, 2]", f"seeds = {list(range(1, 13))}").replace(
        "[0.3, 0.6]", "[0.3]"
    )
    all_cells = [
        cell
        for cell in grid_cells(load_day(write_file(tmp_path, text), NAMES))
        if cell.policy == "p2c"
    ]
    rounds: list[tuple[int, int]] = []
    play = Sweep.play

    def counting_play(self: Sweep, left: list[Cell], workers: int) -> list[Cell]:
        rounds.append((len(left), workers))
        return play(self, left, workers)

    monkeypatch.setattr(Sweep, "play", counting_play)
    has_result = task is kill_first_at_its_end
    if has_result:
        list(sweep(all_cells, tmp_path / "r", 2, task=task))
    else:
        with pytest.raises(SweepError, match="^[^\n]* seed=1: its process was killed$"):
            list(sweep(all_cells, tmp_path / "r", 2, task=task))
    assert len(list((tmp_path / "r").glob("*.json"))) == 11 + has_result
    # The other days were played by all workers, and only the one whose worker died once more.
    assert rounds == ([(12, 2)] if has_result else [(12, 2), (1, 1)])


def test_a_sweep_ends_where_the_workers_of_most_days_die(tmp_path: Path) -> None:
    # Guards against a sweep that never ends: Python 3.11's own pool of processes waits forever for
    # a worker that it starts while it handles a dead one.
    text = VALID_FILE.replace("seeds = [1, 2]", f"seeds = {list(range(1, 41))}").replace(
        "[0.3, 0.6]", "[0.3]"
    )
    all_cells = list(grid_cells(load_day(write_file(tmp_path, text), NAMES)))
    with pytest.raises(SweepError) as caught:
        list(sweep(all_cells, tmp_path / "r", 4, task=kill_three_of_four))
    assert len(str(caught.value).splitlines()) == 60
    assert len(list((tmp_path / "r").glob("*.json"))) == 20
    assert not multiprocessing.active_children()
