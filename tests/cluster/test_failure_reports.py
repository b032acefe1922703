"""Failure reports of other nodes."""

from __future__ import annotations

from badgercart.cluster.failure_reports import FailureReports


def test_a_failure_level_needs_two_reporters_and_decays() -> None:
    """One node that reports every endpoint as failing has no effect, and old reports decay."""
    reports = FailureReports(1000.0)
    all_failing = {number: 1.0 for number in range(50)}
    reports.receive("liar", reports.report(all_failing), 0.0)
    assert reports.levels(["liar", "b"], 0.0) == ()
    reports.receive("b", reports.report({3: 0.6}), 0.0)
    assert reports.levels(["liar", "b"], 0.0) == ((3, 0.6),)
    assert reports.levels(["liar", "b"], 500.0) == ((3, 0.3),)
    assert reports.levels(["liar", "b"], 1000.0) == () and reports.levels(["b"], 0.0) == ()
    reports.receive("b", b"junk", 0.0)
    assert reports.rejected == 1
