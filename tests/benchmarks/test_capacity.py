"""docs/CAPACITY.md holds what the runs come to; where budgets break; what is said of a figure that
lacks."""

from __future__ import annotations

import json
import math
import shutil
from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks.capacity import page
from benchmarks.capacity.__main__ import PAGE, main
from benchmarks.capacity.laws import LEAST, RUNS, Law, MissingSeries, Runs, break_share
from benchmarks.capacity.rows import (
    Mechanism,
    Need,
    Role,
    Tag,
    limit,
    nothing,
    ranking,
    roles,
    told,
)
from benchmarks.capacity.target import ASSUMED, BUDGETS, TARGET, Budget, Target
from benchmarks.scale.report import Run, Series


def run_of(*series: Series, subject: str = "made") -> Run:
    return Run(subject, "python -m made", "0123456789", {}, list(series))


def power(exponent: float, factor: float = 1.0, over: str = "servers") -> Series:
    points = [(float(x), factor * x**exponent) for x in (10, 100, 1000, 10_000)]
    return Series("cost", "us", over, "median", points)


# The page and the runs.


def test_the_page_holds_what_the_runs_come_to() -> None:
    assert page.differing(PAGE.read_text(), page.tables(Runs.kept())) == []


def test_a_run_that_changed_shows(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """The last point of one series that a table stands on, made half as much again."""
    law = used()[0]
    runs = tmp_path / "runs"
    shutil.copytree(RUNS, runs)
    path = runs / f"{law.subject}.json"
    raw = json.loads(path.read_text())
    series = next(one for one in raw["series"] if same(one, law.series))
    series["points"][-1][1] *= 1.5
    path.write_text(json.dumps(raw))
    assert main(["--check", "--runs", str(runs)]) == 1
    assert "differs from the runs in" in capsys.readouterr().err


def same(raw: dict[str, object], series: Series) -> bool:
    return all(raw[key] == getattr(series, key) for key in ("name", "over", "statistic", "fixed"))


def test_no_law_is_there_that_no_table_stands_on() -> None:
    """Each series in turn, with its last cost half as much again: some part of the page is
    otherwise."""
    text, kept = PAGE.read_text(), Runs.kept()
    for law in used():
        last = law.points[-1]
        altered = replace(law.series, points=[*law.points[:-1], (last[0], 1.5 * last[1])])
        run = replace(law.run, series=[altered if s is law.series else s for s in law.run.series])
        assert (
            page.differing(text, page.tables(Runs(kept.runs | {law.subject: run}))) != []
        ), law.name


@pytest.mark.parametrize(
    "name", ["ranking", "first to break", "needs", "slopes", "budgets", "assumed"]
)
def test_a_page_that_was_altered_shows(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    before, rest = PAGE.read_text().split(f"<!-- worked out: {name} -->\n")
    copy = tmp_path / "CAPACITY.md"
    copy.write_text(f"{before}<!-- worked out: {name} -->\n{rest.replace('0', '9', 1)}")
    assert main(["--check", "--page", str(copy)]) == 1
    assert f"CAPACITY.md differs from the runs in: {name}\n" in capsys.readouterr().err


def test_a_page_is_renewed(tmp_path: Path) -> None:
    copy = tmp_path / "CAPACITY.md"
    copy.write_text(
        page.PART.sub(r"<!-- worked out: \g<name> -->\n<!-- end of \g<name> -->", PAGE.read_text())
    )
    assert main(["--check", "--page", str(copy)]) == 1
    assert main(["--write", "--page", str(copy)]) == 0
    assert copy.read_text() == PAGE.read_text()


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("<!-- worked out: a -->\n", "'a' has no end"),
        ("<!-- worked out: a -->\n<!-- end of a -->\n" * 2, "'a' stands there twice"),
        (
            "<!-- worked out: b -->\n<!-- end of b -->\n",
            "nothing works out a part 'b'; there are: a",
        ),
        ("", "the page has no part 'a'"),
    ],
)
def test_marks_that_are_wrong_are_named(text: str, words: str) -> None:
    with pytest.raises(page.PageError, match=words):
        page.renewed(text, {"a": "1"})


def used() -> list[Law]:
    runs = Runs.kept()
    page.tables(runs)
    return list(runs.used.values())


def test_each_law_says_how_far_it_was_run() -> None:
    """No figure without its run, range, exponent and the way that is left to the target."""
    table = page.tables(Runs.kept())["slopes"]
    for law in used():
        row = next(row for row in table.splitlines() if f" | {law.name} | " in row)
        assert law.run.command in row and str(law.slope) in row
        assert "within" in row or "times beyond" in row


def test_a_size_that_the_target_does_not_have_is_named() -> None:
    law = Law(run_of(power(1, over="moons")), power(1, over="moons"), "made")
    with pytest.raises(
        ValueError, match="made: cost, median, over moons: the target has no 'moons'"
    ):
        page.slopes_table([law], {law.name: "S1"})


