"""What the system has to carry in about two years, and what is assumed beside it. No I/O.

Source of `Target`: the operators' table of issue 41, part B. Whatever the operators did not say
stands in
`ASSUMED`, each with its reason, and marks every figure that it enters as guessed.
"""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(slots=True, frozen=True)
class Target:
    """The table; `at` is a part of it, in which what fails and changes shrinks with the fleet."""

    nodes: float = 8_600
    servers: float = 170_000
    services: float = 5_400
    requests: float = 910_000  # a second, at the peak
    routes: float = 43_000
    tenants: float = 290_000
    changes: float = 6_600  # of the configuration, a day
    failures: float = 420  # machines on an ordinary day
    restarts: float = 28_000  # machines restarted or replaced, a day
    regions: int = 3
    zones: int = 11
    machines: int = 40  # set aside for control

    def at(self, share: float) -> Target:
        """All that grows, at this share. Regions, zones and the machines for control stay."""
        grows = (
            "nodes",
            "servers",
            "services",
            "requests",
            "routes",
            "tenants",
            "changes",
            "failures",
            "restarts",
        )
        return replace(self, **{name: getattr(self, name) * share for name in grows})

    @property
    def node_requests(self) -> float:
        """A second, the mean of a node at the peak."""
        return self.requests / self.nodes

    @property
    def service_servers(self) -> float:
        return self.servers / self.services

    @property
    def lines(self) -> float:
        """Changed lines of the server list a second, the mean over a day."""
        told = (
            ASSUMED["lines of a restart"].value * self.restarts
            + ASSUMED["lines of a failure"].value * self.failures
        )
        return told * self.servers / (self.servers + self.nodes) / DAY

    @property
    def config_changes(self) -> float:
        """A second, the mean over a day."""
        return self.changes / DAY


DAY = 86_400.0  # s
TARGET = Target()


@dataclass(slots=True, frozen=True)
class Budget:
    """What a cost may come to, and by whose word."""

    value: float
    unit: str
    why: str
    letter: bool = False  # it stands in the operators' table; else it is given here


BUDGETS = {
    "core": Budget(0.019, "of a core", "for control, a node spends 1.9% of a core", True),
    "memory": Budget(256.0, "MB", "for control, a node takes 256 MB", True),
    "bytes": Budget(17_000.0, "B/s", "for control, a node sends and receives 17 KB a second", True),
    "added": Budget(2_200.0, "µs", "added to a request: 2.2 ms for 99 in 100", True),
    "in force": Budget(4.0, "s", "a change of configuration is in force everywhere within 4 s", True),
    "decision": Budget(
        550.0, "µs",
        "a quarter of the 2.2 ms: what is left is for reading, connections and the wait for the loop",
    ),
    "decisions": Budget(0.1, "of a core", "a node's requests take no more than a tenth of a core to decide"),
    "save": Budget(5.0, "ms", "a save of what was learned, each half minute (ROADMAP.md: 5 wanted)"),
    "standstill": Budget(
        2.2, "ms", "a request that meets the loop at a standstill has its whole 2.2 ms gone: no standstill "
        "that comes all the time may be longer",
    ),
    "long standstill": Budget(
        250.0, "ms", "one at a start or behind a gap: half of the 500 ms in which a drain binds",
    ),
    "ready": Budget(10.0, "s", "nine in ten restarted nodes are ready within 10 s (STANDING.md)"),
    "report": Budget(
        5.0, "s", "a share may be overdrawn for as long as others' use is not known: half of the 10 s in "
        "which a tenant's burst is over",
    ),
    "evidence": Budget(
        2.5, "s", "an older claim counts for nothing (`Ways.old`): a zone is judged by nobody's word then",
    ),
    "view": Budget(10.0, "s", "as long as a node takes to be ready"),
    "death": Budget(27.0, "s", "at a release a node is replaced each 27 s: the last is over before the next"),
    "one core": Budget(1.0, "cores", "a service that is one process of Python has one core"),
    "lists out": Budget(6.0, "s", "a change counts as told 6 s after discovery had it"),
    "connection": Budget(
        16.0, "KB", "one that stands idle, with its buffers: 4,096 are 64 MB, a quarter of the 256 MB",
    ),
    "new connections": Budget(
        0.01, "of requests", "a new connection costs its first request 1 to 4 ms (handshake): over 2.2 ms, "
        "so no more than the one in 100 that may be",
    ),
    "connections": Budget(
        1_024.0, "connections", "from a node to servers: at 16 KB 16 MB; a server holds 66 to 100 a core",
    ),
    "falls": Budget(
        0.001, "of starts", "cold servers that fall under the sum of all nodes: 28 a day, 420 fail anyway",
    ),
    "wire": Budget(
        1.25e9, "B/s", "one machine's network at 10 Gb/s",
    ),
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class Assumption:
    """A figure that nobody gave and nothing measured."""

    value: float
    unit: str
    why: str


ASSUMED = {
    "lines of a restart": Assumption(3, "lines", "leaving, gone, back"),
    "lines of a failure": Assumption(2, "lines", "gone, back"),
    "servers of a rack": Assumption(40, "servers", "a rack of 42 places"),
    "servers of a switch": Assumption(320, "servers", "eight racks behind one"),
    "idle": Assumption(15, "s", "a server closes what has stood idle for so long (fleet.idle_ms)"),
    "ramp": Assumption(10, "s", "a started server is cold (3 to 9 s in the site's file)"),
    "cold from": Assumption(0.4, "of capacity", "a started server begins with (0.32 to 0.56 at the site)"),
    "busy": Assumption(0.65, "of capacity", "servers are filled to at the peak"),
    "fall window": Assumption(1, "s", "in which a cold server's requests are counted (fall_ms)"),
    "sent of a cold budget": Assumption(0.8, "of it", "what all nodes together send on average"),
    "release hours": Assumption(10, "h", "in which a release's restarts are made"),
    "network": Assumption(1.25e9, "B/s", "a machine for control: 10 Gb/s"),
    "sending": Assumption(0.5e9, "B/s", "one core sends of bytes that lie ready, TLS not counted"),
    "served": Assumption(40, "services", "a node serves, once it need not serve all: 64 nodes to a service"),
    "failures that tell": Assumption(3, "requests", "failed on one server, before it rests"),
    "bytes of a change of configuration": Assumption(
        300, "B", "a tenant or a route with its settings, as one change with its number and digest"
    ),
}  # fmt: skip
