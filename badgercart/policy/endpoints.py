"""The endpoints that this node may send to, and what its own attempts showed of each. No I/O."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from badgercart.policy.endpoint import Endpoint, EndpointState, EndpointStatistics
from badgercart.policy.hashing import mix_hash

if TYPE_CHECKING:
    from badgercart.policy.requests import PendingRequest

BULK_CHANGES = 64  # endpoints that came or went above which the ready ones are sorted anew

AttemptKey = tuple[int, int]  # request id, number of the attempt


@dataclass(slots=True)
class ClassHealth:
    """How an endpoint treats one request class."""

    failure_rate: float = 0.0  # of recent attempts
    ejected_until_ms: float = 0.0  # clock time in ms; 0: not ejected, nor on trial
    consecutive_ejections: int = 0


@dataclass(slots=True)
class TrackedEndpoint:
    """An endpoint, and what this node knows of it beside the list."""

    endpoint: Endpoint
    tokens: float  # during slow start: attempts it may get; a random start keeps nodes out of step
    tokens_as_of_ms: float  # clock time in ms as of which
    health: list[ClassHealth]  # by class
    # Open attempts, each with the clock time after which it is overdue.
    open_attempts: dict[AttemptKey, tuple[PendingRequest, float]] = field(default_factory=dict)
    uploads: dict[AttemptKey, PendingRequest] = field(
        default_factory=dict
    )  # of requests not yet complete
    recent_attempts: float = 0.0  # of this node, halved now and then
    relative_latency: float = 1.0  # over the typical one for class and kind


@dataclass(slots=True)
class EndpointChanges:
    """Ready endpoints that came, went, or are listed otherwise.

    Three lists and not a list of objects: the first update of a large fleet changes all endpoints
    at once.
    """

    endpoint_ids: list[int] = field(default_factory=list)
    before: list[Endpoint | None] = field(default_factory=list)  # None: it was not ready
    after: list[Endpoint | None] = field(default_factory=list)  # None: it is not ready any more

    def __iter__(self) -> Iterator[tuple[int, Endpoint | None, Endpoint | None]]:
        """Give each endpoint's id with what was and what is."""
        return zip(self.endpoint_ids, self.before, self.after, strict=True)

    def removed(self) -> set[int]:
        """Return the endpoints that are not ready any more."""
        return {endpoint_id for endpoint_id, _, after in self if after is None}

    def added(self) -> list[int]:
        """Return the endpoints that were not ready before."""
        return [endpoint_id for endpoint_id, before, _ in self if before is None]


class EndpointSet:
    """All tracked endpoints, and the ready ones in the order of their hashes."""

    __slots__ = (
        "active",
        "applied",
        "by_id",
        "hashes",
        "ready",
        "recent_attempts",
        "restorable",
        "updated",
    )

    def __init__(self) -> None:
        self.by_id: dict[int, TrackedEndpoint] = {}
        self.ready: list[int] = []  # endpoint ids, by hash
        self.hashes: list[int] = []  # of the ready ones
        self.applied: dict[int, Endpoint] = {}  # the ready ones as all that is derived has them
        self.updated: set[int] = set()  # ids that an update named since
        # Endpoints whose recent attempts or latency may differ from a new one's.
        self.active: set[int] = set()
        self.restorable: dict[
            int, EndpointStatistics
        ] = {}  # of a predecessor, until the endpoint is listed
        self.recent_attempts = 1e-9  # of all endpoints

    def track(
        self, endpoint: Endpoint, class_count: int, now_ms: float, rng: random.Random
    ) -> TrackedEndpoint:
        """Track an endpoint anew; attempts that are open at its earlier start stay open."""
        old = self.by_id.get(endpoint.id)
        health = [ClassHealth() for _ in range(class_count)]
        tracked = self.by_id[endpoint.id] = TrackedEndpoint(endpoint, -rng.random(), now_ms, health)
        if self.ready:  # as much as the others': else it would draw more than they do
            tracked.recent_attempts = self.recent_attempts / len(self.ready)
            self.active.add(endpoint.id)
        if old is not None:
            tracked.open_attempts, tracked.uploads = old.open_attempts, old.uploads
        return tracked

    def restore(self, tracked: TrackedEndpoint, statistics: EndpointStatistics) -> None:
        """Take over a predecessor's recent attempts and latency of an endpoint."""
        self.active.add(tracked.endpoint.id)
        tracked.relative_latency = statistics.relative_latency
        tracked.recent_attempts = statistics.recent_attempts
        self.recent_attempts += statistics.recent_attempts

    def take_changes(self) -> EndpointChanges:
        """Bring the ready ones up to date with what was updated, and return what changed."""
        changes = EndpointChanges()
        by_id, applied = self.by_id, self.applied
        for endpoint_id in self.updated:
            tracked, before = by_id.get(endpoint_id), applied.pop(endpoint_id, None)
            after = None
            if tracked is not None and tracked.endpoint.state is EndpointState.READY:
                after = applied[endpoint_id] = tracked.endpoint
            if before != after:
                changes.endpoint_ids.append(endpoint_id)
                changes.before.append(before)
                changes.after.append(after)
        self.updated.clear()
        self._update_ready(changes.removed(), changes.added())
        return changes

    def _update_ready(self, left: set[int], came: list[int]) -> None:
        if len(left) + len(came) > BULK_CHANGES:
            self._rebuild_ready(left, came)
            return
        for endpoint_id in left:
            at = self.ready.index(endpoint_id, bisect_left(self.hashes, mix_hash(endpoint_id)))
            del self.ready[at], self.hashes[at]
        for endpoint_id in came:
            at = bisect_left(self.hashes, mix_hash(endpoint_id))
            self.hashes.insert(at, mix_hash(endpoint_id))
            self.ready.insert(at, endpoint_id)

    def _rebuild_ready(self, left: set[int], came: Iterable[int]) -> None:
        kept = [pair for pair in zip(self.hashes, self.ready, strict=True) if pair[1] not in left]
        pairs = sorted([*kept, *((mix_hash(endpoint_id), endpoint_id) for endpoint_id in came)])
        self.hashes = [position for position, _ in pairs]
        self.ready = [endpoint_id for _, endpoint_id in pairs]

    def halve_recent_attempts(self) -> None:
        """Let what older attempts showed weigh half."""
        self.recent_attempts /= 2
        self.active &= self.by_id.keys()
        for tracked in (self.by_id[endpoint_id] for endpoint_id in self.active):
            tracked.recent_attempts /= 2
            tracked.relative_latency = (1 + tracked.relative_latency) / 2

    def count_attempt(self, tracked: TrackedEndpoint) -> None:
        """Count an attempt that goes to an endpoint now."""
        self.active.add(tracked.endpoint.id)
        tracked.recent_attempts += 1
        self.recent_attempts += 1

    def reset_classes(self, class_count: int, reset: Iterable[int]) -> None:
        """Make room for new classes, and forget the health of those that begin anew."""
        for tracked in self.by_id.values():
            tracked.health += [ClassHealth() for _ in range(class_count - len(tracked.health))]
            for index in reset:
                tracked.health[index] = ClassHealth()
