"""Aggregated reports of all nodes: zones that are down, broken links, and the demand."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from badgercart.zones.failure_detector import Reachability
from badgercart.zones.topology import Topology, build_topology
from badgercart.zones.zone_reports import ZoneReport, ZoneReportTable, ZoneSummary

UP, DOWN, UNKNOWN = Reachability.REACHABLE, Reachability.UNREACHABLE, Reachability.UNKNOWN
TOPOLOGY: Topology = build_topology("abc", {"a": "p", "b": "p"}, {("a", "c"): 4.0}, 1)


def table_of(
    *reports: tuple[int, tuple[Reachability, ...]], **fields: list[int]
) -> ZoneReportTable:
    """Return a table with the reports (zone and reachability) of the nodes n0, n1, and so on."""
    table = ZoneReportTable(TOPOLOGY)
    for number, (zone, reachability) in enumerate(reports):
        lists = {
            "relative_latency_percent": [100] * 3,
            "success_percent": [100] * 3,
            "demand_milli_slots": [1000, 0],
        } | fields
        report = ZoneReport(TOPOLOGY.digest, list(map(int, reachability)), **lists)
        table.record(f"n{number}", zone, msgspec.msgpack.encode(report), 1000.0)
    return table


CAPACITY = (10.0, 10.0, 10.0)


def summary_of(*reports: tuple[int, tuple[Reachability, ...]], **fields: list[int]) -> ZoneSummary:
    """Return the summary of such a table."""
    return table_of(*reports, **fields).summarize(1000.0, 500.0, CAPACITY)


def test_an_unreachable_zone_is_down_and_a_broken_link_is_partitioned() -> None:
    """A zone is only down if no node reaches it."""
    down = summary_of((0, (UP, DOWN, UP)), (1, (UP, DOWN, UP)), (2, (UP, DOWN, UP)))
    assert down.down == {1}
    assert not down.partitioned
    assert "b is dark, say n0 n1 n2" in down.reason
    partitioned = summary_of((0, (UP, DOWN, UP)), (1, (DOWN, UP, DOWN)), (2, (UP, DOWN, UP)))
    assert not partitioned.down
    assert partitioned.partitioned == {(0, 1), (2, 1), (1, 0), (1, 2)}
    assert 1 in partitioned.locally_reachable
    one_way = summary_of((0, (UP, DOWN, UP)), (1, (UP,) * 3), (2, (UP,) * 3))
    assert one_way.partitioned == {(0, 1)}
    assert not one_way.down
    assert one_way.reachable == {0, 1, 2}


def test_one_wrong_node_cannot_declare_a_zone_down() -> None:
    """A faulty node only affects the links of its own zone, and its demand is limited."""
    honest = [(0, (UP,) * 3), (1, (UP,) * 3), (0, (UNKNOWN,) * 3)]
    summary = summary_of(*honest, (2, (DOWN,) * 3))
    assert not summary.down
    assert summary.partitioned == {
        (2, 0),
        (2, 1),
        (2, 2),
    }
    two_reports = summary_of((0, (UNKNOWN,) * 3), (2, (DOWN,) * 3))
    assert not two_reports.down
    excessive = summary_of((0, (UP,) * 3), (1, (UP,) * 3), demand_milli_slots=[10**15, 0])
    assert excessive.demand[0][0] <= 4 * 30 / 2


def test_old_foreign_and_invalid_reports_are_ignored() -> None:
    """Reports for another topology and invalid ones are counted."""
    table = table_of((0, (UP, DOWN, UP)), (1, (UP, DOWN, UP)))
    assert table.summarize(1600.0, 500.0, CAPACITY).down == frozenset()
    other = build_topology("abc", {}, {}, 1)
    report = ZoneReport(other.digest, [1] * 3, [0] * 3, [100] * 3, [0, 0])
    table.record("n0", 0, msgspec.msgpack.encode(report), 1000.0)
    assert table.foreign_count == 1
    assert "n0" not in table.reports
    invalid = [
        b"junk",
        msgspec.msgpack.encode(ZoneReport(TOPOLOGY.digest, [1], [0] * 3, [0] * 3, [0, 0])),
        msgspec.msgpack.encode(ZoneReport(TOPOLOGY.digest, [1] * 3, [0] * 3, [0] * 3, [-1, 0])),
    ]  # fmt: skip
    for payload in invalid:
        table.record("n5", 0, payload, 1000.0)
    assert table.rejected_count == 3
    assert "n5" not in table.reports
    table.retain(["n1"])
    assert list(table.reports) == ["n1"]


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.tuples(*[st.sampled_from(Reachability)] * 3)), max_size=8
    )
)
def test_a_summary_does_not_depend_on_the_order_of_reports(
    reports: list[tuple[int, tuple[Reachability, ...]]],
) -> None:
    """Nodes with the same reports must make the same plan."""
    table = table_of(*reports)
    other = ZoneReportTable(TOPOLOGY)
    for name, received in reversed(table.reports.items()):
        other.reports[name] = received
    summary = table.summarize(1000.0, 500.0, CAPACITY)
    assert summary == other.summarize(1000.0, 500.0, CAPACITY)
    assert not summary.down & summary.reachable
    assert not any(zone in summary.down for _, zone in summary.partitioned)
