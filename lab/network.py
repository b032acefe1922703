"""The way between one node and the servers: connections, delays, loss, cuts; the carrier of the
node's join."""

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

ANSWER = UpstreamResponse(200)
MAX_IDLE = 64  # idle connections kept from a node to a server


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that is out."""

    order: AttemptRequest
    server: Server
    sent: float
    tried: int  # the client's try, from 1
    work: Job | None = None
    ended: bool = False
    up: float = 0.0  # when its connection is there
    unsent: bool = False  # its request was over by then


class Network:
    """What all ways have in common, and which zones are cut off from the others now."""

    def __init__(
        self, clock: VirtualClock, day: Day, factors: RandomStream, chance: RandomStream
    ) -> None:
        self.clock, self.day, self.factors, self.chance = clock, day, factors, chance
        self.cut: set[int] = set()
        self.ways: set[tuple[int, int]] = set()  # from one zone to another, that nothing passes
        self.between: set[tuple[int, int]] = set()  # from one node to another
        self.loss = day.net.loss

    def parted(self, one: int, other: int) -> bool:
        """Whether nothing passes from one zone to another."""
        return one != other and (one in self.cut or other in self.cut or (one, other) in self.ways)

    def way(self, one: int, other: int) -> float:
        """ms of one message between two zones."""
        net = self.day.net
        near = net.same_ms if one == other else net.cross_ms
        took = (
            near if self.day.region(one) == self.day.region(other) else net.far_ms
        ) * self.factors()
        while self.loss and self.chance() < self.loss:
            took += net.resend_ms
        return took


class NodeTransport:
    """The carrier of one node. It has a connection for each attempt that is out, and keeps idle
    ones."""

    def __init__(self, net: Network, zone: int, servers: dict[int, Server]) -> None:
        self.net, self.clock, self.zone, self.servers = net, net.clock, zone, servers
        self.out: dict[tuple[int, int], Attempt] = {}
        self.idle: dict[int, list[float]] = {}  # by server: since when
        self.sent: Callable[[Server, AttemptRequest], None] = lambda server, order: None
        self.dials = 0
        self.frozen = 0.0  # until when the node stands still

    def attach(self, pipeline: RequestPipeline) -> None:
        self.pipeline = pipeline
        pipeline.action_handlers[HealthCheck] = self.probe

    def close(self) -> None:
        """The node has died: nothing comes back to it."""
        for attempt in self.out.values():
            attempt.ended = True
        self.out.clear()

    # The join's port.

    def send(self, order: AttemptRequest) -> None:
        server = self.servers[order.endpoint_id]
        attempt = Attempt(order, server, self.clock.now_ms, order.payload.tries)
        self.out[order.request_id, order.attempt] = attempt
        self.sent(server, order)
        self.clock.call_after(max(order.timeout_ms, 0.0), self.end, attempt, AttemptResult.TIMEOUT)
        ready = self.connected(server)
        there, back = (
            self.net.parted(self.zone, server.zone),
            self.net.parted(server.zone, self.zone),
        )
        if not ready and (there or back):
            self.clock.call_after(
                self.net.day.net.dial_ms, self.end, attempt, AttemptResult.UNREACHABLE
            )
            return
        if there:
            return
        way = self.net.way(self.zone, server.zone)
        if not ready:
            if server.down:
                self.clock.call_after(2 * way, self.end, attempt, AttemptResult.UNREACHABLE)
                return
            self.dials += 1
            attempt.up = self.clock.now_ms + self.net.day.net.handshake_ms + 2 * way
            way += self.net.day.net.handshake_ms + 2 * way
        self.clock.call_after(way, self.arrive, attempt)

    def connected(self, server: Server) -> bool:
        """Take an idle connection, where there is one."""
        idle, old = self.idle.get(server.number), self.clock.now_ms - self.net.day.net.idle_ms
        while idle:
            if idle.pop() > old:
                return True
            idle.clear()  # those below are older still
        return False

    def arrive(self, attempt: Attempt) -> None:
        server = attempt.server
        if attempt.unsent or (attempt.ended and server.day.fleet.drops_abandoned):
            return
        asked = attempt.order.payload
        attempt.work = Job(
            asked.number, attempt.tried, asked.cls, asked.key, asked.work, asked.keyed, asked.window,
            partial(self.answer, attempt),
        )  # fmt: skip
        server.take(attempt.work)

    def answer(self, attempt: Attempt, result: AttemptResult) -> None:
        if not self.net.parted(attempt.server.zone, self.zone):
            self.clock.call_after(
                self.net.way(self.zone, attempt.server.zone), self.end, attempt, result
            )

    def end(self, attempt: Attempt, result: AttemptResult) -> None:
        if attempt.ended:
            return
        if self.clock.now_ms < self.frozen:  # the node stands still: it sees this as it wakes
            self.clock.call_at(self.frozen, self.end, attempt, result)
            return
        attempt.ended = True
        order = attempt.order
        self.out.pop((order.request_id, order.attempt), None)
        if result in (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL):
            idle = self.idle.setdefault(attempt.server.number, [])
            if len(idle) < MAX_IDLE:
                idle.append(self.clock.now_ms)
        elif result is AttemptResult.TIMEOUT and attempt.work is not None:
            attempt.work.abandoned = True
        took = self.clock.now_ms - attempt.sent
        answer = ANSWER if result is AttemptResult.OK else None
        self.pipeline.attempt_ended(
            order.request_id, order.attempt, order.endpoint_id, result, took, answer
        )

    def cancel(self, request_id: int, number: int) -> None:
        if (attempt := self.out.get((request_id, number))) is not None:
            if attempt.work is not None:
                attempt.work.abandoned = True
            self.end(attempt, AttemptResult.CANCELLED)

    def abandon_attempt(self, request_id: int, number: int) -> None:
        attempt = self.out.get((request_id, number))
        if attempt is not None and self.clock.now_ms < attempt.up:
            attempt.unsent = True
            self.end(attempt, AttemptResult.NOT_SENT)

    # Probes, for peers that ask for them.

    def probe(self, action: HealthCheck) -> None:
        server = self.servers[action.endpoint_id]
        zone, other = self.zone, server.zone
        if server.down or self.net.parted(zone, other) or self.net.parted(other, zone):
            return  # one that is not answered tells nothing
        sent = self.clock.now_ms
        self.clock.call_after(
            self.net.way(self.zone, server.zone), self.probed, server, action.endpoint_id, sent
        )

    def probed(self, server: Server, server_id: int, sent: float) -> None:
        if server.down or (server.silent and server.chance() < server.silent):
            return
        way = self.net.way(self.zone, server.zone)
        self.clock.call_after(
            way, self.tell_probe, server_id, sent, (float(server.held), server.expected)
        )

    def tell_probe(self, server_id: int, sent: float, report: tuple[float, ...]) -> None:
        event: Any = HealthCheckResult(
            server_id, AttemptResult.OK, self.clock.now_ms - sent, report
        )
        self.pipeline.dispatch(event)
