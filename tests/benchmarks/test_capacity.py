"""docs/CAPACITY.md matches the runs; where budgets break; errors for missing figures."""

from __future__ import annotations

import json
import math
import shutil
from dataclasses import replace
from pathlib import Path

import pytest

from benchmarks.capacity import page
from benchmarks.capacity.__main__ import PAGE, main
from benchmarks.capacity.laws import (
    MIN_SHARE,
    RUNS_FOLDER,
    MissingSeriesError,
    Runs,
    ScalingLaw,
    break_share,
)
from benchmarks.capacity.roles import (
    Mechanism,
    Provenance,
    Requirement,
    Role,
    code_limit,
    nonexistent,
    rank_mechanisms,
)
from benchmarks.capacity.system_roles import distribution_roles, system_roles
from benchmarks.capacity.target import ASSUMPTIONS, BUDGETS, TARGET, Budget, Target
from benchmarks.scale.report import Run, Series


def synthetic_run(*series: Series, subject: str = "made") -> Run:
    return Run(subject, "python -m made", "0123456789", {}, list(series))


def power_law(exponent: float, factor: float = 1.0, over: str = "servers") -> Series:
    points = [(float(x), factor * x**exponent) for x in (10, 100, 1000, 10_000)]
    return Series("cost", "us", over, "median", points)


# The page and the runs.


def test_the_page_matches_the_runs() -> None:
    assert page.differing_parts(PAGE.read_text(), page.build_tables(Runs.load())) == []


def test_a_changed_run_is_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """The last cost of one series that a table uses is multiplied by 1.5."""
    law = used_laws()[0]
    runs = tmp_path / "runs"
    shutil.copytree(RUNS_FOLDER, runs)
    path = runs / f"{law.subject}.json"
    raw = json.loads(path.read_text())
    series = next(one for one in raw["series"] if is_same_series(one, law.series))
    series["points"][-1][1] *= 1.5
    path.write_text(json.dumps(raw))
    assert main(["--check", "--runs", str(runs)]) == 1
    assert "differs from the runs in" in capsys.readouterr().err


def is_same_series(raw: dict[str, object], series: Series) -> bool:
    return all(raw[key] == getattr(series, key) for key in ("name", "over", "statistic", "fixed"))


def test_every_law_affects_some_table() -> None:
    """With the last cost of any series multiplied by 1.5, some part of the page differs."""
    text, stored = PAGE.read_text(), Runs.load()
    for law in used_laws():
        last = law.points[-1]
        altered = replace(law.series, points=[*law.points[:-1], (last[0], 1.5 * last[1])])
        run = replace(law.run, series=[altered if s is law.series else s for s in law.run.series])
        assert (
            page.differing_parts(text, page.build_tables(Runs(stored.runs | {law.subject: run})))
            != []
        ), law.name


@pytest.mark.parametrize(
    "name", ["ranking", "first to break", "needs", "slopes", "budgets", "assumed"]
)
def test_an_altered_page_is_reported(
    name: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    before, rest = PAGE.read_text().split(f"<!-- worked out: {name} -->\n")
    copy = tmp_path / "CAPACITY.md"
    copy.write_text(f"{before}<!-- worked out: {name} -->\n{rest.replace('0', '9', 1)}")
    assert main(["--check", "--page", str(copy)]) == 1
    assert f"CAPACITY.md differs from the runs in: {name}\n" in capsys.readouterr().err


def test_a_page_is_updated(tmp_path: Path) -> None:
    copy = tmp_path / "CAPACITY.md"
    copy.write_text(
        page.PART_PATTERN.sub(
            r"<!-- worked out: \g<name> -->\n<!-- end of \g<name> -->", PAGE.read_text()
        )
    )
    assert main(["--check", "--page", str(copy)]) == 1
    assert main(["--write", "--page", str(copy)]) == 0
    assert copy.read_text() == PAGE.read_text()


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("<!-- worked out: a -->\n", "'a' has no end marker"),
        ("<!-- worked out: a -->\n<!-- end of a -->\n" * 2, "'a' occurs twice on the page"),
        (
            "<!-- worked out: b -->\n<!-- end of b -->\n",
            "there is no table for the part 'b', only: a",
        ),
        ("", "the page has no part 'a'"),
    ],
)
def test_wrong_markers_are_reported(text: str, words: str) -> None:
    with pytest.raises(page.PageError, match=words):
        page.update_page(text, {"a": "1"})


