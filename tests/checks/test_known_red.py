"""Only the failures of tests listed in `KNOWN-RED.txt` are expected, and the summary prints them."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_red import FILE_NAME, MAX_TESTS, KnownFailure, parse

ROOT = Path(__file__).parents[2]
MODULE = """
import pytest

def test_good(): pass
def test_bad(): raise RuntimeError("its fault")
def test_other(): raise RuntimeError("another fault")
@pytest.mark.parametrize("n", [1, 2])
def test_some(n): assert n == 1
@pytest.fixture
def broken(): raise RuntimeError("a broken fixture")
def test_setup(broken): pass
"""


def run_pytest(
    pytester: pytest.Pytester, listed: str | None, *args: str, n: int = 0
) -> pytest.RunResult:
    """Run the tests of `MODULE` with this list of known failures in `n` worker processes."""
    pytester.makepyfile(test_it=MODULE)
    if listed is not None:
        (pytester.path / FILE_NAME).write_text(listed)
    pytester.makeini("[pytest]\naddopts = -p no:cacheprovider")
    return pytester.runpytest_subprocess("-p", "tests.known_red", "-n", str(n), *args)


@pytest.fixture(autouse=True)
def _import_path(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PYTHONPATH", str(ROOT))


@pytest.mark.parametrize("n", [0, 2])
def test_a_listed_failure_is_expected_and_printed(pytester: pytest.Pytester, n: int) -> None:
    """Check that a listed failure passes the run and is printed with its reason and issue."""
    listed = (
        "test_it.py::test_bad; pytest -k bad; the queue, which is long, is read twice; issue 7\n"
    )
    result = run_pytest(pytester, listed, "test_it.py::test_good", "test_it.py::test_bad", n=n)
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    expected_line = "test_it.py::test_bad: fails: the queue, which is long, is read twice (issue 7)"
    assert expected_line in result.outlines


def test_an_unlisted_failure_fails_the_run(pytester: pytest.Pytester) -> None:
    """Check that an unlisted failure fails the run, and that a listed test not run is printed."""
    result = run_pytest(
        pytester,
        "test_it.py::test_bad; pytest, seed 1; a fault; issue 7\n",
        "test_it.py::test_other",
    )
    assert result.ret == 1
    assert "test_it.py::test_bad: not run: a fault (issue 7)" in result.outlines


def test_only_the_listed_parameter_case_is_expected_to_fail(pytester: pytest.Pytester) -> None:
    """Check that listing one parameter case leaves the other cases subject to failure."""
    result = run_pytest(
        pytester, "test_it.py::test_some[1]; pytest, seed 1; a fault; issue 7\n", "-k", "test_some"
    )
    result.assert_outcomes(failed=1, xpassed=1)
    assert result.ret == 1


@pytest.mark.parametrize("n", [0, 2])
def test_a_listed_test_that_passes_is_reported(pytester: pytest.Pytester, n: int) -> None:
    """Check that a listed test that passes is printed with the advice to take it out."""
    result = run_pytest(
        pytester,
        "test_it.py::test_good; pytest, seed 1; a fault; issue 7\n",
        "-k",
        "test_good",
        n=n,
    )
    assert result.ret == 0
    assert "test_it.py::test_good: passes again: a fault (issue 7)" in result.outlines
    assert f"  take it out of {FILE_NAME}" in result.outlines


def test_a_broken_fixture_of_a_listed_test_is_expected(pytester: pytest.Pytester) -> None:
    """Check that an error in the setup of a listed test counts as its expected failure."""
    result = run_pytest(
        pytester, "test_it.py::test_setup; pytest, seed 1; a fault; issue 7\n", "-k", "test_setup"
    )
    assert result.ret == 0
    assert "test_it.py::test_setup: fails: a fault (issue 7)" in result.outlines


INVALID_NAMES = (
    "test_it.py::test_gone",
    "test_gone.py::test_it",
    "test_it.py::test_some",
    "test_it.py",
)


@pytest.mark.parametrize("name", [*INVALID_NAMES, "test_it.py::test_some[3]", "test_one.py"])
def test_a_name_of_no_test_or_several_tests_ends_the_run(
    pytester: pytest.Pytester, name: str
) -> None:
    """Check that a name that is not that of exactly one test is a usage error."""
    pytester.makepyfile(test_one="def test_alone(): pass")
    result = run_pytest(pytester, f"{name}; pytest, seed 1; a fault; issue 7\n", "-k", "test_good")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert f"ERROR: {FILE_NAME}: {name} is not the name of one test" in result.errlines


def test_too_many_lines_end_the_run(pytester: pytest.Pytester) -> None:
    """Check that a list of more than `MAX_TESTS` tests is a usage error."""
    listed = "".join(
        f"test_it.py::test_{i}; pytest, seed 1; a fault; issue 7\n" for i in range(MAX_TESTS + 1)
    )
    result = run_pytest(pytester, listed, "-k", "test_good")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert f"ERROR: {FILE_NAME}: lists 4 tests, 3 at most may be known to fail" in result.errlines


@pytest.mark.parametrize("listed", [None, "", "\n \n"])
def test_a_missing_or_empty_file_changes_nothing(
    pytester: pytest.Pytester, listed: str | None
) -> None:
    """Check that without listed tests a run fails as usual and prints nothing of the list."""
    result = run_pytest(pytester, listed, "-k", "test_good or test_bad")
    result.assert_outcomes(passed=1, failed=1)
    assert result.ret == 1
    assert FILE_NAME not in result.stdout.str()


@pytest.mark.parametrize(
    "line",
    [
        "test_it.py::test_bad",
        "test_it.py::test_bad; issue 7",
        "; pytest, seed 1; a fault; issue 7",
        "test_it.py::test_bad; a fault; issue 7",
        "test_it.py::test_bad; ; a fault; issue 7",
        "test_it.py::test_bad; pytest, seed 1; a fault; ",
        "test_it.py::test_bad, a fault, issue 7",
    ],
)
def test_a_line_without_all_four_fields_is_rejected(line: str) -> None:
    """Check that a line with a missing or empty field is rejected with its line number."""
    with pytest.raises(ValueError, match=r"KNOWN-RED.txt, line 2: not of the form"):
        parse(f"\n{line}\n")


def test_a_duplicate_test_is_rejected_by_name() -> None:
    """Check that a test that is listed twice is rejected with its name and line number."""
    with pytest.raises(ValueError, match=r"line 2: a::b is listed twice"):
        parse("a::b; c; d; e\na::b; f; g; h\n")


def test_commas_do_not_separate_fields() -> None:
    """Check that a field may contain commas, since only semicolons separate fields."""
    assert parse("a::b; c, 7; d, e; f\n") == {"a::b": KnownFailure("a::b", "c, 7", "d, e", "f")}
