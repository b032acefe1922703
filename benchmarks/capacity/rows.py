"""The roles of the system: what each costs at a size, its budget, and what carries it. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from badgercart.app.document import MAX_FILE_BYTES
from badgercart.cluster.broadcast_queue import transmit_limit
from badgercart.cluster.codec import MAX_SYNC_BYTES
from badgercart.cluster.member import MAX_FORWARDED_REPORTS
from badgercart.cluster.membership_table import MAX_MEMBERS
from badgercart.cluster.quota_sharing import MAX_SHARED_TENANTS as MOST_SHARED
from badgercart.discovery.etcd.follower import MAX_ENTRIES
from badgercart.discovery.list_framing import MAX_LIST_BYTES
from badgercart.policy.subset import MIN_SUBSET_SIZE, NODES_PER_GROUP
from badgercart.reload.checks import MAX_CLASSES, MAX_TENANTS
from badgercart.zones.consensus_messages import COMMIT_TOPICS, VOTERS_PER_COMMIT
from badgercart.zones.consensus_state import LeaseSettings
from badgercart.zones.failover_controller import TICK_INTERVAL_MS
from benchmarks.capacity.laws import Law, Runs, break_share
from benchmarks.capacity.target import ASSUMED, BUDGETS, TARGET, Budget, Target

RENEW_MS = LeaseSettings().renew_ms  # between two rounds of the zones' consensus

REPORTED = 10  # tenants in the reports of `benchmarks.scale.peers`
APART = 0.5  # s between changes in `benchmarks.scale.processes`
A_SERVER = TARGET.nodes / TARGET.servers  # nodes that there are for each server
POLICY = ("policy", "policy-before")  # runs, the one that counts first
PEERS = ("peers", "peers-first")
VIEWS = ("peers", "peers-large", "peers-first")  # groups without reports of use
ALONE = "peers-by-itself"  # one member, up to as many others as it takes
SHARE_MS = 500.0  # between two reports in a small group: `PeersSettings.share_ms`


class Tag(StrEnum):
    """Where a figure comes from, the weakest of all that it rests on."""

    LIMIT = "limit"  # a bound that stands in the code
    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"  # read off a slope, beyond what was run
    MODELLED = "modelled"  # worked out from measured figures by a formula
    GUESSED = "guessed"  # an assumption enters
    NOTHING = "nothing"  # there is nothing that could be measured


class Mechanism(StrEnum):
    """What would carry what nothing carries today."""

    TOLD = "numbered changes, told to each node for what it serves"
    FLEETS = "a fleet for each service, with deterministic subsets"
    SHARES = "tenants' shares kept where the tenant is hashed to"
    CELLS = "membership in cells"
    COUNCIL = "evidence and votes gathered by cell"
    LEARNED = "what was learned kept for what a node serves, and written in slices"
    STANDS = "what stands today"


MISSING = [mechanism for mechanism in Mechanism if mechanism is not Mechanism.STANDS]


@dataclass(slots=True, frozen=True)
class Need:
    """One cost of a role."""

    kind: str  # state, messages in, messages out, processor, memory, time, limit
    what: str
    unit: str
    cost: Callable[[Target], float]
    budget: Budget
    mechanism: Mechanism
    laws: tuple[Law, ...] = ()
    assumed: tuple[str, ...] = ()  # names in `ASSUMED`
    plain: bool = False  # a law's own value, with no formula
    note: str = ""
    share: float = field(init=False)  # of the target at which the budget breaks

    @property
    def at_target(self) -> float:
        return self.cost(TARGET)

    def __post_init__(self) -> None:
        share = break_share(lambda share: self.cost(TARGET.at(share)), self.budget.value)
        object.__setattr__(self, "share", share)

    @property
    def tag(self) -> Tag:
        if math.isinf(self.at_target):
            return Tag.NOTHING
        if self.assumed:
            return Tag.GUESSED
        if self.laws:
            if not self.plain:
                return Tag.MODELLED
            return Tag.MEASURED if all(law.left == 1 for law in self.laws) else Tag.EXTRAPOLATED
        return Tag.LIMIT if self.budget.why.startswith("limit in the code") else Tag.MODELLED


@dataclass(slots=True, frozen=True)
class Role:
    """A row of the page."""

    name: str
    today: str  # what does it now
    state: str
    needs: tuple[Need, ...]
    rests: tuple[Mechanism, ...]  # missing mechanisms without which the row can't be carried

    @property
    def first(self) -> Need:
        """The need that breaks at the smallest share."""
        return min(self.needs, key=lambda need: need.share)


def limit(value: float, unit: str, where: str) -> Budget:
    return Budget(value, unit, f"limit in the code: `{where}`")


def nothing(_: Target) -> float:
    """The cost of what does not exist: over any budget at any size."""
    return math.inf


def reports_every(nodes: float) -> float:
    """s between two reports of a member, by `Member.every`."""
    return (
        SHARE_MS / 1000 * max(1.0, nodes * transmit_limit(math.ceil(nodes)) / MAX_FORWARDED_REPORTS)
    )


def subset(t: Target) -> float:
    """Servers of one service that a node sends to, by `Policy.measure_fleet` where traffic is
    thin."""
    return t.service_servers / max(
        1, min(t.nodes // NODES_PER_GROUP, t.service_servers // MIN_SUBSET_SIZE)
    )


def opened(t: Target) -> float:
    """The part of requests that meet no open connection, where each node serves every service."""
    rate = t.node_requests / (t.services * subset(t))  # a second, from one node to one server
    return math.exp(-ASSUMED["idle"].value * rate)


def busy(requests: float, usual: float, mean: float) -> float:
    """Of a core, for so many requests a second, by the median and the mean of decisions 1 ms apart
    (µs).

    What lifts the mean over the median is done by the clock, whatever comes: each second of the run
    of 1,000 decisions had all of it."""
    return (requests * usual + 1000 * max(0.0, mean - usual)) / 1e6


def line_bytes(runs: Runs) -> Law:
    """Bytes of a list of so many lines, as the catalog words it."""
    return runs.law("lists", "whole list", "servers", "one")


def changed_line(runs: Runs) -> Law:
    """µs of a changed line in the policy, nodes growing with the servers."""
    return runs.law(runs.first(POLICY), "changed line", "servers", "mean", nodes_a_server=A_SERVER)


def list_needs(runs: Runs) -> tuple[Need, ...]:
    """What the reader and the roster take; nothing where they were not run."""
    if "lists" not in runs.runs:
        return ()
    TOLD = Mechanism.TOLD
    line, whole = (
        runs.law("lists", what, "servers", "median") for what in ("changed line", "whole list")
    )
    peak = runs.law("lists", "memory, peak of taking a list", "servers")
    return (
        Need("processor", "changed lines read and taken, the mean of a day", "of a core",
             lambda t: t.lines * line(t.servers) / 1e6, BUDGETS["core"], TOLD, (line,),
             ("lines of a restart", "lines of a failure")),
        Need("time", "the whole list read and taken holds the loop", "ms", lambda t: whole(t.servers) / 1000,
             BUDGETS["long standstill"], TOLD, (whole,), plain=True),
        Need("memory", "the peak as a whole list is taken", "MB", lambda t: peak(t.servers) / 1e6,
             BUDGETS["memory"], TOLD, (peak,), plain=True),
    )  # fmt: skip


RELOAD = ("reload: read and check", "reload: renumber", "reload: policy")


def reload(runs: Runs, over: str) -> tuple[Law, ...]:
    """The steps of a reload, each in µs."""
    return tuple(runs.law("configuration", step, over) for step in RELOAD)


def config_needs(runs: Runs) -> tuple[Need, ...]:
    """What a reload takes; nothing where it was not run."""
    if "configuration" not in runs.runs:
        return ()
    TOLD = Mechanism.TOLD
    tenants, classes = reload(runs, "tenants"), reload(runs, "classes")
    file = runs.law("configuration", "platform's file", "tenants")
    theirs = runs.law("configuration", "operator's file", "tenants")
    peak = runs.law("configuration", "memory, peak of reading", "tenants")

    def sum_of(steps: Sequence[Law], size: float) -> float:
        return sum(step(size) for step in steps) / 1e6

    return (
        Need("processor", "the whole file read for each change, all tenants", "of a core",
             lambda t: t.config_changes * sum_of(tenants, t.tenants), BUDGETS["core"], TOLD, tenants),
        Need("time", "a reload holds the loop, all tenants", "ms", lambda t: 1000 * sum_of(tenants,
                                                                                           t.tenants),
             BUDGETS["long standstill"], TOLD, tenants),
        Need("time", "a reload holds the loop, a class for each route", "ms",
             lambda t: 1000 * sum_of(classes, t.routes), BUDGETS["long standstill"], TOLD, classes),
        Need("messages in", "the whole file for each change, the mean of a day", "B/s",
             lambda t: t.config_changes * file(t.tenants), BUDGETS["bytes"], TOLD, (file,)),
        Need("limit", "bytes of an operator's file, all tenants", "bytes", lambda t: theirs(t.tenants),
             limit(MAX_FILE_BYTES, "bytes", "badgercart.app.document.MAX_FILE_BYTES"),
             TOLD, (theirs,)),
        Need("memory", "the peak as a file is read, all tenants", "MB", lambda t: peak(t.tenants) / 1e6,
             BUDGETS["memory"], TOLD, (peak,), plain=True),
    )  # fmt: skip


def member_needs(runs: Runs) -> tuple[Need, ...]:
    """What hollow nodes showed; nothing where they were not run."""
    if not any(name in runs.runs for name in PEERS):
        return ()
    CELLS, use = Mechanism.CELLS, REPORTED
    came, out = (
        runs.law(runs.first(PEERS), f"bytes {way}", "nodes", "median", tenants=use)
        for way in ("in", "out")
    )
    most = runs.law(runs.first(PEERS), "bytes worst", "nodes", "median", tenants=use)
    processor = runs.law(runs.first(PEERS), "processor", "nodes", "median", tenants=use)
    memory = runs.law(runs.first(PEERS), "memory", "nodes", "one", tenants=0)
    view = runs.law(runs.first(VIEWS), "one view", "nodes", "worst", tenants=0)
    death = runs.law(runs.first(VIEWS), "one view after a death", "nodes", "worst", tenants=0)
    return (
        Need("messages in and out", "with reports of use of ten tenants", "B/s",
             lambda t: came(t.nodes) + out(t.nodes), BUDGETS["bytes"], CELLS, (came, out)),
        Need("messages in and out", "the same, of the node that bears most", "B/s", lambda t: most(t.nodes),
             BUDGETS["bytes"], CELLS, (most,), plain=True),
        Need("processor", "with reports of use of ten tenants", "of a core",
             lambda t: processor(t.nodes) / 1000, BUDGETS["core"], CELLS, (processor,), plain=True),
        Need("memory", "the other members", "MB", lambda t: t.nodes * memory(t.nodes) / 1e6,
             BUDGETS["memory"], CELLS, (memory,)),
        Need("time", "from a start of all to one view", "s", lambda t: view(t.nodes), BUDGETS["view"], CELLS,
             (view,), plain=True),
        Need("time", "from a death to one view", "s", lambda t: death(t.nodes), BUDGETS["death"], CELLS,
             (death,), plain=True),
    )  # fmt: skip


def alone_needs(runs: Runs) -> tuple[Need, ...]:
    """What one member's long steps take; nothing where they were not run."""
    if ALONE not in runs.runs:
        return ()
    use = runs.law(ALONE, "a round of use", "members", tenants=REPORTED)
    exchange = runs.law(ALONE, "a push-pull", "members", tenants=REPORTED)
    size = runs.law(ALONE, "bytes of a push-pull", "members", tenants=MOST_SHARED)
    return (
        Need("time", "a round of use holds the loop, ten tenants", "ms", lambda t: use(t.nodes),
             BUDGETS["standstill"], Mechanism.SHARES, (use,), plain=True),
        Need("time", "a whole exchange holds the loop, ten tenants", "ms", lambda t: exchange(t.nodes),
             BUDGETS["standstill"], Mechanism.CELLS, (exchange,), plain=True),
        Need("limit", "bytes of a whole exchange, 64 tenants", "bytes", lambda t: size(t.nodes),
             limit(MAX_SYNC_BYTES, "bytes", "badgercart.cluster.codec.MAX_SYNC_BYTES"),
             Mechanism.SHARES, (size,)),
    )  # fmt: skip


