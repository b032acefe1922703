"""The simulated network: delays, loss and partitions, and the transport of one node.

A transport opens connections to the servers for the attempts of a node's request pipeline.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from badgercart.core.ports import AttemptRequest, UpstreamResponse
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.actions import HealthCheck
from badgercart.policy.events import AttemptResult, HealthCheckResult
from lab.clock import VirtualClock
from lab.random_streams import RandomStream
from lab.servers import Job, Server
from lab.settings import Day

OK_RESPONSE = UpstreamResponse(200)
MAX_IDLE_CONNECTIONS = 64  # from a node to a server


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight."""

    request: AttemptRequest
    server: Server
    sent_ms: float
    client_try: int  # from 1
    job: Job | None = None
    ended: bool = False
    connected_ms: float = 0.0
    abandoned_unsent: bool = False  # before its connection was established


class Network:
    """Delays, loss and partitions between zones and between nodes."""

    def __init__(
        self,
        clock: VirtualClock,
        day: Day,
        jitter_factors: RandomStream,
        random_stream: RandomStream,
    ) -> None:
        self.clock, self.day = clock, day
        self.jitter_factors, self.random_stream = jitter_factors, random_stream
        self.isolated_zones: set[int] = set()
        # Directed pairs between which no message passes.
        self.cut_zone_links: set[tuple[int, int]] = set()
        self.cut_node_links: set[tuple[int, int]] = set()
        self.loss = day.net.loss

    def blocked(self, source: int, target: int) -> bool:
        """Return whether no message passes from one zone to another."""
        return source != target and (
            source in self.isolated_zones
            or target in self.isolated_zones
            or (source, target) in self.cut_zone_links
        )

    def delay_ms(self, source: int, target: int) -> float:
        """Draw the delay of one message between two zones, with resending after losses."""
        net = self.day.net
        near_ms = net.same_ms if source == target else net.cross_ms
        delay_ms = (
            near_ms if self.day.region(source) == self.day.region(target) else net.far_ms
        ) * self.jitter_factors()
        while self.loss and self.random_stream() < self.loss:
            delay_ms += net.resend_ms
        return delay_ms


