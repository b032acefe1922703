"""The rules that a trial must keep, checked afterwards. No I/O.

The four rules are checked against the observations of clients, servers and the endpoint list, not
against what nodes report. Each checker yields a message for each violation; a subsystem adds its
own checker to `CHECKERS`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from lab.trial.world import LIST, WORK_MS, World
from standins.server import ReceivedRequest

# Added to the drain grace that nodes are given, as on the platform; the largest timer delay of this
# machine comes on top.
TIMING_SLACK_S = 0.05
DRAIN_GRACE_S = 0.5
# Time after which a change of the endpoint list counts as received, whether or not it arrived.
MAX_NOTICE_S = 6.0
# A cold server is overloaded by this multiple of its current capacity over this window.
OVERLOAD_MULTIPLE = 3.0
OVERLOAD_WINDOW_S = 1.0
EXTRA_REQUESTS = 5  # tolerated above that limit in a window


def was_running(world: World, node: str, begin: float, end: float) -> bool:
    """Return whether a node was running throughout an interval."""
    return all(end < since or begin > until for since, until in world.downtimes.get(node, ()))


def check_final_answers(world: World) -> Iterator[str]:
    """Rule 1: a request to a running node gets a final response before the client's deadline."""
    for request in world.sent_requests:
        arrival, took_s = request.result.arrival, request.result.response_time_ms / 1000
        if request.result.outcome == "lost" and was_running(
            world, request.node, request.sent_at_s, request.sent_at_s + took_s
        ):
            yield f"rule 1: {arrival.request_id} to {request.node} got no answer in {took_s:.2f} s"


def check_effects_once(world: World) -> Iterator[str]:
    """Rule 2: over all servers, an idempotency key has its effect once."""
    effects: Counter[str] = Counter()
    for server in world.servers.values():
        effects.update(server.effects)
    for key, count in effects.items():
        if count > 1:
            yield f"rule 2: {key} had its effect {count} times"


def notified_at_s(world: World, node: str, published_at_s: float) -> float:
    """Return when a node counts as notified of a list change published at this time.

    That is later if the link between the list and the node was cut.
    """
    cut, until_s = False, published_at_s
    for changed_at_s, link, cut_since in world.switch.cut_changes:
        if link in ((LIST, node), (node, LIST)):
            if changed_at_s <= published_at_s:
                cut = cut_since
            elif cut and not cut_since:
                until_s, cut = changed_at_s, False
    return published_at_s + MAX_NOTICE_S if cut else min(until_s, published_at_s + MAX_NOTICE_S)


def left_node_at_s(world: World, node: str, server: str, request: ReceivedRequest) -> float:
    """Return when the node sent a request: before the server received it if a cut link held it."""
    name = f": {request.request_id}\r\n".encode()
    slack_s = TIMING_SLACK_S + world.max_timer_delay_s
    for held in world.switch.held_data:
        if (
            held.link == (node, server)
            and name in held.data
            and held.forwarded_at_s <= request.received_at_s <= held.forwarded_at_s + slack_s
        ):
            return held.received_at_s
    return request.received_at_s


def check_drained_servers(world: World) -> Iterator[str]:
    """Rule 3: a draining server gets no new requests after the grace time."""
    nodes = {world.switch.endpoints[name].switch_address[0]: name for name in world.nodes}
    for position, change in enumerate(world.state_changes):
        if change.state == "active":
            continue
        restarts = (
            later.published_at_s
            for later in world.state_changes[position + 1 :]
            if later.server == change.server and later.state == "active"
        )
        restarted_at_s = next(restarts, float("inf"))
        for request in world.servers[change.server].received_requests:
            node = nodes.get(request.peer_ip, "")
            if (
                node
                and notified_at_s(world, node, change.published_at_s)
                + DRAIN_GRACE_S
                + TIMING_SLACK_S
                + world.max_timer_delay_s
                < left_node_at_s(world, node, change.server, request)
                < restarted_at_s
            ):
                late_s = request.received_at_s - change.published_at_s
                yield f"rule 3: {request.request_id} by {node} reached {change.server} {late_s:.2f} s after its drain"


def check_cold_servers(world: World) -> Iterator[str]:
    """Rule 4: no cold server gets more requests in a window, over all nodes, than overload it."""
    shape = world.shape
    warm_capacity_per_s = (
        shape.cores * 1000 / (sum(sum(ends) for ends in WORK_MS.values()) / (2 * len(WORK_MS)))
    )
    for change in world.state_changes:
        if change.state != "active":
            continue
        request_times = [
            request.received_at_s
            for request in world.servers[change.server].received_requests
            if request.received_at_s >= change.published_at_s
        ]
        first = 0
        for last, at in enumerate(request_times):
            while request_times[first] <= at - OVERLOAD_WINDOW_S:
                first += 1
            age_ms = (at - change.published_at_s) * 1000
            if age_ms >= shape.ramp_ms:
                break
            capacity_per_s = warm_capacity_per_s * (
                shape.cold_from + (1 - shape.cold_from) * age_ms / shape.ramp_ms
            )
            if (
                last - first + 1
                > OVERLOAD_MULTIPLE * capacity_per_s * OVERLOAD_WINDOW_S + EXTRA_REQUESTS
            ):
                count = last - first + 1
                yield f"rule 4: {change.server} got {count} in 1 s, {age_ms / 1000:.2f} s after its start"
                break


def check_plan_epochs(world: World) -> Iterator[str]:
    """All nodes have the same plan in an epoch, and no node returns to an earlier epoch.

    A node may return to an earlier epoch only by a restart, never by a lease.
    """
    if world.shape.plan != "majority":
        return
    plans: dict[int, str] = {}
    for node in world.nodes.values():
        last = (0, 0)
        for event in node.events:
            if event["event"] != "zones.plan":
                continue
            epoch, digest = event["epoch"], event["plan"]
            if plans.setdefault(epoch, digest) != digest:
                yield f"zones: {node.name} goes by {digest} in epoch {epoch}, another by {plans[epoch]}"
            if event["life"] == last[0] and epoch < last[1]:
                yield f"zones: {node.name} went back from epoch {last[1]} to {epoch}"
            last = event["life"], epoch


Checker = Callable[[World], Iterator[str]]
CHECKERS: dict[str, Checker] = {
    "nothing lost": check_final_answers,
    "no effect twice": check_effects_once,
    "drains kept": check_drained_servers,
    "cold spared": check_cold_servers,
    "one plan an epoch": check_plan_epochs,
}


def find_violations(world: World) -> list[str]:
    """Return a message for each violation of a rule."""
    return [message for checker in CHECKERS.values() for message in checker(world)]