def use_needs(runs: Runs) -> tuple[Need, ...]:
    """What the counters of use take; nothing where it was not run."""
    if not any(name in runs.runs for name in PEERS):
        return ()
    without = runs.law(runs.first(PEERS), "memory", "nodes", "one", tenants=0)
    with_use = runs.law(runs.first(PEERS), "memory", "nodes", "one", tenants=REPORTED)

    def kept(t: Target) -> float:
        counter = max(0.0, with_use(t.nodes) - without(t.nodes)) / REPORTED
        return t.nodes * t.tenants * counter / 1e6

    return (
        Need("memory", "a counter for each node and tenant, were none left out", "MB", kept,
             BUDGETS["memory"],
             Mechanism.SHARES, (with_use, without)),
    )  # fmt: skip


def service_needs(runs: Runs) -> tuple[Need, ...]:
    """What real processes and one list service showed; nothing where they were not run."""
    if "processes" not in runs.runs:
        return ()
    TOLD, changes = Mechanism.TOLD, 1 / APART  # a second, while these were measured
    last = runs.law("processes", "told to the last", "processes")
    service = runs.law("processes", "service, changes", "processes")
    return (
        Need("time", "a changed line is told to the last node, by one service", "s",
             lambda t: last(t.nodes) / 1000, BUDGETS["in force"], TOLD, (last,), plain=True,
             note="100 nodes on two cores: what they wait for these is in it"),
        Need("processor", "changed lines to all nodes, the mean of a day, by one service", "cores",
             lambda t: service(t.nodes) / 1000 * t.lines / changes, BUDGETS["one core"], TOLD, (service,),
             ("lines of a restart", "lines of a failure")),
    )  # fmt: skip


