"""The four rules, read afterwards from what clients, servers and the list saw, not from nodes'
words. No I/O.

Each checker gives what was broken, in words. A subsystem adds its own to `CHECKERS`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from lab.trial.world import LIST, WORK, World

SLACK = (
    0.05  # s more than a node is told, as on the platform; and by how much this machine was late
)
DRAIN_GRACE = 0.5  # s
UNHEARD = 6.0  # s after which what the list told counts as told, whether or not it arrived
TIP_MULTIPLE, TIP_S = (
    3.0,
    1.0,
)  # a cold server falls over at so many times what it can do, for so long
CHANCE = 5  # requests more in such a window


def ran(world: World, node: str, begin: float, end: float) -> bool:
    """Whether a node ran through all of that time."""
    return all(end < since or begin > until for since, until in world.down.get(node, ()))


def nothing_lost(world: World) -> Iterator[str]:
    """Rule 1: what a running node has taken gets a final answer before the client's time is up."""
    for asked in world.asked:
        arrival, took = asked.result.arrival, asked.result.took / 1000
        if asked.result.outcome == "lost" and ran(world, asked.node, asked.sent, asked.sent + took):
            yield f"rule 1: {arrival.name} to {asked.node} got no answer in {took:.2f} s"


def no_effect_twice(world: World) -> Iterator[str]:
    """Rule 2: over all servers, a key has its effect once."""
    effects: Counter[str] = Counter()
    for server in world.servers.values():
        effects.update(server.effects)
    for key, count in effects.items():
        if count > 1:
            yield f"rule 2: {key} had its effect {count} times"


def heard(world: World, node: str, at: float) -> float:
    """When a node counts as told of what the list wrote then: later if the way to it was cut."""
    cut, until = False, at
    for time, pair, now in world.switch.cuts:
        if pair in ((LIST, node), (node, LIST)):
            if time <= at:
                cut = now
            elif cut and not now:
                until, cut = time, False
    return at + UNHEARD if cut else min(until, at + UNHEARD)


def drains_kept(world: World) -> Iterator[str]:
    """Rule 3: nothing new goes to a server that was told to drain, after the grace."""
    nodes = {world.switch.places[name].shown[0]: name for name in world.nodes}
    for place, told in enumerate(world.told):
        if told.state == "active":
            continue
        later = (
            t.at for t in world.told[place + 1 :] if t.server == told.server and t.state == "active"
        )
        over = next(later, float("inf"))
        for seen in world.servers[told.server].seen:
            node = nodes.get(seen.source, "")
            if (
                node
                and heard(world, node, told.at) + DRAIN_GRACE + SLACK + world.late < seen.at < over
            ):
                late = seen.at - told.at
                yield f"rule 3: {seen.id} by {node} reached {told.server} {late:.2f} s after its drain"


def cold_spared(world: World) -> Iterator[str]:
    """Rule 4: over all nodes, no cold server gets more in any window than makes it fall over."""
    shape = world.shape
    warm = (
        shape.cores * 1000 / (sum(sum(ends) for ends in WORK.values()) / (2 * len(WORK)))
    )  # a second
    for told in world.told:
        if told.state != "active":
            continue
        times = [seen.at for seen in world.servers[told.server].seen if seen.at >= told.at]
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - TIP_S:
                first += 1
            age = (at - told.at) * 1000
            if age >= shape.ramp_ms:
                break
            can = warm * (shape.cold_from + (1 - shape.cold_from) * age / shape.ramp_ms)
            if last - first + 1 > TIP_MULTIPLE * can * TIP_S + CHANCE:
                count = last - first + 1
                yield f"rule 4: {told.server} got {count} in 1 s, {age / 1000:.2f} s after its start"
                break


def one_plan_an_epoch(world: World) -> Iterator[str]:
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
    "nothing lost": nothing_lost,
    "no effect twice": no_effect_twice,
    "drains kept": drains_kept,
    "cold spared": cold_spared,
    "one plan an epoch": one_plan_an_epoch,
}


def broken(world: World) -> list[str]:
    """All that was broken."""
    return [words for checker in CHECKERS.values() for words in checker(world)]
