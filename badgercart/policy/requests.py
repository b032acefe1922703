"""A request that the policy has accepted. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from badgercart.policy.endpoint import Endpoint
from badgercart.policy.events import Request
from badgercart.policy.settings import RequestClass

if TYPE_CHECKING:
    from badgercart.policy.key_queue import KeyQueue


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a final answer; open attempts keep it until they have ended.

    Attributes:
        request: the request.
        request_class: its class when it arrived, which later settings do not change.
        arrived_ms: the clock time at which it arrived, or at which it was complete.
        score: its priority score.
        key_queue: the queue of its key, if the class is serialized by key.
        attempts: the number of attempts sent so far.
        open_attempts: the numbers of its open attempts.
        possibly_executed: attempts that may have been executed, by number: the clock time at which
            each was sent, and its endpoint.
        tried_endpoints: the endpoint of each attempt, by number.
        deferred_result: the result of an attempt whose retry decision is deferred; 0: none.
    """

    request: Request
    request_class: RequestClass
    arrived_ms: float
    score: float
    key_queue: KeyQueue | None = None
    attempts: int = 0
    open_attempts: set[int] = field(default_factory=set)
    possibly_executed: dict[int, tuple[float, Endpoint]] = field(default_factory=dict)
    tried_endpoints: list[int] = field(default_factory=list)
    deferred_result: int = 0
