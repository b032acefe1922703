"""The four rules, read afterwards from what clients, servers and the list saw, not from nodes'
words. No I/O.

Each checker gives what was broken, in words. A subsystem adds its own to `CHECKERS`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from lab.trial.world import LIST, WORK_MS, World

TIMING_SLACK_S = (
    0.05  # s more than a node is told, as on the platform; and by how much this machine was late
)
DRAIN_GRACE_S = 0.5  # s
MAX_NOTICE_S = 6.0  # s after which what the list told counts as told, whether or not it arrived
OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_S = (
    3.0,
    1.0,
)  # a cold server falls over at so many times what it can do, for so long
EXTRA_REQUESTS = 5  # requests more in such a window


def was_running(world: World, node: str, begin: float, end: float) -> bool:
    """Whether a node was_running through all of that time."""
    return all(end < since or begin > until for since, until in world.downtimes.get(node, ()))


def check_final_answers(world: World) -> Iterator[str]:
    """Rule 1: what a running node has taken gets a final answer before the client's time is up."""
    for asked in world.sent_requests:
        arrival, took = asked.result.arrival, asked.result.took / 1000
        if asked.result.outcome == "lost" and was_running(
            world, asked.node, asked.sent, asked.sent + took
        ):
            yield f"rule 1: {arrival.name} to {asked.node} got no answer in {took:.2f} s"


def check_effects_once(world: World) -> Iterator[str]:
    """Rule 2: over all servers, a key has its effect once."""
    effects: Counter[str] = Counter()
    for server in world.servers.values():
        effects.update(server.effects)
    for key, count in effects.items():
        if count > 1:
            yield f"rule 2: {key} had its effect {count} times"


def notified_by_s(world: World, node: str, at: float) -> float:
    """When a node counts as told of what the list wrote then: later if the way to it was cut."""
    cut, until = False, at
    for time, pair, now in world.switch.cut_changes:
        if pair in ((LIST, node), (node, LIST)):
            if time <= at:
                cut = now
            elif cut and not now:
                until, cut = time, False
    return at + MAX_NOTICE_S if cut else min(until, at + MAX_NOTICE_S)


def check_drained_servers(world: World) -> Iterator[str]:
    """Rule 3: nothing new goes to a server that was told to drain, after the grace."""
    nodes = {world.switch.endpoints[name].switch_address[0]: name for name in world.nodes}
    for place, told in enumerate(world.state_changes):
        if told.state == "active":
            continue
        later = (
            t.at
            for t in world.state_changes[place + 1 :]
            if t.server == told.server and t.state == "active"
        )
        over = next(later, float("inf"))
        for seen in world.servers[told.server].seen:
            node = nodes.get(seen.source, "")
            if (
                node
                and notified_by_s(world, node, told.at)
                + DRAIN_GRACE_S
                + TIMING_SLACK_S
                + world.max_timer_delay_s
                < seen.at
                < over
            ):
                late = seen.at - told.at
                yield f"rule 3: {seen.id} by {node} reached {told.server} {late:.2f} s after its drain"


def check_cold_servers(world: World) -> Iterator[str]:
    """Rule 4: over all nodes, no cold server gets more in any window than makes it fall over."""
    shape = world.shape
    warm = (
        shape.cores * 1000 / (sum(sum(ends) for ends in WORK_MS.values()) / (2 * len(WORK_MS)))
    )  # a second
    for told in world.state_changes:
        if told.state != "active":
            continue
        times = [seen.at for seen in world.servers[told.server].seen if seen.at >= told.at]
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - OVERLOAD_WINDOW_S:
                first += 1
            age = (at - told.at) * 1000
            if age >= shape.ramp_ms:
                break
            can = warm * (shape.cold_from + (1 - shape.cold_from) * age / shape.ramp_ms)
            if last - first + 1 > OVERLOAD_MULTIPLE * can * OVERLOAD_WINDOW_S + EXTRA_REQUESTS:
                count = last - first + 1
                yield f"rule 4: {told.server} got {count} in 1 s, {age / 1000:.2f} s after its start"
                break


def check_plan_epochs(world: World) -> Iterator[str]:
    """No two nodes go by different plans of one epoch, and no node goes back by a lease to an
    earlier one."""
    if world.shape.plan != "majority":
        return
    plans: dict[int, str] = {}
    for node in world.nodes.values():
        last = (0, 0)
        for told in node.events:
            if told["event"] != "zones.plan":
                continue
            epoch, digest = told["epoch"], told["plan"]
            if plans.setdefault(epoch, digest) != digest:
                yield f"zones: {node.name} goes by {digest} in epoch {epoch}, another by {plans[epoch]}"
            if told["life"] == last[0] and epoch < last[1]:
                yield f"zones: {node.name} went back from epoch {last[1]} to {epoch}"
            last = told["life"], epoch


Checker = Callable[[World], Iterator[str]]
CHECKERS: dict[str, Checker] = {
    "nothing lost": check_final_answers,
    "no effect twice": check_effects_once,
    "drains kept": check_drained_servers,
    "cold spared": check_cold_servers,
    "one plan an epoch": check_plan_epochs,
}


def find_violations(world: World) -> list[str]:
    """All that was broken."""
    return [words for checker in CHECKERS.values() for words in checker(world)]
