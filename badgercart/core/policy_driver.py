"""Hand events to the policy one at a time and carry out the actions that it answers with."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from badgercart.core.log_events import POLICY_FAILED
from badgercart.policy import Policy
from badgercart.policy.actions import Action
from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    ClusterView,
    DeadlineExceeded,
    EndpointUpdate,
    Event,
    HealthCheckResult,
    PeerMessage,
    Request,
    RequestCancelled,
    RequestCompleted,
    ResponseStarted,
    RetryDecisionDue,
    SettingsChanged,
    TimerFired,
    TrafficPlan,
)

# The field `kind` of the log event `policy.failed`. Operators' alerts match these words.
LOGGED_KINDS: dict[type[Event], str] = {
    EndpointUpdate: "ServerList",
    Request: "Request",
    RequestCompleted: "Whole",
    ResponseStarted: "Began",
    AttemptEnded: "Outcome",
    AttemptRerouted: "Diverted",
    RetryDecisionDue: "Resume",
    HealthCheckResult: "ProbeResult",
    TimerFired: "Timer",
    PeerMessage: "PeerMessage",
    RequestCancelled: "Withdrawn",
    SettingsChanged: "Retuned",
    ClusterView: "Company",
    TrafficPlan: "Planned",
    DeadlineExceeded: "Overdue",
}

# Called with the time (ms), the event, and the actions decided, before they are carried out.
# The actions are None where the policy raised.
DecisionLog = Callable[[float, Event, list[Action] | None], None]


class PolicyDriver:
    """A queue of events in front of the policy.

    Actions are carried out in the order in which the policy gives them. Events that arise meanwhile
    wait in the queue.
    """

    def __init__(
        self,
        policy: Policy,
        clock: Callable[[], float],
        handlers: Mapping[type[Action], Callable[[Any], None]],
        before_cancellation: Callable[[int], object],
        recover: Callable[[Event], None],
    ) -> None:
        """Set up a driver with an empty queue.

        Args:
            policy: what decides.
            clock: milliseconds on the clock of all events.
            handlers: what carries out each type of action.
            before_cancellation: called with a request's id before the policy hears that it was
                cancelled.
            recover: called with an event that the policy, or an action's handler, failed on.
        """
        self.policy = policy
        self.clock = clock
        self.handlers = handlers
        self.before_cancellation = before_cancellation
        self.recover = recover
        self.queue: deque[Event] = deque()
        self.running = False
        self.failed_event: Event | None = None
        self.decision_log: DecisionLog | None = None

    def dispatch(self, event: Event) -> None:
        """Give the policy an event, after those that wait already."""
        self.queue.append(event)
        self.run()

    def run(self) -> None:
        """Have the policy handle every event in the queue, unless it is doing so already."""
        if self.running:
            return
        self.running = True
        try:
            while self.queue:
                self._handle(self.queue.popleft())
        finally:
            self.running = False

    def _handle(self, event: Event) -> None:
        now = self.clock()
        decided = False
        if type(event) is RequestCancelled:
            self.before_cancellation(event.id)
        try:
            actions = self.policy.handle(now, event)
            decided = True
            if self.decision_log is not None:
                self.decision_log(now, event, actions)
            for action in actions:
                self.handlers[type(action)](action)
        except Exception:
            # A fault in the policy may cost the request that it concerns, never the process.
            if self.decision_log is not None and not decided:
                self.decision_log(now, event, None)
            self.failed_event = event
            POLICY_FAILED(True, kind=LOGGED_KINDS[type(event)], request=getattr(event, "id", 0))
            self.recover(event)