class NodeTransport:
    """The transport of one node: a connection for each attempt in flight, and idle ones."""

    def __init__(self, network: Network, zone: int, servers: dict[int, Server]) -> None:
        self.network, self.clock, self.zone, self.servers = network, network.clock, zone, servers
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.idle_since_ms: dict[int, list[float]] = {}  # by server, the latest last
        self.on_sent: Callable[[Server, AttemptRequest], None] = lambda server, request: None
        self.connections_opened = 0
        self.frozen_until_ms = 0.0  # of the node

    def attach(self, pipeline: RequestPipeline) -> None:
        """Report the results of attempts and health checks to a pipeline."""
        self.pipeline = pipeline
        pipeline.action_handlers[HealthCheck] = self.check_health

    def close(self) -> None:
        """End all attempts without a result, because the node has died."""
        for attempt in self.in_flight.values():
            attempt.ended = True
        self.in_flight.clear()

    # The transport port of the request pipeline.

    def send(self, request: AttemptRequest) -> None:
        """Send an attempt on an idle connection or a new one."""
        server = self.servers[request.endpoint_id]
        attempt = Attempt(request, server, self.clock.now_ms, request.payload.tries)
        self.in_flight[request.request_id, request.attempt] = attempt
        self.on_sent(server, request)
        self.clock.call_after(
            max(request.timeout_ms, 0.0), self.end, attempt, AttemptResult.TIMEOUT
        )
        connected = self.take_idle_connection(server)
        there_blocked = self.network.blocked(self.zone, server.zone)
        back_blocked = self.network.blocked(server.zone, self.zone)
        if not connected and (there_blocked or back_blocked):
            self.clock.call_after(
                self.network.day.net.dial_ms, self.end, attempt, AttemptResult.UNREACHABLE
            )
            return
        if there_blocked:
            return
        delay_ms = self.network.delay_ms(self.zone, server.zone)
        if not connected:
            if server.down:
                self.clock.call_after(2 * delay_ms, self.end, attempt, AttemptResult.UNREACHABLE)
                return
            self.connections_opened += 1
            attempt.connected_ms = (
                self.clock.now_ms + self.network.day.net.handshake_ms + 2 * delay_ms
            )
            delay_ms += self.network.day.net.handshake_ms + 2 * delay_ms
        self.clock.call_after(delay_ms, self.arrive, attempt)

    def take_idle_connection(self, server: Server) -> bool:
        """Take an idle connection to a server, and return whether there was one."""
        idle = self.idle_since_ms.get(server.number)
        expired_ms = self.clock.now_ms - self.network.day.net.idle_ms
        while idle:
            if idle.pop() > expired_ms:
                return True
            # The remaining ones have been idle for even longer.
            idle.clear()
        return False

    def arrive(self, attempt: Attempt) -> None:
        """Deliver an attempt to its server, unless it was abandoned in transit."""
        server = attempt.server
        if attempt.abandoned_unsent or (attempt.ended and server.day.fleet.drops_abandoned):
            return
        client_request = attempt.request.payload
        attempt.job = Job(
            client_request.number, attempt.client_try, client_request.class_index, client_request.key,
            client_request.work_ms, client_request.keyed, client_request.window_ms,
            partial(self.respond, attempt),
        )  # fmt: skip
        server.receive(attempt.job)

    def respond(self, attempt: Attempt, result: AttemptResult) -> None:
        """Carry a server's response to the node."""
        if not self.network.blocked(attempt.server.zone, self.zone):
            self.clock.call_after(
                self.network.delay_ms(self.zone, attempt.server.zone), self.end, attempt, result
            )

    def end(self, attempt: Attempt, result: AttemptResult) -> None:
        """Report the result of an attempt, unless it has one already."""
        if attempt.ended:
            return
        if self.clock.now_ms < self.frozen_until_ms:
            self.clock.call_at(self.frozen_until_ms, self.end, attempt, result)
            return
        attempt.ended = True
        request = attempt.request
        self.in_flight.pop((request.request_id, request.attempt), None)
        if result in (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL):
            idle = self.idle_since_ms.setdefault(attempt.server.number, [])
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(self.clock.now_ms)
        elif result is AttemptResult.TIMEOUT and attempt.job is not None:
            attempt.job.abandoned = True
        elapsed_ms = self.clock.now_ms - attempt.sent_ms
        response = OK_RESPONSE if result is AttemptResult.OK else None
        self.pipeline.attempt_ended(
            request.request_id, request.attempt, request.endpoint_id, result, elapsed_ms, response
        )

    def cancel(self, request_id: int, number: int) -> None:
        """Cancel an attempt, and mark its job as abandoned if it has reached the server."""
        if (attempt := self.in_flight.get((request_id, number))) is not None:
            if attempt.job is not None:
                attempt.job.abandoned = True
            self.end(attempt, AttemptResult.CANCELLED)

    def abandon_attempt(self, request_id: int, number: int) -> None:
        """End an attempt that was not sent yet because its connection is not established."""
        attempt = self.in_flight.get((request_id, number))
        if attempt is not None and self.clock.now_ms < attempt.connected_ms:
            attempt.abandoned_unsent = True
            self.end(attempt, AttemptResult.NOT_SENT)

    # Health checks, for policies that use them.

    def check_health(self, action: HealthCheck) -> None:
        """Send a health check, which has no result if the server can't be reached."""
        server = self.servers[action.endpoint_id]
        zone, target = self.zone, server.zone
        if server.down or self.network.blocked(zone, target) or self.network.blocked(target, zone):
            return
        sent_ms = self.clock.now_ms
        self.clock.call_after(
            self.network.delay_ms(self.zone, server.zone),
            self.health_check_arrived,
            server,
            action.endpoint_id,
            sent_ms,
        )

    def health_check_arrived(self, server: Server, endpoint_id: int, sent_ms: float) -> None:
        """Respond to a health check with the load and expected latency of the server."""
        if server.down or (server.silent_share and server.random_stream() < server.silent_share):
            return
        delay_ms = self.network.delay_ms(self.zone, server.zone)
        report = (float(server.job_count), server.expected_latency_ms)
        self.clock.call_after(delay_ms, self.report_health, endpoint_id, sent_ms, report)

    def report_health(self, endpoint_id: int, sent_ms: float, report: tuple[float, ...]) -> None:
        """Report the result of a health check to the pipeline."""
        event: Any = HealthCheckResult(
            endpoint_id, AttemptResult.OK, self.clock.now_ms - sent_ms, report
        )
        self.pipeline.dispatch(event)