# Figures that lack.


def test_a_run_that_lacks_is_named() -> None:
    with pytest.raises(
        MissingSeries, match="no run 'moons' for 'cost' over 'servers'; there are: made"
    ):
        Runs({"made": run_of(power(1))}).law("moons", "cost", "servers")


def test_a_series_that_lacks_is_named() -> None:
    with pytest.raises(
        MissingSeries, match=r"0 series in 'made' are 'price' over 'servers', classes 9.*'cost'"
    ):
        Runs({"made": run_of(power(1))}).law("made", "price", "servers", classes=9)


def test_of_two_series_that_fit_none_is_taken() -> None:
    with pytest.raises(MissingSeries, match="2 series in 'made' are 'cost'"):
        Runs({"made": run_of(power(1), power(2))}).law("made", "cost", "servers")


def test_a_series_too_short_for_a_slope_is_named() -> None:
    short = Series("cost", "us", "servers", "median", [(10.0, 1.0), (20.0, 2.0)])
    with pytest.raises(ValueError, match="made: cost, median, over servers: a slope takes 3 sizes"):
        Runs({"made": run_of(short)}).law("made", "cost", "servers")


def test_a_file_that_is_no_run_ends_with_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "broken.json").write_text("{")
    assert main(["--check", "--runs", str(tmp_path)]) == 2
    assert capsys.readouterr().err.startswith("capacity: broken.json is no run")


# Laws.


def test_a_law_goes_by_its_points_then_by_the_exponents_at_its_ends() -> None:
    points = [
        (float(x), 5.0 * max(x, 1e3) / 1e3)
        for x in (10, 30, 100, 300, 1000, 3000, 10**4, 10**5, 10**6)
    ]
    series = Series("cost", "us", "servers", "median", points)
    law = Law(run_of(series), series, "made")
    assert law(1) == pytest.approx(5.0) and law(30) == pytest.approx(5.0)
    assert law(31_622.776601683792) == pytest.approx(5 * 31.6227766)
    assert law(10**7) == pytest.approx(5 * 10**4)
    assert law.beyond(5000) == 1 and law.beyond(3 * 10**6) == 3


def test_a_law_falls_below_its_points_only_where_these_do() -> None:
    rising, falling = power(1.0), power(-0.5)
    assert Law(run_of(rising), rising, "made")(1) == pytest.approx(1.0)
    assert Law(run_of(falling), falling, "made")(1) == pytest.approx(10**-0.5)


# The share at which a budget breaks.


@pytest.mark.parametrize(
    ("factor", "exponent", "budget"), [(8.0, 1.0, 2.0), (100.0, 2.0, 1.0), (3.0, 0.5, 0.06)]
)
def test_a_power_law_breaks_where_its_closed_form_says(
    factor: float, exponent: float, budget: float
) -> None:
    found = break_share(lambda share: factor * share**exponent, budget)
    assert found == pytest.approx((budget / factor) ** (1 / exponent), rel=1e-6)


def test_the_first_break_counts_where_a_cost_falls_again() -> None:
    found = break_share(lambda share: 5.0 if 0.1 <= share <= 0.2 else 0.1, 1.0)
    assert found == pytest.approx(0.1, rel=1e-6)


def test_what_does_not_exist_breaks_at_once_and_what_is_flat_never() -> None:
    assert break_share(lambda share: math.inf, 1.0) == 0.0
    assert break_share(lambda share: 1.0, 1.0) == math.inf


def test_what_exists_and_breaks_at_any_size_is_told_from_what_does_not_exist() -> None:
    assert break_share(lambda share: 2.0, 1.0) == LEAST
    assert page.share(LEAST) == "**at any size**" and page.share(0.0) == "**0**"


def test_a_budget_of_nothing_and_a_cost_that_is_no_number_are_errors() -> None:
    with pytest.raises(ValueError, match="a budget of 0 can't be kept"):
        break_share(lambda share: 1.0, 0)
    with pytest.raises(ValueError, match="the cost at 1e-06 of the target is no number"):
        break_share(lambda share: math.nan, 1.0)


def test_a_share_of_the_target_leaves_zones_and_machines_as_they_are() -> None:
    tenth = TARGET.at(0.1)
    assert (tenth.nodes, tenth.tenants, tenth.restarts) == (860, 29_000, 2800)
    assert (tenth.regions, tenth.zones, tenth.machines) == (3, 11, 40)
    assert tenth.node_requests == pytest.approx(TARGET.node_requests)
    assert tenth.lines == pytest.approx(TARGET.lines / 10)


# Roles and the ranking.


def role(name: str, *needs: Need, rests: tuple[Mechanism, ...] = ()) -> Role:
    return Role(name, "", "", needs, rests)