def roles(runs: Runs) -> list[Role]:
    """All rows. Raises MissingSeries where a run lacks what one wants."""
    decision = runs.law(runs.first(POLICY), "decision", "servers", "99th", nodes_a_server=A_SERVER)
    by_tenants = runs.law(runs.first(POLICY), "decision", "tenants", "99th")
    usual = runs.law(runs.first(POLICY), "decision", "tenants", "median")
    mean = runs.law(runs.first(POLICY), "decision", "tenants", "mean")
    line, size = changed_line(runs), line_bytes(runs)
    parts = runs.law(runs.first(POLICY), "company", "tenants", "median")
    whole = runs.law(runs.first(POLICY), "whole list", "servers", "first", nodes_a_server=A_SERVER)
    kept = runs.law(runs.first(POLICY), "memory", "servers")
    kept_tenants = runs.law(runs.first(POLICY), "memory", "tenants")
    claims, votes = (
        runs.law("control", "claims kept", "nodes"),
        runs.law("control", "votes of a round", "nodes"),
    )
    commit = runs.law("control", "commit of a round", "nodes")
    look = runs.law("control", "look at the evidence", "nodes")
    counted = runs.law("control", "votes counted", "nodes")
    saves, idle = (
        runs.law("control", "save holds the loop", "servers"),
        runs.law("control", "idle clients", "connections"),
    )
    TOLD, FLEETS, CELLS, COUNCIL = (
        Mechanism.TOLD,
        Mechanism.FLEETS,
        Mechanism.CELLS,
        Mechanism.COUNCIL,
    )
    SHARES, LEARNED = Mechanism.SHARES, Mechanism.LEARNED
    told = ("lines of a restart", "lines of a failure")
    members = limit(MAX_MEMBERS, "members", "badgercart.cluster.membership_table.MAX_MEMBERS")

    return [
        Role(
            "what decides a request",
            "each node's policy knows all servers, tenants and classes; one fleet",
            "a line and what was learned for each server, a counter for each tenant",
            (
                Need("processor", "a decision, 99 in 100, over all servers", "µs",
                     lambda t: decision(t.servers),
                     BUDGETS["decision"], TOLD, (decision,), plain=True),
                Need("processor", "a decision, 99 in 100, over all tenants", "µs",
                     lambda t: by_tenants(t.tenants), BUDGETS["decision"], TOLD, (by_tenants,), plain=True),
                Need("processor", "all decisions of a mean node, over all tenants", "of a core",
                     lambda t: busy(t.node_requests, usual(t.tenants), mean(t.tenants)),
                     BUDGETS["decisions"], TOLD,
                     (usual, mean)),
                Need("processor", "changed lines of all servers", "of a core",
                     lambda t: t.lines * line(t.servers) / 1e6, BUDGETS["core"], TOLD, (line,), told),
                Need("time", "a changed line holds the loop", "ms", lambda t: line(t.servers) / 1000,
                     BUDGETS["standstill"], TOLD, (line,), plain=True),
                Need("time", "a whole list holds the loop", "ms", lambda t: whole(t.servers) / 1000,
                     BUDGETS["long standstill"], TOLD, (whole,), plain=True),
                Need("memory", "servers", "MB", lambda t: kept(t.servers) / 1e6, BUDGETS["memory"], TOLD,
                     (kept,), plain=True),
                Need("memory", "tenants", "MB", lambda t: kept_tenants(t.tenants) / 1e6, BUDGETS["memory"],
                     TOLD,
                     (kept_tenants,), plain=True),
                Need("limit", "services that a node tells apart", "services", lambda t: t.services,
                     limit(1, "service", "badgercart.policy.policy.Policy: one list of servers"), FLEETS),
                Need("limit", "routes, where each is a class", "routes", lambda t: t.routes,
                     limit(MAX_CLASSES, "classes", "badgercart.reload.checks.MAX_CLASSES"), FLEETS),
                Need("messages out", "requests that open a connection, every node serves every service",
                     "of requests", opened, BUDGETS["new connections"], FLEETS, assumed=("idle",)),
                Need("state", "connections to servers, every node serves every service", "connections",
                     lambda t: t.services * subset(t), BUDGETS["connections"], FLEETS),
                Need("memory", "an idle connection of a client", "KB", lambda t: idle(1200) / 1200 / 1000,
                     BUDGETS["connection"], Mechanism.STANDS, (idle,), plain=True,
                     note="by the process's memory; the kernel's buffers are not in it"),
            ),
            (TOLD, FLEETS),
        ),
        Role(
            "what follows the list",
            "a watch of each node's own, of all servers",
            "all lines; the version of the last",
            (
                Need("messages in", "changed lines, the mean of a day", "B/s",
                     lambda t: t.lines * size(t.servers) / t.servers, BUDGETS["bytes"], TOLD, (size,), told),
                Need("messages in", "the whole list at a start, at 17 KB a second", "s",
                     lambda t: size(t.servers) / BUDGETS["bytes"].value, BUDGETS["ready"], TOLD, (size,)),
                Need("limit", "bytes of a whole list", "bytes", lambda t: size(t.servers),
                     limit(MAX_LIST_BYTES, "bytes", "badgercart.discovery.list_framing.MAX_LIST_BYTES"), TOLD, (size,)),
                Need("limit", "entries, where etcd tells them", "entries", lambda t: t.servers,
                     limit(MAX_ENTRIES, "entries", "badgercart.discovery.etcd.follower.MAX_ENTRIES"), TOLD),
                *list_needs(runs),
            ),
            (TOLD,),
        ),
        Role(
            "what follows the configuration",
            "a file on each node and SIGHUP: somebody else has to bring the file",
            "all classes and tenants; the file whole",
            (
                Need("time", "a change is in force everywhere", "s", nothing, BUDGETS["in force"], TOLD),
                Need("limit", "tenants that a reload takes", "tenants", lambda t: t.tenants,
                     limit(MAX_TENANTS, "tenants", "badgercart.reload.checks.MAX_TENANTS"), TOLD),
                *config_needs(runs),
            ),
            (TOLD,),
        ),
        Role(
            "a member among peers",
            "one flat group: SWIM with Lifeguard, reports of all to all",
            "a belief for each node, posts of each",
            (
                Need("limit", "members", "members", lambda t: t.nodes, members, CELLS),
                Need("time", "between two reports of a member", "s", lambda t: reports_every(t.nodes),
                     BUDGETS["report"], CELLS, note="worked out by `Member.every`"),
                *member_needs(runs),
                *alone_needs(runs),
            ),
            (CELLS, SHARES),
        ),
        Role(
            "tenants' shares",
            "each node's use of each tenant in gossip, to all; what is not heard of gets an even part",
            "nodes x tenants counters at each node",
            (
                Need("limit", "tenants in a report", "tenants", lambda t: t.tenants,
                     limit(MOST_SHARED, "tenants",
                           "badgercart.cluster.quota_sharing.MAX_SHARED_TENANTS"), SHARES),
                Need("time", "for which one request of a mean tenant uses up a node's even part", "s",
                     lambda t: t.nodes * t.tenants / t.requests,
                     limit(1, "s", "badgercart.policy.policy.Policy.on_request: a bucket 1 s deep"), SHARES),
                Need("time", "between two reports of use", "s", lambda t: reports_every(t.nodes),
                     BUDGETS["report"], SHARES, note="worked out by `Member.every`"),
                Need("time", "a node's parts of all tenants hold the loop as they change", "ms",
                     lambda t: parts(t.tenants) / 1000, BUDGETS["standstill"], SHARES, (parts,), plain=True),
                *use_needs(runs),
            ),
            (SHARES, TOLD),
        ),
        Role(
            "a cold server's budget",
            "each node its part by how many nodes there are, as peers or the file say",
            "the start of each server that is cold",
            (
                Need("limit", "nodes that share a budget and know of each other", "nodes", lambda t: t.nodes,
                     members, CELLS),
            ),
            (TOLD, CELLS),
        ),
        Role(
            "the zones' plan and council",
            "each node's evidence to all, votes to one proposer, a commit that names the voters",
            "a claim of each node; the plan",
            (
                Need("time", "between two claims of a node", "s", lambda t: reports_every(t.nodes),
                     BUDGETS["evidence"], COUNCIL, note="worked out by `Member.every`"),
                Need("processor", "looks at all claims, ten a second", "of a core",
                     lambda t: look(t.nodes) / TICK_INTERVAL_MS, BUDGETS["core"], COUNCIL, (look,)),
                Need("messages in", "votes of a round, at the proposer", "B/s",
                     lambda t: votes(t.nodes) * 1000 / RENEW_MS, BUDGETS["bytes"],
                     COUNCIL, (votes,)),
                Need("processor", "votes of a round, at the proposer", "of a core",
                     lambda t: counted(t.nodes) / RENEW_MS, BUDGETS["core"],
                     COUNCIL, (counted,)),
                Need("messages in", "the commit of a round, at each node", "B/s",
                     lambda t: commit(t.nodes) * 1000 / RENEW_MS, BUDGETS["bytes"],
                     COUNCIL, (commit,)),
                Need("limit", "voters that a commit names: more than half of the nodes", "nodes",
                     lambda t: t.nodes / 2,
                     limit(
                         VOTERS_PER_COMMIT * len(COMMIT_TOPICS),
                         "voters",
                         "badgercart.zones.consensus_messages.COMMIT_TOPICS",
                     ),
                     COUNCIL),
                Need("memory", "claims", "MB", lambda t: claims(t.nodes) / 1e6, BUDGETS["memory"], COUNCIL,
                     (claims,), plain=True),
            ),
            (COUNCIL, CELLS, TOLD),
        ),
        Role(
            "health and what is learned",
            "each node learns alone; reports of failing servers in gossip; a snapshot of all servers",
            "what was learned of each server that the node sends to",
            (
                Need("time", "between two reports of failing servers", "s", lambda t: reports_every(t.nodes),
                     BUDGETS["report"], CELLS, note="worked out by `Member.every`"),
                Need("time", "between two requests from one node to one server", "s",
                     lambda t: t.services * subset(t) / t.node_requests, BUDGETS["view"], FLEETS,
                     note="what a node learns alone comes no sooner"),
                Need("time", "a save holds the loop", "ms", lambda t: saves(t.servers), BUDGETS["save"],
                     LEARNED,
                     (saves,), plain=True),
            ),
            (CELLS, FLEETS, LEARNED),
        ),
        Role(
            "the service that tells lists",
            "one service; every node asks it for everything",
            "all lines and the changes since",
            (
                Need("messages out", "changed lines to all nodes, the mean of a day", "B/s",
                     lambda t: t.nodes * t.lines * size(t.servers) / t.servers, BUDGETS["wire"], TOLD,
                     (size,), told),
                Need("messages out", "the whole list to all nodes, by one machine's network", "s",
                     lambda t: t.nodes * size(t.servers) / ASSUMED["network"].value, BUDGETS["lists out"],
                     TOLD,
                     (size,), ("network",)),
                *service_needs(runs),
            ),
            (TOLD,),
        ),
        Role(
            "the 40 machines",
            "nothing that could run on them",
            "the truth: settings, routes, tenants and lists; who has been told what",
            (Need("state", "a program to run there", "", nothing, BUDGETS["in force"], TOLD),),
            (TOLD,),
        ),
    ]  # fmt: skip


