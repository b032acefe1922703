"""Summarises a capture over time as one HTML page.

Captures are replayed, since no event holds the overload level, the shed threshold or the number of
attempts in flight.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from badgercart.app import pages
from badgercart.capture.format import Segment
from badgercart.capture.replay import decide, initial_policy, read_events
from badgercart.policy.actions import Action, Fail, Send, Shed
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import AttemptEnded, AttemptResult, EndpointUpdate, Event, Request
from badgercart.policy.policy import Policy

# The time that one point of the plots covers.
STEP_MS = 1000.0
# So many points are plotted at most; a longer capture has to be cut into parts first.
MAX_POINTS = 86_400
# The table lists so many endpoints, those with the most failed attempts.
MAX_LISTED_ENDPOINTS = 12
# A gap in the capture longer than this is marked in the plots.
MIN_MARKED_GAP_MS = 10 * STEP_MS
# An endpoint counts as slow above this latency relative to the typical one.
SLOW_RELATIVE_LATENCY = 2


@dataclass(slots=True)
class Point:
    """One step of the plots."""

    at_ms: float  # on the node's clock
    received: Counter[int] = field(default_factory=Counter)  # requests by class
    shed: Counter[int] = field(default_factory=Counter)  # shed and failed requests by class
    sent: int = 0  # attempts
    results: Counter[int] = field(default_factory=Counter)  # attempts by result
    overload_level: float = 0.0
    shed_threshold: float = 0.0
    error_rate: float = 0.0
    attempts_in_flight: int = 0
    concurrency_limit: float = 0.0
    # Numbers of endpoints.
    ready: int = 0
    draining: int = 0
    ejected: int = 0
    slow: int = 0


@dataclass(slots=True)
class EndpointTotals:
    """Totals of the attempts at one endpoint."""

    attempts: int = 0
    failed: int = 0
    served_latency_ms: float = 0.0  # sum over the served attempts
    served: int = 0


class CaptureSummary:
    """Reads the segments of a capture in order and summarises them in steps."""

    def __init__(self) -> None:
        self.points: list[Point] = []
        self.endpoints: dict[int, EndpointTotals] = {}
        self.open_request_classes: dict[int, int] = {}  # class indexes by request id
        self.endpoint_states: dict[int, EndpointState] = {}
        self.request_results: Counter[str] = Counter()
        self.class_weights: tuple[float, ...] = ()
        self.events = 0
        self.node = ""
        self.gap_ends_ms: list[float] = []

    def read(self, path: Path) -> None:
        """Read a segment. Raises FormatError, CodecError and OSError."""
        segment = Segment(path.read_bytes())
        policy = initial_policy(segment)
        self.node = segment.header["node"]
        self.class_weights = tuple(cls.priority_weight for cls in policy.settings.classes)
        for tracked in policy.fleet.endpoints.by_id.values():
            self.endpoint_states.setdefault(tracked.endpoint.id, tracked.endpoint.state)
        for item in read_events(segment):
            self.add(policy, item.now_ms, item.event, decide(policy, item.now_ms, item.event) or [])

    def add(self, policy: Policy, now_ms: float, event: Event, actions: list[Action]) -> None:
        """Count an event and the actions that it led to."""
        self.events += 1
        point = self.point_at(policy, now_ms)
        if isinstance(event, Request):
            point.received[event.class_index] += 1
            self.open_request_classes[event.id] = event.class_index
        elif isinstance(event, AttemptEnded):
            point.results[event.result] += 1
            totals = self.endpoints.setdefault(event.endpoint_id, EndpointTotals())
            totals.attempts += 1
            if event.result == AttemptResult.OK:
                totals.served += 1
                totals.served_latency_ms += event.elapsed_ms
            elif event.result != AttemptResult.CANCELLED:
                totals.failed += 1
            if event.request_finished and self.open_request_classes.pop(event.id, None) is not None:
                self.request_results[
                    "served" if event.result == AttemptResult.OK else "ended otherwise"
                ] += 1
        elif isinstance(event, EndpointUpdate):
            self.endpoint_states.update((entry.id, entry.state) for entry in event.endpoints)
        for action in actions:
            if isinstance(action, Send):
                point.sent += 1
            elif isinstance(action, Shed | Fail):
                point.shed[self.open_request_classes.pop(action.id, -1)] += 1
                self.request_results["refused" if isinstance(action, Shed) else "failed"] += 1

    def point_at(self, policy: Policy, now_ms: float) -> Point:
        """Return the point of a time, a new one where there is none yet. Raises OSError."""
        at_ms = now_ms - now_ms % STEP_MS
        if self.points and at_ms <= self.points[-1].at_ms:
            return self.points[-1]
        if len(self.points) >= MAX_POINTS:
            raise OSError(f"more than {MAX_POINTS} s: cut a stretch out first")
        if self.points and at_ms - self.points[-1].at_ms > MIN_MARKED_GAP_MS:
            self.gap_ends_ms.append(at_ms)
        endpoint_states = Counter(self.endpoint_states.values())
        point = Point(
            at_ms,
            overload_level=policy.overload.level,
            shed_threshold=policy.overload.shed_threshold,
            error_rate=policy.overload.error_rate.rate,
            attempts_in_flight=policy.overload.concurrency.current,
            concurrency_limit=policy.overload.concurrency.limit,
            ready=endpoint_states[EndpointState.READY],
            draining=endpoint_states[EndpointState.DRAINING],
            ejected=sum(
                any(health.ejected_until_ms > now_ms for health in tracked.health)
                for tracked in policy.fleet.endpoints.by_id.values()
            ),
            slow=sum(
                tracked.relative_latency > SLOW_RELATIVE_LATENCY
                for tracked in policy.fleet.endpoints.by_id.values()
            ),
        )
        self.points.append(point)
        return point


def _plots(summary: CaptureSummary) -> str:
    """Return all plots over one time axis as SVG."""
    pyplot = pages.pyplot()
    points = summary.points
    times_s = [(point.at_ms - points[0].at_ms) / 1000 for point in points]
    figure, axes = pyplot.subplots(5, 1, figsize=(11, 14), sharex=True, layout="constrained")

    def plot_lines(position: int, title: str, unit: str, series: dict[str, list[Any]]) -> None:
        for name, values in series.items():
            axes[position].plot(times_s, values, label=name, linewidth=1.2)
        axes[position].set_title(title, loc="left", fontsize=11)
        axes[position].set_ylabel(unit)
        axes[position].grid(alpha=0.3)
        if series:
            axes[position].legend(loc="upper right", fontsize=8)

    class_indexes = range(len(summary.class_weights))
    plot_lines(
        0,
        "Overload",
        "0 to 1",
        {
            "x": [p.overload_level for p in points],
            "cut / 100": [p.shed_threshold / 100 for p in points],
            "share of attempts that fail": [p.error_rate for p in points],
        },
    )
    offered = {
        f"class {index} (worth {summary.class_weights[index]:g}), taken": [
            p.received[index] for p in points
        ]
        for index in class_indexes
    }
    plot_lines(1, "Requests", "a second", offered)
    plot_lines(
        2,
        "Turned away",
        "a second",
        {f"class {index}": [p.shed[index] for p in points] for index in class_indexes},
    )
    results = sorted({result for p in points for result in p.results})
    attempts: dict[str, list[Any]] = {
        "in flight": [p.attempts_in_flight for p in points],
        "need": [p.concurrency_limit for p in points],
    }
    attempts |= {
        AttemptResult(result).name.lower(): [p.results[result] for p in points]
        for result in results
    }
    plot_lines(3, "Attempts: in flight, need, ends", "count, a second", attempts)
    plot_lines(
        4,
        "Servers",
        "count",
        {
            "ready": [p.ready for p in points],
            "draining": [p.draining for p in points],
            "resting": [p.ejected for p in points],
            "answering at half pace or less": [p.slow for p in points],
        },
    )
    axes[4].set_xlabel("seconds from the first event")
    for gap_end_ms in summary.gap_ends_ms:
        for axis in axes:
            axis.axvline(
                (gap_end_ms - points[0].at_ms) / 1000, color="grey", linestyle=":", linewidth=0.8
            )
    svg = pages.svg(figure)
    pyplot.close(figure)
    return svg


def render_page(summary: CaptureSummary) -> str:
    """Return the page. Raises ImportError where matplotlib is not installed."""
    seconds = (summary.points[-1].at_ms - summary.points[0].at_ms) / 1000
    listed = sorted(summary.endpoints.items(), key=lambda item: (-item[1].failed, item[0]))[
        :MAX_LISTED_ENDPOINTS
    ]
    endpoint_rows: list[tuple[object, ...]] = [
        (
            f"{endpoint_id:x}",
            totals.attempts,
            totals.failed,
            f"{totals.served_latency_ms / totals.served:.0f}" if totals.served else "-",
        )
        for endpoint_id, totals in listed
    ]
    received = sum(sum(point.received.values()) for point in summary.points)
    return pages.page(
        f"Capture of {summary.node or 'a node'}",
        (
            f"<p>{summary.events} events, {received} requests in {seconds:.0f} s.</p>",
            _plots(summary),
            pages.heading("How requests ended"),
            pages.table(("end", "requests"), summary.request_results.most_common()),
            pages.heading("Servers, those that failed most first"),
            pages.table(("server", "attempts", "failed", "mean ms"), endpoint_rows),
        ),
    )
