"""Injects the faults of a simulated day: each kind has a method that begins it and one that ends it.

The kinds "surge" and "hot_key" are part of the request plan instead.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from badgercart.policy.events import UpdateKind
from lab.random_streams import generator
from lab.servers import Server
from lab.settings import Trouble

if TYPE_CHECKING:
    from lab.model import SimulatedNode, Simulation

FLAP_INTERVAL_MS = 700.0  # between changes of a flapping entry
RESTART_DRAIN_MS = 3000.0  # beyond the grace period, from drain to stop
MAX_LOSS = 0.9  # with 1, resending would never end

FaultHandler = Callable[["FaultInjector", Trouble, list[Server]], None]


class FaultInjector:
    """Schedules the beginning and the end of every fault of a day.

    A handler receives the fault and the servers that were drawn for it.
    """

    def __init__(self, simulation: Simulation) -> None:
        self.simulation, self.clock = simulation, simulation.clock

    def schedule(self) -> None:
        """Draw the affected servers, which are the same for every policy, and schedule all faults."""
        day, all_servers = self.simulation.day, self.simulation.servers
        for number, fault in enumerate(day.trouble):
            if fault.kind in ("surge", "hot_key"):
                continue
            rng = generator(self.simulation.cell.seed, "trouble", number)
            count = max(1, round(fault.share * len(all_servers))) if fault.share else 0
            chosen = sorted(rng.choice(len(all_servers), count, replace=False).tolist())
            servers = [all_servers[index] for index in chosen]
            begin, end = FAULT_HANDLERS[fault.kind]
            self.clock.call_at(fault.at_s * 1000, begin, self, fault, servers)
            self.clock.call_at((fault.at_s + fault.for_s) * 1000, end, self, fault, servers)

    # Servers.

    def begin_slow(self, fault: Trouble, servers: list[Server]) -> None:
        """Slow the servers down by the fault's factor."""
        for server in servers:
            server.slowdown *= fault.size

    def end_slow(self, fault: Trouble, servers: list[Server]) -> None:
        """Undo the slowdown."""
        for server in servers:
            server.slowdown /= fault.size

    def begin_silent(self, fault: Trouble, servers: list[Server]) -> None:
        """Leave a share of the requests without response."""
        for server in servers:
            server.silent_share = fault.chance

    def end_silent(self, fault: Trouble, servers: list[Server]) -> None:
        """Respond to all requests again."""
        for server in servers:
            server.silent_share = 0.0

    def begin_errors(self, fault: Trouble, servers: list[Server]) -> None:
        """Respond to a share of the requests with errors."""
        for server in servers:
            server.error_share = fault.chance

    def end_errors(self, fault: Trouble, servers: list[Server]) -> None:
        """Process all requests again."""
        for server in servers:
            server.error_share = 0.0

    def crash(self, fault: Trouble, servers: list[Server]) -> None:
        """Stop the servers; the endpoint list shows it after `crash_notice_ms`."""
        for server in servers:
            server.crash()
        self.simulation.publish_change(servers, self.simulation.day.lists.crash_notice_ms)

    def start_again(self, fault: Trouble, servers: list[Server]) -> None:
        """Start the servers again, cold."""
        for server in servers:
            server.start()
        self.simulation.publish_change(servers, self.simulation.day.lists.notice_ms)

    def begin_restart(self, fault: Trouble, servers: list[Server]) -> None:
        """Drain the servers, then stop them, as a deployment does.

        They stop after the grace period, or halfway through the fault if that comes first.
        """
        self.begin_drain(fault, servers)
        stop_ms = (
            self.simulation.day.lists.notice_ms
            + self.simulation.day.node.drain_grace_ms
            + RESTART_DRAIN_MS
        )
        self.clock.call_after(min(stop_ms, fault.for_s * 500), self.stop, servers)

    def stop(self, servers: list[Server]) -> None:
        """Stop servers that were announced to stop."""
        for server in servers:
            server.crash()
        self.simulation.publish_change(servers, self.simulation.day.lists.notice_ms)

    def begin_drain(self, fault: Trouble, servers: list[Server]) -> None:
        """Announce the servers as draining."""
        for server in servers:
            server.draining = True
        self.simulation.publish_change(servers, self.simulation.day.lists.notice_ms)

    def end_drain(self, fault: Trouble, servers: list[Server]) -> None:
        """Announce the servers as ready."""
        for server in servers:
            server.draining = False
        self.simulation.publish_change(servers, self.simulation.day.lists.notice_ms)

    # The endpoint list.

    def begin_list_loss(self, fault: Trouble, servers: list[Server]) -> None:
        """Send all nodes a snapshot that lacks the servers, although they are healthy."""
        without = frozenset(server.number for server in servers)
        for node in self.simulation.nodes:
            node.update_endpoints(UpdateKind.SNAPSHOT, self.simulation.servers, without)
            for server in servers:
                node.draining_since_ms.setdefault(server.number, self.clock.now_ms)

    def end_list_loss(self, fault: Trouble, servers: list[Server]) -> None:
        """Send all nodes a complete snapshot."""
        for node in self.simulation.nodes:
            node.update_endpoints(UpdateKind.SNAPSHOT, self.simulation.servers)

    def begin_flap(self, fault: Trouble, servers: list[Server]) -> None:
        """Make the entries of the servers alternate between draining and ready."""
        end_ms = self.clock.now_ms + fault.for_s * 1000 - 2 * FLAP_INTERVAL_MS
        self.flap_entries(servers, end_ms, True)

    def flap_entries(self, servers: list[Server], end_ms: float, draining: bool) -> None:
        """Publish the servers in one state, and schedule the other one until the end."""
        for server in servers:
            server.draining = draining
        for node in self.simulation.nodes:
            node.update_endpoints(UpdateKind.DELTA, servers)
        if self.clock.now_ms < end_ms:
            self.clock.call_after(
                FLAP_INTERVAL_MS, self.flap_entries, servers, end_ms, not draining
            )

    def end_flap(self, fault: Trouble, servers: list[Server]) -> None:
        """Publish the servers as ready."""
        self.flap_entries(servers, 0.0, False)

    def begin_list_cut(self, fault: Trouble, servers: list[Server]) -> None:
        """Cut nodes off from updates of the endpoint list."""
        for node in self.affected_nodes(fault):
            node.list_cut_off = True

    def end_list_cut(self, fault: Trouble, servers: list[Server]) -> None:
        """Send the nodes updates again, starting with a snapshot."""
        for node in self.affected_nodes(fault):
            node.list_cut_off = False
            node.update_endpoints(UpdateKind.SNAPSHOT, self.simulation.servers)

    # Nodes and the network between them.

    def affected_nodes(self, fault: Trouble) -> list[SimulatedNode]:
        """Return the nodes that the fault names, or the first node if it names none."""
        named = [self.simulation.nodes[int(name[1:])] for name in fault.nodes]
        return named or self.simulation.nodes[:1]

    def stop_nodes(self, fault: Trouble, servers: list[Server]) -> None:
        """Stop nodes at once."""
        for node in self.affected_nodes(fault):
            node.stop()

    def start_nodes(self, fault: Trouble, servers: list[Server]) -> None:
        """Start the stopped nodes again."""
        for node in self.affected_nodes(fault):
            node.start()

    def begin_freeze(self, fault: Trouble, servers: list[Server]) -> None:
        """Freeze nodes as SIGSTOP does: what arrives has to wait.

        Unlike with SIGSTOP, the timers of the request pipeline continue.
        """
        for node in self.affected_nodes(fault):
            node.freeze(fault.for_s * 1000)

    def end_freeze(self, fault: Trouble, servers: list[Server]) -> None:
        """Do nothing: frozen nodes continue by themselves."""

    def begin_loss(self, fault: Trouble, servers: list[Server]) -> None:
        """Lose a share of all messages."""
        self.simulation.network.loss = min(fault.chance, MAX_LOSS)

    def end_loss(self, fault: Trouble, servers: list[Server]) -> None:
        """Lose the day's usual share of messages again."""
        self.simulation.network.loss = self.simulation.day.net.loss

    def split_links(self, fault: Trouble) -> set[tuple[int, int]]:
        """Return all links between the first nodes, by the fault's share, and the others."""
        count = len(self.simulation.nodes)
        border = max(1, round(fault.share * count))
        pairs = {(first, second) for first in range(border) for second in range(border, count)}
        return pairs | {(second, first) for first, second in pairs}

    def begin_split(self, fault: Trouble, servers: list[Server]) -> None:
        """Partition the nodes into two groups."""
        self.simulation.network.cut_node_links |= self.split_links(fault)

    def end_split(self, fault: Trouble, servers: list[Server]) -> None:
        """Heal the partition of the nodes."""
        self.simulation.network.cut_node_links -= self.split_links(fault)

    def begin_one_way(self, fault: Trouble, servers: list[Server]) -> None:
        """Cut the link from one node to another."""
        source, target = self.affected_nodes(fault)
        self.simulation.network.cut_node_links.add((source.number, target.number))

    def end_one_way(self, fault: Trouble, servers: list[Server]) -> None:
        """Restore the link from one node to another."""
        source, target = self.affected_nodes(fault)
        self.simulation.network.cut_node_links.discard((source.number, target.number))

    # Zones.

    def servers_in_zone(self, fault: Trouble) -> list[Server]:
        """Return the servers of the fault's zone."""
        return [server for server in self.simulation.servers if server.zone == fault.zone]

    def begin_partition(self, fault: Trouble, servers: list[Server]) -> None:
        """Cut a zone off from all others."""
        self.simulation.network.isolated_zones.add(fault.zone)

    def end_partition(self, fault: Trouble, servers: list[Server]) -> None:
        """Reconnect the zone."""
        self.simulation.network.isolated_zones.discard(fault.zone)

    def begin_zone_loss(self, fault: Trouble, servers: list[Server]) -> None:
        """Crash all servers of a zone, but none of its nodes."""
        self.crash(fault, self.servers_in_zone(fault))

    def end_zone_loss(self, fault: Trouble, servers: list[Server]) -> None:
        """Start the servers of the zone again, cold."""
        self.start_again(fault, self.servers_in_zone(fault))

    def begin_zone_slow(self, fault: Trouble, servers: list[Server]) -> None:
        """Slow down all servers of a zone."""
        self.begin_slow(fault, self.servers_in_zone(fault))

    def end_zone_slow(self, fault: Trouble, servers: list[Server]) -> None:
        """Undo the slowdown of the zone."""
        self.end_slow(fault, self.servers_in_zone(fault))

    def begin_zone_flap(self, fault: Trouble, servers: list[Server]) -> None:
        """Cut a zone off and reconnect it by turns, for `size` seconds each."""
        end_ms = self.clock.now_ms + fault.for_s * 1000 - 2000.0 * fault.size
        self.flap_zone(fault, end_ms, True)

    def flap_zone(self, fault: Trouble, end_ms: float, isolated: bool) -> None:
        """Cut off or reconnect a zone, and schedule the opposite until the end."""
        isolated_zones = self.simulation.network.isolated_zones
        (isolated_zones.add if isolated else isolated_zones.discard)(fault.zone)
        if self.clock.now_ms < end_ms:
            self.clock.call_after(fault.size * 1000, self.flap_zone, fault, end_ms, not isolated)

    def region_links(self, fault: Trouble) -> set[tuple[int, int]]:
        """Return all links between the fault's zones and the other zones."""
        all_zones = range(self.simulation.day.net.zones)
        pairs = {
            (inside, outside)
            for inside in fault.zones
            for outside in all_zones
            if outside not in fault.zones
        }
        return pairs | {(outside, inside) for inside, outside in pairs}

    def begin_region_cut(self, fault: Trouble, servers: list[Server]) -> None:
        """Cut several zones together off from the others."""
        self.simulation.network.cut_zone_links |= self.region_links(fault)

    def end_region_cut(self, fault: Trouble, servers: list[Server]) -> None:
        """Reconnect the zones."""
        self.simulation.network.cut_zone_links -= self.region_links(fault)

    def begin_zone_way(self, fault: Trouble, servers: list[Server]) -> None:
        """Cut the link from one zone to another."""
        self.simulation.network.cut_zone_links.add((fault.zone, fault.to))

    def end_zone_way(self, fault: Trouble, servers: list[Server]) -> None:
        """Restore the link from one zone to another."""
        self.simulation.network.cut_zone_links.discard((fault.zone, fault.to))


