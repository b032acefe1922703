"""The seconds that are no mean: what a rack, a zone, a region, a release or a burst of changes
asks. No I/O.

Each figure stands twice: as things are (every node is told everything), and with changes told to a
node for what it serves alone. Sizes of racks and the like are assumed, and named.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from badgercart.discovery.backoff import INITIAL_RETRY_DELAY_S, CallTiming
from badgercart.zones.traffic_plan import UtilizationLimits
from benchmarks.capacity.laws import Law, Runs
from benchmarks.capacity.rows import Tag, changed_line, line_bytes, reload, subset
from benchmarks.capacity.target import ASSUMED, BUDGETS, TARGET, Budget

A_CHANGE = "bytes of a change of configuration"


@dataclass(slots=True, frozen=True)
class Figure:
    """One cost in a storm; None where it is the same, or means nothing."""

    what: str
    unit: str
    today: float | None
    told: float | None
    budget: Budget | None = None
    assumed: tuple[str, ...] = ()
    laws: tuple[Law, ...] = ()

    @property
    def tag(self) -> Tag:
        return Tag.GUESSED if self.assumed else Tag.MODELLED

    @property
    def over(self) -> str:
        """Which of the two is over the budget."""
        if self.budget is None:
            return ""
        broken = [
            name
            for name, value in (("today", self.today), ("told", self.told))
            if value is not None and value > self.budget.value
        ]
        return ", ".join(broken) or "neither"


@dataclass(slots=True, frozen=True)
class Storm:
    """What happens, and what it asks."""

    name: str
    figures: tuple[Figure, ...]


def assumed(name: str) -> float:
    return ASSUMED[name].value


def served_servers() -> float:
    """Servers of the services that one node serves, once it need not serve all."""
    return assumed("served") * TARGET.service_servers


def lines_at_once(
    name: str,
    lines: float,
    runs: Runs,
    names: tuple[str, ...],
    nodes: float | None = None,
    lost: bool = False,
) -> Storm:
    """So many lines of the list change at the same moment, and so many nodes are told.

    `lost`: the servers are gone, and with them what was sent there."""
    line, size = changed_line(runs), line_bytes(runs)
    part = served_servers() / TARGET.servers
    a_line = size(TARGET.servers) / TARGET.servers
    told = lines * part
    here = TARGET.nodes if nodes is None else nodes
    names = (*names, "served")
    gone = lines * TARGET.requests / TARGET.servers
    return Storm(
        name,
        (
            *(Figure("requests a second that went there", "", gone, gone, None,
                     names[:-1]) for _ in [1] if lost),
            Figure("lines that a node is told", "lines", lines, told, None, names),
            Figure("they take, at 17 KB a second", "s", lines * a_line / 17_000, told * a_line / 17_000,
                   BUDGETS["lists out"], names, (size,)),
            Figure("a node's processor for them", "ms", lines * line(TARGET.servers) / 1000,
                   told * line(served_servers()) / 1000, BUDGETS["long standstill"], names, (line,)),
            Figure("bytes out: of one service today, of each of 40 machines told", "MB",
                   here * lines * a_line / 1e6, here * told * a_line / 1e6 / TARGET.machines, None, names,
                   (size,)),
        ),
    )  # fmt: skip


def busier(name: str, parts: float) -> Storm:
    """One of so many parts of all servers is lost, and its traffic goes to the others."""
    load = assumed("busy") * parts / (parts - 1)
    full = UtilizationLimits().planned_share
    return Storm(
        f"the load on the others, one {name} lost",
        (
            Figure("the others' load", "of capacity", load, load, Budget(full, "of capacity", ""), ("busy",)),
            Figure("refused", "of all requests", max(0.0, 1 - full / load), max(0.0, 1 - full / load),
                   None,
                   ("busy",)),
        ),
    )  # fmt: skip


def tail(mean: float, over: float) -> float:
    """The chance that of so many on average, each by itself, more come (Poisson)."""
    return max(
        0.0,
        1.0
        - sum(
            math.exp(n * math.log(mean) - mean - math.lgamma(n + 1)) for n in range(int(over) + 1)
        ),
    )


def falls(margin: float) -> float:
    """The chance that a server falls in its ramp, if all nodes send it so much of what it may get,
    by chance.

    The rule is that of the standing test: over N + 2 x root of N + 2 in a window, N being what it
    may get."""
    warm = TARGET.requests / TARGET.servers / assumed("busy") * assumed("fall window")
    windows = int(assumed("ramp") / assumed("fall window"))
    stands = 1.0
    for at in range(windows):
        may = warm * (assumed("cold from") + (1 - assumed("cold from")) * at / windows)
        stands *= 1 - tail(margin * may, may + 2 * math.sqrt(may) + 2)
    return 1 - stands


def cold() -> Storm:
    """A cold server under the draws of all nodes: nothing in it grows with the fleet."""
    warm = TARGET.requests / TARGET.servers / assumed("busy") * assumed("fall window")
    margin = assumed("sent of a cold budget")
    low, high = 0.01, 1.0
    while high - low > 1e-3:
        middle = (low + high) / 2
        low, high = (middle, high) if falls(middle) <= BUDGETS["falls"].value else (low, middle)
    names = ("ramp", "cold from", "busy", "fall window")
    servers = TARGET.restarts * TARGET.servers / (TARGET.servers + TARGET.nodes)
    first = warm * assumed("cold from")
    return Storm(
        "a cold server under the sum of all nodes",
        (
            Figure("requests in a window at its start, by the settings", "", first, first, None, names),
            Figure("a node's part of that", "", first / TARGET.nodes, first / TARGET.nodes, None, names),
            Figure("servers that fall, if each node draws by chance", "of starts", falls(margin),
                   falls(margin),
                   BUDGETS["falls"], (*names, "sent of a cold budget")),
            Figure("that is a day", "", servers * falls(margin), servers * falls(margin), None,
                   (*names, "sent of a cold budget")),
            Figure("part of the budget that may be sent to keep the bound", "", low, low, None, names),
        ),
    )  # fmt: skip


def release(runs: Runs) -> list[Storm]:
    line, size = changed_line(runs), line_bytes(runs)
    per_second = TARGET.restarts / (assumed("release hours") * 3600)
    servers = per_second * TARGET.servers / (TARGET.servers + TARGET.nodes)
    lines = servers * assumed("lines of a restart")
    part = served_servers() / TARGET.servers
    a_line = size(TARGET.servers) / TARGET.servers
    bad = servers * 600
    reach, scoped = TARGET.services * subset(TARGET), assumed("served") * subset(TARGET)
    tell = assumed("failures that tell")
    hours = ("release hours", "lines of a restart")
    return [
        Storm(
            "a release that restarts 28,000 in a day",
            (
                Figure("lines a second", "", lines, lines * part, None, (*hours, "served")),
                Figure("a node's processor for them", "of a core", lines * line(TARGET.servers) / 1e6,
                       lines * part * line(served_servers()) / 1e6, BUDGETS["core"], (*hours, "served"),
                       (line,)),
                Figure("bytes to a node", "B/s", lines * a_line, lines * part * a_line, BUDGETS["bytes"],
                       (*hours, "served"), (size,)),
                Figure("servers that are cold at a time", "", servers * assumed("ramp"),
                       servers * assumed("ramp"),
                       None, ("release hours", "ramp")),
                Figure("nodes restarted an hour: each wants all that it serves", "",
                       per_second * 3600 - servers * 3600,
                       per_second * 3600 - servers * 3600, None, ("release hours",)),
                Figure("that takes, at 17 KB a second", "s", size(TARGET.servers) / 17_000,
                       size(served_servers()) / 17_000, BUDGETS["ready"], ("served",), (size,)),
            ),
        ),
        Storm(
            "the first ten minutes of one that goes wrong",
            (
                Figure("servers that have it", "", bad, bad, None, ("release hours",)),
                Figure("requests a second that meet them", "", bad / TARGET.servers * TARGET.requests,
                       bad / TARGET.servers * TARGET.requests, Budget(0.01 * TARGET.requests, "", ""),
                       ("release hours",)),
                Figure("a node meets one of them anew after", "s", reach / TARGET.node_requests,
                       scoped / TARGET.node_requests, None, ("served",)),
                Figure("until a node alone knows of a bad one", "s", tell * reach / TARGET.node_requests,
                       tell * scoped / TARGET.node_requests, BUDGETS["view"], ("served",
                                                                               "failures that tell")),
            ),
        ),
    ]  # fmt: skip


def changes(runs: Runs) -> Storm:
    """500 changes of configuration in a minute."""
    steps, file = reload(runs, "tenants"), runs.law("configuration", "platform's file", "tenants")
    rate = 500 / 60
    part = assumed("served") / TARGET.services
    a_change = assumed(A_CHANGE)
    return Storm(
        "500 changes of configuration in a minute",
        (
            Figure("a node's processor: today the whole file each time", "of a core",
                   rate * sum(step(TARGET.tenants) for step in steps) / 1e6, None, BUDGETS["core"], (),
                   steps),
            Figure("bytes to a node: today the whole file each time", "B/s", rate * file(TARGET.tenants),
                   rate * a_change, BUDGETS["bytes"], (A_CHANGE,), (file,)),
            Figure("the same, told for what it serves alone", "B/s", None, rate * a_change * part,
                   BUDGETS["bytes"], (A_CHANGE, "served")),
            Figure("bytes out of each of the 40 machines, all told to all", "MB/s", None,
                   rate * a_change * TARGET.nodes / TARGET.machines / 1e6, None, (A_CHANGE,)),
        ),
    )  # fmt: skip


def calls(runs: Runs) -> Storm:
    """All nodes have lost the 40 machines."""
    pace, size = CallTiming.for_shared_service(), line_bytes(runs)
    first = (
        INITIAL_RETRY_DELAY_S * 1.0
    )  # the width of the first wait's spread: half to one and a half of it
    hour = TARGET.lines * 3600
    part = served_servers() / TARGET.servers
    a_line = size(TARGET.servers) / TARGET.servers
    per_machine = TARGET.nodes / TARGET.machines
    wire = assumed("network")
    return Storm(
        "the calls on 40 machines when 8,600 nodes have lost them",
        (
            Figure("calls a second on each, the first wave (within 25 to 75 ms)", "/s", per_machine / first,
                   per_machine / first),
            Figure("calls a second on each, later (0.5 to 1.5 s apart)", "/s", per_machine / pace.max_retry_delay_s,
                   per_machine / pace.max_retry_delay_s),
            Figure("at the return each wants the whole list: of each machine's network", "s",
                   per_machine * size(TARGET.servers) / wire, per_machine * size(served_servers()) / wire,
                   Budget(pace.response_timeout_s, "s", "a call's patience"), ("network", "served"), (size,)),
            Figure("and of one core of each", "s", per_machine * size(TARGET.servers) / assumed("sending"),
                   per_machine * size(served_servers()) / assumed("sending"), BUDGETS["lists out"],
                   ("sending", "served"), (size,)),
            Figure("or what changed in an hour: bytes to a node", "KB", hour * a_line / 1000,
                   hour * part * a_line / 1000, None, ("lines of a restart", "served"), (size,)),
            Figure("that takes, at 17 KB a second", "s", hour * a_line / 17_000,
                   hour * part * a_line / 17_000,
                   BUDGETS["lists out"], ("lines of a restart", "served"), (size,)),
        ),
    )  # fmt: skip


def region_back(runs: Runs) -> list[Storm]:
    hour = TARGET.lines * 3600
    a_change = assumed(A_CHANGE)
    late = TARGET.config_changes * 3600
    region = TARGET.servers / TARGET.regions
    run = "configuration" in runs.runs
    laws = (runs.law("configuration", "platform's file", "tenants"),) if run else ()
    file = laws[0](TARGET.tenants) if laws else None
    names = ("lines of a restart",)
    return [
        lines_at_once("a region is back after an hour: what its own nodes missed", hour, runs, names,
                      TARGET.nodes / TARGET.regions),
        lines_at_once("a region is back after an hour: all take its servers in anew, if they were out",
                      region, runs, names),
        Storm(
            "a region is back after an hour: the configuration that it missed",
            (
                Figure("changes", "", late, late),
                Figure("bytes to a node: today the file, told as changes", "KB", file and file / 1000,
                       late * a_change / 1000, None, (A_CHANGE,), laws),
                Figure("they take, at 17 KB a second", "s", file and file / 17_000, late * a_change / 17_000,
                       BUDGETS["lists out"], (A_CHANGE,), laws),
            ),
        ),
    ]  # fmt: skip


def storms(runs: Runs) -> Sequence[Storm]:
    """All of them. Raises MissingSeries where a run lacks what one wants."""
    zone = TARGET.servers / TARGET.zones
    return [
        lines_at_once("the second after a rack", assumed("servers of a rack"), runs, ("servers of a rack",),
                      lost=True),
        lines_at_once("the second after a switch", assumed("servers of a switch"), runs,
                      ("servers of a switch",), lost=True),
        lines_at_once("the second after a zone", zone, runs, (), lost=True),
        busier("zone", TARGET.zones),
        busier("region", TARGET.regions),
        *region_back(runs),
        *release(runs),
        cold(),
        *(changes(runs) for _ in ["configuration"] if "configuration" in runs.runs),
        calls(runs),
    ]  # fmt: skip
