"""Load scenarios: peaks that a mean does not show, such as a lost zone or a release.

Each figure is given twice: for the system as it is, in which every node receives every change, and
for a system in which a node receives only the changes of the services that it serves. The sizes of
racks and the like are assumptions, which each figure names. This module does no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from badgercart.discovery.backoff import INITIAL_RETRY_DELAY_S, CallTiming
from badgercart.zones.traffic_plan import UtilizationLimits
from benchmarks.capacity.laws import Runs, ScalingLaw
from benchmarks.capacity.requirements import (
    changed_line_law,
    list_bytes_law,
    reload_laws,
    subset_size,
)
from benchmarks.capacity.roles import Provenance
from benchmarks.capacity.target import ASSUMPTIONS, BUDGETS, TARGET, Budget

CONFIG_CHANGE_BYTES = "bytes of a change of configuration"


@dataclass(slots=True, frozen=True)
class ScenarioFigure:
    """One cost in a scenario.

    Attributes:
        name: what the cost is, as the page words it.
        unit: the unit of the cost.
        today: the cost where every node receives every change; None where it has no meaning.
        scoped: the cost where a node receives only the changes of what it serves; None where it
            has no meaning.
        budget: the largest acceptable cost, if there is one.
        assumptions: the names of the assumptions that the cost uses.
        laws: the scaling laws that the cost uses.
    """

    name: str
    unit: str
    today: float | None
    scoped: float | None
    budget: Budget | None = None
    assumptions: tuple[str, ...] = ()
    laws: tuple[ScalingLaw, ...] = ()

    @property
    def provenance(self) -> Provenance:
        """Where the cost comes from."""
        return Provenance.GUESSED if self.assumptions else Provenance.MODELLED

    @property
    def over_budget(self) -> str:
        """Which of the two costs exceed the budget, as the page words it; "" without a budget."""
        if self.budget is None:
            return ""
        exceeding = [
            name
            for name, value in (("today", self.today), ("told", self.scoped))
            if value is not None and value > self.budget.value
        ]
        return ", ".join(exceeding) or "neither"


@dataclass(slots=True, frozen=True)
class Scenario:
    """An event, and the costs that it causes."""

    name: str
    figures: tuple[ScenarioFigure, ...]


def assumption(name: str) -> float:
    """Return the value of an assumption."""
    return ASSUMPTIONS[name].value


def served_servers() -> float:
    """Return how many servers belong to the services of one node that need not serve all."""
    return assumption("served") * TARGET.servers_per_service


def simultaneous_list_changes(
    name: str,
    changed_lines: float,
    runs: Runs,
    assumptions: tuple[str, ...],
    nodes: float | None = None,
    servers_lost: bool = False,
) -> Scenario:
    """Return the scenario in which many entries of the server list change at the same moment.

    Args:
        name: the scenario's name.
        changed_lines: the number of entries that change.
        runs: the measured runs.
        assumptions: the names of the assumptions that `changed_lines` uses.
        nodes: the number of nodes that receive the changes; None for all nodes.
        servers_lost: whether the servers are gone, and with them the requests that they had.
    """
    line, size = changed_line_law(runs), list_bytes_law(runs)
    served_share = served_servers() / TARGET.servers
    bytes_per_line = size(TARGET.servers) / TARGET.servers
    scoped_lines = changed_lines * served_share
    receiving_nodes = TARGET.nodes if nodes is None else nodes
    assumptions = (*assumptions, "served")
    lost_requests_per_s = changed_lines * TARGET.requests_per_s / TARGET.servers
    return Scenario(
        name,
        (
            *(
                ScenarioFigure(
                    "requests a second that went there",
                    "",
                    lost_requests_per_s,
                    lost_requests_per_s,
                    None,
                    assumptions[:-1],
                )
                for _ in [1]
                if servers_lost
            ),
            ScenarioFigure(
                "lines that a node is told", "lines", changed_lines, scoped_lines, None, assumptions
            ),
            ScenarioFigure(
                "they take, at 17 KB a second",
                "s",
                changed_lines * bytes_per_line / 17_000,
                scoped_lines * bytes_per_line / 17_000,
                BUDGETS["lists out"],
                assumptions,
                (size,),
            ),
            ScenarioFigure(
                "a node's processor for them",
                "ms",
                changed_lines * line(TARGET.servers) / 1000,
                scoped_lines * line(served_servers()) / 1000,
                BUDGETS["long standstill"],
                assumptions,
                (line,),
            ),
            ScenarioFigure(
                "bytes out: of one service today, of each of 40 machines told",
                "MB",
                receiving_nodes * changed_lines * bytes_per_line / 1e6,
                receiving_nodes * scoped_lines * bytes_per_line / 1e6 / TARGET.control_machines,
                None,
                assumptions,
                (size,),
            ),
        ),
    )


def failover_load(part_name: str, parts: float) -> Scenario:
    """Return the scenario in which one of several equal parts of all servers is lost.

    The other parts take over its traffic.
    """
    load = assumption("busy") * parts / (parts - 1)
    max_load = UtilizationLimits().planned_share
    return Scenario(
        f"the load on the others, one {part_name} lost",
        (
            ScenarioFigure(
                "the others' load",
                "of capacity",
                load,
                load,
                Budget(max_load, "of capacity", ""),
                ("busy",),
            ),
            ScenarioFigure(
                "refused",
                "of all requests",
                max(0.0, 1 - max_load / load),
                max(0.0, 1 - max_load / load),
                None,
                ("busy",),
            ),
        ),
    )


def poisson_tail(mean: float, threshold: float) -> float:
    """Return the probability that more than `threshold` independent events occur (Poisson)."""
    return max(
        0.0,
        1.0
        - sum(
            math.exp(n * math.log(mean) - mean - math.lgamma(n + 1))
            for n in range(int(threshold) + 1)
        ),
    )


def slow_start_failure_probability(sent_share: float) -> float:
    """Return the probability that a server fails during its slow start.

    All nodes together send it, by independent random choices, a mean of `sent_share` of what it may
    receive. By the rule of the standing test, a server fails if it receives more than
    N + 2 * sqrt(N) + 2 requests in a window, where N is what it may receive.
    """
    warm_requests = (
        TARGET.requests_per_s / TARGET.servers / assumption("busy") * assumption("fall window")
    )
    windows = int(assumption("ramp") / assumption("fall window"))
    survival = 1.0
    for window in range(windows):
        allowed = warm_requests * (
            assumption("cold from") + (1 - assumption("cold from")) * window / windows
        )
        survival *= 1 - poisson_tail(sent_share * allowed, allowed + 2 * math.sqrt(allowed) + 2)
    return 1 - survival


def cold_server() -> Scenario:
    """Return the scenario of a cold server that all nodes choose at random.

    None of its costs grows with the fleet.
    """
    warm_requests = (
        TARGET.requests_per_s / TARGET.servers / assumption("busy") * assumption("fall window")
    )
    sent_share = assumption("sent of a cold budget")
    low, high = 0.01, 1.0
    while high - low > 1e-3:
        middle = (low + high) / 2
        low, high = (
            (middle, high)
            if slow_start_failure_probability(middle) <= BUDGETS["falls"].value
            else (low, middle)
        )
    assumptions = ("ramp", "cold from", "busy", "fall window")
    restarted_servers = (
        TARGET.machine_restarts_per_day * TARGET.servers / (TARGET.servers + TARGET.nodes)
    )
    first_window_requests = warm_requests * assumption("cold from")
    return Scenario(
        "a cold server under the sum of all nodes",
        (
            ScenarioFigure(
                "requests in a window at its start, by the settings",
                "",
                first_window_requests,
                first_window_requests,
                None,
                assumptions,
            ),
            ScenarioFigure(
                "a node's part of that",
                "",
                first_window_requests / TARGET.nodes,
                first_window_requests / TARGET.nodes,
                None,
                assumptions,
            ),
            ScenarioFigure(
                "servers that fall, if each node draws by chance",
                "of starts",
                slow_start_failure_probability(sent_share),
                slow_start_failure_probability(sent_share),
                BUDGETS["falls"],
                (*assumptions, "sent of a cold budget"),
            ),
            ScenarioFigure(
                "that is a day",
                "",
                restarted_servers * slow_start_failure_probability(sent_share),
                restarted_servers * slow_start_failure_probability(sent_share),
                None,
                (*assumptions, "sent of a cold budget"),
            ),
            ScenarioFigure(
                "part of the budget that may be sent to keep the bound",
                "",
                low,
                low,
                None,
                assumptions,
            ),
        ),
    )


def releases(runs: Runs) -> list[Scenario]:
    """Return the scenarios of a release that restarts all machines, and of one that goes wrong."""
    line, size = changed_line_law(runs), list_bytes_law(runs)
    restarts_per_s = TARGET.machine_restarts_per_day / (assumption("release hours") * 3600)
    server_restarts_per_s = restarts_per_s * TARGET.servers / (TARGET.servers + TARGET.nodes)
    lines_per_s = server_restarts_per_s * assumption("lines of a restart")
    served_share = served_servers() / TARGET.servers
    bytes_per_line = size(TARGET.servers) / TARGET.servers
    bad_servers = server_restarts_per_s * 600
    reached_servers, scoped_servers = (
        TARGET.services * subset_size(TARGET),
        assumption("served") * subset_size(TARGET),
    )
    failures_to_eject = assumption("failures that tell")
    assumptions = ("release hours", "lines of a restart")
    return [
        Scenario(
            "a release that restarts 28,000 in a day",
            (
                ScenarioFigure(
                    "lines a second",
                    "",
                    lines_per_s,
                    lines_per_s * served_share,
                    None,
                    (*assumptions, "served"),
                ),
                ScenarioFigure(
                    "a node's processor for them",
                    "of a core",
                    lines_per_s * line(TARGET.servers) / 1e6,
                    lines_per_s * served_share * line(served_servers()) / 1e6,
                    BUDGETS["core"],
                    (*assumptions, "served"),
                    (line,),
                ),
                ScenarioFigure(
                    "bytes to a node",
                    "B/s",
                    lines_per_s * bytes_per_line,
                    lines_per_s * served_share * bytes_per_line,
                    BUDGETS["bytes"],
                    (*assumptions, "served"),
                    (size,),
                ),
                ScenarioFigure(
                    "servers that are cold at a time",
                    "",
                    server_restarts_per_s * assumption("ramp"),
                    server_restarts_per_s * assumption("ramp"),
                    None,
                    ("release hours", "ramp"),
                ),
                ScenarioFigure(
                    "nodes restarted an hour: each wants all that it serves",
                    "",
                    restarts_per_s * 3600 - server_restarts_per_s * 3600,
                    restarts_per_s * 3600 - server_restarts_per_s * 3600,
                    None,
                    ("release hours",),
                ),
                ScenarioFigure(
                    "that takes, at 17 KB a second",
                    "s",
                    size(TARGET.servers) / 17_000,
                    size(served_servers()) / 17_000,
                    BUDGETS["ready"],
                    ("served",),
                    (size,),
                ),
            ),
        ),
        Scenario(
            "the first ten minutes of one that goes wrong",
            (
                ScenarioFigure(
                    "servers that have it",
                    "",
                    bad_servers,
                    bad_servers,
                    None,
                    ("release hours",),
                ),
                ScenarioFigure(
                    "requests a second that meet them",
                    "",
                    bad_servers / TARGET.servers * TARGET.requests_per_s,
                    bad_servers / TARGET.servers * TARGET.requests_per_s,
                    Budget(0.01 * TARGET.requests_per_s, "", ""),
                    ("release hours",),
                ),
                ScenarioFigure(
                    "a node meets one of them anew after",
                    "s",
                    reached_servers / TARGET.requests_per_node_s,
                    scoped_servers / TARGET.requests_per_node_s,
                    None,
                    ("served",),
                ),
                ScenarioFigure(
                    "until a node alone knows of a bad one",
                    "s",
                    failures_to_eject * reached_servers / TARGET.requests_per_node_s,
                    failures_to_eject * scoped_servers / TARGET.requests_per_node_s,
                    BUDGETS["view"],
                    ("served", "failures that tell"),
                ),
            ),
        ),
    ]


def config_change_burst(runs: Runs) -> Scenario:
    """Return the scenario of 500 configuration changes in a minute."""
    steps, file = (
        reload_laws(runs, "tenants"),
        runs.law("configuration", "platform's file", "tenants"),
    )
    changes_per_s = 500 / 60
    served_share = assumption("served") / TARGET.services
    change_bytes = assumption(CONFIG_CHANGE_BYTES)
    return Scenario(
        "500 changes of configuration in a minute",
        (
            ScenarioFigure(
                "a node's processor: today the whole file each time",
                "of a core",
                changes_per_s * sum(step(TARGET.tenants) for step in steps) / 1e6,
                None,
                BUDGETS["core"],
                (),
                steps,
            ),
            ScenarioFigure(
                "bytes to a node: today the whole file each time",
                "B/s",
                changes_per_s * file(TARGET.tenants),
                changes_per_s * change_bytes,
                BUDGETS["bytes"],
                (CONFIG_CHANGE_BYTES,),
                (file,),
            ),
            ScenarioFigure(
                "the same, told for what it serves alone",
                "B/s",
                None,
                changes_per_s * change_bytes * served_share,
                BUDGETS["bytes"],
                (CONFIG_CHANGE_BYTES, "served"),
            ),
            ScenarioFigure(
                "bytes out of each of the 40 machines, all told to all",
                "MB/s",
                None,
                changes_per_s * change_bytes * TARGET.nodes / TARGET.control_machines / 1e6,
                None,
                (CONFIG_CHANGE_BYTES,),
            ),
        ),
    )


def reconnect_attempts(runs: Runs) -> Scenario:
    """Return the scenario in which all nodes have lost their connections to the control machines.

    The first retry delay is drawn from a range as wide as the delay itself: from half of it to one
    and a half.
    """
    timing, size = CallTiming.for_shared_service(), list_bytes_law(runs)
    first_delay_range_s = INITIAL_RETRY_DELAY_S * 1.0
    changes_in_an_hour = TARGET.list_changes_per_s * 3600
    served_share = served_servers() / TARGET.servers
    bytes_per_line = size(TARGET.servers) / TARGET.servers
    nodes_per_machine = TARGET.nodes / TARGET.control_machines
    network_bytes_per_s = assumption("network")
    return Scenario(
        "the calls on 40 machines when 8,600 nodes have lost them",
        (
            ScenarioFigure(
                "calls a second on each, the first wave (within 25 to 75 ms)",
                "/s",
                nodes_per_machine / first_delay_range_s,
                nodes_per_machine / first_delay_range_s,
            ),
            ScenarioFigure(
                "calls a second on each, later (0.5 to 1.5 s apart)",
                "/s",
                nodes_per_machine / timing.max_retry_delay_s,
                nodes_per_machine / timing.max_retry_delay_s,
            ),
            ScenarioFigure(
                "at the return each wants the whole list: of each machine's network",
                "s",
                nodes_per_machine * size(TARGET.servers) / network_bytes_per_s,
                nodes_per_machine * size(served_servers()) / network_bytes_per_s,
                Budget(timing.response_timeout_s, "s", "a call's patience"),
                ("network", "served"),
                (size,),
            ),
            ScenarioFigure(
                "and of one core of each",
                "s",
                nodes_per_machine * size(TARGET.servers) / assumption("sending"),
                nodes_per_machine * size(served_servers()) / assumption("sending"),
                BUDGETS["lists out"],
                ("sending", "served"),
                (size,),
            ),
            ScenarioFigure(
                "or what changed in an hour: bytes to a node",
                "KB",
                changes_in_an_hour * bytes_per_line / 1000,
                changes_in_an_hour * served_share * bytes_per_line / 1000,
                None,
                ("lines of a restart", "served"),
                (size,),
            ),
            ScenarioFigure(
                "that takes, at 17 KB a second",
                "s",
                changes_in_an_hour * bytes_per_line / 17_000,
                changes_in_an_hour * served_share * bytes_per_line / 17_000,
                BUDGETS["lists out"],
                ("lines of a restart", "served"),
                (size,),
            ),
        ),
    )


def region_recovery(runs: Runs) -> list[Scenario]:
    """Return the scenarios in which a region returns after an hour."""
    list_changes_in_an_hour = TARGET.list_changes_per_s * 3600
    change_bytes = assumption(CONFIG_CHANGE_BYTES)
    config_changes_in_an_hour = TARGET.config_changes_per_s * 3600
    region_servers = TARGET.servers / TARGET.regions
    was_run = "configuration" in runs.runs
    laws = (runs.law("configuration", "platform's file", "tenants"),) if was_run else ()
    file_bytes = laws[0](TARGET.tenants) if laws else None
    assumptions = ("lines of a restart",)
    return [
        simultaneous_list_changes(
            "a region is back after an hour: what its own nodes missed",
            list_changes_in_an_hour,
            runs,
            assumptions,
            TARGET.nodes / TARGET.regions,
        ),
        simultaneous_list_changes(
            "a region is back after an hour: all take its servers in anew, if they were out",
            region_servers,
            runs,
            assumptions,
        ),
        Scenario(
            "a region is back after an hour: the configuration that it missed",
            (
                ScenarioFigure("changes", "", config_changes_in_an_hour, config_changes_in_an_hour),
                ScenarioFigure(
                    "bytes to a node: today the file, told as changes",
                    "KB",
                    file_bytes and file_bytes / 1000,
                    config_changes_in_an_hour * change_bytes / 1000,
                    None,
                    (CONFIG_CHANGE_BYTES,),
                    laws,
                ),
                ScenarioFigure(
                    "they take, at 17 KB a second",
                    "s",
                    file_bytes and file_bytes / 17_000,
                    config_changes_in_an_hour * change_bytes / 17_000,
                    BUDGETS["lists out"],
                    (CONFIG_CHANGE_BYTES,),
                    laws,
                ),
            ),
        ),
    ]


def all_scenarios(runs: Runs) -> Sequence[Scenario]:
    """Return all scenarios of the page.

    Raises:
        MissingSeriesError: A run lacks a series that a scenario uses.
    """
    zone_servers = TARGET.servers / TARGET.zones
    return [
        simultaneous_list_changes(
            "the second after a rack",
            assumption("servers of a rack"),
            runs,
            ("servers of a rack",),
            servers_lost=True,
        ),
        simultaneous_list_changes(
            "the second after a switch",
            assumption("servers of a switch"),
            runs,
            ("servers of a switch",),
            servers_lost=True,
        ),
        simultaneous_list_changes(
            "the second after a zone", zone_servers, runs, (), servers_lost=True
        ),
        failover_load("zone", TARGET.zones),
        failover_load("region", TARGET.regions),
        *region_recovery(runs),
        *releases(runs),
        cold_server(),
        *(config_change_burst(runs) for _ in ["configuration"] if "configuration" in runs.runs),
        reconnect_attempts(runs),
    ]
