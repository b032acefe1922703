"""Simulation of one day: clients, nodes with the real request pipeline and policy, and servers.

Another policy of `lab.peers` can take the place of the real one.
"""

from __future__ import annotations

import gc
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from badgercart.cluster.timing import SwimTiming
from badgercart.core.ports import IncomingRequest, UpstreamResponse
from badgercart.core.request_pipeline import RequestPipeline
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import EndpointUpdate, UpdateKind
from badgercart.policy.statistics import PolicyStatistics, export_statistics, import_statistics
from badgercart.statistics.ageing import decay_statistics
from lab.arrivals import RequestPlan, plan_requests
from lab.clock import VirtualClock
from lab.fault_injection import FaultInjector
from lab.metrics import SAMPLE_INTERVAL_MS, DayMetrics
from lab.network import Network, NodeTransport
from lab.node_cluster import NodeCluster
from lab.peers import BADGERCART, make
from lab.random_streams import generator, jitter_stream, uniform_stream
from lab.rule_checker import RuleChecker
from lab.servers import Server, build_fleet
from lab.settings import Cell, ClassSettings, Day

# Nodes must respond this long before the deadline of the client.
RESPONSE_MARGIN_MS = 2.0
# Simulated beyond the longest deadline, so that the last requests end.
FINAL_MARGIN_MS = 1000.0
PROGRESS_STEPS = 50
ID_LIMIT = 1 << 62  # of drawn IDs, keys and seeds


@dataclass(slots=True)
class ClientRequest:
    """A client's request, with all its tries."""

    number: int
    class_index: int
    tenant_index: int
    key: int
    work_ms: float
    keyed: bool
    window_ms: float
    scheduled_ms: float
    tries: int = 0
    ended: bool = False


class ClientTry:
    """One try of a request at one node: the frontend of the node's pipeline."""

    __slots__ = ("cancelled", "id", "node", "request", "responses", "simulation")

    def __init__(self, simulation: Simulation, node: SimulatedNode, request: ClientRequest) -> None:
        self.simulation, self.node, self.request = simulation, node, request
        self.id = node.pipeline.next_request_id()
        self.cancelled = False
        self.responses = 0

    def accept_response(self) -> bool:
        """Count a response, and return whether the client is waiting for it."""
        self.responses += 1
        if self.responses > 1:
            self.simulation.rule_checker.answered_twice(self.request.number)
        return self.responses == 1 and not self.cancelled

    def client_is_gone(self) -> bool:
        """Return False: the pipeline is notified at once when a client leaves."""
        return False

    def on_response(self, response: UpstreamResponse) -> None:
        """Receive a server's response."""
        if self.accept_response():
            self.simulation.try_served(self)

    def on_shed(self, retry_after_ms: float) -> None:
        """Receive the response to a request that was shed."""
        self.simulation.rule_checker.request_shed(
            self.request.number, self.request.class_index, self.request.tries
        )
        if self.accept_response():
            self.simulation.try_failed(self, "refused", retry_after_ms)

    def on_failure(self, internal_error: bool) -> None:
        """Receive the response to a request that failed, possibly by an error of the policy."""
        if internal_error:
            self.simulation.policy_errors += 1
        if self.accept_response():
            self.simulation.try_failed(self, "failed", 0.0)


