"""Serialization by key: requests that share a key are sent one at a time, in order. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from badgercart.policy.events import POSSIBLY_STILL_EXECUTING
from badgercart.policy.requests import PendingRequest


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one key, and what keeps the next of them waiting.

    Attributes:
        waiting: the requests without a final answer, in order of arrival.
        open_attempts: the open attempts, including those of requests that have a final answer.
        cooldown_until_ms: the clock time before which no request of the key is sent.
    """

    waiting: list[PendingRequest] = field(default_factory=list)
    open_attempts: int = 0
    cooldown_until_ms: float = 0.0

    def must_wait(self, ahead: int, now_ms: float) -> bool:
        """Return whether a request has to wait, with this number of requests ahead of it."""
        return bool(ahead or self.open_attempts or self.cooldown_until_ms > now_ms)

    def wait_until(self, ahead: int, latest_ms: float) -> float:
        """Return the clock time until which a request waits unless an attempt ends before."""
        if ahead or self.open_attempts:
            return latest_ms
        return min(latest_ms, self.cooldown_until_ms)


class KeyQueues:
    """The queues by key, and those whose next request may be ready to send."""

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
        """Remove a request that has its final answer from its queue."""
        queue = pending.key_queue
        if queue is not None:
            queue.waiting.remove(pending)
            self.changed.append(queue)

    def attempt_ended(
        self, queue: KeyQueue, result: int, now_ms: float, cooldown_ms: float
    ) -> None:
        """Note the end of an attempt; if it may still be executing, start the key's cooldown."""
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
        """Remove queues without requests, open attempts or a cooldown."""
        self.by_key = {
            key: queue
            for key, queue in self.by_key.items()
            if queue.waiting or queue.open_attempts or queue.cooldown_until_ms > now_ms
        }
