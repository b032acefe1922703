"""Simulation of many policies that route to servers in slow start, to check their common budget.

A server in slow start collapses once it has received more than N + 2 * sqrt(N) + 2 requests within
`collapse_window_ms`. N is the number that the settings allow within that window:
`collapse_load_factor` times what the server can serve for certain at its age. A window counts only
if over two thirds of its requests came from nodes that had been told of the start. The arrival
times at the servers decide.

There are no sockets: time is that of a virtual clock, and random numbers come from the seed.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import accumulate

from badgercart.policy.actions import Action, Send, SetTimer
from badgercart.policy.endpoint import Endpoint, EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    AttemptResult,
    EndpointUpdate,
    Event,
    Request,
    TimerFired,
    UpdateKind,
)
from badgercart.policy.policy import Policy
from badgercart.policy.settings import Idempotency, RequestClass, Settings
from lab.clock import VirtualClock

# Latency from a node to a server, and back.
ONE_WAY_LATENCY_MS = 0.5
DEADLINE_MS = 1400.0


@dataclass(frozen=True)
class SlowStartScenario:
    """One simulation: a fleet that is warm for `warm_up_ms`, and then has cold servers."""

    nodes: int = 24
    servers: int = 40
    # Servers that start cold; they are among `servers`.
    cold_servers: int = 16
    # "join": servers that were not listed before; "back": listed ones that restart under their own
    # ids; "all": the whole fleet at once.
    start_mode: str = "back"
    # The request rate, relative to the capacity of the whole fleet once it is warm.
    load: float = 0.7
    # The factor by which the request rate grows `burst_delay_ms` after the start.
    burst_factor: float = 1.5
    burst_delay_ms: float = 0.0
    # The load of the busy nodes, one of eight, relative to that of the others.
    busy_node_factor: float = 4.0
    cores: int = 3
    # Requests that wait at a server; further ones are rejected.
    queue: int = 3
    # The mean service time of a request on one core.
    mean_work_ms: float = 80.0
    # The share of the work that a warm server saves for keys in its cache; a started one has none.
    warm_gain: float = 0.0
    # The share of its speed that a started server has at first, and the time until it has all.
    cold_from: float = 0.32
    ramp_ms: float = 8800.0
    collapse_load_factor: float = 3.0
    collapse_window_ms: float = 1000.0
    warm_up_ms: float = 6000.0
    # The time within which all nodes learn of a start.
    update_spread_ms: float = 500.0
    seed: int = 1

    @property
    def server_rate_per_ms(self) -> float:
        """Requests of mean work per millisecond that a warm server without cached keys serves."""
        return self.cores / self.mean_work_ms

    def speed_share(self, age_ms: float) -> float:
        """Return the share of its speed that a server has at an age."""
        return min(1.0, self.cold_from + (1.0 - self.cold_from) * age_ms / self.ramp_ms)

    def allowed_requests(self, age_ms: float) -> float:
        """Return N: what the settings allow within the window that ends at this age."""
        return (
            self.collapse_load_factor
            * self.server_rate_per_ms
            * self.collapse_window_ms
            * self.speed_share(max(age_ms - self.collapse_window_ms / 2, 0.0))
        )

    @property
    def policy_settings(self) -> Settings:
        """The settings of each node's policy."""
        safe = RequestClass(
            latency_objective_ms=600.0,
            deadline_ms=DEADLINE_MS,
            priority_weight=2.0,
            idempotency=Idempotency.IDEMPOTENT,
        )
        return Settings(
            classes=(safe,),
            tick_ms=5.0,
            max_attempts=4,
            cluster_size=self.nodes,
            slow_start_min_capacity=self.cold_from,
            slow_start_duration_ms=self.ramp_ms,
            collapse_load_factor=self.collapse_load_factor,
            collapse_window_ms=self.collapse_window_ms,
        )


@dataclass
class SimulatedServer:
    """A server with cores, a short queue and slow start, which records all arrivals."""

    endpoint: Endpoint
    # Completion times of the requests that are served or wait.
    completions_ms: list[float] = field(default_factory=list)
    arrivals_ms: list[float] = field(default_factory=list)
    # For each arrival, whether its node had been told of the start.
    sender_informed: list[bool] = field(default_factory=list)
    served: int = 0

    def accept(
        self, scenario: SlowStartScenario, now: float, work: float, informed: bool
    ) -> float | None:
        """Return the completion time of a request, or None if it is rejected."""
        self.arrivals_ms.append(now)
        self.sender_informed.append(informed)
        # A request that waits completes after those that are served.
        waiting = sum(at > now for at in self.completions_ms) - scenario.cores
        if waiting >= scenario.queue:
            return None
        self.completions_ms = [at for at in self.completions_ms if at > now]
        cold = bool(self.endpoint.started_ms)
        speed = (
            scenario.speed_share(now - self.endpoint.started_ms)
            if cold
            else 1.0 / (1.0 - scenario.warm_gain)
        )
        busy = sorted(self.completions_ms)
        begin = now if len(busy) < scenario.cores else busy[len(busy) - scenario.cores]
        self.completions_ms.append(begin + work / speed)
        self.served += 1
        return begin + work / speed


