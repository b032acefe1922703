"""The requirements of the roles that need measured runs, and the models behind them. No I/O.

Each `..._requirements` function returns nothing where its subject was not run.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

from badgercart.app.document import MAX_FILE_BYTES
from badgercart.cluster.broadcast_queue import transmit_limit
from badgercart.cluster.codec import MAX_SYNC_BYTES
from badgercart.cluster.member import MAX_FORWARDED_REPORTS
from badgercart.cluster.quota_sharing import MAX_SHARED_TENANTS
from badgercart.policy.subset import MIN_SUBSET_SIZE, NODES_PER_GROUP
from benchmarks.capacity.laws import Runs, ScalingLaw
from benchmarks.capacity.roles import Mechanism, Requirement, code_limit
from benchmarks.capacity.target import ASSUMPTIONS, BUDGETS, TARGET, Target

# Tenants in the usage reports of `benchmarks.scale.peers`.
REPORTED_TENANTS = 10

# Time between two changes in `benchmarks.scale.processes`.
CHANGE_INTERVAL_S = 0.5

NODES_PER_SERVER = TARGET.nodes / TARGET.servers

# Names of runs. The first one that exists is used.
POLICY_RUNS = ("policy", "policy-before")
PEER_RUNS = ("peers", "peers-first")

# Runs of groups without usage reports, which show how long the group takes to agree.
CONVERGENCE_RUNS = ("peers", "peers-large", "peers-first")

# One member by itself, with as many other members as it accepts.
SINGLE_MEMBER_RUN = "peers-by-itself"

# Time between two reports in a small group, as in `PeersSettings.share_ms`.
MIN_REPORT_INTERVAL_MS = 500.0

RELOAD_STEPS = ("reload: read and check", "reload: renumber", "reload: policy")


def report_interval_s(nodes: float) -> float:
    """Return the seconds between two reports of a member, as `ClusterMember` paces them."""
    return (
        MIN_REPORT_INTERVAL_MS
        / 1000
        * max(1.0, nodes * transmit_limit(math.ceil(nodes)) / MAX_FORWARDED_REPORTS)
    )


def subset_size(t: Target) -> float:
    """Return how many servers of one service a node sends to, as the policy subsets them.

    The traffic is assumed to be light: under heavier traffic the policy uses no subsets.
    """
    return t.servers_per_service / max(
        1, min(t.nodes // NODES_PER_GROUP, t.servers_per_service // MIN_SUBSET_SIZE)
    )


def new_connection_share(t: Target) -> float:
    """Return the share of requests that find no open connection to their server.

    Each node serves every service here, and requests from one node to one server arrive at random.
    """
    requests_per_s = t.requests_per_node_s / (t.services * subset_size(t))
    return math.exp(-ASSUMPTIONS["idle"].value * requests_per_s)


def decision_load(requests_per_s: float, median_us: float, mean_us: float) -> float:
    """Return the part of a core that the decisions for so many requests take.

    `median_us` and `mean_us` are those of decisions that were 1 ms apart. Periodic work raises the
    mean over the median and does not depend on the number of requests: each second of that run,
    with its 1,000 decisions, contained all of it.
    """
    return (requests_per_s * median_us + 1000 * max(0.0, mean_us - median_us)) / 1e6


def list_bytes_law(runs: Runs) -> ScalingLaw:
    """Return the law of the bytes of a server list in the catalog's format, by its entries."""
    return runs.law("lists", "whole list", "servers", "one")


def changed_line_law(runs: Runs) -> ScalingLaw:
    """Return the law of the µs that the policy takes for one changed entry of the server list.

    Nodes grow with the servers.
    """
    return runs.law(
        runs.first_available(POLICY_RUNS),
        "changed line",
        "servers",
        "mean",
        nodes_a_server=NODES_PER_SERVER,
    )


def list_requirements(runs: Runs) -> tuple[Requirement, ...]:
    """Return the costs of reading a server list and applying it to the endpoint table."""
    if "lists" not in runs.runs:
        return ()
    numbered_changes = Mechanism.NUMBERED_CHANGES
    changed_line, whole_list = (
        runs.law("lists", name, "servers", "median") for name in ("changed line", "whole list")
    )
    peak_memory = runs.law("lists", "memory, peak of taking a list", "servers")
    return (
        Requirement(
            "processor",
            "changed lines read and taken, the mean of a day",
            "of a core",
            lambda t: t.list_changes_per_s * changed_line(t.servers) / 1e6,
            BUDGETS["core"],
            numbered_changes,
            (changed_line,),
            ("lines of a restart", "lines of a failure"),
        ),
        Requirement(
            "time",
            "the whole list read and taken holds the loop",
            "ms",
            lambda t: whole_list(t.servers) / 1000,
            BUDGETS["long standstill"],
            numbered_changes,
            (whole_list,),
            is_law_value=True,
        ),
        Requirement(
            "memory",
            "the peak as a whole list is taken",
            "MB",
            lambda t: peak_memory(t.servers) / 1e6,
            BUDGETS["memory"],
            numbered_changes,
            (peak_memory,),
            is_law_value=True,
        ),
    )


