"""What a policy has learned, as plain data: taken out of one, and given to one that begins. No I/O,
no clock.

Left out, since it is void or wrong after a restart: attempts that are out and the counts of them
(in flight, x, the cut: they are of this moment), shares of errors (they are of the last seconds'
attempts), tokens of cold servers and tenants' buckets (given back they could be spent twice).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from badgercart.policy.endpoint import EndpointStatistics
from badgercart.policy.policy import SAMPLE, Policy


@dataclass(slots=True)
class PolicyStatistics:
    """Times in ms; lists by class, in the order of the settings."""

    usual: list[float] = field(default_factory=list)  # answer times
    offered: list[float] = field(default_factory=list)  # requests lately, then those beyond a share
    kinds: dict[int, float] = field(
        default_factory=dict
    )  # answer time over the usual, by kind of machine
    least: float = 0.0  # the quickest mean answer time; 0: none yet
    mean: float = 0.0
    answers: float = 0.0  # how many answers these rest on
    best_rate: float = 0.0  # timely answers a ms at best
    carried: float = 0.0  # the same for each warm server
    keys: dict[int, float] = field(default_factory=dict)  # requests lately, by key
    keys_total: float = 0.0
    servers: dict[int, EndpointStatistics] = field(default_factory=dict)


def export_statistics(policy: Policy, keys: bool = True) -> PolicyStatistics:
    """What a policy knows now. Only ready servers are worth remembering."""
    servers = {}
    for server_id in policy.ready:
        server = policy.servers[server_id]
        fails = tuple([health.fails for health in server.health])
        strikes = tuple([float(health.strikes) for health in server.health])
        servers[server_id] = EndpointStatistics(
            server.entry.started_ms, server.slow, server.recent, fails, strikes
        )
    return PolicyStatistics(
        list(policy.usual),
        list(policy.offered),
        dict(policy.kinds),
        policy.least,
        policy.mean,
        policy.answers,
        policy.best_rate,
        policy.carried,
        dict(policy.key_counts) if keys else {},
        policy.keys_total,
        servers,
    )


def import_statistics(policy: Policy, memory: PolicyStatistics) -> None:
    """Give it to a policy that has been told nothing yet. ValueError where it is of other classes.

    A server gets its own back when a list names it with the same start."""
    if len(memory.usual) != len(policy.usual) or len(memory.offered) != len(policy.offered):
        raise ValueError(f"it is of {len(memory.usual)} classes, there are {len(policy.usual)} now")
    policy.usual = list(memory.usual)
    policy.offered = [count + 1e-9 for count in memory.offered]
    policy.kinds = dict(memory.kinds)
    if memory.answers >= SAMPLE / 5:  # on fewer the policy relies on nothing
        policy.least, policy.mean, policy.answers = memory.least, memory.mean, memory.answers
        policy.best_rate, policy.carried = memory.best_rate, memory.carried
    policy.key_counts = dict(memory.keys)
    policy.keys_total = memory.keys_total + 1e-9
    policy.known = dict(memory.servers)
