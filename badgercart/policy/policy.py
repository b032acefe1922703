"""One node's load-balancing decisions: an event in, a list of actions out. No I/O, no clock.

A request gets a priority score by its class's weight when it arrives. Under overload the requests
with the lowest scores are shed; the others are sent to an endpoint that appears idle. `Policy`
passes each event to the parts that it concerns, which own all state:

- `RequestLifecycle`: the requests and their attempts
- `Fleet`: the endpoints
- `OverloadController`: the overload signal and the shed threshold
- `PriorityBands`: the priority scores
- `TenantQuotas`: the quotas
- `KeyQueues`: serialization by key
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from badgercart.policy.actions import Action, Fail, Log, SetTimer, Shed, Subscribe
from badgercart.policy.error_rate import ErrorRate
from badgercart.policy.events import (
    AttemptEnded,
    AttemptRerouted,
    ClusterView,
    DeadlineExceeded,
    EndpointUpdate,
    Event,
    Request,
    RequestCancelled,
    RequestCompleted,
    ResponseStarted,
    RetryDecisionDue,
    SettingsChanged,
    TimerFired,
    TrafficPlan,
    UpdateKind,
)
from badgercart.policy.fleet import Fleet
from badgercart.policy.hash_ring import PLACEMENTS_PER_EVENT, KeyTraffic
from badgercart.policy.key_queue import KeyQueues
from badgercart.policy.lifecycle import RequestLifecycle
from badgercart.policy.overload import OverloadController
from badgercart.policy.polling import EndpointPolling
from badgercart.policy.priority import PriorityBands
from badgercart.policy.quotas import TenantQuotas
from badgercart.policy.refresh import RefreshSchedule
from badgercart.policy.retries import RetryPolicy
from badgercart.policy.selection import EndpointSelector
from badgercart.policy.settings import Idempotency, Settings
from badgercart.policy.throughput import Throughput

# Token of the timer that polls the endpoints; the tokens of other timers are ids of requests.
POLL_TOKEN = 1 << 60


class Policy:
    """One node's decisions. Instances share nothing; all random numbers come from the seed."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without endpoints.

        Args:
            settings: the settings of the node.
            seed: the seed of all random draws.
        """
        rng = self.random = random.Random(seed)
        self.settings = settings
        self.now_ms = 0.0
        self.schedule = RefreshSchedule()
        self.polling = EndpointPolling(settings)
        self.priority = PriorityBands()
        self.quotas = TenantQuotas()
        self.key_traffic = KeyTraffic()
        self.key_queues = KeyQueues()
        self.overload = OverloadController(ErrorRate(), Throughput())
        self.fleet = Fleet(settings, self.overload.throughput, self.overload.error_rate, rng)
        self.retries = RetryPolicy(self.overload, settings, rng)
        self.selector = EndpointSelector(
            self.fleet, self.overload.concurrency, self.key_traffic, self.retries, settings, rng
        )
        self.lifecycle = RequestLifecycle(
            settings, self.fleet, self.overload, self.key_queues, self.retries, self.selector
        )
        all_classes = frozenset(range(len(settings.classes)))
        self._apply_settings(SettingsChanged(settings, all_classes, all_classes))

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Return the actions that follow from an event.

        Args:
            now_ms: clock time; it never decreases from one event to the next.
            event: the event.

        Returns:
            The actions that the caller has to execute, in this order.

        Raises:
            LookupError: A request names a class or a tenant that the settings do not have.
        """
        self.now_ms = now_ms
        lifecycle = self.lifecycle
        lifecycle.actions = []
        if self.fleet.virtual_nodes.pending:
            self.fleet.virtual_nodes.place(PLACEMENTS_PER_EVENT)
        handler = _HANDLERS.get(type(event))
        if handler is not None:
            handler(self, now_ms, event)
        if self.key_queues.changed:
            self._send_waiting(now_ms)
        return lifecycle.actions

    def _send_waiting(self, now_ms: float) -> None:
        """Send the next requests of keys whose queues changed."""
        pending = self.key_queues.next_ready()
        while pending is not None:
            self.lifecycle.attempt(pending, now_ms)
            pending = self.key_queues.next_ready()

    # Requests.

    def on_request(self, now_ms: float, request: Request) -> None:
        """Score a request, and send or shed it."""
        self._update_overload(now_ms)
        group = self._admission_group(request)
        self.priority.offered[group] += 1
        if request.key and self.settings.key_affinity:
            self.key_traffic.count(request.key)
        if not self.retries.accepts(request):
            self.lifecycle.actions.append(Fail(request.id))
            return
        score = self.priority.score(group, self.random.random())
        if self.overload.sheds(score):
            self.overload.error_rate.record_shed()
            self.lifecycle.actions.append(Shed(request.id, self.retries.retry_after_ms(score)))
            return
        self.lifecycle.accept(request, score, now_ms)

    def _admission_group(self, request: Request) -> int:
        """Return a request's priority group: its class, or its class beyond its tenant's quota."""
        classes = len(self.settings.classes)
        if not 0 <= request.class_index < classes:
            raise LookupError(
                f"a request names class {request.class_index}, which the settings do not have"
            )
        if self.settings.quotas_per_s and not self.quotas.admit(request.tenant):
            return request.class_index + classes
        return request.class_index

    def on_request_completed(self, now_ms: float, event: RequestCompleted) -> None:
        """Start the time limits of a request whose last part has arrived."""
        self.lifecycle.request_completed(event, now_ms)

    def on_request_cancelled(self, _now_ms: float, event: RequestCancelled) -> None:
        """Forget a request that its client has cancelled."""
        self.lifecycle.finish(event.id)

    def on_deadline_exceeded(self, _now_ms: float, event: DeadlineExceeded) -> None:
        """End a request whose deadline has passed."""
        pending = self.lifecycle.requests.get(event.id)
        if pending is not None:
            self.lifecycle.end(pending)

    def accepts_repeat(self, class_index: int, age_ms: float) -> bool:
        """Return whether a request may be sent whose id was seen `age_ms` ago. It changes nothing."""
        return self.retries.accepts_repeat(class_index, age_ms)

    def is_idempotent(self, class_index: int) -> bool:
        """Return whether requests of a class may run any number of times."""
        return self.settings.classes[class_index].idempotency is Idempotency.IDEMPOTENT

    # Attempts.

    def latest_send_ms(self, request_id: int, attempt: int) -> float:
        """Return the clock time before which an attempt that was decided has to be written.

        It changes nothing. Infinity: any time; minus infinity: it is not allowed any more.
        """
        return self.lifecycle.latest_send_ms(request_id, attempt)

    def on_response_started(self, now_ms: float, event: ResponseStarted) -> None:
        """Count a request as served."""
        self.lifecycle.response_started(event, now_ms)

    def on_attempt_ended(self, now_ms: float, event: AttemptEnded) -> None:
        """Learn from the end of an attempt, and retry or end its request."""
        self.lifecycle.attempt_ended(event, now_ms)

    def on_attempt_rerouted(self, now_ms: float, event: AttemptRerouted) -> None:
        """Record that the transport has sent the next attempt to a fallback endpoint."""
        self.lifecycle.attempt_rerouted(event, now_ms)

    def on_retry_decision_due(self, now_ms: float, event: RetryDecisionDue) -> None:
        """Retry or end a request whose decision was deferred."""
        self.lifecycle.decide_deferred(event.id, event.may_retry, now_ms)

    def on_timer(self, now_ms: float, event: TimerFired) -> None:
        """Poll the endpoints, or send a waiting request if it may be sent now."""
        if event.token == POLL_TOKEN:
            self.lifecycle.actions.append(Subscribe())
            return
        pending = self.lifecycle.requests.get(event.token)
        if pending is not None and not pending.attempts:
            self.lifecycle.attempt(pending, now_ms)

    # Endpoints, settings and the cluster.

    def on_endpoint_update(self, now_ms: float, event: EndpointUpdate) -> None:
        """Apply an endpoint update, and schedule the next poll where it is due."""
        stale = event.kind in (UpdateKind.CACHED, UpdateKind.FAILED)
        if self.settings.polls_endpoints and stale:
            delay_ms = self.polling.next_delay_ms(self.settings, self.random)
            self.lifecycle.actions.append(SetTimer(delay_ms, POLL_TOKEN))
        if event.kind is UpdateKind.FAILED:
            return
        if event.kind is not UpdateKind.CACHED:
            self.polling.reset(self.settings)
        self.fleet.apply_update(event, now_ms)
        self._refresh_fleet(now_ms)

    def on_settings_changed(self, now_ms: float, event: SettingsChanged) -> None:
        """Apply other settings."""
        self._apply_settings(event)
        self.priority.refresh()
        self._refresh_fleet(now_ms)

    def _apply_settings(self, event: SettingsChanged) -> None:
        settings = self.settings = event.settings
        self.quotas.apply_settings(event)
        self.overload.apply_settings(event)
        self.priority.apply_settings(event)
        self.fleet.apply_settings(event)
        self.retries.apply_settings(settings)
        self.selector.apply_settings(settings)
        self.lifecycle.apply_settings(settings)
        self.fleet.outliers.not_executed = self.retries.not_executed
        self.quotas.divide(self.fleet.cluster.view)

    def on_cluster_view(self, now_ms: float, event: ClusterView) -> None:
        """Apply another view of the nodes that share the fleet."""
        self.quotas.apply_cluster(event)
        self.fleet.apply_view(event)
        self._refresh_fleet(now_ms)

    def on_traffic_plan(self, now_ms: float, event: TrafficPlan) -> None:
        """Apply another plan of traffic by zone."""
        if self.fleet.apply_plan(event):
            self._refresh_fleet(now_ms)

    # Averages.

    def _update_overload(self, now_ms: float) -> None:
        """Update the overload signal before a decision."""
        if self.schedule.is_due(now_ms, self.overload.time_scale):
            self.refresh(now_ms)
        else:
            self.overload.measure()

    def refresh(self, now_ms: float) -> None:
        """Update all averages, the priority bands and the shed threshold."""
        passed_ms = self.schedule.begin(now_ms, self.overload.time_scale)
        self.quotas.leak(passed_ms)
        fleet = self.fleet
        if self.schedule.begin_halving(now_ms):
            self._halve_counts(now_ms)
            self._refresh_fleet(now_ms)
        elif fleet.slow_start.starting or fleet.outliers.ejected:
            fleet.refresh_available_capacity(now_ms)
        self.priority.refresh()
        text = self.overload.refresh(passed_ms, fleet.slots, len(fleet.endpoints.ready))
        if text:
            self.lifecycle.actions.append(Log(text))

    def _halve_counts(self, now_ms: float) -> None:
        self.priority.halve_traffic()
        self.key_traffic.halve()
        self.key_queues.prune(now_ms)
        self.fleet.endpoints.halve_recent_attempts()

    def _refresh_fleet(self, now_ms: float) -> None:
        self.fleet.refresh(self.overload.concurrency.limit, now_ms)


Handler = Callable[[Policy, float, Any], None]
_HANDLERS: dict[type, Handler] = {
    Request: Policy.on_request,
    AttemptEnded: Policy.on_attempt_ended,
    EndpointUpdate: Policy.on_endpoint_update,
    RequestCancelled: Policy.on_request_cancelled,
    AttemptRerouted: Policy.on_attempt_rerouted,
    RetryDecisionDue: Policy.on_retry_decision_due,
    RequestCompleted: Policy.on_request_completed,
    ResponseStarted: Policy.on_response_started,
    SettingsChanged: Policy.on_settings_changed,
    ClusterView: Policy.on_cluster_view,
    TrafficPlan: Policy.on_traffic_plan,
    DeadlineExceeded: Policy.on_deadline_exceeded,
    TimerFired: Policy.on_timer,
}
