"""The course of a captured night, as one HTML page.

Captures are decided anew to know x, the cut and what is in flight, which no event holds.
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

STEP = 1000.0  # ms of the night in a point of the plots
MAX_ROWS = 86_400  # points; a longer capture is told to be cut
WORST = 12  # servers in the table


@dataclass(slots=True)
class Row:
    """One step of the night."""

    at: float  # ms on the node's clock
    taken: Counter[int] = field(default_factory=Counter)  # by class
    refused: Counter[int] = field(default_factory=Counter)
    sent: int = 0
    results: Counter[int] = field(default_factory=Counter)
    x: float = 0.0
    cut: float = 0.0
    errors: float = 0.0
    flying: int = 0
    need: float = 0.0
    ready: int = 0
    draining: int = 0
    resting: int = 0
    slow: int = 0


@dataclass(slots=True)
class ServerSum:
    """What attempts came to at one endpoint."""

    attempts: int = 0
    failed: int = 0
    took: float = 0.0  # ms, of those that served
    served: int = 0


class Course:
    """Reads segments in their order and sums the night up in steps."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.servers: dict[int, ServerSum] = {}
        self.classes: dict[int, int] = {}  # of requests under way
        self.states: dict[int, EndpointState] = {}
        self.finals: Counter[str] = Counter()
        self.worths: tuple[float, ...] = ()
        self.events = 0
        self.node = ""
        self.gaps: list[float] = []

    def read(self, path: Path) -> None:
        """Read a segment. Raises FormatError, CodecError and OSError."""
        segment = Segment(path.read_bytes())
        policy = initial_policy(segment)
        self.node = segment.header["node"]
        self.worths = tuple(cls.priority_weight for cls in policy.settings.classes)
        for server in policy.fleet.endpoints.by_id.values():
            self.states.setdefault(server.endpoint.id, server.endpoint.state)
        for item in read_events(segment):
            self.take(
                policy, item.now_ms, item.event, decide(policy, item.now_ms, item.event) or []
            )

    def take(self, policy: Policy, now: float, event: Event, actions: list[Action]) -> None:
        """Count an event and what was decided by it."""
        self.events += 1
        row = self.row(policy, now)
        if isinstance(event, Request):
            row.taken[event.class_index] += 1
            self.classes[event.id] = event.class_index
        elif isinstance(event, AttemptEnded):
            row.results[event.result] += 1
            told = self.servers.setdefault(event.endpoint_id, ServerSum())
            told.attempts += 1
            if event.result == AttemptResult.OK:
                told.served += 1
                told.took += event.elapsed_ms
            elif event.result != AttemptResult.CANCELLED:
                told.failed += 1
            if event.request_finished and self.classes.pop(event.id, None) is not None:
                self.finals[
                    "served" if event.result == AttemptResult.OK else "ended otherwise"
                ] += 1
        elif isinstance(event, EndpointUpdate):
            self.states.update((line.id, line.state) for line in event.endpoints)
        for action in actions:
            if isinstance(action, Send):
                row.sent += 1
            elif isinstance(action, Shed | Fail):
                row.refused[self.classes.pop(action.id, -1)] += 1
                self.finals["refused" if isinstance(action, Shed) else "failed"] += 1

    def row(self, policy: Policy, now: float) -> Row:
        """Return the row of a time, a new one where there is none yet. Raises OSError."""
        at = now - now % STEP
        if self.rows and at <= self.rows[-1].at:
            return self.rows[-1]
        if len(self.rows) >= MAX_ROWS:
            raise OSError(f"more than {MAX_ROWS} s: cut a stretch out first")
        if self.rows and at - self.rows[-1].at > 10 * STEP:
            self.gaps.append(at)
        states = Counter(self.states.values())
        row = Row(
            at,
            x=policy.overload.level,
            cut=policy.overload.shed_threshold,
            errors=policy.overload.error_rate.rate,
            flying=policy.overload.concurrency.current,
            need=policy.overload.concurrency.limit,
            ready=states[EndpointState.READY],
            draining=states[EndpointState.DRAINING],
            resting=sum(
                any(h.ejected_until_ms > now for h in s.health)
                for s in policy.fleet.endpoints.by_id.values()
            ),
            slow=sum(s.relative_latency > 2 for s in policy.fleet.endpoints.by_id.values()),
        )
        self.rows.append(row)
        return row


def _plots(course: Course) -> str:
    """All plots over one axis of time, as SVG."""
    pyplot = pages.pyplot()
    rows = course.rows
    times = [(row.at - rows[0].at) / 1000 for row in rows]
    figure, axes = pyplot.subplots(5, 1, figsize=(11, 14), sharex=True, layout="constrained")

    def lines(place: int, title: str, unit: str, series: dict[str, list[Any]]) -> None:
        for name, values in series.items():
            axes[place].plot(times, values, label=name, linewidth=1.2)
        axes[place].set_title(title, loc="left", fontsize=11)
        axes[place].set_ylabel(unit)
        axes[place].grid(alpha=0.3)
        if series:
            axes[place].legend(loc="upper right", fontsize=8)

    classes = range(len(course.worths))
    lines(
        0,
        "Overload",
        "0 to 1",
        {
            "x": [r.x for r in rows],
            "cut / 100": [r.cut / 100 for r in rows],
            "share of attempts that fail": [r.errors for r in rows],
        },
    )
    offered = {
        f"class {c} (worth {course.worths[c]:g}), taken": [r.taken[c] for r in rows]
        for c in classes
    }
    lines(1, "Requests", "a second", offered)
    lines(
        2, "Turned away", "a second", {f"class {c}": [r.refused[c] for r in rows] for c in classes}
    )
    ends = sorted({result for r in rows for result in r.results})
    attempts: dict[str, list[Any]] = {
        "in flight": [r.flying for r in rows],
        "need": [r.need for r in rows],
    }
    attempts |= {AttemptResult(e).name.lower(): [r.results[e] for r in rows] for e in ends}
    lines(3, "Attempts: in flight, need, ends", "count, a second", attempts)
    lines(
        4,
        "Servers",
        "count",
        {
            "ready": [r.ready for r in rows],
            "draining": [r.draining for r in rows],
            "resting": [r.resting for r in rows],
            "answering at half pace or less": [r.slow for r in rows],
        },
    )
    axes[4].set_xlabel("seconds from the first event")
    for gap in course.gaps:
        for axis in axes:
            axis.axvline((gap - rows[0].at) / 1000, color="grey", linestyle=":", linewidth=0.8)
    drawn = pages.svg(figure)
    pyplot.close(figure)
    return drawn


def page(course: Course) -> str:
    """The whole page. Raises ImportError where matplotlib is not there."""
    seconds = (course.rows[-1].at - course.rows[0].at) / 1000
    worst = sorted(course.servers.items(), key=lambda item: (-item[1].failed, item[0]))[:WORST]
    servers: list[tuple[object, ...]] = [
        (
            f"{number:x}",
            told.attempts,
            told.failed,
            f"{told.took / told.served:.0f}" if told.served else "-",
        )
        for number, told in worst
    ]
    taken = sum(sum(row.taken.values()) for row in course.rows)
    return pages.page(
        f"Capture of {course.node or 'a node'}",
        (
            f"<p>{course.events} events, {taken} requests in {seconds:.0f} s.</p>",
            _plots(course),
            pages.heading("How requests ended"),
            pages.table(("end", "requests"), course.finals.most_common()),
            pages.heading("Servers, those that failed most first"),
            pages.table(("server", "attempts", "failed", "mean ms"), servers),
        ),
    )
