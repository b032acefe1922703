"""The endpoints that this node may send to, and what it learned of each by its attempts. No I/O."""

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

BULK_CHANGES = 64  # if more endpoints change at once, the ready ones are sorted again

# The id of a request and the number of one of its attempts.
AttemptKey = tuple[int, int]


@dataclass(slots=True)
class ClassHealth:
    """The health of an endpoint for one request class.

    Attributes:
        failure_rate: the failure rate of recent attempts.
        ejected_until_ms: the clock time at which its ejection ends. A time in the past: the
            endpoint is on trial, until an attempt succeeds. 0: it is neither ejected nor on trial.
        consecutive_ejections: the number of its ejections, halved with each success.
    """

    failure_rate: float = 0.0
    ejected_until_ms: float = 0.0
    consecutive_ejections: int = 0


@dataclass(slots=True)
class TrackedEndpoint:
    """An endpoint, and what this node knows of it beyond its entry in the endpoint list.

    Attributes:
        endpoint: its entry in the endpoint list.
        tokens: the attempts that it may get during slow start. The initial value is random, so that
            nodes do not send to it all at once.
        tokens_as_of_ms: the clock time at which its tokens were last computed.
        health: its health, by class.
        open_attempts: the open attempts of complete requests, each with the clock time after which
            it is overdue.
        uploads: the open attempts of requests that are not complete yet.
        recent_attempts: the attempts of this node, halved periodically.
        relative_latency: its latency over the typical one for class and kind.
    """

    endpoint: Endpoint
    tokens: float
    tokens_as_of_ms: float
    health: list[ClassHealth]
    open_attempts: dict[AttemptKey, tuple[PendingRequest, float]] = field(default_factory=dict)
    uploads: dict[AttemptKey, PendingRequest] = field(default_factory=dict)
    recent_attempts: float = 0.0
    relative_latency: float = 1.0


@dataclass(slots=True)
class EndpointChanges:
    """Endpoints that became ready, are no longer ready, or are ready with another list entry.

    They are three lists instead of one list of objects for speed: the first update of a large fleet
    changes all endpoints at once.

    Attributes:
        endpoint_ids: the ids of the endpoints.
        before: the former entry of each; None: it was not ready.
        after: the present entry of each; None: it is no longer ready.
    """

    endpoint_ids: list[int] = field(default_factory=list)
    before: list[Endpoint | None] = field(default_factory=list)
    after: list[Endpoint | None] = field(default_factory=list)

    def __iter__(self) -> Iterator[tuple[int, Endpoint | None, Endpoint | None]]:
        """Iterate over the endpoints' ids, each with its former and its present entry."""
        return zip(self.endpoint_ids, self.before, self.after, strict=True)

    def removed(self) -> set[int]:
        """Return the endpoints that are no longer ready."""
        return {endpoint_id for endpoint_id, _, after in self if after is None}

    def added(self) -> list[int]:
        """Return the endpoints that were not ready before."""
        return [endpoint_id for endpoint_id, before, _ in self if before is None]


class EndpointSet:
    """All tracked endpoints, and the ready ones in the order of their hashes.

    Attributes:
        by_id: all tracked endpoints, by id.
        ready: the ids of the ready endpoints, in the order of their hashes.
        hashes: the hashes of the ready endpoints, in order.
        applied: the ready endpoints as all derived values reflect them, by id.
        updated: ids that updates named since changes were last taken.
        active: ids of endpoints whose recent attempts or latency may differ from a new one's.
        restorable: statistics from before a restart of this node, until the endpoint is listed.
        recent_attempts: the sum over all endpoints.
    """

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
        self.ready: list[int] = []
        self.hashes: list[int] = []
        self.applied: dict[int, Endpoint] = {}
        self.updated: set[int] = set()
        self.active: set[int] = set()
        self.restorable: dict[int, EndpointStatistics] = {}
        self.recent_attempts = 1e-9  # not 0, since it is used as a divisor

    def track(
        self, endpoint: Endpoint, class_count: int, now_ms: float, rng: random.Random
    ) -> TrackedEndpoint:
        """Start to track an endpoint; if it has restarted, its open attempts stay open."""
        old = self.by_id.get(endpoint.id)
        health = [ClassHealth() for _ in range(class_count)]
        tracked = self.by_id[endpoint.id] = TrackedEndpoint(endpoint, -rng.random(), now_ms, health)
        if self.ready:
            # The mean of the others; with fewer attempts it would be chosen more often than they.
            tracked.recent_attempts = self.recent_attempts / len(self.ready)
            self.active.add(endpoint.id)
        if old is not None:
            tracked.open_attempts, tracked.uploads = old.open_attempts, old.uploads
        return tracked

    def restore(self, tracked: TrackedEndpoint, statistics: EndpointStatistics) -> None:
        """Restore an endpoint's recent attempts and latency from before a restart of this node."""
        self.active.add(tracked.endpoint.id)
        tracked.relative_latency = statistics.relative_latency
        tracked.recent_attempts = statistics.recent_attempts
        self.recent_attempts += statistics.recent_attempts

    def take_changes(self) -> EndpointChanges:
        """Apply the updates received to the ready endpoints, and return what changed."""
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

    def _update_ready(self, removed: set[int], added: list[int]) -> None:
        if len(removed) + len(added) > BULK_CHANGES:
            self._rebuild_ready(removed, added)
            return
        for endpoint_id in removed:
            at = self.ready.index(endpoint_id, bisect_left(self.hashes, mix_hash(endpoint_id)))
            del self.ready[at], self.hashes[at]
        for endpoint_id in added:
            at = bisect_left(self.hashes, mix_hash(endpoint_id))
            self.hashes.insert(at, mix_hash(endpoint_id))
            self.ready.insert(at, endpoint_id)

    def _rebuild_ready(self, removed: set[int], added: Iterable[int]) -> None:
        kept = [
            pair for pair in zip(self.hashes, self.ready, strict=True) if pair[1] not in removed
        ]
        pairs = sorted([*kept, *((mix_hash(endpoint_id), endpoint_id) for endpoint_id in added)])
        self.hashes = [position for position, _ in pairs]
        self.ready = [endpoint_id for _, endpoint_id in pairs]

    def halve_recent_attempts(self) -> None:
        """Halve the weight of older attempts, in their number and in the latency."""
        self.recent_attempts /= 2
        self.active &= self.by_id.keys()
        for tracked in (self.by_id[endpoint_id] for endpoint_id in self.active):
            tracked.recent_attempts /= 2
            tracked.relative_latency = (1 + tracked.relative_latency) / 2

    def count_attempt(self, tracked: TrackedEndpoint) -> None:
        """Count an attempt that is sent to an endpoint now."""
        self.active.add(tracked.endpoint.id)
        tracked.recent_attempts += 1
        self.recent_attempts += 1

    def reset_classes(self, class_count: int, reset: Iterable[int]) -> None:
        """Add the health of new classes, and reset that of the classes in `reset`."""
        for tracked in self.by_id.values():
            tracked.health += [ClassHealth() for _ in range(class_count - len(tracked.health))]
            for index in reset:
                tracked.health[index] = ClassHealth()