def told(runs: Runs) -> list[Role]:
    """The rows that numbered changes carry, worked out anew from what was built; none if it was not
    run."""
    if "distribution" not in runs.runs:
        return []

    def law(name: str) -> Law:
        return runs.law(
            "distribution", name, "nodes", None, **{"services followed": ASSUMED["served"].value}
        )

    force, came = (
        law("a change in force at the last node"),
        law("bytes at the target's rate of changes"),
    )
    busy_ = law("processor at the target's rate of changes")
    leader, leading = law("bytes of a leader"), law("processor of a leader")
    store, storing = (
        law("bytes of the busiest other store"),
        law("processor of the busiest other store"),
    )
    size, names = line_bytes(runs), ("served",)
    TOLD = Mechanism.STANDS
    return [
        Role(
            "what follows the list",
            "numbered changes, told to each node for what it serves",
            "the entries of the topics that the node follows, their numbers",
            (
                Need("time", "a change is in force at the last node", "s", lambda t: force(t.nodes) / 1000,
                     BUDGETS["in force"], TOLD, (force,), names, plain=True),
                Need("messages in", "at the target's rate of changes", "B/s", lambda t: came(t.nodes),
                     BUDGETS["bytes"], TOLD, (came,), names, plain=True),
                Need("processor", "at the target's rate of changes", "of a core",
                     lambda t: busy_(t.nodes) / 1000, BUDGETS["core"], TOLD, (busy_,), names, plain=True),
                Need("messages in", "all that it serves at a start, at 17 KB a second", "s",
                     lambda t: size(ASSUMED["served"].value * t.service_servers) / BUDGETS["bytes"].value,
                     BUDGETS["ready"], TOLD, (size,), names),
            ),
            (),
        ),
        Role(
            "the 40 machines",
            "stores: a leader with voters, and others that tell nodes",
            "all topics and the changes since",
            (
                Need("messages out", "of the leader", "B/s", lambda t: leader(t.nodes), BUDGETS["wire"], TOLD,
                     (leader,), names, plain=True),
                Need("processor", "of the leader", "cores", lambda t: leading(t.nodes) / 1000,
                     BUDGETS["one core"], TOLD, (leading,), names, plain=True),
                Need("messages out", "of the busiest other", "B/s", lambda t: store(t.nodes), BUDGETS["wire"],
                     TOLD, (store,), names, plain=True),
                Need("processor", "of the busiest other", "cores", lambda t: storing(t.nodes) / 1000,
                     BUDGETS["one core"], TOLD, (storing,), names, plain=True),
            ),
            (),
        ),
    ]  # fmt: skip


@dataclass(slots=True, frozen=True)
class Ranked:
    """A missing mechanism and how soon it is missed."""

    mechanism: Mechanism
    share: float
    need: Need
    role: Role
    rows: tuple[str, ...]  # that rest on it


def ranking(found: Sequence[Role]) -> list[Ranked]:
    """By the smallest share of a need that it carries; of equal ones, the one on which most rows
    rest."""
    ranked = []
    for mechanism in MISSING:
        needs = [(need.share, role.name, need, role) for role in found for need in role.needs]
        mine = [item for item in needs if item[2].mechanism is mechanism]
        rows = tuple(role.name for role in found if mechanism in role.rests)
        if mine:
            share, _, need, role = min(mine, key=lambda item: item[0])
            ranked.append(Ranked(mechanism, share, need, role, rows))
    return sorted(ranked, key=lambda one: (one.share, -len(one.rows)))
