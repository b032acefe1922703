"""The roles of the system: what each costs at a size, its budget, and what carries it. No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from badgercart.membership.etcd.follower import MAX_ENTRIES
from badgercart.membership.texts import MOST as MOST_LIST
from badgercart.peers.member import PASSED_ON
from badgercart.peers.queue import most_times
from badgercart.peers.uses import MAX_TENANTS as MOST_SHARED
from badgercart.peers.view import MAX_MEMBERS
from badgercart.retune.checks import MAX_CLASSES, MAX_TENANTS
from badgercart.zones.council import COMMITS, VOTERS
from benchmarks.capacity.laws import Law, Runs, break_share
from benchmarks.capacity.target import ASSUMED, BUDGETS, TARGET, Budget, Target
from cottonhall.rules import FEW, NODES

SHARE_MS = 500.0  # between two reports in a small group: `PeersSettings.share_ms`


class Tag(StrEnum):
    """Where a figure comes from, the weakest of all that it rests on."""

    LIMIT = "limit"  # a bound that stands in the code
    MEASURED = "measured"
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

    @property
    def at_target(self) -> float:
        return self.cost(TARGET)

    @property
    def share(self) -> float:
        return break_share(lambda share: self.cost(TARGET.at(share)), self.budget.value)

    @property
    def tag(self) -> Tag:
        if math.isinf(self.at_target):
            return Tag.NOTHING
        if self.assumed:
            return Tag.GUESSED
        if self.laws:
            return Tag.MEASURED if self.plain else Tag.MODELLED
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
    return SHARE_MS / 1000 * max(1.0, nodes * most_times(math.ceil(nodes)) / PASSED_ON)


def subset(t: Target) -> float:
    """Servers of one service that a node sends to, by `Policy.measure_fleet` where traffic is thin."""
    return t.service_servers / max(1, min(t.nodes // NODES, t.service_servers // FEW))


def opened(t: Target) -> float:
    """The part of requests that meet no open connection, where each node serves every service."""
    rate = t.node_requests / (t.services * subset(t))  # a second, from one node to one server
    return math.exp(-ASSUMED["idle"].value * rate)


def roles(runs: Runs) -> list[Role]:
    """All rows. Raises MissingSeries where a run lacks what one wants."""
    decision = runs.law("issue-41", "decision", "servers")
    by_tenants = runs.law("issue-41", "decision", "tenants")
    line = runs.law("issue-41", "changed line", "servers")
    whole = runs.law("issue-41", "whole list", "servers")
    TOLD, FLEETS, CELLS = Mechanism.TOLD, Mechanism.FLEETS, Mechanism.CELLS

    return [
        Role(
            "what decides a request",
            "each node's policy knows all servers, tenants and classes; one fleet",
            "a line and what was learned for each server, a counter for each tenant",
            (
                Need("processor", "a decision over all servers", "µs", lambda t: decision(t.servers),
                     BUDGETS["decision"], TOLD, (decision,), plain=True),
                Need("processor", "a decision over all tenants, 100 servers", "µs",
                     lambda t: by_tenants(t.tenants), BUDGETS["decision"], TOLD, (by_tenants,), plain=True),
                Need("processor", "changed lines, all servers", "of a core",
                     lambda t: t.lines * line(t.servers) / 1e6, BUDGETS["core"], TOLD, (line,),
                     ("lines of a restart", "lines of a failure")),
                Need("time", "a changed line holds the loop", "ms", lambda t: line(t.servers) / 1000,
                     BUDGETS["standstill"], TOLD, (line,), plain=True),
                Need("time", "a whole list holds the loop", "ms", lambda t: whole(t.servers),
                     BUDGETS["long standstill"], TOLD, (whole,), plain=True),
                Need("limit", "services that a node tells apart", "services", lambda t: t.services,
                     limit(1, "service", "cottonhall.rules.Policy: one list of servers"), FLEETS),
                Need("limit", "routes, where each is a class", "routes", lambda t: t.routes,
                     limit(MAX_CLASSES, "classes", "badgercart.retune.checks.MAX_CLASSES"), FLEETS),
                Need("messages out", "requests that open a connection, every node serves every service",
                     "of requests", opened, BUDGETS["new connections"], FLEETS, assumed=("idle",)),
                Need("state", "connections to servers, every node serves every service", "connections",
                     lambda t: t.services * subset(t), BUDGETS["connections"], FLEETS),
            ),
            (TOLD, FLEETS),
        ),
        Role(
            "what follows the list",
            "a watch of each node's own, of all servers",
            "all lines; the version of the last",
            (
                Need("limit", "entries, where etcd tells them", "entries", lambda t: t.servers,
                     limit(MAX_ENTRIES, "entries", "badgercart.membership.etcd.follower.MAX_ENTRIES"), TOLD),
            ),
            (TOLD,),
        ),
        Role(
            "what follows the configuration",
            "a file on each node and SIGHUP: somebody else has to bring the file",
            "all classes and tenants; the file whole",
            (
                Need("time", "a change is in force everywhere", "s", nothing, BUDGETS["in force"], TOLD),
                Need("limit", "tenants", "tenants", lambda t: t.tenants,
                     limit(MAX_TENANTS, "tenants", "badgercart.retune.checks.MAX_TENANTS"), TOLD),
            ),
            (TOLD,),
        ),
        Role(
            "a member among peers",
            "one flat group: SWIM with Lifeguard, reports of all to all",
            "a belief for each node, posts of each",
            (
                Need("limit", "members", "members", lambda t: t.nodes,
                     limit(MAX_MEMBERS, "members", "badgercart.peers.view.MAX_MEMBERS"), CELLS),
                Need("time", "between two reports of a member", "s", lambda t: reports_every(t.nodes),
                     BUDGETS["report"], CELLS, note="worked out by `Member.every`"),
            ),
            (CELLS,),
        ),
        Role(
            "tenants' shares",
            "each node's use of each tenant in gossip, to all",
            "nodes x tenants counters at each node",
            (
                Need("limit", "tenants in a report", "tenants", lambda t: t.tenants,
                     limit(MOST_SHARED, "tenants", "badgercart.peers.uses.MAX_TENANTS"), Mechanism.SHARES),
                Need("time", "between two reports of use", "s", lambda t: reports_every(t.nodes),
                     BUDGETS["report"], Mechanism.SHARES, note="worked out by `Member.every`"),
            ),
            (Mechanism.SHARES, TOLD),
        ),
        Role(
            "a cold server's budget",
            "each node its part by how many nodes there are, as peers or the file say",
            "the start of each server that is cold",
            (
                Need("limit", "nodes that share a budget and are known", "nodes", lambda t: t.nodes,
                     limit(MAX_MEMBERS, "members", "badgercart.peers.view.MAX_MEMBERS"), CELLS),
            ),
            (TOLD, CELLS),
        ),
        Role(
            "the zones' plan and council",
            "each node's evidence to all, votes to one proposer, a commit that names the voters",
            "a claim of each node; the plan",
            (
                Need("limit", "voters that a commit names", "nodes", lambda t: t.nodes / 2,
                     limit(VOTERS * len(COMMITS), "voters", "badgercart.zones.council.COMMITS"),
                     Mechanism.COUNCIL,
                     note="more than half of the nodes have to be named"),
                Need("time", "between two claims of a node", "s", lambda t: reports_every(t.nodes),
                     BUDGETS["evidence"], Mechanism.COUNCIL, note="worked out by `Member.every`"),
            ),
            (Mechanism.COUNCIL, CELLS, TOLD),
        ),
        Role(
            "health and what is learned",
            "each node learns alone; reports of failing servers in gossip; a snapshot of all servers",
            "what was learned of each server that the node sends to",
            (
                Need("time", "between two reports of failing servers", "s", lambda t: reports_every(t.nodes),
                     BUDGETS["report"], CELLS, note="worked out by `Member.every`"),
            ),
            (CELLS, FLEETS),
        ),
        Role(
            "the service that tells lists",
            "one service; every node asks it for everything",
            "all lines and the changes since",
            (
                Need("limit", "bytes of a whole list", "bytes", lambda t: 170 * t.servers,
                     limit(MOST_LIST, "bytes", "badgercart.membership.texts.MOST"), TOLD,
                     note="170 bytes a line by the protocol page's example"),
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


@dataclass(slots=True, frozen=True)
class Ranked:
    """A missing mechanism and how soon it is missed."""

    mechanism: Mechanism
    share: float
    need: Need
    role: Role
    rows: tuple[str, ...]  # that rest on it


def ranking(found: Sequence[Role]) -> list[Ranked]:
    """By the smallest share of a need that it carries; of equal ones, the one on which most rows rest."""
    ranked = []
    for mechanism in MISSING:
        needs = [(need.share, role.name, need, role) for role in found for need in role.needs]
        mine = [item for item in needs if item[2].mechanism is mechanism]
        rows = tuple(role.name for role in found if mechanism in role.rests)
        if mine:
            share, _, need, role = min(mine, key=lambda item: item[0])
            ranked.append(Ranked(mechanism, share, need, role, rows))
    return sorted(ranked, key=lambda one: (one.share, -len(one.rows)))
