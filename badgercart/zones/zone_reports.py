"""What all nodes report of the zones, aggregated. No I/O.

A zone that nobody reaches is down; a link that some nodes miss is partitioned. Each report has an
author and a time: a later one replaces it, an old one counts for nothing. One node's report decides
at most about its own zone's links, and only where it is that zone's only node.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import msgspec

from badgercart.zones.failure_detector import Reachability
from badgercart.zones.topology import Topology

MAX_DEMAND_SHARE = 4.0  # of an even share of all capacity: no node's demand counts for more
# Times its baseline latency from which a zone counts as slow: near capacity, queues double it.
SLOW_RELATIVE_LATENCY = 2.5
MAX_NAMED_REPORTERS = 6  # in the reason of a summary


class ZoneReport(msgspec.Struct, array_like=True, frozen=True):
    """What a node reports. It travels as an array, in the order of the fields.

    Lists are by zone, `demand_milli_slots` by row of the topology.
    """

    topology_digest: int
    reachability: list[int]  # values of Reachability
    relative_latency_percent: list[int]  # 0: nothing was sent there of late
    success_percent: list[int]  # answers that were no errors
    demand_milli_slots: list[int]  # thousandths of a server's slot that requests keep busy


_encode: Callable[[ZoneReport], bytes] = msgspec.msgpack.Encoder().encode
_decode: Callable[[bytes], ZoneReport] = msgspec.msgpack.Decoder(ZoneReport).decode


def encode_report(report: ZoneReport) -> bytes:
    """Return a report as it travels."""
    return _encode(report)


@dataclass(slots=True, frozen=True)
class ReceivedReport:
    """A report, the zone of its author, and when it came (ms on our clock)."""

    report: ZoneReport
    zone: int
    received_at: float


@dataclass(slots=True, frozen=True)
class ZoneSummary:
    """What the reports amount to. Sequences are by zone."""

    down: frozenset[int]  # zones that nobody reaches
    reachable: frozenset[int]  # zones that some node reaches
    locally_reachable: frozenset[int]  # zones that their own nodes reach
    partitioned: frozenset[tuple[int, int]]  # from a zone's nodes to a zone's servers
    relative_latency: tuple[float, ...]  # over the baseline, the median of reports
    success_rate: tuple[float, ...]
    demand: tuple[tuple[float, ...], ...]  # slots kept busy, by zone of the nodes and by row
    reason: str  # what is wrong, for people; empty where nothing is


class _LinkVotes:
    """Reports of each link, from a zone's nodes to a zone's servers, counted."""

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
        """Return the links that more nodes miss than use."""
        return {
            (source, target)
            for source, target in self._links()
            if self._unreachable[source][target] > self._reachable[source][target]
        }

    def working_links(self, broken: set[tuple[int, int]]) -> set[tuple[int, int]]:
        """Return the links that some node uses, beside the broken ones."""
        return {
            (source, target)
            for source, target in self._links()
            if self._reachable[source][target] and (source, target) not in broken
        }

    def accusers(self, target: int) -> int:
        """Return how many nodes do not reach a zone."""
        return sum(self._unreachable[source][target] for source in self.zones)


class ZoneReportTable:
    """The latest report of each node."""

    def __init__(self, topology: Topology) -> None:
        """Begin without any report."""
        self.topology = topology
        self.reports: dict[str, ReceivedReport] = {}  # by author
        self.rejected_count = 0
        self.foreign_count = 0  # reports by another topology

    def record(self, author: str, zone: int, data: bytes, now: float) -> None:
        """Take over a report of a node in `zone`; what can't be one is rejected and counted."""
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
        self.reports[author] = ReceivedReport(report, zone, now)

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
        """Forget the reports of all other nodes."""
        wanted = set(authors)
        self.reports = {name: found for name, found in self.reports.items() if name in wanted}

    def recent(self, now: float, max_age_ms: float) -> list[tuple[str, ReceivedReport]]:
        """Return the reports younger than `max_age_ms`, ordered by author."""
        return sorted(
            (name, received)
            for name, received in self.reports.items()
            if now - received.received_at < max_age_ms
        )

    def summarize(self, now: float, max_age_ms: float, capacity: Sequence[float]) -> ZoneSummary:
        """Return what the reports younger than `max_age_ms` amount to.

        Args:
            now: ms on the node's clock.
            max_age_ms: age from which a report counts for nothing.
            capacity: slots by zone, which bound the demand that is believed.
        """
        by_author = self.recent(now, max_age_ms)
        reports = [received for _, received in by_author]
        zones = range(len(self.topology.zones))
        votes = _LinkVotes(len(zones), reports)
        broken = votes.broken_links()
        working = votes.working_links(broken)
        reachable = frozenset(target for _, target in working)
        quorum = min(2, len(reports))  # a single node's report is about its own link
        missed = {target for _, target in broken if votes.accusers(target) >= quorum}
        down = frozenset(missed) - reachable
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

        No node's report counts for more than MAX_DEMAND_SHARE even shares of the capacity.
        """
        limit = MAX_DEMAND_SHARE * sum(capacity) / max(1, len(reports))
        total = [[0.0] * self.topology.row_count for _ in self.topology.zones]
        for received in reports:
            demand = received.report.demand_milli_slots
            claimed = sum(demand) / 1000
            share = min(1.0, limit / claimed) if claimed else 0.0
            for row, milli_slots in enumerate(demand):
                total[received.zone][row] += share * milli_slots / 1000
        return tuple(tuple(row) for row in total)

    def _reason(
        self,
        down: frozenset[int],
        partitioned: frozenset[tuple[int, int]],
        reports: Sequence[tuple[str, ReceivedReport]],
    ) -> str:
        """Return what is wrong in the words that operators see."""
        names = self.topology.zones
        facts = [f"{names[zone]} is dark" for zone in sorted(down)]
        facts += [f"{names[i]} does not reach {names[j]}" for i, j in sorted(partitioned)]
        reporters = sorted(
            {
                author
                for author, received in reports
                for zone in down
                if received.report.reachability[zone] == Reachability.UNREACHABLE
            }
        )
        said_by = f", say {' '.join(reporters[:MAX_NAMED_REPORTERS])}" if reporters else ""
        return ", ".join(facts) + said_by


def _median_latency(reports: Sequence[ReceivedReport], zone: int) -> float:
    """Return the median relative latency of a zone, of those that send there; 1 if none does."""
    found = [
        received.report.relative_latency_percent[zone] / 100
        for received in reports
        if received.report.relative_latency_percent[zone]
    ]
    return statistics.median(found) if found else 1.0


def _median_success(reports: Sequence[ReceivedReport], zone: int) -> float:
    """Return the median success rate of a zone, of those that send there; 1 if none does."""
    found = [
        received.report.success_percent[zone] / 100
        for received in reports
        if received.report.relative_latency_percent[zone]
    ]
    return statistics.median(found) if found else 1.0


def health_of(relative_latency: float, success_rate: float) -> float:
    """Return the share of its capacity that a zone's answers show it to have, 0 to 1."""
    slowdown = relative_latency if relative_latency >= SLOW_RELATIVE_LATENCY else 1.0
    return min(1.0, success_rate / slowdown)
