"""One day in virtual time: clients, nodes with the real join and policy (or a peer in its place),
servers."""

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
from lab.arrivals import Plan, plan
from lab.chance import generator, jitter, uniform
from lab.clock import Clock
from lab.companions import Companions
from lab.measure import STEP, Measure
from lab.peers import BADGERCART, make
from lab.servers import Server, fleet
from lab.settings import Cell, ClassSettings, Day
from lab.troubles import Troubles
from lab.watch import Watch
from lab.wire import Net, Wire

MARGIN = 2.0  # ms before the client's deadline at which a node's answer has to set out


@dataclass(slots=True)
class Ask:
    """A client's request, over all its tries."""

    number: int
    cls: int
    tenant: int
    key: int
    work: float
    keyed: bool
    window: float
    born: float
    tries: int = 0
    over: bool = False


class Try:
    """One try of a request at one node: the front of the node's join."""

    __slots__ = ("answers", "ask", "id", "left", "node", "world")

    def __init__(self, world: World, node: Node, ask: Ask) -> None:
        self.world, self.node, self.ask = world, node, ask
        self.id = node.join.next_request_id()
        self.left = False
        self.answers = 0

    def final(self) -> bool:
        """Whether this is the one answer that is waited for."""
        self.answers += 1
        if self.answers > 1:
            self.world.watch.answered_twice(self.ask.number)
        return self.answers == 1 and not self.left

    def client_is_gone(self) -> bool:
        return False

    def on_response(self, answer: UpstreamResponse) -> None:
        if self.final():
            self.world.served(self)

    def on_shed(self, wait: float) -> None:
        self.world.watch.refuse(self.ask.number, self.ask.cls, self.ask.tries)
        if self.final():
            self.world.turned_away(self, "refused", wait)

    def on_failure(self, broken: bool) -> None:
        if broken:
            self.world.broken += 1
        if self.final():
            self.world.turned_away(self, "failed", 0.0)


