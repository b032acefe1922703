"""What happens in a day besides requests: each kind of trouble begins, and ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from badgercart.policy.events import UpdateKind
from lab.random_streams import generator
from lab.servers import Server
from lab.settings import Trouble

if TYPE_CHECKING:
    from lab.model import SimulatedNode, Simulation

FLAP_INTERVAL_MS = 700.0  # ms between turns of a flapping line

FaultHandler = Callable[["FaultInjector", Trouble, list[Server]], None]


class FaultInjector:
    """Sets every trouble of a day off, and ends it."""

    def __init__(self, world: Simulation) -> None:
        self.world, self.clock = world, world.clock

    def schedule(self) -> None:
        """Who is befallen is drawn by the seed and the trouble's place, the same for every
        policy."""
        day = self.world.day
        for number, trouble in enumerate(day.trouble):
            if trouble.kind in ("surge", "hot_key"):
                continue  # they are in the plan of requests
            rng = generator(self.world.cell.seed, "trouble", number)
            count = max(1, round(trouble.share * len(self.world.servers))) if trouble.share else 0
            chosen = sorted(rng.choice(len(self.world.servers), count, replace=False).tolist())
            servers = [self.world.servers[at] for at in chosen]
            begin, end = FAULT_HANDLERS[trouble.kind]
            self.clock.call_at(trouble.at_s * 1000, begin, self, trouble, servers)
            self.clock.call_at((trouble.at_s + trouble.for_s) * 1000, end, self, trouble, servers)

    # Servers.

    def slow(self, trouble: Trouble, servers: list[Server]) -> None:
        for server in servers:
            server.slowness *= trouble.size

    def slow_end(self, trouble: Trouble, servers: list[Server]) -> None:
        for server in servers:
            server.slowness /= trouble.size

    def silent(self, trouble: Trouble, servers: list[Server]) -> None:
        for server in servers:
            server.silent = trouble.chance

    def silent_end(self, trouble: Trouble, servers: list[Server]) -> None:
        for server in servers:
            server.silent = 0.0

    def errors(self, trouble: Trouble, servers: list[Server]) -> None:
        for server in servers:
            server.failing = trouble.chance

    def errors_end(self, trouble: Trouble, servers: list[Server]) -> None:
        for server in servers:
            server.failing = 0.0

    def crash(self, trouble: Trouble, servers: list[Server]) -> None:
        for server in servers:
            server.crash()
        self.world.changed(servers, self.world.day.lists.crash_notice_ms)

    def come_back(self, trouble: Trouble, servers: list[Server]) -> None:
        for server in servers:
            server.start()
        self.world.changed(servers, self.world.day.lists.notice_ms)

    def restart(self, trouble: Trouble, servers: list[Server]) -> None:
        """As a deployment does it: first they leave, then they stop, then they come back cold."""
        self.drain(trouble, servers)
        stop = self.world.day.lists.notice_ms + self.world.day.node.drain_grace_ms + 3000.0
        self.clock.call_after(min(stop, trouble.for_s * 500), self.stop, servers)

    def stop(self, servers: list[Server]) -> None:
        for server in servers:
            server.crash()
        self.world.changed(servers, self.world.day.lists.notice_ms)

    def drain(self, trouble: Trouble, servers: list[Server]) -> None:
        for server in servers:
            server.leaving = True
        self.world.changed(servers, self.world.day.lists.notice_ms)

    def drain_end(self, trouble: Trouble, servers: list[Server]) -> None:
        for server in servers:
            server.leaving = False
        self.world.changed(servers, self.world.day.lists.notice_ms)

    # Lists.

    def list_loss(self, trouble: Trouble, servers: list[Server]) -> None:
        """A whole list comes that does not have them, though they are well."""
        without = frozenset(server.number for server in servers)
        for node in self.world.nodes:
            node.tell(UpdateKind.SNAPSHOT, self.world.servers, without)
            for server in servers:
                node.told_leaving.setdefault(server.number, self.clock.now_ms)

    def list_whole(self, trouble: Trouble, servers: list[Server]) -> None:
        for node in self.world.nodes:
            node.tell(UpdateKind.SNAPSHOT, self.world.servers)

    def flap(self, trouble: Trouble, servers: list[Server]) -> None:
        end = self.clock.now_ms + trouble.for_s * 1000 - 2 * FLAP_INTERVAL_MS
        self.turn(servers, end, True)

    def turn(self, servers: list[Server], end: float, leaving: bool) -> None:
        for server in servers:
            server.leaving = leaving
        for node in self.world.nodes:
            node.tell(UpdateKind.DELTA, servers)
        if self.clock.now_ms < end:
            self.clock.call_after(FLAP_INTERVAL_MS, self.turn, servers, end, not leaving)

    def flap_end(self, trouble: Trouble, servers: list[Server]) -> None:
        self.turn(servers, 0.0, False)

    # The network and the nodes.

    def partition(self, trouble: Trouble, servers: list[Server]) -> None:
        self.world.net.cut.add(trouble.zone)

    def partition_end(self, trouble: Trouble, servers: list[Server]) -> None:
        self.world.net.cut.discard(trouble.zone)

    def loss(self, trouble: Trouble, servers: list[Server]) -> None:
        self.world.net.loss = min(trouble.chance, 0.9)

    def loss_end(self, trouble: Trouble, servers: list[Server]) -> None:
        self.world.net.loss = self.world.day.net.loss

    def named(self, trouble: Trouble) -> list[SimulatedNode]:
        """The nodes that it befalls: the first one where none is named."""
        return [self.world.nodes[int(name[1:])] for name in trouble.nodes] or self.world.nodes[:1]

    def kill(self, trouble: Trouble, servers: list[Server]) -> None:
        for node in self.named(trouble):
            node.stop()

    def node_back(self, trouble: Trouble, servers: list[Server]) -> None:
        for node in self.named(trouble):
            node.start()

    def freeze(self, trouble: Trouble, servers: list[Server]) -> None:
        """As SIGSTOP does: what comes waits. Timers of the join ring all the same."""
        for node in self.named(trouble):
            node.freeze(trouble.for_s * 1000)

    def thawed(self, trouble: Trouble, servers: list[Server]) -> None:
        """They wake by themselves."""

    def halves(self, trouble: Trouble) -> set[tuple[int, int]]:
        count = len(self.world.nodes)
        place = max(1, round(trouble.share * count))
        pairs = {(one, other) for one in range(place) for other in range(place, count)}
        return pairs | {(other, one) for one, other in pairs}

    def split(self, trouble: Trouble, servers: list[Server]) -> None:
        self.world.net.between |= self.halves(trouble)

    def split_end(self, trouble: Trouble, servers: list[Server]) -> None:
        self.world.net.between -= self.halves(trouble)

    def one_way(self, trouble: Trouble, servers: list[Server]) -> None:
        one, other = self.named(trouble)
        self.world.net.between.add((one.number, other.number))

    def one_way_end(self, trouble: Trouble, servers: list[Server]) -> None:
        one, other = self.named(trouble)
        self.world.net.between.discard((one.number, other.number))

    def list_cut(self, trouble: Trouble, servers: list[Server]) -> None:
        for node in self.named(trouble):
            node.listless = True

    def list_cut_end(self, trouble: Trouble, servers: list[Server]) -> None:
        for node in self.named(trouble):
            node.listless = False
            node.tell(UpdateKind.SNAPSHOT, self.world.servers)

    # Zones.

    def inside(self, trouble: Trouble) -> list[Server]:
        return [server for server in self.world.servers if server.zone == trouble.zone]

    def zone_loss(self, trouble: Trouble, servers: list[Server]) -> None:
        """All servers of a zone die; its nodes live."""
        self.crash(trouble, self.inside(trouble))

    def zone_back(self, trouble: Trouble, servers: list[Server]) -> None:
        """They are back, cold."""
        self.come_back(trouble, self.inside(trouble))

    def zone_slow(self, trouble: Trouble, servers: list[Server]) -> None:
        self.slow(trouble, self.inside(trouble))

    def zone_slow_end(self, trouble: Trouble, servers: list[Server]) -> None:
        self.slow_end(trouble, self.inside(trouble))

    def zone_flap(self, trouble: Trouble, servers: list[Server]) -> None:
        """A zone is cut off and joined again, for `size` s each, until its time is over."""
        end = self.clock.now_ms + trouble.for_s * 1000 - 2000.0 * trouble.size
        self.flap_zone(trouble, end, True)

    def flap_zone(self, trouble: Trouble, end: float, cut: bool) -> None:
        (self.world.net.cut.add if cut else self.world.net.cut.discard)(trouble.zone)
        if self.clock.now_ms < end:
            self.clock.call_after(trouble.size * 1000, self.flap_zone, trouble, end, not cut)

    def around(self, trouble: Trouble) -> set[tuple[int, int]]:
        """All ways in and out of these zones."""
        every = range(self.world.day.net.zones)
        pairs = {
            (one, other) for one in trouble.zones for other in every if other not in trouble.zones
        }
        return pairs | {(other, one) for one, other in pairs}

    def region_cut(self, trouble: Trouble, servers: list[Server]) -> None:
        self.world.net.ways |= self.around(trouble)

    def region_cut_end(self, trouble: Trouble, servers: list[Server]) -> None:
        self.world.net.ways -= self.around(trouble)

    def zone_way(self, trouble: Trouble, servers: list[Server]) -> None:
        self.world.net.ways.add((trouble.zone, trouble.to))

    def zone_way_end(self, trouble: Trouble, servers: list[Server]) -> None:
        self.world.net.ways.discard((trouble.zone, trouble.to))


FAULT_HANDLERS: dict[str, tuple[FaultHandler, FaultHandler]] = {
    "slow": (FaultInjector.slow, FaultInjector.slow_end),
    "silent": (FaultInjector.silent, FaultInjector.silent_end),
    "errors": (FaultInjector.errors, FaultInjector.errors_end),
    "crash": (FaultInjector.crash, FaultInjector.come_back),
    "restart": (FaultInjector.restart, FaultInjector.come_back),
    "drain": (FaultInjector.drain, FaultInjector.drain_end),
    "list_loss": (FaultInjector.list_loss, FaultInjector.list_whole),
    "flap": (FaultInjector.flap, FaultInjector.flap_end),
    "partition": (FaultInjector.partition, FaultInjector.partition_end),
    "loss": (FaultInjector.loss, FaultInjector.loss_end),
    "node_restart": (FaultInjector.kill, FaultInjector.node_back),
    "kill": (FaultInjector.kill, FaultInjector.node_back),
    "freeze": (FaultInjector.freeze, FaultInjector.thawed),
    "split": (FaultInjector.split, FaultInjector.split_end),
    "one_way": (FaultInjector.one_way, FaultInjector.one_way_end),
    "list_cut": (FaultInjector.list_cut, FaultInjector.list_cut_end),
    "zone_loss": (FaultInjector.zone_loss, FaultInjector.zone_back),
    "zone_slow": (FaultInjector.zone_slow, FaultInjector.zone_slow_end),
    "zone_flap": (FaultInjector.zone_flap, FaultInjector.partition_end),
    "zone_way": (FaultInjector.zone_way, FaultInjector.zone_way_end),
    "region_cut": (FaultInjector.region_cut, FaultInjector.region_cut_end),
}