def used_laws() -> list[ScalingLaw]:
    runs = Runs.load()
    page.build_tables(runs)
    return list(runs.used_laws.values())


def test_each_law_states_its_run_range_exponent_and_distance_to_the_target() -> None:
    table = page.build_tables(Runs.load())["slopes"]
    for law in used_laws():
        row = next(row for row in table.splitlines() if f" | {law.name} | " in row)
        assert law.run.command in row and str(law.slope) in row
        assert "within" in row or "times beyond" in row


def test_a_variable_without_a_target_size_is_an_error() -> None:
    law = ScalingLaw(synthetic_run(power_law(1, over="moons")), power_law(1, over="moons"), "made")
    with pytest.raises(
        ValueError, match="made: cost, median, over moons: the target has no 'moons'"
    ):
        page.slopes_table([law], {law.name: "S1"})


# Missing figures.


def test_a_missing_run_is_reported() -> None:
    with pytest.raises(
        MissingSeriesError, match="no run 'moons' for 'cost' over 'servers'; the runs are: made"
    ):
        Runs({"made": synthetic_run(power_law(1))}).law("moons", "cost", "servers")


def test_a_missing_series_is_reported() -> None:
    with pytest.raises(
        MissingSeriesError,
        match=r"0 series in 'made' match 'price' over 'servers', classes 9.*'cost'",
    ):
        Runs({"made": synthetic_run(power_law(1))}).law("made", "price", "servers", classes=9)


def test_two_matching_series_are_an_error() -> None:
    with pytest.raises(MissingSeriesError, match="2 series in 'made' match 'cost'"):
        Runs({"made": synthetic_run(power_law(1), power_law(2))}).law("made", "cost", "servers")


def test_a_series_too_short_for_a_slope_is_reported() -> None:
    short = Series("cost", "us", "servers", "median", [(10.0, 1.0), (20.0, 2.0)])
    with pytest.raises(ValueError, match="made: cost, median, over servers: a slope needs 3 sizes"):
        Runs({"made": synthetic_run(short)}).law("made", "cost", "servers")


def test_an_invalid_run_file_ends_with_a_one_line_error(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "broken.json").write_text("{")
    assert main(["--check", "--runs", str(tmp_path)]) == 2
    assert capsys.readouterr().err.startswith("capacity: broken.json is not a valid run")


# Scaling laws.


def test_a_law_interpolates_its_points_and_extrapolates_with_the_exponents_at_its_ends() -> None:
    points = [
        (float(x), 5.0 * max(x, 1e3) / 1e3)
        for x in (10, 30, 100, 300, 1000, 3000, 10**4, 10**5, 10**6)
    ]
    series = Series("cost", "us", "servers", "median", points)
    law = ScalingLaw(synthetic_run(series), series, "made")
    assert law(1) == pytest.approx(5.0) and law(30) == pytest.approx(5.0)
    assert law(31_622.776601683792) == pytest.approx(5 * 31.6227766)
    assert law(10**7) == pytest.approx(5 * 10**4)
    assert law.extrapolation_factor(5000) == 1 and law.extrapolation_factor(3 * 10**6) == 3


def test_a_law_extrapolates_below_its_points_only_where_they_rise() -> None:
    rising, falling = power_law(1.0), power_law(-0.5)
    assert ScalingLaw(synthetic_run(rising), rising, "made")(1) == pytest.approx(1.0)
    assert ScalingLaw(synthetic_run(falling), falling, "made")(1) == pytest.approx(10**-0.5)


# The share at which a budget breaks.