class Node:
    """One node: its join, its policy and its way to the servers."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        self.zone = number % world.day.net.zones
        self.up = False
        self.listless: bool = False  # whether no list reaches it
        self.frozen = 0.0  # until when it stands still
        self.told_leaving: dict[int, float] = {}  # by server: when
        self.version = 0
        self.starts = 0
        self.held: dict[int, Try] = {}
        self.memory: PolicyStatistics | None = None  # what it learned before it died
        self.join: RequestPipeline
        self.wire: Wire

    def start(self) -> None:
        """With nothing learned."""
        world = self.world
        seed = int(generator(world.cell.seed, "policy", self.number, self.starts).integers(1 << 62))
        self.starts += 1
        self.join = RequestPipeline(
            world.day.policy_settings(self.number), seed, world.clock, world.clock.time
        )
        if self.memory is not None:
            age, settings = world.day.node.learned_age_s * 1000, self.join.policy.settings
            import_statistics(self.join.policy, decay_statistics(self.memory, age, settings))
        make(world.cell.policy, world.day, self.join, seed)
        if world.companions is not None:
            world.companions.start(self.number, self.zone, self.join)
        self.wire = Wire(world.net, self.zone, world.by_id)
        self.wire.join(self.join)
        self.wire.sent = self.sent
        self.up = True
        self.told_leaving.clear()
        self.tell(UpdateKind.SNAPSHOT, world.servers)

    def stop(self) -> None:
        """It dies: clients see their connections break."""
        self.up = False
        if self.world.companions is not None:
            self.world.companions.stop(self.number)
        if self.world.day.node.learned_age_s >= 0 and self.world.cell.policy == BADGERCART:
            self.memory = export_statistics(self.join.policy)
        self.wire.close()
        held, self.held = self.held, {}
        for tried in held.values():
            if tried.final():
                self.world.turned_away(tried, "failed", 0.0)

    def tell(
        self, kind: UpdateKind, servers: list[Server], without: frozenset[int] = frozenset()
    ) -> None:
        """The list or its changes reach this node."""
        if not self.up or self.listless:
            return
        if self.held_back(self.tell, kind, servers, without):
            return
        self.version += 1
        lines = []
        for server in servers:
            if server.number in without:
                continue
            line = self.world.entry(server)
            lines.append(line)
            if line.state is EndpointState.READY:
                self.told_leaving.pop(server.number, None)
            else:
                self.told_leaving.setdefault(server.number, self.world.clock.now)
        self.join.dispatch(EndpointUpdate(kind, self.version, lines))

    def freeze(self, ms: float) -> None:
        """It stands still for so long."""
        self.frozen = self.wire.frozen = self.world.clock.now + ms
        if self.world.companions is not None:
            self.world.companions.there[self.number].frozen = self.frozen

    def held_back(self, what: Callable[..., None], *arguments: Any) -> bool:
        """Whether it stands still now; then this is done as it wakes."""
        if self.world.clock.now >= self.frozen:
            return False
        self.world.clock.at(self.frozen, what, *arguments)
        return True

    def sent(self, server: Server, order: Any) -> None:
        self.world.measure.attempts += 1
        leaving = self.told_leaving.get(server.number)
        self.world.watch.send(server, leaving, order.payload.work)

    def take(self, ask: Ask) -> None:
        world, cls = self.world, self.world.day.class_[ask.cls]
        tried = Try(world, self, ask)
        self.held[tried.id] = tried
        now = world.clock.now
        due = ask.born + cls.deadline_ms
        world.clock.at(due, world.give_up, tried)
        intake = IncomingRequest(
            ask.cls, ask.tenant, world.keys[ask.key], due - MARGIN - world.day.clients.ms, ask,
            is_client_retry=ask.tries > 1,
        )  # fmt: skip
        if world.impatient and world.leaving() < world.impatient:
            world.clock.at(now + world.leaving() * (due - now), world.leave, tried)
        self.join.accept(tried.id, intake, tried, self.wire)


class World:
    """All of a day."""

    def __init__(self, cell: Cell, asked: Plan | None = None) -> None:
        self.cell, self.day = cell, cell.day
        day, seed = cell.day, cell.seed
        self.clock = Clock()
        self.watch = Watch(self.clock, day)
        self.measure = Measure(day)
        self.plan = asked if asked is not None else plan(day, seed)
        self.servers = fleet(
            self.clock, day, lambda number: uniform(generator(seed, "server", number))
        )
        for server in self.servers:
            server.effect = self.watch.effect
        ids = generator(seed, "ids").integers(1, 1 << 62, len(self.servers)).tolist()
        self.ids = dict(zip(range(len(ids)), ids, strict=True))
        self.by_id = {self.ids[server.number]: server for server in self.servers}
        most = int(self.plan.key.max(initial=0)) + 1
        self.keys = [0, *generator(seed, "keys").integers(1, 1 << 62, most).tolist()]
        factors = jitter(generator(seed, "jitter"), day.net.jitter)
        self.net = Net(self.clock, day, factors, uniform(generator(seed, "loss")))
        self.leaving = uniform(generator(seed, "clients"))
        self.honouring = uniform(generator(seed, "honour"))
        self.choosing = uniform(generator(seed, "choice"))
        self.impatient = day.clients.impatient
        self.broken = 0  # times that a policy raised
        self.rows = self.asks()
        self.companions: Companions | None = None
        if day.fleet.peers and cell.policy == BADGERCART:
            said = day.fleet.said or day.fleet.nodes
            chance = uniform(generator(seed, "companions"))
            timing = SwimTiming(expected_size_ms=day.fleet.expect_s * 1000)
            self.companions = Companions(
                self.clock, self.net, seed, said, timing, chance, self.by_id
            )
        self.nodes = [Node(self, number) for number in range(day.fleet.nodes)]
        self.troubles = Troubles(self)

    # Servers, as the list tells of them.

    def entry(self, server: Server) -> Endpoint:
        kind = server.kind
        state = (
            EndpointState.GONE
            if server.down
            else EndpointState.DRAINING
            if server.leaving
            else EndpointState.READY
        )
        return Endpoint(
            self.ids[server.number], server.zone, server.kind_number, server.cell, state,
            kind.listed_weight or kind.cores * kind.speed, server.started,
        )  # fmt: skip

    def changed(self, servers: list[Server], notice: float) -> None:
        """Servers are otherwise now: nodes hear of it in a while."""
        spread = self.day.lists.spread_ms
        for node in self.nodes:
            self.clock.after(
                notice + spread * self.choosing(), node.tell, UpdateKind.DELTA, servers
            )

    # Clients.

    def asks(self) -> Any:
        """Requests in order of time, made as they come."""
        plan, classes = self.plan, self.day.class_
        columns = (plan.at, plan.cls, plan.tenant, plan.key, plan.work, plan.node)
        for number, (at, cls, tenant, key, work, node) in enumerate(
            zip(*(column.tolist() for column in columns), strict=True)
        ):
            wanted: ClassSettings = classes[cls]
            keyed = wanted.effect == "keyed"
            window = wanted.window_ms if keyed else 0.0
            yield Ask(number, cls, tenant, key, work, keyed, window, at), node

    def next_arrival(self) -> None:
        row = next(self.rows, None)
        if row is not None:
            self.clock.at(row[0].born + self.day.clients.ms, self.arrive, *row)

    def arrive(self, ask: Ask, node: int) -> None:
        """It reaches its node: on the way nothing can happen to it."""
        self.measure.offered(ask.born)
        self.ask(ask, node)
        self.next_arrival()

    def ask(self, ask: Ask, number: int) -> None:
        """A try at a node; a client that finds it down turns to the next one."""
        for step in range(len(self.nodes)):
            node = self.nodes[(number + step) % len(self.nodes)]
            if node.up and self.clock.now >= node.frozen:
                ask.tries += 1
                self.measure.tries += 1
                node.take(ask)
                return
        self.end(ask, "refused")

    def served(self, tried: Try) -> None:
        tried.node.held.pop(tried.id, None)
        self.end(tried.ask, "served", self.day.clients.ms)

    def turned_away(self, tried: Try, end: str, wait: float) -> None:
        tried.node.held.pop(tried.id, None)
        ask, clients = tried.ask, self.day.clients
        wanted = self.day.class_[ask.cls]
        may_retry = end == "refused" or wanted.effect != "unsafe"
        back = clients.backoff_ms * 2 ** (ask.tries - 1) * (0.5 + self.choosing())
        if wait and self.honouring() < clients.honour:
            back = max(wait, back)
        late = self.clock.now + 2 * clients.ms + back >= ask.born + wanted.deadline_ms
        if ask.tries > clients.retries or not may_retry or late:
            self.end(ask, end, clients.ms)
            return
        node = int(self.choosing() * len(self.nodes))
        self.clock.after(2 * clients.ms + back, self.ask, ask, node)

    def leave(self, tried: Try) -> None:
        """The client loses its patience."""
        if not tried.answers and not tried.left and tried.node.held.pop(tried.id, None) is not None:
            tried.left = True
            tried.node.join.cancel_request(tried.id)
            self.end(tried.ask, "left")

    def give_up(self, tried: Try) -> None:
        """The client's time is up."""
        if tried.answers or tried.left or tried.node.held.pop(tried.id, None) is None:
            return
        tried.left = True
        if self.clock.now >= tried.node.frozen:  # who stands still owes nothing
            self.watch.lost(tried.ask.number)
        tried.node.join.cancel_request(tried.id)
        self.end(tried.ask, "lost")

    def end(self, ask: Ask, how: str, way: float = 0.0) -> None:
        """The client knows how its request ended, `way` ms from now."""
        if not ask.over:
            ask.over = True
            self.measure.over(ask.born, ask.cls, ask.tenant, how, self.clock.now + way - ask.born)

    # The day.

    def look(self) -> None:
        """A point of the course."""
        place, course = self.measure.step(self.clock.now), self.measure.course
        policies = [node.join.policy for node in self.nodes if node.up]
        course["cut"][place] = (
            statistics.fmean(p.overload.shed_threshold for p in policies) if policies else 0.0
        )
        course["x"][place] = (
            statistics.fmean(p.overload.level for p in policies) if policies else 0.0
        )
        course["out"][place] = sum(len(node.wire.out) for node in self.nodes if node.up)
        course["troubled"][place] = sum(
            s.down or s.leaving or s.slowness > 1 or bool(s.silent) or bool(s.failing)
            for s in self.servers
        )
        if self.clock.now + STEP <= self.day.duration_ms:
            self.clock.after(STEP, self.look)

    def play(self, progress: Callable[[float], None] | None = None) -> dict[str, Any]:
        """Play the day; gives what came of it, as plain data."""
        collecting = gc.isenabled()
        # nothing here makes cycles that matter; the collector would look at all of it again and
        # again
        gc.disable()
        begun = time.process_time()
        try:
            for node in self.nodes:
                node.start()
            self.troubles.schedule()
            self.next_arrival()
            self.clock.after(0.0, self.look)
            longest = max(cls.deadline_ms for cls in self.day.class_)
            steps = 50
            for step in range(1, steps + 1):
                self.clock.run(self.day.duration_ms * step / steps)
                if progress is not None:
                    progress(step / steps)
            self.clock.run(self.day.duration_ms + longest + 1000.0)
        finally:
            if collecting:
                gc.enable()
        spent = time.process_time() - begun
        return self.result() | {"spent_s": spent}

    def result(self) -> dict[str, Any]:
        busy = [s.busy_ms / (s.kind.cores * self.day.duration_ms) for s in self.servers]
        mean = statistics.fmean(busy)
        return self.measure.plain() | {
            "policy": self.cell.policy,
            "seed": self.cell.seed,
            "values": dict(self.cell.grid_values),
            "requests": len(self.plan),
            "events": self.clock.done,
            "breaches": {str(rule): count for rule, count in self.watch.counts.items()},
            "shown": [[b.rule, b.at, b.words] for b in self.watch.shown],
            "policy_raised": self.broken,
            "full": sum(server.full for server in self.servers),
            "dials": sum(node.wire.dials for node in self.nodes),
            "busy": mean,
            "imbalance": statistics.pstdev(busy) / mean if mean else 0.0,
        }


def play(cell: Cell, progress: Callable[[float], None] | None = None) -> dict[str, Any]:
    """One day of an experiment."""
    return World(cell).play(progress)


def play_day(day: Day, policy: str = "badgercart", seed: int = 1) -> dict[str, Any]:
    """A day by itself."""
    return play(Cell(day, policy, seed))