def reload_laws(runs: Runs, over: str) -> tuple[ScalingLaw, ...]:
    """Return the laws of the steps of a reload, each in µs."""
    return tuple(runs.law("configuration", step, over) for step in RELOAD_STEPS)


def config_requirements(runs: Runs) -> tuple[Requirement, ...]:
    """Return the costs of reading a configuration and reloading it."""
    if "configuration" not in runs.runs:
        return ()
    numbered_changes = Mechanism.NUMBERED_CHANGES
    steps_by_tenants, steps_by_classes = (
        reload_laws(runs, "tenants"),
        reload_laws(runs, "classes"),
    )
    platform_file = runs.law("configuration", "platform's file", "tenants")
    operators_file = runs.law("configuration", "operator's file", "tenants")
    peak_memory = runs.law("configuration", "memory, peak of reading", "tenants")

    def total_s(steps: Sequence[ScalingLaw], size: float) -> float:
        return sum(step(size) for step in steps) / 1e6

    return (
        Requirement(
            "processor",
            "the whole file read for each change, all tenants",
            "of a core",
            lambda t: t.config_changes_per_s * total_s(steps_by_tenants, t.tenants),
            BUDGETS["core"],
            numbered_changes,
            steps_by_tenants,
        ),
        Requirement(
            "time",
            "a reload holds the loop, all tenants",
            "ms",
            lambda t: 1000 * total_s(steps_by_tenants, t.tenants),
            BUDGETS["long standstill"],
            numbered_changes,
            steps_by_tenants,
        ),
        Requirement(
            "time",
            "a reload holds the loop, a class for each route",
            "ms",
            lambda t: 1000 * total_s(steps_by_classes, t.routes),
            BUDGETS["long standstill"],
            numbered_changes,
            steps_by_classes,
        ),
        Requirement(
            "messages in",
            "the whole file for each change, the mean of a day",
            "B/s",
            lambda t: t.config_changes_per_s * platform_file(t.tenants),
            BUDGETS["bytes"],
            numbered_changes,
            (platform_file,),
        ),
        Requirement(
            "limit",
            "bytes of an operator's file, all tenants",
            "bytes",
            lambda t: operators_file(t.tenants),
            code_limit(MAX_FILE_BYTES, "bytes", "badgercart.app.document.MAX_FILE_BYTES"),
            numbered_changes,
            (operators_file,),
        ),
        Requirement(
            "memory",
            "the peak as a file is read, all tenants",
            "MB",
            lambda t: peak_memory(t.tenants) / 1e6,
            BUDGETS["memory"],
            numbered_changes,
            (peak_memory,),
            is_law_value=True,
        ),
    )


def member_requirements(runs: Runs) -> tuple[Requirement, ...]:
    """Return the costs of a member in a simulated cluster."""
    if not any(name in runs.runs for name in PEER_RUNS):
        return ()
    membership_cells, tenants = Mechanism.MEMBERSHIP_CELLS, REPORTED_TENANTS
    bytes_in, bytes_out = (
        runs.law(
            runs.first_available(PEER_RUNS),
            f"bytes {direction}",
            "nodes",
            "median",
            tenants=tenants,
        )
        for direction in ("in", "out")
    )
    max_bytes = runs.law(
        runs.first_available(PEER_RUNS), "bytes worst", "nodes", "median", tenants=tenants
    )
    processor = runs.law(
        runs.first_available(PEER_RUNS), "processor", "nodes", "median", tenants=tenants
    )
    memory = runs.law(runs.first_available(PEER_RUNS), "memory", "nodes", "one", tenants=0)
    start_convergence = runs.law(
        runs.first_available(CONVERGENCE_RUNS), "one view", "nodes", "worst", tenants=0
    )
    death_convergence = runs.law(
        runs.first_available(CONVERGENCE_RUNS),
        "one view after a death",
        "nodes",
        "worst",
        tenants=0,
    )
    return (
        Requirement(
            "messages in and out",
            "with reports of use of ten tenants",
            "B/s",
            lambda t: bytes_in(t.nodes) + bytes_out(t.nodes),
            BUDGETS["bytes"],
            membership_cells,
            (bytes_in, bytes_out),
        ),
        Requirement(
            "messages in and out",
            "the same, of the node that bears most",
            "B/s",
            lambda t: max_bytes(t.nodes),
            BUDGETS["bytes"],
            membership_cells,
            (max_bytes,),
            is_law_value=True,
        ),
        Requirement(
            "processor",
            "with reports of use of ten tenants",
            "of a core",
            lambda t: processor(t.nodes) / 1000,
            BUDGETS["core"],
            membership_cells,
            (processor,),
            is_law_value=True,
        ),
        Requirement(
            "memory",
            "the other members",
            "MB",
            lambda t: t.nodes * memory(t.nodes) / 1e6,
            BUDGETS["memory"],
            membership_cells,
            (memory,),
        ),
        Requirement(
            "time",
            "from a start of all to one view",
            "s",
            lambda t: start_convergence(t.nodes),
            BUDGETS["view"],
            membership_cells,
            (start_convergence,),
            is_law_value=True,
        ),
        Requirement(
            "time",
            "from a death to one view",
            "s",
            lambda t: death_convergence(t.nodes),
            BUDGETS["death"],
            membership_cells,
            (death_convergence,),
            is_law_value=True,
        ),
    )


