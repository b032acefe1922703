"""Serialization by key: requests that share a key are sent one at a time, as they came. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgercart.policy.events import POSSIBLY_STILL_EXECUTING
from badgercart.policy.requests import PendingRequest


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one key, and what keeps the next of them waiting."""

    waiting: list[PendingRequest] = field(
        default_factory=list
    )  # without a final answer, as they came
    open_attempts: int = 0  # those of requests that have their answer included
    cooldown_until_ms: float = 0.0  # clock time in ms

    def must_wait(self, ahead: int, now_ms: float) -> bool:
        """Return whether a request with so many ahead of it has to wait before it is sent."""
        return bool(ahead or self.open_attempts or self.cooldown_until_ms > now_ms)

    def wait_until(self, ahead: int, latest_ms: float) -> float:
        """Return until when a request waits if nothing happens before."""
        if ahead or self.open_attempts:
            return latest_ms
        return min(latest_ms, self.cooldown_until_ms)


class KeyQueues:
    """The queues by key, and those whose next request may go."""

    __slots__ = ("by_key", "changed")

    def __init__(self) -> None:
        self.by_key: dict[int, KeyQueue] = {}
        self.changed: list[KeyQueue] = []

    def join(self, pending: PendingRequest) -> None:
        """Put a request at the end of its key's queue."""
        queue = self.by_key.setdefault(pending.request.key, KeyQueue())
        queue.waiting.append(pending)
        pending.key_queue = queue

    def leave(self, pending: PendingRequest) -> None:
        """Take a request with its final answer out of its queue."""
        queue = pending.key_queue
        if queue is not None:
            queue.waiting.remove(pending)
            self.changed.append(queue)

    def attempt_ended(
        self, queue: KeyQueue, result: int, now_ms: float, cooldown_ms: float
    ) -> None:
        """Note the end of an attempt; one that may still be executing cools its key down."""
        queue.open_attempts -= 1
        if result in POSSIBLY_STILL_EXECUTING:
            queue.cooldown_until_ms = now_ms + cooldown_ms
        self.changed.append(queue)

    def next_ready(self) -> PendingRequest | None:
        """Return the next unsent request at the head of a changed queue, or None."""
        while self.changed:
            queue = self.changed.pop()
            if queue.waiting and not queue.waiting[0].attempts:
                return queue.waiting[0]
        return None

    def prune(self, now_ms: float) -> None:
        """Forget queues in which nothing is left."""
        self.by_key = {
            key: queue
            for key, queue in self.by_key.items()
            if queue.waiting or queue.open_attempts or queue.cooldown_until_ms > now_ms
        }
