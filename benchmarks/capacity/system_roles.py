"""The roles of this system: what fills each today, its costs, budgets and mechanisms. No I/O."""

from __future__ import annotations

from badgercart.cluster.membership_table import MAX_MEMBERS
from badgercart.cluster.quota_sharing import MAX_SHARED_TENANTS
from badgercart.discovery.etcd.follower import MAX_ENTRIES
from badgercart.discovery.list_framing import MAX_LIST_BYTES
from badgercart.reload.checks import MAX_CLASSES, MAX_TENANTS
from badgercart.zones.consensus_messages import COMMIT_TOPICS, VOTERS_PER_COMMIT
from badgercart.zones.consensus_state import LeaseSettings
from badgercart.zones.failover_controller import TICK_INTERVAL_MS
from benchmarks.capacity.laws import Runs, ScalingLaw
from benchmarks.capacity.requirements import (
    NODES_PER_SERVER,
    POLICY_RUNS,
    changed_line_law,
    config_requirements,
    decision_load,
    list_bytes_law,
    list_requirements,
    list_service_requirements,
    member_requirements,
    new_connection_share,
    report_interval_s,
    single_member_requirements,
    subset_size,
    usage_requirements,
)
from benchmarks.capacity.roles import Mechanism, Requirement, Role, code_limit, nonexistent
from benchmarks.capacity.target import ASSUMPTIONS, BUDGETS

# Time between two rounds of the zones' consensus.
CONSENSUS_ROUND_MS = LeaseSettings().renew_ms


