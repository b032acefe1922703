"""The load to plan for in about two years, the budgets of control, and the assumptions.

`Target` is the operators' table (issue 41, part B). Figures that the operators did not state are in
`ASSUMPTIONS`, each with its reason; every result that uses one is marked as guessed. This module
does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

DAY_S = 86_400.0


@dataclass(slots=True, frozen=True)
class Target:
    """The size of the system and the events that it has to handle.

    `requests_per_s` is the peak. Failures are those of an ordinary day, and restarts include
    replacements.
    """

    nodes: float = 8_600
    servers: float = 170_000
    services: float = 5_400
    requests_per_s: float = 910_000
    routes: float = 43_000
    tenants: float = 290_000
    config_changes_per_day: float = 6_600
    machine_failures_per_day: float = 420
    machine_restarts_per_day: float = 28_000
    regions: int = 3
    zones: int = 11
    control_machines: int = 40

    def scaled(self, share: float) -> Target:
        """Return this share of the target.

        Regions, zones and the machines for control do not grow with the fleet and stay as they are.
        """
        scaled_fields = (
            "nodes",
            "servers",
            "services",
            "requests_per_s",
            "routes",
            "tenants",
            "config_changes_per_day",
            "machine_failures_per_day",
            "machine_restarts_per_day",
        )
        return replace(self, **{name: getattr(self, name) * share for name in scaled_fields})

    @property
    def requests_per_node_s(self) -> float:
        """Mean requests per second of one node at the peak."""
        return self.requests_per_s / self.nodes

    @property
    def servers_per_service(self) -> float:
        """Mean number of servers of one service."""
        return self.servers / self.services

    @property
    def list_changes_per_s(self) -> float:
        """Changed entries of the server list per second, averaged over a day."""
        changed_entries = (
            ASSUMPTIONS["lines of a restart"].value * self.machine_restarts_per_day
            + ASSUMPTIONS["lines of a failure"].value * self.machine_failures_per_day
        )
        return changed_entries * self.servers / (self.servers + self.nodes) / DAY_S

    @property
    def config_changes_per_s(self) -> float:
        """Configuration changes per second, averaged over a day."""
        return self.config_changes_per_day / DAY_S


TARGET = Target()


@dataclass(slots=True, frozen=True)
class Budget:
    """The largest acceptable value of a cost.

    `set_by_operators` is true where the operators' table states it, and false where this project
    chose it.
    """

    value: float
    unit: str
    reason: str
    set_by_operators: bool = False


BUDGETS = {
    "core": Budget(0.019, "of a core", "for control, a node spends 1.9% of a core", True),
    "memory": Budget(256.0, "MB", "for control, a node takes 256 MB", True),
    "bytes": Budget(17_000.0, "B/s", "for control, a node sends and receives 17 KB a second", True),
    "added": Budget(2_200.0, "µs", "added to a request: 2.2 ms for 99 in 100", True),
    "in force": Budget(
        4.0, "s", "a change of configuration is in force everywhere within 4 s", True
    ),
    "decision": Budget(
        550.0,
        "µs",
        "a quarter of the 2.2 ms: what is left is for reading, connections and the wait for the "
        "loop",
    ),
    "decisions": Budget(
        0.1, "of a core", "a node's requests take no more than a tenth of a core to decide"
    ),
    "save": Budget(
        5.0, "ms", "a save of what was learned, each half minute (ROADMAP.md: 5 wanted)"
    ),
    "standstill": Budget(
        2.2,
        "ms",
        "a request that meets the loop at a standstill has its whole 2.2 ms gone: no standstill "
        "that comes all the time may be longer",
    ),
    "long standstill": Budget(
        250.0,
        "ms",
        "one at a start or behind a gap: half of the 500 ms in which a drain binds",
    ),
    "ready": Budget(10.0, "s", "nine in ten restarted nodes are ready within 10 s (STANDING.md)"),
    "report": Budget(
        5.0,
        "s",
        "a share may be overdrawn for as long as others' use is not known: half of the 10 s in "
        "which a tenant's burst is over",
    ),
    "evidence": Budget(
        2.5,
        "s",
        "an older claim counts for nothing (`Ways.old`): a zone is judged by nobody's word then",
    ),
    "view": Budget(10.0, "s", "as long as a node takes to be ready"),
    "death": Budget(
        27.0, "s", "at a release a node is replaced each 27 s: the last is over before the next"
    ),
    "one core": Budget(1.0, "cores", "a service that is one process of Python has one core"),
    "lists out": Budget(6.0, "s", "a change counts as told 6 s after discovery had it"),
    "connection": Budget(
        16.0,
        "KB",
        "one that stands idle, with its buffers: 4,096 are 64 MB, a quarter of the 256 MB",
    ),
    "new connections": Budget(
        0.01,
        "of requests",
        "a new connection costs its first request 1 to 4 ms (handshake): over 2.2 ms, "
        "so no more than the one in 100 that may be",
    ),
    "connections": Budget(
        1_024.0,
        "connections",
        "from a node to servers: at 16 KB 16 MB; a server holds 66 to 100 a core",
    ),
    "falls": Budget(
        0.001,
        "of starts",
        "cold servers that fall under the sum of all nodes: 28 a day, 420 fail anyway",
    ),
    "wire": Budget(
        1.25e9,
        "B/s",
        "one machine's network at 10 Gb/s",
    ),
}


@dataclass(slots=True, frozen=True)
class Assumption:
    """A figure that was neither stated by the operators nor measured."""

    value: float
    unit: str
    reason: str


ASSUMPTIONS = {
    "lines of a restart": Assumption(3, "lines", "leaving, gone, back"),
    "lines of a failure": Assumption(2, "lines", "gone, back"),
    "servers of a rack": Assumption(40, "servers", "a rack of 42 places"),
    "servers of a switch": Assumption(320, "servers", "eight racks behind one"),
    "idle": Assumption(15, "s", "a server closes what has stood idle for so long (fleet.idle_ms)"),
    "ramp": Assumption(10, "s", "a started server is cold (3 to 9 s in the site's file)"),
    "cold from": Assumption(
        0.4, "of capacity", "a started server begins with (0.32 to 0.56 at the site)"
    ),
    "busy": Assumption(0.65, "of capacity", "servers are filled to at the peak"),
    "fall window": Assumption(1, "s", "in which a cold server's requests are counted (fall_ms)"),
    "sent of a cold budget": Assumption(0.8, "of it", "what all nodes together send on average"),
    "release hours": Assumption(10, "h", "in which a release's restarts are made"),
    "network": Assumption(1.25e9, "B/s", "a machine for control: 10 Gb/s"),
    "sending": Assumption(0.5e9, "B/s", "one core sends of bytes that lie ready, TLS not counted"),
    "served": Assumption(
        40, "services", "a node serves, once it need not serve all: 64 nodes to a service"
    ),
    "failures that tell": Assumption(3, "requests", "failed on one server, before it rests"),
    "bytes of a change of configuration": Assumption(
        300, "B", "a tenant or a route with its settings, as one change with its number and digest"
    ),
}