class SimulatedNode:
    """One node: its request pipeline, its policy and its transport to the servers."""

    def __init__(self, simulation: Simulation, number: int) -> None:
        self.simulation, self.number = simulation, number
        self.zone = number % simulation.day.net.zones
        self.up = False
        self.list_cut_off: bool = False  # whether it receives no updates of the endpoint list
        self.frozen_until_ms = 0.0
        self.draining_since_ms: dict[int, float] = {}  # by server: when the node learned of it
        self.list_version = 0
        self.starts = 0
        self.open_tries: dict[int, ClientTry] = {}
        self.saved_statistics: PolicyStatistics | None = None  # as of when it stopped
        self.pipeline: RequestPipeline
        self.transport: NodeTransport

    def start(self) -> None:
        """Start with a new policy, which has learned nothing unless the day says so."""
        simulation = self.simulation
        seed = int(
            generator(simulation.cell.seed, "policy", self.number, self.starts).integers(ID_LIMIT)
        )
        self.starts += 1
        self.pipeline = RequestPipeline(
            simulation.day.policy_settings(self.number),
            seed,
            simulation.clock,
            simulation.clock.time,
        )
        if self.saved_statistics is not None:
            age_ms = simulation.day.node.learned_age_s * 1000
            settings = self.pipeline.policy.settings
            import_statistics(
                self.pipeline.policy, decay_statistics(self.saved_statistics, age_ms, settings)
            )
        make(simulation.cell.policy, simulation.day, self.pipeline, seed)
        if simulation.cluster is not None:
            simulation.cluster.start(self.number, self.zone, self.pipeline)
        self.transport = NodeTransport(simulation.network, self.zone, simulation.servers_by_id)
        self.transport.attach(self.pipeline)
        self.transport.on_sent = self.attempt_sent
        self.up = True
        self.draining_since_ms.clear()
        self.update_endpoints(UpdateKind.SNAPSHOT, simulation.servers)

    def stop(self) -> None:
        """Stop at once: the connections of clients are reset."""
        self.up = False
        if self.simulation.cluster is not None:
            self.simulation.cluster.stop(self.number)
        if (
            self.simulation.day.node.learned_age_s >= 0
            and self.simulation.cell.policy == BADGERCART
        ):
            self.saved_statistics = export_statistics(self.pipeline.policy)
        self.transport.close()
        open_tries, self.open_tries = self.open_tries, {}
        for client_try in open_tries.values():
            if client_try.accept_response():
                self.simulation.try_failed(client_try, "failed", 0.0)

    def update_endpoints(
        self, kind: UpdateKind, servers: list[Server], without: frozenset[int] = frozenset()
    ) -> None:
        """Receive a snapshot of the endpoint list, or changes of it."""
        if not self.up or self.list_cut_off:
            return
        if self.postponed(self.update_endpoints, kind, servers, without):
            return
        self.list_version += 1
        endpoints = []
        for server in servers:
            if server.number in without:
                continue
            endpoint = self.simulation.endpoint(server)
            endpoints.append(endpoint)
            if endpoint.state is EndpointState.READY:
                self.draining_since_ms.pop(server.number, None)
            else:
                self.draining_since_ms.setdefault(server.number, self.simulation.clock.now_ms)
        self.pipeline.dispatch(EndpointUpdate(kind, self.list_version, endpoints))

    def freeze(self, duration_ms: float) -> None:
        """Stop handling what arrives until the time has passed."""
        self.frozen_until_ms = self.simulation.clock.now_ms + duration_ms
        self.transport.frozen_until_ms = self.frozen_until_ms
        if self.simulation.cluster is not None:
            self.simulation.cluster.nodes[self.number].frozen_until_ms = self.frozen_until_ms

    def postponed(self, callback: Callable[..., None], *arguments: Any) -> bool:
        """Return whether the node is frozen; if so, the callback runs when it continues."""
        if self.simulation.clock.now_ms >= self.frozen_until_ms:
            return False
        self.simulation.clock.call_at(self.frozen_until_ms, callback, *arguments)
        return True

    def attempt_sent(self, server: Server, attempt: Any) -> None:
        """Count and check an attempt that the node sends."""
        self.simulation.metrics.attempts += 1
        draining_since_ms = self.draining_since_ms.get(server.number)
        self.simulation.rule_checker.attempt_sent(
            server, draining_since_ms, attempt.payload.work_ms
        )

    def receive(self, request: ClientRequest) -> None:
        """Receive a try of a request."""
        simulation = self.simulation
        request_class = simulation.day.class_[request.class_index]
        client_try = ClientTry(simulation, self, request)
        self.open_tries[client_try.id] = client_try
        now_ms = simulation.clock.now_ms
        deadline_ms = request.scheduled_ms + request_class.deadline_ms
        simulation.clock.call_at(deadline_ms, simulation.deadline_passed, client_try)
        incoming = IncomingRequest(
            request.class_index, request.tenant_index, simulation.policy_keys[request.key],
            deadline_ms - RESPONSE_MARGIN_MS - simulation.day.clients.ms, request,
            is_client_retry=request.tries > 1,
        )  # fmt: skip
        if simulation.impatient_share and simulation.patience_stream() < simulation.impatient_share:
            simulation.clock.call_at(
                now_ms + simulation.patience_stream() * (deadline_ms - now_ms),
                simulation.client_left,
                client_try,
            )
        self.pipeline.accept(client_try.id, incoming, client_try, self.transport)


