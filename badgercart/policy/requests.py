"""A request that is owed an answer. No I/O."""

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
    """A request without a final answer; its attempts keep it until they have ended."""

    request: Request
    request_class: RequestClass  # as the request came: later settings do not change its terms
    arrived_ms: float  # when it was complete
    score: float
    key_queue: KeyQueue | None = None
    attempts: int = 0  # sent so far
    open_attempts: set[int] = field(default_factory=set)  # their numbers
    # Attempts that may have been executed: when each was sent, and where.
    possibly_executed: dict[int, tuple[float, Endpoint]] = field(default_factory=dict)
    tried_endpoints: list[int] = field(default_factory=list)  # by number of the attempt
    deferred_result: int = 0  # of an attempt whose consequence is decided later; 0: none
