"""Endpoints that other nodes find failing. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

FAILURE_TOPIC = "failing"
MAX_ENTRIES_PER_UPDATE = 16
MIN_REPORTERS = 2  # nodes that must agree

_decode: Callable[[bytes], list[tuple[int, float]]] = msgspec.msgpack.Decoder(
    list[tuple[int, float]]
).decode


@dataclass(slots=True, frozen=True)
class FailureReport:
    """A node's error rates by endpoint, 0 to 1."""

    received_ms: float
    error_rates: dict[int, float]


class FailureReports:
    """How failing others find an endpoint.

    That is the second highest of their rates, so that one node alone can't take out an endpoint,
    and it fades with time.

    Args:
        lifetime_ms: in which a report fades to nothing.
    """

    def __init__(self, lifetime_ms: float) -> None:
        self.lifetime_ms = lifetime_ms
        self.reports: dict[str, FailureReport] = {}
        self.rejected = 0

    def report(self, error_rates: dict[int, float]) -> bytes:
        """Return what others are told: the endpoints that fail most."""
        worst = sorted(error_rates.items(), key=lambda pair: -pair[1])[:MAX_ENTRIES_PER_UPDATE]
        return msgspec.msgpack.encode(
            [(endpoint_id, round(rate, 2)) for endpoint_id, rate in worst]
        )

    def receive(self, author: str, value: bytes, now_ms: float) -> None:
        """Take over another node's report; one that is malformed is counted and ignored."""
        try:
            entries = _decode(value)
        except msgspec.MsgspecError:
            self.rejected += 1
            return
        valid = {i: rate for i, rate in entries[:MAX_ENTRIES_PER_UPDATE] if 0 <= rate <= 1}
        self.reports[author] = FailureReport(now_ms, valid)

    def levels(self, authors: Iterable[str], now_ms: float) -> tuple[tuple[int, float], ...]:
        """Return the endpoints that at least two of these nodes find failing, and how much."""
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
        return tuple(sorted((i, rate) for i, rate in agreed.items() if rate > 0))

    def retain(self, names: Iterable[str]) -> None:
        """Forget the reports of all other nodes."""
        retained = set(names)
        self.reports = {name: report for name, report in self.reports.items() if name in retained}