@pytest.mark.parametrize(
    ("factor", "exponent", "budget"), [(8.0, 1.0, 2.0), (100.0, 2.0, 1.0), (3.0, 0.5, 0.06)]
)
def test_a_power_law_breaks_at_its_closed_form(
    factor: float, exponent: float, budget: float
) -> None:
    found = break_share(lambda share: factor * share**exponent, budget)
    assert found == pytest.approx((budget / factor) ** (1 / exponent), rel=1e-6)


def test_the_first_break_counts_if_the_cost_falls_again() -> None:
    found = break_share(lambda share: 5.0 if 0.1 <= share <= 0.2 else 0.1, 1.0)
    assert found == pytest.approx(0.1, rel=1e-6)


def test_an_infinite_cost_breaks_at_0_and_a_constant_one_never() -> None:
    assert break_share(lambda share: math.inf, 1.0) == 0.0
    assert break_share(lambda share: 1.0, 1.0) == math.inf


def test_breaking_at_any_size_differs_from_not_existing() -> None:
    assert break_share(lambda share: 2.0, 1.0) == MIN_SHARE
    assert page.format_share(MIN_SHARE) == "**at any size**" and page.format_share(0.0) == "**0**"


def test_a_budget_of_0_and_a_cost_that_is_not_a_number_are_errors() -> None:
    with pytest.raises(ValueError, match="a budget must be positive, not 0"):
        break_share(lambda share: 1.0, 0)
    with pytest.raises(ValueError, match="the cost at 1e-06 of the target is not a number"):
        break_share(lambda share: math.nan, 1.0)


def test_a_share_of_the_target_keeps_zones_and_control_machines() -> None:
    tenth = TARGET.scaled(0.1)
    assert (tenth.nodes, tenth.tenants, tenth.machine_restarts_per_day) == (860, 29_000, 2800)
    assert (tenth.regions, tenth.zones, tenth.control_machines) == (3, 11, 40)
    assert tenth.requests_per_node_s == pytest.approx(TARGET.requests_per_node_s)
    assert tenth.list_changes_per_s == pytest.approx(TARGET.list_changes_per_s / 10)


# Roles and the ranking.


def make_role(name: str, *requirements: Requirement, required: tuple[Mechanism, ...] = ()) -> Role:
    return Role(name, "", "", requirements, required)


def make_requirement(mechanism: Mechanism, break_at: float) -> Requirement:
    return Requirement(
        "limit",
        "x",
        "x",
        lambda t: t.nodes,
        code_limit(TARGET.nodes * break_at, "x", "y"),
        mechanism,
    )


def test_mechanisms_rank_by_smallest_share_then_by_dependent_roles() -> None:
    missing = Requirement(
        "state", "x", "", nonexistent, BUDGETS["core"], Mechanism.MEMBERSHIP_CELLS
    )
    also_missing = Requirement(
        "state", "x", "", nonexistent, BUDGETS["core"], Mechanism.NUMBERED_CHANGES
    )
    roles = [
        make_role(
            "a",
            make_requirement(Mechanism.TENANT_SHARES, 0.1),
            missing,
            required=(Mechanism.NUMBERED_CHANGES, Mechanism.MEMBERSHIP_CELLS),
        ),
        make_role(
            "b",
            make_requirement(Mechanism.SERVICE_FLEETS, 0.01),
            also_missing,
            required=(Mechanism.NUMBERED_CHANGES,),
        ),
    ]
    order = [one.mechanism for one in rank_mechanisms(roles)]
    assert order == [
        Mechanism.NUMBERED_CHANGES,
        Mechanism.MEMBERSHIP_CELLS,
        Mechanism.SERVICE_FLEETS,
        Mechanism.TENANT_SHARES,
    ]


def test_a_role_has_the_requirement_that_breaks_first() -> None:
    assert (
        make_role(
            "a",
            make_requirement(Mechanism.NUMBERED_CHANGES, 0.5),
            make_requirement(Mechanism.MEMBERSHIP_CELLS, 0.2),
        ).first_to_break.mechanism
        is Mechanism.MEMBERSHIP_CELLS
    )


