"""Reports of failing endpoints by other nodes. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

FAILURE_TOPIC = "failing"
MAX_ENDPOINTS_PER_REPORT = 16
# Nodes that must report an endpoint before it counts as failing.
MIN_REPORTERS = 2

_decode: Callable[[bytes], list[tuple[int, float]]] = msgspec.msgpack.Decoder(
    list[tuple[int, float]]
).decode


@dataclass(slots=True, frozen=True)
class FailureReport:
    """The error rates (0 to 1) that a node reported, by endpoint."""

    received_ms: float
    error_rates: dict[int, float]


class FailureReports:
    """The failure level of endpoints according to other nodes.

    The level is the second highest of the reported rates, so that a single node cannot cause an
    ejection. It decays linearly with the age of the reports.

    Args:
        lifetime_ms: the age at which a report has decayed to 0.
    """

    def __init__(self, lifetime_ms: float) -> None:
        self.lifetime_ms = lifetime_ms
        self.reports: dict[str, FailureReport] = {}
        self.rejected = 0

    def report(self, error_rates: dict[int, float]) -> bytes:
        """Return this node's report: the endpoints with the highest error rates."""
        worst = sorted(error_rates.items(), key=lambda pair: -pair[1])[:MAX_ENDPOINTS_PER_REPORT]
        return msgspec.msgpack.encode(
            [(endpoint_id, round(rate, 2)) for endpoint_id, rate in worst]
        )

    def receive(self, author: str, value: bytes, now_ms: float) -> None:
        """Record another node's report; a malformed one is counted and ignored."""
        try:
            entries = _decode(value)
        except msgspec.MsgspecError:
            self.rejected += 1
            return
        valid = {
            endpoint_id: rate
            for endpoint_id, rate in entries[:MAX_ENDPOINTS_PER_REPORT]
            if 0 <= rate <= 1
        }
        self.reports[author] = FailureReport(now_ms, valid)

    def levels(self, authors: Iterable[str], now_ms: float) -> tuple[tuple[int, float], ...]:
        """Return the endpoints that at least two of these nodes report, with their levels."""
        rates: dict[int, list[float]] = {}
        for author in authors:
            report = self.reports.get(author)
            if report is None:
                continue
            remaining = 1 - (now_ms - report.received_ms) / self.lifetime_ms
            if remaining <= 0:
                continue
            for endpoint_id, rate in report.error_rates.items():
                rates.setdefault(endpoint_id, []).append(round(rate * remaining, 2))
        agreed = {
            endpoint_id: sorted(found)[-MIN_REPORTERS]
            for endpoint_id, found in rates.items()
            if len(found) >= MIN_REPORTERS
        }
        return tuple(
            sorted((endpoint_id, rate) for endpoint_id, rate in agreed.items() if rate > 0)
        )

    def retain(self, names: Iterable[str]) -> None:
        """Drop the reports of all nodes but these."""
        retained = set(names)
        self.reports = {name: report for name, report in self.reports.items() if name in retained}