class Simulation:
    """One day of an experiment, with all its parts."""

    def __init__(self, cell: Cell, request_plan: RequestPlan | None = None) -> None:
        self.cell, self.day = cell, cell.day
        day, seed = cell.day, cell.seed
        self.clock = VirtualClock()
        self.rule_checker = RuleChecker(self.clock, day)
        self.metrics = DayMetrics(day)
        self.plan = request_plan if request_plan is not None else plan_requests(day, seed)
        self.servers = build_fleet(
            self.clock, day, lambda number: uniform_stream(generator(seed, "server", number))
        )
        for server in self.servers:
            server.on_effect = self.rule_checker.effect_happened
        ids = generator(seed, "ids").integers(1, ID_LIMIT, len(self.servers)).tolist()
        self.server_ids = dict(zip(range(len(ids)), ids, strict=True))
        self.servers_by_id = {self.server_ids[server.number]: server for server in self.servers}
        key_count = int(self.plan.key.max(initial=0)) + 1
        # By planned key: the key that the policy receives, 0 for none.
        self.policy_keys = [0, *generator(seed, "keys").integers(1, ID_LIMIT, key_count).tolist()]
        jitter_factors = jitter_stream(generator(seed, "jitter"), day.net.jitter)
        self.network = Network(
            self.clock, day, jitter_factors, uniform_stream(generator(seed, "loss"))
        )
        self.patience_stream = uniform_stream(generator(seed, "clients"))
        self.honour_stream = uniform_stream(generator(seed, "honour"))
        self.choice_stream = uniform_stream(generator(seed, "choice"))
        self.impatient_share = day.clients.impatient
        self.policy_errors = 0
        self.arrivals = self.planned_requests()
        self.cluster: NodeCluster | None = None
        if day.fleet.peers and cell.policy == BADGERCART:
            configured_nodes = day.fleet.said or day.fleet.nodes
            cluster_stream = uniform_stream(generator(seed, "companions"))
            timing = SwimTiming(expected_size_ms=day.fleet.expect_s * 1000)
            self.cluster = NodeCluster(
                self.clock,
                self.network,
                seed,
                configured_nodes,
                timing,
                cluster_stream,
                self.servers_by_id,
            )
        self.nodes = [SimulatedNode(self, number) for number in range(day.fleet.nodes)]
        self.fault_injector = FaultInjector(self)

    # The endpoint list.

    def endpoint(self, server: Server) -> Endpoint:
        """Return a server's entry in the endpoint list."""
        kind = server.kind
        state = (
            EndpointState.GONE
            if server.down
            else EndpointState.DRAINING
            if server.draining
            else EndpointState.READY
        )
        return Endpoint(
            self.server_ids[server.number], server.zone, server.kind_index, server.cell, state,
            kind.listed_weight or kind.cores * kind.speed, server.started_ms,
        )  # fmt: skip

    def publish_change(self, servers: list[Server], notice_ms: float) -> None:
        """Send changed entries to all nodes, which receive them after different delays."""
        spread_ms = self.day.lists.spread_ms
        for node in self.nodes:
            self.clock.call_after(
                notice_ms + spread_ms * self.choice_stream(),
                node.update_endpoints,
                UpdateKind.DELTA,
                servers,
            )

    # Clients.

    def planned_requests(self) -> Any:
        """Yield the planned requests in order of time, each with the node of its first try."""
        plan, classes = self.plan, self.day.class_
        columns = (
            plan.at_ms,
            plan.class_index,
            plan.tenant_index,
            plan.key,
            plan.work_ms,
            plan.node,
        )
        for number, (at_ms, class_index, tenant_index, key, work_ms, node) in enumerate(
            zip(*(column.tolist() for column in columns), strict=True)
        ):
            request_class: ClassSettings = classes[class_index]
            keyed = request_class.effect == "keyed"
            window_ms = request_class.window_ms if keyed else 0.0
            yield (
                ClientRequest(
                    number, class_index, tenant_index, key, work_ms, keyed, window_ms, at_ms
                ),
                node,
            )

    def schedule_next_arrival(self) -> None:
        """Schedule the next planned request, if there is one."""
        arrival = next(self.arrivals, None)
        if arrival is not None:
            self.clock.call_at(arrival[0].scheduled_ms + self.day.clients.ms, self.arrive, *arrival)

    def arrive(self, request: ClientRequest, node: int) -> None:
        """Let a planned request arrive at its node; nothing can happen to it on the way."""
        self.metrics.request_offered(request.scheduled_ms)
        self.send_try(request, node)
        self.schedule_next_arrival()

    def send_try(self, request: ClientRequest, first_node: int) -> None:
        """Send a try to a node, or to the next ones while they are down or frozen."""
        for offset in range(len(self.nodes)):
            node = self.nodes[(first_node + offset) % len(self.nodes)]
            if node.up and self.clock.now_ms >= node.frozen_until_ms:
                request.tries += 1
                self.metrics.tries += 1
                node.receive(request)
                return
        self.end_request(request, "refused")

    def try_served(self, client_try: ClientTry) -> None:
        """End the request of a try that was served."""
        client_try.node.open_tries.pop(client_try.id, None)
        self.end_request(client_try.request, "served", self.day.clients.ms)

    def try_failed(self, client_try: ClientTry, outcome: str, retry_after_ms: float) -> None:
        """Retry a request that was shed or failed, or end it if the client doesn't retry."""
        client_try.node.open_tries.pop(client_try.id, None)
        request, clients = client_try.request, self.day.clients
        request_class = self.day.class_[request.class_index]
        may_retry = outcome == "refused" or request_class.effect != "unsafe"
        backoff_ms = clients.backoff_ms * 2 ** (request.tries - 1) * (0.5 + self.choice_stream())
        if retry_after_ms and self.honour_stream() < clients.honour:
            backoff_ms = max(retry_after_ms, backoff_ms)
        deadline_ms = request.scheduled_ms + request_class.deadline_ms
        too_late = self.clock.now_ms + 2 * clients.ms + backoff_ms >= deadline_ms
        if request.tries > clients.retries or not may_retry or too_late:
            self.end_request(request, outcome, clients.ms)
            return
        node = int(self.choice_stream() * len(self.nodes))
        self.clock.call_after(2 * clients.ms + backoff_ms, self.send_try, request, node)

    def client_left(self, client_try: ClientTry) -> None:
        """Cancel a try whose client doesn't wait any longer."""
        if (
            not client_try.responses
            and not client_try.cancelled
            and client_try.node.open_tries.pop(client_try.id, None) is not None
        ):
            client_try.cancelled = True
            client_try.node.pipeline.cancel_request(client_try.id)
            self.end_request(client_try.request, "left")

    def deadline_passed(self, client_try: ClientTry) -> None:
        """Cancel a try that has no response at the client's deadline.

        This is a breach of the rules unless the node is frozen.
        """
        if (
            client_try.responses
            or client_try.cancelled
            or client_try.node.open_tries.pop(client_try.id, None) is None
        ):
            return
        client_try.cancelled = True
        if self.clock.now_ms >= client_try.node.frozen_until_ms:
            self.rule_checker.request_lost(client_try.request.number)
        client_try.node.pipeline.cancel_request(client_try.id)
        self.end_request(client_try.request, "lost")

    def end_request(self, request: ClientRequest, outcome: str, delay_ms: float = 0.0) -> None:
        """Record the outcome of a request, which its client learns after a delay."""
        if not request.ended:
            request.ended = True
            self.metrics.request_ended(
                request.scheduled_ms, request.class_index, request.tenant_index, outcome,
                self.clock.now_ms + delay_ms - request.scheduled_ms,
            )  # fmt: skip

    # The day.

    def record_sample(self) -> None:
        """Record a sample of the time series, and schedule the next one."""
        index, series = self.metrics.sample_index(self.clock.now_ms), self.metrics.series
        policies = [node.pipeline.policy for node in self.nodes if node.up]
        series["cut"][index] = (
            statistics.fmean(policy.overload.shed_threshold for policy in policies)
            if policies
            else 0.0
        )
        series["x"][index] = (
            statistics.fmean(policy.overload.level for policy in policies) if policies else 0.0
        )
        series["out"][index] = sum(len(node.transport.in_flight) for node in self.nodes if node.up)
        series["troubled"][index] = sum(
            server.down
            or server.draining
            or server.slowdown > 1
            or bool(server.silent_share)
            or bool(server.error_share)
            for server in self.servers
        )
        if self.clock.now_ms + SAMPLE_INTERVAL_MS <= self.day.duration_ms:
            self.clock.call_after(SAMPLE_INTERVAL_MS, self.record_sample)

    def run(self, progress: Callable[[float], None] | None = None) -> dict[str, Any]:
        """Simulate the day and return its result as plain data."""
        gc_was_enabled = gc.isenabled()
        # The simulation makes no reference cycles that matter, and the garbage collector would
        # scan all its objects again and again.
        gc.disable()
        started_s = time.process_time()
        try:
            for node in self.nodes:
                node.start()
            self.fault_injector.schedule()
            self.schedule_next_arrival()
            self.clock.call_after(0.0, self.record_sample)
            longest_deadline_ms = max(cls.deadline_ms for cls in self.day.class_)
            for step in range(1, PROGRESS_STEPS + 1):
                self.clock.run(self.day.duration_ms * step / PROGRESS_STEPS)
                if progress is not None:
                    progress(step / PROGRESS_STEPS)
            self.clock.run(self.day.duration_ms + longest_deadline_ms + FINAL_MARGIN_MS)
        finally:
            if gc_was_enabled:
                gc.enable()
        spent_s = time.process_time() - started_s
        return self.result() | {"spent_s": spent_s}

    def result(self) -> dict[str, Any]:
        """Return the result of the day as plain data."""
        utilizations = [
            server.busy_ms / (server.kind.cores * self.day.duration_ms) for server in self.servers
        ]
        mean = statistics.fmean(utilizations)
        return self.metrics.to_dict() | {
            "policy": self.cell.policy,
            "seed": self.cell.seed,
            "values": dict(self.cell.grid_values),
            "requests": len(self.plan),
            "events": self.clock.executed_events,
            "breaches": {str(rule): count for rule, count in self.rule_checker.counts.items()},
            "shown": [
                [breach.rule, breach.at_ms, breach.description]
                for breach in self.rule_checker.reported
            ],
            "policy_raised": self.policy_errors,
            "full": sum(server.rejected for server in self.servers),
            "dials": sum(node.transport.connections_opened for node in self.nodes),
            "busy": mean,
            "imbalance": statistics.pstdev(utilizations) / mean if mean else 0.0,
        }


def simulate(cell: Cell, progress: Callable[[float], None] | None = None) -> dict[str, Any]:
    """Simulate one day of an experiment and return its result."""
    return Simulation(cell).run(progress)


def simulate_day(day: Day, policy: str = "badgercart", seed: int = 1) -> dict[str, Any]:
    """Simulate a day under a policy and return its result."""
    return simulate(Cell(day, policy, seed))