def test_a_requirement_has_its_weakest_provenance() -> None:
    law, budget = (
        ScalingLaw(synthetic_run(power_law(1)), power_law(1), "made"),
        Budget(1.0, "us", ""),
    )

    def provenance(
        laws: tuple[ScalingLaw, ...] = (),
        assumptions: tuple[str, ...] = (),
        is_law_value: bool = False,
    ) -> Provenance:
        return Requirement(
            "time",
            "x",
            "us",
            lambda t: 1.0,
            budget,
            Mechanism.NUMBERED_CHANGES,
            laws,
            assumptions,
            is_law_value,
        ).provenance

    assert provenance((law,), is_law_value=True) is Provenance.EXTRAPOLATED
    reached = Series(
        "cost", "us", "servers", "one", [(10.0, 1.0), (100.0, 1.0), (TARGET.servers, 2.0)]
    )
    assert (
        provenance((ScalingLaw(synthetic_run(reached), reached, "made"),), is_law_value=True)
        is Provenance.MEASURED
    )
    assert provenance((law,)) is Provenance.MODELLED
    assert provenance((law,), ("idle",), True) is Provenance.GUESSED
    assert make_requirement(Mechanism.NUMBERED_CHANGES, 1.0).provenance is Provenance.LIMIT
    assert (
        Requirement("time", "x", "s", nonexistent, budget, Mechanism.NUMBERED_CHANGES).provenance
        is Provenance.NOTHING
    )


def test_all_roles_are_listed_and_use_known_assumptions() -> None:
    roles = system_roles(Runs.load())
    assert [one.name for one in roles] == [
        "what decides a request",
        "what follows the list",
        "what follows the configuration",
        "a member among peers",
        "tenants' shares",
        "a cold server's budget",
        "the zones' plan and council",
        "health and what is learned",
        "the service that tells lists",
        "the 40 machines",
    ]
    for one in roles:
        for requirement in one.requirements:
            assert set(requirement.assumptions) <= set(ASSUMPTIONS)
            assert requirement.break_share >= MIN_SHARE or requirement.break_share == 0.0


def test_the_target_is_the_operators_table() -> None:
    assert (
        Target(8_600, 170_000, 5_400, 910_000, 43_000, 290_000, 6_600, 420, 28_000, 3, 11, 40)
        == TARGET
    )


def test_the_distribution_roles_use_its_run() -> None:
    """In this synthetic run a change is in force at the last node after 100 ms per 1,000 nodes."""
    assert distribution_roles(Runs({})) == []
    names = (
        "a change in force at the last node", "bytes at the target's rate of changes",
        "processor at the target's rate of changes", "bytes of a leader", "processor of a leader",
        "bytes of the busiest other store", "processor of the busiest other store",
    )  # fmt: skip
    fixed = {"services followed": ASSUMPTIONS["served"].value}
    points = [(1000.0, 100.0), (2000.0, 200.0), (4000.0, 400.0)]
    series = [Series(name, "x", "nodes", "mean", points, fixed) for name in names]
    all_services = [replace(one, fixed={"services followed": -1.0}) for one in series]
    stored = {
        "distribution": synthetic_run(*series, *all_services, subject="distribution"),
        "lists": Runs.load().runs["lists"],
    }
    by_name = {
        requirement.name: requirement
        for role in distribution_roles(Runs(stored))
        for requirement in role.requirements
    }
    last_node = by_name["a change is in force at the last node"]
    assert last_node.cost_at_target == pytest.approx(
        0.86
    ) and last_node.break_share == pytest.approx(4 / 0.86, rel=1e-6)
    assert "distribution" not in page.missing_subjects(Runs(stored))


def test_the_policy_is_compared_where_both_runs_exist() -> None:
    """With the same run for before and after, all costs and shares are equal."""
    stored = Runs.load().runs
    assert "policy-before" in stored
    table = page.policy_comparison_table(Runs(stored | {"policy": stored["policy-before"]}))
    for row in table.splitlines()[2:]:
        before, after, _, broke, breaks = row.split("|")[2:7]
        assert before.strip() == after.strip() and broke.strip() == breaks.strip()
    without = {name: run for name, run in stored.items() if name != "policy"}
    assert page.policy_comparison_table(Runs(without)).startswith("Not run anew yet")