def system_roles(runs: Runs) -> list[Role]:
    """Return all roles of the system as it is.

    Raises:
        MissingSeriesError: A run lacks a series that a role uses.
    """
    decision_by_servers = runs.law(
        runs.first_available(POLICY_RUNS),
        "decision",
        "servers",
        "99th",
        nodes_a_server=NODES_PER_SERVER,
    )
    decision_by_tenants = runs.law(runs.first_available(POLICY_RUNS), "decision", "tenants", "99th")
    median_decision = runs.law(runs.first_available(POLICY_RUNS), "decision", "tenants", "median")
    mean_decision = runs.law(runs.first_available(POLICY_RUNS), "decision", "tenants", "mean")
    changed_line, list_bytes = changed_line_law(runs), list_bytes_law(runs)
    cluster_view = runs.law(runs.first_available(POLICY_RUNS), "company", "tenants", "median")
    whole_list = runs.law(
        runs.first_available(POLICY_RUNS),
        "whole list",
        "servers",
        "first",
        nodes_a_server=NODES_PER_SERVER,
    )
    memory_by_servers = runs.law(runs.first_available(POLICY_RUNS), "memory", "servers")
    memory_by_tenants = runs.law(runs.first_available(POLICY_RUNS), "memory", "tenants")
    claims_bytes, votes_bytes = (
        runs.law("control", "claims kept", "nodes"),
        runs.law("control", "votes of a round", "nodes"),
    )
    commit_bytes = runs.law("control", "commit of a round", "nodes")
    evidence_check = runs.law("control", "look at the evidence", "nodes")
    vote_counting = runs.law("control", "votes counted", "nodes")
    save, idle_clients = (
        runs.law("control", "save holds the loop", "servers"),
        runs.law("control", "idle clients", "connections"),
    )
    numbered_changes, service_fleets, membership_cells, cell_consensus = (
        Mechanism.NUMBERED_CHANGES,
        Mechanism.SERVICE_FLEETS,
        Mechanism.MEMBERSHIP_CELLS,
        Mechanism.CELL_CONSENSUS,
    )
    tenant_shares, statistics_slices = Mechanism.TENANT_SHARES, Mechanism.STATISTICS_SLICES
    list_change_assumptions = ("lines of a restart", "lines of a failure")
    members = code_limit(MAX_MEMBERS, "members", "badgercart.cluster.membership_table.MAX_MEMBERS")

    return [
        Role(
            "what decides a request",
            "each node's policy knows all servers, tenants and classes; one fleet",
            "a line and what was learned for each server, a counter for each tenant",
            (
                Requirement(
                    "processor",
                    "a decision, 99 in 100, over all servers",
                    "µs",
                    lambda t: decision_by_servers(t.servers),
                    BUDGETS["decision"],
                    numbered_changes,
                    (decision_by_servers,),
                    is_law_value=True,
                ),
                Requirement(
                    "processor",
                    "a decision, 99 in 100, over all tenants",
                    "µs",
                    lambda t: decision_by_tenants(t.tenants),
                    BUDGETS["decision"],
                    numbered_changes,
                    (decision_by_tenants,),
                    is_law_value=True,
                ),
                Requirement(
                    "processor",
                    "all decisions of a mean node, over all tenants",
                    "of a core",
                    lambda t: decision_load(
                        t.requests_per_node_s, median_decision(t.tenants), mean_decision(t.tenants)
                    ),
                    BUDGETS["decisions"],
                    numbered_changes,
                    (median_decision, mean_decision),
                ),
                Requirement(
                    "processor",
                    "changed lines of all servers",
                    "of a core",
                    lambda t: t.list_changes_per_s * changed_line(t.servers) / 1e6,
                    BUDGETS["core"],
                    numbered_changes,
                    (changed_line,),
                    list_change_assumptions,
                ),
                Requirement(
                    "time",
                    "a changed line holds the loop",
                    "ms",
                    lambda t: changed_line(t.servers) / 1000,
                    BUDGETS["standstill"],
                    numbered_changes,
                    (changed_line,),
                    is_law_value=True,
                ),
                Requirement(
                    "time",
                    "a whole list holds the loop",
                    "ms",
                    lambda t: whole_list(t.servers) / 1000,
                    BUDGETS["long standstill"],
                    numbered_changes,
                    (whole_list,),
                    is_law_value=True,
                ),
                Requirement(
                    "memory",
                    "servers",
                    "MB",
                    lambda t: memory_by_servers(t.servers) / 1e6,
                    BUDGETS["memory"],
                    numbered_changes,
                    (memory_by_servers,),
                    is_law_value=True,
                ),
                Requirement(
                    "memory",
                    "tenants",
                    "MB",
                    lambda t: memory_by_tenants(t.tenants) / 1e6,
                    BUDGETS["memory"],
                    numbered_changes,
                    (memory_by_tenants,),
                    is_law_value=True,
                ),
                Requirement(
                    "limit",
                    "services that a node tells apart",
                    "services",
                    lambda t: t.services,
                    code_limit(
                        1, "service", "badgercart.policy.policy.Policy: one list of servers"
                    ),
                    service_fleets,
                ),
                Requirement(
                    "limit",
                    "routes, where each is a class",
                    "routes",
                    lambda t: t.routes,
                    code_limit(MAX_CLASSES, "classes", "badgercart.reload.checks.MAX_CLASSES"),
                    service_fleets,
                ),
                Requirement(
                    "messages out",
                    "requests that open a connection, every node serves every service",
                    "of requests",
                    new_connection_share,
                    BUDGETS["new connections"],
                    service_fleets,
                    assumptions=("idle",),
                ),
                Requirement(
                    "state",
                    "connections to servers, every node serves every service",
                    "connections",
                    lambda t: t.services * subset_size(t),
                    BUDGETS["connections"],
                    service_fleets,
                ),
                Requirement(
                    "memory",
                    "an idle connection of a client",
                    "KB",
                    lambda t: idle_clients(1200) / 1200 / 1000,
                    BUDGETS["connection"],
                    Mechanism.EXISTING,
                    (idle_clients,),
                    is_law_value=True,
                    note="by the process's memory; the kernel's buffers are not in it",
                ),
            ),
            (numbered_changes, service_fleets),
        ),
        Role(
            "what follows the list",
            "a watch of each node's own, of all servers",
            "all lines; the version of the last",
            (
                Requirement(
                    "messages in",
                    "changed lines, the mean of a day",
                    "B/s",
                    lambda t: t.list_changes_per_s * list_bytes(t.servers) / t.servers,
                    BUDGETS["bytes"],
                    numbered_changes,
                    (list_bytes,),
                    list_change_assumptions,
                ),
                Requirement(
                    "messages in",
                    "the whole list at a start, at 17 KB a second",
                    "s",
                    lambda t: list_bytes(t.servers) / BUDGETS["bytes"].value,
                    BUDGETS["ready"],
                    numbered_changes,
                    (list_bytes,),
                ),
                Requirement(
                    "limit",
                    "bytes of a whole list",
                    "bytes",
                    lambda t: list_bytes(t.servers),
                    code_limit(
                        MAX_LIST_BYTES, "bytes", "badgercart.discovery.list_framing.MAX_LIST_BYTES"
                    ),
                    numbered_changes,
                    (list_bytes,),
                ),
                Requirement(
                    "limit",
                    "entries, where etcd tells them",
                    "entries",
                    lambda t: t.servers,
                    code_limit(
                        MAX_ENTRIES, "entries", "badgercart.discovery.etcd.follower.MAX_ENTRIES"
                    ),
                    numbered_changes,
                ),
                *list_requirements(runs),
            ),
            (numbered_changes,),
        ),
        Role(
            "what follows the configuration",
            "a file on each node and SIGHUP: somebody else has to bring the file",
            "all classes and tenants; the file whole",
            (
                Requirement(
                    "time",
                    "a change is in force everywhere",
                    "s",
                    nonexistent,
                    BUDGETS["in force"],
                    numbered_changes,
                ),
                Requirement(
                    "limit",
                    "tenants that a reload takes",
                    "tenants",
                    lambda t: t.tenants,
                    code_limit(MAX_TENANTS, "tenants", "badgercart.reload.checks.MAX_TENANTS"),
                    numbered_changes,
                ),
                *config_requirements(runs),
            ),
            (numbered_changes,),
        ),
        Role(
            "a member among peers",
            "one flat group: SWIM with Lifeguard, reports of all to all",
            "a belief for each node, posts of each",
            (
                Requirement(
                    "limit", "members", "members", lambda t: t.nodes, members, membership_cells
                ),
                Requirement(
                    "time",
                    "between two reports of a member",
                    "s",
                    lambda t: report_interval_s(t.nodes),
                    BUDGETS["report"],
                    membership_cells,
                    note="worked out by `Member.every`",
                ),
                *member_requirements(runs),
                *single_member_requirements(runs),
            ),
            (membership_cells, tenant_shares),
        ),
        Role(
            "tenants' shares",
            "each node's use of each tenant in gossip, to all; "
            "what is not heard of gets an even part",
            "nodes x tenants counters at each node",
            (
                Requirement(
                    "limit",
                    "tenants in a report",
                    "tenants",
                    lambda t: t.tenants,
                    code_limit(
                        MAX_SHARED_TENANTS,
                        "tenants",
                        "badgercart.cluster.quota_sharing.MAX_SHARED_TENANTS",
                    ),
                    tenant_shares,
                ),
                Requirement(
                    "time",
                    "for which one request of a mean tenant uses up a node's even part",
                    "s",
                    lambda t: t.nodes * t.tenants / t.requests_per_s,
                    code_limit(
                        1, "s", "badgercart.policy.policy.Policy.on_request: a bucket 1 s deep"
                    ),
                    tenant_shares,
                ),
                Requirement(
                    "time",
                    "between two reports of use",
                    "s",
                    lambda t: report_interval_s(t.nodes),
                    BUDGETS["report"],
                    tenant_shares,
                    note="worked out by `Member.every`",
                ),
                Requirement(
                    "time",
                    "a node's parts of all tenants hold the loop as they change",
                    "ms",
                    lambda t: cluster_view(t.tenants) / 1000,
                    BUDGETS["standstill"],
                    tenant_shares,
                    (cluster_view,),
                    is_law_value=True,
                ),
                *usage_requirements(runs),
            ),
            (tenant_shares, numbered_changes),
        ),
        Role(
            "a cold server's budget",
            "each node its part by how many nodes there are, as peers or the file say",
            "the start of each server that is cold",
            (
                Requirement(
                    "limit",
                    "nodes that share a budget and know of each other",
                    "nodes",
                    lambda t: t.nodes,
                    members,
                    membership_cells,
                ),
            ),
            (numbered_changes, membership_cells),
        ),
        Role(
            "the zones' plan and council",
            "each node's evidence to all, votes to one proposer, a commit that names the voters",
            "a claim of each node; the plan",
            (
                Requirement(
                    "time",
                    "between two claims of a node",
                    "s",
                    lambda t: report_interval_s(t.nodes),
                    BUDGETS["evidence"],
                    cell_consensus,
                    note="worked out by `Member.every`",
                ),
                Requirement(
                    "processor",
                    "looks at all claims, ten a second",
                    "of a core",
                    lambda t: evidence_check(t.nodes) / TICK_INTERVAL_MS,
                    BUDGETS["core"],
                    cell_consensus,
                    (evidence_check,),
                ),
                Requirement(
                    "messages in",
                    "votes of a round, at the proposer",
                    "B/s",
                    lambda t: votes_bytes(t.nodes) * 1000 / CONSENSUS_ROUND_MS,
                    BUDGETS["bytes"],
                    cell_consensus,
                    (votes_bytes,),
                ),
                Requirement(
                    "processor",
                    "votes of a round, at the proposer",
                    "of a core",
                    lambda t: vote_counting(t.nodes) / CONSENSUS_ROUND_MS,
                    BUDGETS["core"],
                    cell_consensus,
                    (vote_counting,),
                ),
                Requirement(
                    "messages in",
                    "the commit of a round, at each node",
                    "B/s",
                    lambda t: commit_bytes(t.nodes) * 1000 / CONSENSUS_ROUND_MS,
                    BUDGETS["bytes"],
                    cell_consensus,
                    (commit_bytes,),
                ),
                Requirement(
                    "limit",
                    "voters that a commit names: more than half of the nodes",
                    "nodes",
                    lambda t: t.nodes / 2,
                    code_limit(
                        VOTERS_PER_COMMIT * len(COMMIT_TOPICS),
                        "voters",
                        "badgercart.zones.consensus_messages.COMMIT_TOPICS",
                    ),
                    cell_consensus,
                ),
                Requirement(
                    "memory",
                    "claims",
                    "MB",
                    lambda t: claims_bytes(t.nodes) / 1e6,
                    BUDGETS["memory"],
                    cell_consensus,
                    (claims_bytes,),
                    is_law_value=True,
                ),
            ),
            (cell_consensus, membership_cells, numbered_changes),
        ),
        Role(
            "health and what is learned",
            "each node learns alone; reports of failing servers in gossip; "
            "a snapshot of all servers",
            "what was learned of each server that the node sends to",
            (
                Requirement(
                    "time",
                    "between two reports of failing servers",
                    "s",
                    lambda t: report_interval_s(t.nodes),
                    BUDGETS["report"],
                    membership_cells,
                    note="worked out by `Member.every`",
                ),
                Requirement(
                    "time",
                    "between two requests from one node to one server",
                    "s",
                    lambda t: t.services * subset_size(t) / t.requests_per_node_s,
                    BUDGETS["view"],
                    service_fleets,
                    note="what a node learns alone comes no sooner",
                ),
                Requirement(
                    "time",
                    "a save holds the loop",
                    "ms",
                    lambda t: save(t.servers),
                    BUDGETS["save"],
                    statistics_slices,
                    (save,),
                    is_law_value=True,
                ),
            ),
            (membership_cells, service_fleets, statistics_slices),
        ),
        Role(
            "the service that tells lists",
            "one service; every node asks it for everything",
            "all lines and the changes since",
            (
                Requirement(
                    "messages out",
                    "changed lines to all nodes, the mean of a day",
                    "B/s",
                    lambda t: t.nodes * t.list_changes_per_s * list_bytes(t.servers) / t.servers,
                    BUDGETS["wire"],
                    numbered_changes,
                    (list_bytes,),
                    list_change_assumptions,
                ),
                Requirement(
                    "messages out",
                    "the whole list to all nodes, by one machine's network",
                    "s",
                    lambda t: t.nodes * list_bytes(t.servers) / ASSUMPTIONS["network"].value,
                    BUDGETS["lists out"],
                    numbered_changes,
                    (list_bytes,),
                    ("network",),
                ),
                *list_service_requirements(runs),
            ),
            (numbered_changes,),
        ),
        Role(
            "the 40 machines",
            "nothing that could run on them",
            "the truth: settings, routes, tenants and lists; who has been told what",
            (
                Requirement(
                    "state",
                    "a program to run there",
                    "",
                    nonexistent,
                    BUDGETS["in force"],
                    numbered_changes,
                ),
            ),
            (numbered_changes,),
        ),
    ]