def need(mechanism: Mechanism, break_at: float) -> Need:
    return Need(
        "limit", "x", "x", lambda t: t.nodes, limit(TARGET.nodes * break_at, "x", "y"), mechanism
    )


def test_the_smallest_share_comes_first_and_of_equal_ones_what_most_rests_on() -> None:
    none = Need("state", "x", "", nothing, BUDGETS["core"], Mechanism.CELLS)
    also = Need("state", "x", "", nothing, BUDGETS["core"], Mechanism.TOLD)
    found = [
        role("a", need(Mechanism.SHARES, 0.1), none, rests=(Mechanism.TOLD, Mechanism.CELLS)),
        role("b", need(Mechanism.FLEETS, 0.01), also, rests=(Mechanism.TOLD,)),
    ]
    order = [one.mechanism for one in ranking(found)]
    assert order == [Mechanism.TOLD, Mechanism.CELLS, Mechanism.FLEETS, Mechanism.SHARES]


def test_a_role_says_what_breaks_first() -> None:
    assert (
        role("a", need(Mechanism.TOLD, 0.5), need(Mechanism.CELLS, 0.2)).first.mechanism
        is Mechanism.CELLS
    )


def test_a_figure_has_the_weakest_of_its_marks() -> None:
    law, budget = Law(run_of(power(1)), power(1), "made"), Budget(1.0, "us", "")

    def tag(laws: tuple[Law, ...] = (), assumed: tuple[str, ...] = (), plain: bool = False) -> Tag:
        return Need(
            "time", "x", "us", lambda t: 1.0, budget, Mechanism.TOLD, laws, assumed, plain
        ).tag

    assert tag((law,), plain=True) is Tag.EXTRAPOLATED
    reached = Series(
        "cost", "us", "servers", "one", [(10.0, 1.0), (100.0, 1.0), (TARGET.servers, 2.0)]
    )
    assert tag((Law(run_of(reached), reached, "made"),), plain=True) is Tag.MEASURED
    assert tag((law,)) is Tag.MODELLED
    assert tag((law,), ("idle",), True) is Tag.GUESSED
    assert need(Mechanism.TOLD, 1.0).tag is Tag.LIMIT
    assert Need("time", "x", "s", nothing, budget, Mechanism.TOLD).tag is Tag.NOTHING


def test_every_role_has_its_row_and_every_assumption_a_name() -> None:
    found = roles(Runs.kept())
    assert [one.name for one in found] == [
        "what decides a request", "what follows the list", "what follows the configuration",
        "a member among peers", "tenants' shares", "a cold server's budget", "the zones' plan and council",
        "health and what is learned", "the service that tells lists", "the 40 machines",
    ]  # fmt: skip
    for one in found:
        for wanted in one.needs:
            assert set(wanted.assumed) <= set(ASSUMED)
            assert wanted.share >= LEAST or wanted.share == 0.0


def test_the_target_is_the_operators_table() -> None:
    assert (
        Target(8_600, 170_000, 5_400, 910_000, 43_000, 290_000, 6_600, 420, 28_000, 3, 11, 40)
        == TARGET
    )


def test_what_was_built_is_worked_out_anew_where_it_was_run() -> None:
    """By made figures: a change is in force at the last node after 100 ms for each thousand
    nodes."""
    assert told(Runs({})) == []
    names = (
        "a change in force at the last node", "bytes at the target's rate of changes",
        "processor at the target's rate of changes", "bytes of a leader", "processor of a leader",
        "bytes of the busiest other store", "processor of the busiest other store",
    )  # fmt: skip
    fixed = {"services followed": ASSUMED["served"].value}
    points = [(1000.0, 100.0), (2000.0, 200.0), (4000.0, 400.0)]
    series = [Series(name, "x", "nodes", "mean", points, fixed) for name in names]
    everything = [replace(one, fixed={"services followed": -1.0}) for one in series]
    kept = {
        "distribution": run_of(*series, *everything, subject="distribution"),
        "lists": Runs.kept().runs["lists"],
    }
    found = {need.what: need for role in told(Runs(kept)) for need in role.needs}
    last = found["a change is in force at the last node"]
    assert last.at_target == pytest.approx(0.86) and last.share == pytest.approx(4 / 0.86, rel=1e-6)
    assert "distribution" not in page.not_run(Runs(kept))


def test_the_mend_shows_where_both_runs_are() -> None:
    """The same run under the name of the later one: nothing got better, and that is said."""
    kept = Runs.kept().runs
    assert "policy-before" in kept
    table = page.mended_table(Runs(kept | {"policy": kept["policy-before"]}))
    for row in table.splitlines()[2:]:
        before, after, _, broke, breaks = row.split("|")[2:7]
        assert before.strip() == after.strip() and broke.strip() == breaks.strip()
    without = {name: run for name, run in kept.items() if name != "policy"}
    assert page.mended_table(Runs(without)).startswith("Not run anew yet")