@dataclass(frozen=True)
class SlowStartResult:
    """The result of a simulation, for the servers that started cold."""

    # Requests sent to them during slow start, relative to what the settings allow in all.
    budget_used: float
    # Requests sent to them, relative to what they can serve for certain at their age.
    capacity_used: float
    collapsed: int
    # The maximum number of requests in a window, relative to its bound, N + 2 * sqrt(N) + 2.
    max_bound_ratio: float
    # The share of the requests since the start that were served.
    served_share: float


class SlowStartSimulation:
    """The nodes with their policies, and the servers."""

    def __init__(
        self,
        scenario: SlowStartScenario,
        make_policy: Callable[[Settings, int], Policy] = Policy,
    ) -> None:
        """Create the nodes' policies, by the settings and a seed each, and the warm servers."""
        self.scenario, self.clock, self.random = (
            scenario,
            VirtualClock(),
            random.Random(scenario.seed),
        )
        self.clock.now_ms = 10_000.0
        self.policies = [
            make_policy(
                replace(scenario.policy_settings, node_index=node), scenario.seed * 1000 + node
            )
            for node in range(scenario.nodes)
        ]
        listed = scenario.servers - (scenario.cold_servers if scenario.start_mode == "join" else 0)
        self.servers = {
            number: SimulatedServer(self.endpoint(number, 0.0)) for number in range(1, listed + 1)
        }
        self.start_ms = self.clock.now_ms + scenario.warm_up_ms
        # Nodes that have been told of the start.
        self.informed_nodes: set[int] = set()
        # The number of the latest attempt of each request.
        self.attempt_numbers: dict[int, int] = {}
        self.offered = self.served = self.request_count = 0
        weights = [
            scenario.busy_node_factor if node % 8 == 3 else 1.0 for node in range(scenario.nodes)
        ]
        self.cumulative_weights = [*accumulate(weights)]

    def endpoint(self, number: int, started_ms: float) -> Endpoint:
        """Return a server as the endpoint list has it; 0: it started long ago."""
        return Endpoint(
            number, 0, 0, 0, EndpointState.READY, float(self.scenario.cores), started_ms
        )

    def dispatch(self, node: int, event: Event) -> None:
        """Pass an event to a node's policy and carry out its actions."""
        for action in self.policies[node].handle(self.clock.now_ms, event):
            self.carry_out(node, action)

    def carry_out(self, node: int, action: Action) -> None:
        """Schedule what an action causes."""
        if isinstance(action, Send):
            self.clock.call_after(
                ONE_WAY_LATENCY_MS, self.arrive_at_server, node, action, self.clock.now_ms
            )
        elif isinstance(action, SetTimer):
            self.clock.call_after(action.delay_ms, self.dispatch, node, TimerFired(action.token))

    def arrive_at_server(self, node: int, send: Send, sent_ms: float) -> None:
        """Serve or reject an attempt, and schedule its result."""
        work = self.random.expovariate(1.0 / self.scenario.mean_work_ms)
        informed = node in self.informed_nodes
        completion = self.servers[send.endpoint_id].accept(
            self.scenario, self.clock.now_ms, work, informed
        )
        number = self.attempt_numbers[send.id] = self.attempt_numbers.get(send.id, -1) + 1
        end = min(
            self.clock.now_ms if completion is None else completion, sent_ms + send.timeout_ms
        )
        result = (
            AttemptResult.FULL
            if completion is None
            else AttemptResult.OK
            if completion <= sent_ms + send.timeout_ms
            else AttemptResult.TIMEOUT
        )
        self.clock.call_at(
            end + ONE_WAY_LATENCY_MS, self.end_attempt, node, send, result, number, sent_ms
        )

    def end_attempt(
        self, node: int, send: Send, result: AttemptResult, number: int, sent_ms: float
    ) -> None:
        """Report the result of an attempt to its node."""
        if result is AttemptResult.OK and sent_ms > self.start_ms:
            self.served += 1
        finished = result is AttemptResult.OK
        elapsed_ms = self.clock.now_ms - sent_ms
        self.dispatch(
            node, AttemptEnded(send.id, send.endpoint_id, finished, result, number, elapsed_ms)
        )

    def arrive(self) -> None:
        """Offer a request to a random node, and schedule the next one."""
        node = bisect_right(
            self.cumulative_weights, self.random.random() * self.cumulative_weights[-1]
        )
        self.request_count += 1
        self.offered += self.clock.now_ms > self.start_ms
        self.dispatch(node, Request(self.request_count, 0, self.clock.now_ms + DEADLINE_MS))
        self.schedule_arrival()

    def schedule_arrival(self) -> None:
        """Schedule the next request by the rate at this time."""
        scenario = self.scenario
        rate = scenario.load * scenario.server_rate_per_ms * scenario.servers
        if self.clock.now_ms < self.start_ms:
            rate *= (
                1.0
                if scenario.start_mode != "join"
                else 1.0 - scenario.cold_servers / scenario.servers
            )
        else:
            rate *= (
                scenario.burst_factor
                if self.clock.now_ms >= self.start_ms + scenario.burst_delay_ms
                else 1.0
            )
        self.clock.call_after(self.random.expovariate(rate), self.arrive)

    def start_cold_servers(self) -> None:
        """Start the cold servers; each node is told of it at a random time."""
        scenario = self.scenario
        first = scenario.servers - scenario.cold_servers + 1 if scenario.start_mode != "all" else 1
        numbers = range(first, scenario.servers + 1)
        for number in numbers:
            previous = self.servers.get(number)
            self.servers[number] = SimulatedServer(self.endpoint(number, self.clock.now_ms))
            if previous is not None:
                self.servers[number].completions_ms = []
        self.cold_servers = [self.servers[number] for number in numbers]
        endpoints = [server.endpoint for server in self.cold_servers]
        for node in range(scenario.nodes):
            delay_ms = self.random.random() * scenario.update_spread_ms
            self.clock.call_after(
                delay_ms, self.inform_node, node, EndpointUpdate(UpdateKind.DELTA, 2, endpoints)
            )

    def inform_node(self, node: int, update: EndpointUpdate) -> None:
        """Tell a node of the start."""
        self.informed_nodes.add(node)
        self.dispatch(node, update)

    def run(self) -> SlowStartResult:
        """Run until the end of slow start."""
        scenario = self.scenario
        listed = [server.endpoint for server in self.servers.values()]
        for node in range(scenario.nodes):
            self.dispatch(node, EndpointUpdate(UpdateKind.SNAPSHOT, 1, listed))
        self.schedule_arrival()
        self.clock.call_at(self.start_ms, self.start_cold_servers)
        self.clock.run(self.start_ms + scenario.ramp_ms)
        return self.result()

    def result(self) -> SlowStartResult:
        """Return the result by the servers' records."""
        scenario = self.scenario
        sent = sum(len(server.arrivals_ms) for server in self.cold_servers)
        # The speed of a server grows linearly from `cold_from` to 1.
        capacity = (
            scenario.server_rate_per_ms
            * scenario.ramp_ms
            * (1.0 + scenario.cold_from)
            / 2
            * len(self.cold_servers)
        )
        ratios = [self.bound_ratio(server) for server in self.cold_servers]
        return SlowStartResult(
            budget_used=sent / (capacity * scenario.collapse_load_factor),
            capacity_used=sent / capacity,
            collapsed=sum(ratio > 1.0 for ratio in ratios),
            max_bound_ratio=max(ratios),
            served_share=self.served / max(self.offered, 1),
        )

    def bound_ratio(self, server: SimulatedServer) -> float:
        """Return the largest number of requests in a window over its bound."""
        return max_bound_ratio(
            server.arrivals_ms, server.sender_informed, server.endpoint.started_ms, self.scenario
        )


def max_bound_ratio(
    arrivals_ms: list[float],
    sender_informed: list[bool],
    started_ms: float,
    scenario: SlowStartScenario,
) -> float:
    """Return the largest number of requests in a window over its bound, N + 2 * sqrt(N) + 2.

    Args:
        arrivals_ms: arrival times of all requests at a server.
        sender_informed: for each of them, whether its node had been told of the start.
        started_ms: start time of the server.
        scenario: the settings that N follows from.
    """
    most, first = 0.0, 0
    for last, at in enumerate(arrivals_ms):
        while arrivals_ms[first] <= at - scenario.collapse_window_ms:
            first += 1
        count = last - first + 1
        if (
            at - started_ms < scenario.ramp_ms
            and 3 * sum(sender_informed[first : last + 1]) > 2 * count
        ):
            allowed = scenario.allowed_requests(at - started_ms)
            most = max(most, count / (allowed + 2 * math.sqrt(allowed) + 2))
    return most


def simulate(
    scenario: SlowStartScenario, make_policy: Callable[[Settings, int], Policy] = Policy
) -> SlowStartResult:
    """Run one simulation."""
    return SlowStartSimulation(scenario, make_policy).run()