def distribution_roles(runs: Runs) -> list[Role]:
    """Return the roles that the distribution of numbered changes fills, from its measured costs.

    The result is empty where the distribution was not run.
    """
    if "distribution" not in runs.runs:
        return []

    def law(name: str) -> ScalingLaw:
        return runs.law(
            "distribution",
            name,
            "nodes",
            None,
            **{"services followed": ASSUMPTIONS["served"].value},
        )

    last_node, node_bytes = (
        law("a change in force at the last node"),
        law("bytes at the target's rate of changes"),
    )
    node_processor = law("processor at the target's rate of changes")
    leader_bytes, leader_processor = law("bytes of a leader"), law("processor of a leader")
    store_bytes, store_processor = (
        law("bytes of the busiest other store"),
        law("processor of the busiest other store"),
    )
    list_bytes, assumptions = list_bytes_law(runs), ("served",)
    existing = Mechanism.EXISTING
    return [
        Role(
            "what follows the list",
            "numbered changes, told to each node for what it serves",
            "the entries of the topics that the node follows, their numbers",
            (
                Requirement(
                    "time",
                    "a change is in force at the last node",
                    "s",
                    lambda t: last_node(t.nodes) / 1000,
                    BUDGETS["in force"],
                    existing,
                    (last_node,),
                    assumptions,
                    is_law_value=True,
                ),
                Requirement(
                    "messages in",
                    "at the target's rate of changes",
                    "B/s",
                    lambda t: node_bytes(t.nodes),
                    BUDGETS["bytes"],
                    existing,
                    (node_bytes,),
                    assumptions,
                    is_law_value=True,
                ),
                Requirement(
                    "processor",
                    "at the target's rate of changes",
                    "of a core",
                    lambda t: node_processor(t.nodes) / 1000,
                    BUDGETS["core"],
                    existing,
                    (node_processor,),
                    assumptions,
                    is_law_value=True,
                ),
                Requirement(
                    "messages in",
                    "all that it serves at a start, at 17 KB a second",
                    "s",
                    lambda t: list_bytes(ASSUMPTIONS["served"].value * t.servers_per_service)
                    / BUDGETS["bytes"].value,
                    BUDGETS["ready"],
                    existing,
                    (list_bytes,),
                    assumptions,
                ),
            ),
            (),
        ),
        Role(
            "the 40 machines",
            "stores: a leader with voters, and others that tell nodes",
            "all topics and the changes since",
            (
                Requirement(
                    "messages out",
                    "of the leader",
                    "B/s",
                    lambda t: leader_bytes(t.nodes),
                    BUDGETS["wire"],
                    existing,
                    (leader_bytes,),
                    assumptions,
                    is_law_value=True,
                ),
                Requirement(
                    "processor",
                    "of the leader",
                    "cores",
                    lambda t: leader_processor(t.nodes) / 1000,
                    BUDGETS["one core"],
                    existing,
                    (leader_processor,),
                    assumptions,
                    is_law_value=True,
                ),
                Requirement(
                    "messages out",
                    "of the busiest other",
                    "B/s",
                    lambda t: store_bytes(t.nodes),
                    BUDGETS["wire"],
                    existing,
                    (store_bytes,),
                    assumptions,
                    is_law_value=True,
                ),
                Requirement(
                    "processor",
                    "of the busiest other",
                    "cores",
                    lambda t: store_processor(t.nodes) / 1000,
                    BUDGETS["one core"],
                    existing,
                    (store_processor,),
                    assumptions,
                    is_law_value=True,
                ),
            ),
            (),
        ),
    ]