def single_member_requirements(runs: Runs) -> tuple[Requirement, ...]:
    """Return the costs of the longest steps of one member."""
    if SINGLE_MEMBER_RUN not in runs.runs:
        return ()
    usage_round = runs.law(SINGLE_MEMBER_RUN, "a round of use", "members", tenants=REPORTED_TENANTS)
    push_pull = runs.law(SINGLE_MEMBER_RUN, "a push-pull", "members", tenants=REPORTED_TENANTS)
    push_pull_bytes = runs.law(
        SINGLE_MEMBER_RUN, "bytes of a push-pull", "members", tenants=MAX_SHARED_TENANTS
    )
    return (
        Requirement(
            "time",
            "a round of use holds the loop, ten tenants",
            "ms",
            lambda t: usage_round(t.nodes),
            BUDGETS["standstill"],
            Mechanism.TENANT_SHARES,
            (usage_round,),
            is_law_value=True,
        ),
        Requirement(
            "time",
            "a whole exchange holds the loop, ten tenants",
            "ms",
            lambda t: push_pull(t.nodes),
            BUDGETS["standstill"],
            Mechanism.MEMBERSHIP_CELLS,
            (push_pull,),
            is_law_value=True,
        ),
        Requirement(
            "limit",
            "bytes of a whole exchange, 64 tenants",
            "bytes",
            lambda t: push_pull_bytes(t.nodes),
            code_limit(MAX_SYNC_BYTES, "bytes", "badgercart.cluster.codec.MAX_SYNC_BYTES"),
            Mechanism.TENANT_SHARES,
            (push_pull_bytes,),
        ),
    )


def usage_requirements(runs: Runs) -> tuple[Requirement, ...]:
    """Return the cost of the usage counters of all nodes and tenants."""
    if not any(name in runs.runs for name in PEER_RUNS):
        return ()
    without_reports = runs.law(runs.first_available(PEER_RUNS), "memory", "nodes", "one", tenants=0)
    with_reports = runs.law(
        runs.first_available(PEER_RUNS), "memory", "nodes", "one", tenants=REPORTED_TENANTS
    )

    def counters_mb(t: Target) -> float:
        counter_bytes = (
            max(0.0, with_reports(t.nodes) - without_reports(t.nodes)) / REPORTED_TENANTS
        )
        return t.nodes * t.tenants * counter_bytes / 1e6

    return (
        Requirement(
            "memory",
            "a counter for each node and tenant, were none left out",
            "MB",
            counters_mb,
            BUDGETS["memory"],
            Mechanism.TENANT_SHARES,
            (with_reports, without_reports),
        ),
    )


def list_service_requirements(runs: Runs) -> tuple[Requirement, ...]:
    """Return the costs of one list service that serves real node processes."""
    if "processes" not in runs.runs:
        return ()
    numbered_changes, measured_changes_per_s = Mechanism.NUMBERED_CHANGES, 1 / CHANGE_INTERVAL_S
    last_node = runs.law("processes", "told to the last", "processes")
    service = runs.law("processes", "service, changes", "processes")
    return (
        Requirement(
            "time",
            "a changed line is told to the last node, by one service",
            "s",
            lambda t: last_node(t.nodes) / 1000,
            BUDGETS["in force"],
            numbered_changes,
            (last_node,),
            is_law_value=True,
            note="100 nodes on two cores: what they wait for these is in it",
        ),
        Requirement(
            "processor",
            "changed lines to all nodes, the mean of a day, by one service",
            "cores",
            lambda t: service(t.nodes) / 1000 * t.list_changes_per_s / measured_changes_per_s,
            BUDGETS["one core"],
            numbered_changes,
            (service,),
            ("lines of a restart", "lines of a failure"),
        ),
    )