# By kind: what begins a fault and what ends it.
FAULT_HANDLERS: dict[str, tuple[FaultHandler, FaultHandler]] = {
    "slow": (FaultInjector.begin_slow, FaultInjector.end_slow),
    "silent": (FaultInjector.begin_silent, FaultInjector.end_silent),
    "errors": (FaultInjector.begin_errors, FaultInjector.end_errors),
    "crash": (FaultInjector.crash, FaultInjector.start_again),
    "restart": (FaultInjector.begin_restart, FaultInjector.start_again),
    "drain": (FaultInjector.begin_drain, FaultInjector.end_drain),
    "list_loss": (FaultInjector.begin_list_loss, FaultInjector.end_list_loss),
    "flap": (FaultInjector.begin_flap, FaultInjector.end_flap),
    "partition": (FaultInjector.begin_partition, FaultInjector.end_partition),
    "loss": (FaultInjector.begin_loss, FaultInjector.end_loss),
    "node_restart": (FaultInjector.stop_nodes, FaultInjector.start_nodes),
    "kill": (FaultInjector.stop_nodes, FaultInjector.start_nodes),
    "freeze": (FaultInjector.begin_freeze, FaultInjector.end_freeze),
    "split": (FaultInjector.begin_split, FaultInjector.end_split),
    "one_way": (FaultInjector.begin_one_way, FaultInjector.end_one_way),
    "list_cut": (FaultInjector.begin_list_cut, FaultInjector.end_list_cut),
    "zone_loss": (FaultInjector.begin_zone_loss, FaultInjector.end_zone_loss),
    "zone_slow": (FaultInjector.begin_zone_slow, FaultInjector.end_zone_slow),
    "zone_flap": (FaultInjector.begin_zone_flap, FaultInjector.end_partition),
    "zone_way": (FaultInjector.begin_zone_way, FaultInjector.end_zone_way),
    "region_cut": (FaultInjector.begin_region_cut, FaultInjector.end_region_cut),
}
