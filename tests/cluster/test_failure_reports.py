"""Failure reports need two reporters."""

from __future__ import annotations

from badgercart.cluster.failure_reports import FailureReports


def test_a_failure_report_takes_two_reporters_and_fades() -> None:
    reports = FailureReports(1000.0)
    liar = {number: 1.0 for number in range(50)}
    reports.receive("liar", reports.report(liar), 0.0)
    assert reports.levels(["liar", "b"], 0.0) == ()
    reports.receive("b", reports.report({3: 0.6}), 0.0)
    assert reports.levels(["liar", "b"], 0.0) == ((3, 0.6),)
    assert reports.levels(["liar", "b"], 500.0) == ((3, 0.3),)
    assert reports.levels(["liar", "b"], 1000.0) == () and reports.levels(["b"], 0.0) == ()
    reports.receive("b", b"junk", 0.0)
    assert reports.rejected == 1
