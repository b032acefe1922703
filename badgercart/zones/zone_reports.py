"""Aggregates the reports of all nodes about the zones. No I/O.

A zone that no node reaches is down; a link that fails for nodes of some zones is partitioned. Each
report has an author and a time: a later report replaces it, and an old one is ignored. The report
of one node can at most decide about the links of its own zone, and only if it is the only node
there.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import msgspec

from badgercart.zones.failure_detector import Reachability
from badgercart.zones.topology import Topology

# Maximum demand of one node that is believed, as a multiple of its even share of all capacity.
MAX_DEMAND_EVEN_SHARES = 4.0
# Relative latency from which a zone counts as slow. It is above 2, since queues double the latency
# of a zone near its capacity.
SLOW_RELATIVE_LATENCY = 2.5
# Reporters that the reason of a summary names.
MAX_NAMED_REPORTERS = 6


class ZoneReport(msgspec.Struct, array_like=True, frozen=True):
    """The report of a node, encoded as an array in the order of the fields.

    Attributes:
        topology_digest: the digest of the node's topology.
        reachability: values of Reachability, by zone.
        relative_latency_percent: the latency relative to its baseline, by zone; 0 if no requests
            were sent there recently.
        success_percent: the share of responses that were not errors, by zone.
        demand_milli_slots: the thousandths of slots that the node's requests keep busy, by row.
    """

    topology_digest: int
    reachability: list[int]
    relative_latency_percent: list[int]
    success_percent: list[int]
    demand_milli_slots: list[int]


_encode: Callable[[ZoneReport], bytes] = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], ZoneReport] = msgspec.msgpack.Decoder(ZoneReport).decode


def encode_report(report: ZoneReport) -> bytes:
    """Return a report as bytes."""
    return _encode(report)


@dataclass(slots=True, frozen=True)
class ReceivedReport:
    """A report, the zone of its author, and the time of receipt (ms on this node's clock)."""

    report: ZoneReport
    zone: int
    received_at: float


@dataclass(slots=True, frozen=True)
class ZoneSummary:
    """The summary of all reports. Sequences are by zone.

    Attributes:
        down: the zones that no node reaches.
        reachable: the zones that some node reaches.
        locally_reachable: the zones that their own nodes reach.
        partitioned: the broken links from the nodes of a zone to the endpoints of a zone.
        relative_latency: the median latency relative to its baseline.
        success_rate: the median success rate, 0 to 1.
        demand: the slots kept busy, by zone of the nodes and by row.
        reason: what is wrong, for operators; empty if nothing is.
    """

    down: frozenset[int]
    reachable: frozenset[int]
    locally_reachable: frozenset[int]
    partitioned: frozenset[tuple[int, int]]
    relative_latency: tuple[float, ...]
    success_rate: tuple[float, ...]
    demand: tuple[tuple[float, ...], ...]
    reason: str


class _LinkVotes:
    """Counts the reports about each link from the nodes of a zone to the endpoints of a zone."""

    def __init__(self, zone_count: int, reports: Iterable[ReceivedReport]) -> None:
        self.zones = range(zone_count)
        self._reachable = [[0] * zone_count for _ in self.zones]  # by source and target
        self._unreachable = [[0] * zone_count for _ in self.zones]
        for received in reports:
            self._count(received)

    def _count(self, received: ReceivedReport) -> None:
        for target in self.zones:
            reachability = received.report.reachability[target]
            if reachability == Reachability.REACHABLE:
                self._reachable[received.zone][target] += 1
            elif reachability == Reachability.UNREACHABLE:
                self._unreachable[received.zone][target] += 1

    def _links(self) -> Iterable[tuple[int, int]]:
        return ((source, target) for source in self.zones for target in self.zones)

    def broken_links(self) -> set[tuple[int, int]]:
        """Return the links that fail for more nodes than they work for."""
        return {
            (source, target)
            for source, target in self._links()
            if self._unreachable[source][target] > self._reachable[source][target]
        }

    def working_links(self, broken: set[tuple[int, int]]) -> set[tuple[int, int]]:
        """Return the links that work for some node and are not broken."""
        return {
            (source, target)
            for source, target in self._links()
            if self._reachable[source][target] and (source, target) not in broken
        }

    def accusers(self, target: int) -> int:
        """Return how many nodes report a zone as unreachable."""
        return sum(self._unreachable[source][target] for source in self.zones)


class ZoneReportTable:
    """The latest report of each node.

    Attributes:
        reports: the reports by author.
        rejected_count: the number of invalid reports.
        foreign_count: the number of reports for another topology.
    """

    def __init__(self, topology: Topology) -> None:
        """Start without any report."""
        self.topology = topology
        self.reports: dict[str, ReceivedReport] = {}
        self.rejected_count = 0
        self.foreign_count = 0

    def record(self, author: str, zone: int, data: bytes, now_ms: float) -> None:
        """Record a report of a node in `zone`; an invalid one is rejected and counted."""
        try:
            report = _decode(data)
        except msgspec.MsgspecError:
            self.rejected_count += 1
            return
        if report.topology_digest != self.topology.digest:
            self.foreign_count += 1
            self.reports.pop(author, None)
            return
        if not self._is_valid(report, zone):
            self.rejected_count += 1
            return
        self.reports[author] = ReceivedReport(report, zone, now_ms)

    def _is_valid(self, report: ZoneReport, zone: int) -> bool:
        zone_count = len(self.topology.zones)
        by_zone = (
            report.reachability,
            report.relative_latency_percent,
            report.success_percent,
        )
        if any(len(values) != zone_count for values in by_zone):
            return False
        if len(report.demand_milli_slots) != self.topology.row_count or not 0 <= zone < zone_count:
            return False
        numbers = (
            *report.demand_milli_slots,
            *report.relative_latency_percent,
            *report.success_percent,
        )
        return min(numbers) >= 0

    def retain(self, authors: Iterable[str]) -> None:
        """Drop the reports of all nodes but these."""
        retained = set(authors)
        self.reports = {name: report for name, report in self.reports.items() if name in retained}

    def recent(self, now_ms: float, max_age_ms: float) -> list[tuple[str, ReceivedReport]]:
        """Return the reports younger than `max_age_ms`, ordered by author."""
        return sorted(
            (name, received)
            for name, received in self.reports.items()
            if now_ms - received.received_at < max_age_ms
        )

    def summarize(self, now_ms: float, max_age_ms: float, capacity: Sequence[float]) -> ZoneSummary:
        """Return the summary of the reports younger than `max_age_ms`.

        Args:
            now_ms: the time on the node's clock.
            max_age_ms: the age from which a report is ignored.
            capacity: the slots by zone, which limit the demand that is believed.
        """
        by_author = self.recent(now_ms, max_age_ms)
        reports = [received for _, received in by_author]
        zones = range(len(self.topology.zones))
        votes = _LinkVotes(len(zones), reports)
        broken = votes.broken_links()
        working = votes.working_links(broken)
        reachable = frozenset(target for _, target in working)
        # One of several nodes cannot declare a zone down: only its own link may be broken.
        min_accusers = min(2, len(reports))
        unreachable = {target for _, target in broken if votes.accusers(target) >= min_accusers}
        down = frozenset(unreachable) - reachable
        partitioned = frozenset(link for link in broken if link[1] not in down)
        return ZoneSummary(
            down=down,
            reachable=reachable,
            locally_reachable=frozenset(zone for zone in zones if (zone, zone) in working),
            partitioned=partitioned,
            relative_latency=tuple(_median_latency(reports, zone) for zone in zones),
            success_rate=tuple(_median_success(reports, zone) for zone in zones),
            demand=self._demand(reports, capacity),
            reason=self._reason(down, partitioned, by_author),
        )

    def _demand(
        self, reports: Sequence[ReceivedReport], capacity: Sequence[float]
    ) -> tuple[tuple[float, ...], ...]:
        """Return the slots that each zone's requests keep busy, by row.

        The demand of each node is limited to MAX_DEMAND_EVEN_SHARES even shares of the capacity.
        """
        limit = MAX_DEMAND_EVEN_SHARES * sum(capacity) / max(1, len(reports))
        total = [[0.0] * self.topology.row_count for _ in self.topology.zones]
        for received in reports:
            demand = received.report.demand_milli_slots
            reported_slots = sum(demand) / 1000
            share = min(1.0, limit / reported_slots) if reported_slots else 0.0
            for row, milli_slots in enumerate(demand):
                total[received.zone][row] += share * milli_slots / 1000
        return tuple(tuple(row) for row in total)

    def _reason(
        self,
        down: frozenset[int],
        partitioned: frozenset[tuple[int, int]],
        reports: Sequence[tuple[str, ReceivedReport]],
    ) -> str:
        """Return what is wrong, as shown to operators."""
        names = self.topology.zones
        facts = [f"{names[zone]} is dark" for zone in sorted(down)]
        facts += [
            f"{names[source]} does not reach {names[target]}"
            for source, target in sorted(partitioned)
        ]
        reporters = sorted(
            {
                author
                for author, received in reports
                for zone in down
                if received.report.reachability[zone] == Reachability.UNREACHABLE
            }
        )
        reported_by = f", say {' '.join(reporters[:MAX_NAMED_REPORTERS])}" if reporters else ""
        return ", ".join(facts) + reported_by


def _median_latency(reports: Sequence[ReceivedReport], zone: int) -> float:
    """Return the median relative latency of a zone among nodes that send there, or 1."""
    values = [
        received.report.relative_latency_percent[zone] / 100
        for received in reports
        if received.report.relative_latency_percent[zone]
    ]
    return statistics.median(values) if values else 1.0


def _median_success(reports: Sequence[ReceivedReport], zone: int) -> float:
    """Return the median success rate of a zone among nodes that send there, or 1."""
    values = [
        received.report.success_percent[zone] / 100
        for received in reports
        if received.report.relative_latency_percent[zone]
    ]
    return statistics.median(values) if values else 1.0


def health_of(relative_latency: float, success_rate: float) -> float:
    """Return the share of its capacity that a zone's responses indicate, 0 to 1."""
    slowdown = relative_latency if relative_latency >= SLOW_RELATIVE_LATENCY else 1.0
    return min(1.0, success_rate / slowdown)
