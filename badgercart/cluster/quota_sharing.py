"""Sharing of tenants' quotas among nodes, based on monotonic request counters. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from badgercart.cluster.quorum import QuorumState

USAGE_TOPIC = "use"
# Tenants whose counters fit into one register value.
MAX_SHARED_TENANTS = 64
# A node demands this multiple of its request rate, since traffic may grow before the next report.
DEMAND_HEADROOM_FACTOR = 1.2
# Rates are averaged over this window; over fewer requests they would be mostly random.
RATE_WINDOW_MS = 2000.0
MAX_SAMPLES_PER_NODE = 64
# Smallest share of a quota that a node is assigned.
MIN_QUOTA_SHARE = 1e-6


class UsageReport(msgspec.Struct, array_like=True, frozen=True):
    """A node's request counts by tenant since its process started.

    The order of the fields is part of the wire format.

    Attributes:
        generation: identifies the author's process.
        sent_ms: when the report was made, on the author's clock.
        counts: requests by tenant.
    """

    generation: int
    sent_ms: float
    counts: list[int]


_decode: Callable[[bytes], UsageReport] = msgspec.msgpack.Decoder(UsageReport).decode


@dataclass(slots=True, frozen=True)
class UsageSample:
    """The request counts by tenant of one report; `sent_ms` is on the author's clock."""

    sent_ms: float
    counts: list[int]


@dataclass(slots=True)
class PeerUsage:
    """A node's usage according to its recent reports.

    Attributes:
        generation: identifies the node's process.
        received_ms: when the latest report was received, on this node's clock.
        samples: the recent reports, oldest first.
    """

    generation: int
    received_ms: float
    samples: deque[UsageSample] = field(default_factory=deque)

    def add(self, report: UsageReport, now_ms: float) -> None:
        """Add a report, unless its time has not advanced or a count has decreased."""
        if report.generation != self.generation:
            self.samples.clear()
        elif self.samples and not self._is_later(report, self.samples[-1]):
            return
        self.generation, self.received_ms = report.generation, now_ms
        self.samples.append(UsageSample(report.sent_ms, report.counts))
        self._drop_old(report.sent_ms - RATE_WINDOW_MS)

    def _is_later(self, report: UsageReport, last: UsageSample) -> bool:
        if report.sent_ms <= last.sent_ms:
            return False
        pairs = zip(report.counts, last.counts, strict=True)
        return all(count >= before for count, before in pairs)

    def _drop_old(self, oldest_ms: float) -> None:
        samples = self.samples
        while len(samples) > 2 and (
            samples[0].sent_ms < oldest_ms or len(samples) > MAX_SAMPLES_PER_NODE
        ):
            samples.popleft()

    def rate(self, tenant: int) -> float | None:
        """Return the tenant's requests per ms, or None with fewer than two samples."""
        if len(self.samples) < 2:
            return None
        first, last = self.samples[0], self.samples[-1]
        requests = last.counts[tenant] - first.counts[tenant]
        return requests / (last.sent_ms - first.sent_ms)


@dataclass(slots=True, frozen=True)
class NodeUsage:
    """A node's usage, if known, and whether it is recent enough to lend the node's share."""

    usage: PeerUsage | None
    is_current: bool

    def demand(self, tenant: int, even_per_ms: float) -> float:
        """Return the rate that the node demands, in requests per ms.

        Without a recent report, the demand is at least the node's even share.
        """
        rate = self.usage.rate(tenant) if self.usage is not None else None
        if rate is None:
            return even_per_ms
        demand = DEMAND_HEADROOM_FACTOR * rate
        return demand if self.is_current else max(demand, even_per_ms)


def max_min_fair(total: float, demands: Sequence[float]) -> list[float]:
    """Return max-min fair shares: none exceeds its demand while another demand is not met.

    What remains after all demands is distributed evenly, so that the shares add up to `total`.
    """
    shares, remaining = [0.0] * len(demands), total
    ascending = sorted(range(len(demands)), key=lambda index: demands[index])
    for position, index in enumerate(ascending):
        shares[index] = min(demands[index], remaining / (len(ascending) - position))
        remaining -= shares[index]
    return [share + max(remaining, 0.0) / len(demands) for share in shares]


class QuotaSharing:
    """The share of each tenant's quota that this node may use.

    The shares of all nodes add up to the quota. A share that a node does not need is lent to nodes
    that do. A majority takes over the shares of dead members. Without a majority, a node uses an
    even share among all members that may be alive and lends nothing, so that a partitioned cluster
    exceeds a quota by less than half, whatever the partitions are.

    Args:
        quotas: the quota of each tenant in requests per second.
        generation: identifies this process.

    Attributes:
        counts: requests of this node by tenant.
        local_usage: this node's own usage.
        peer_usage: the usage of other nodes by name.
        rejected: malformed reports.
    """

    def __init__(self, quotas: Sequence[float], generation: int) -> None:
        self.quotas_per_s = list(quotas)[:MAX_SHARED_TENANTS]
        self.generation = generation
        self.counts = [0] * len(self.quotas_per_s)
        self.local_usage = PeerUsage(generation, 0.0)
        self.peer_usage: dict[str, PeerUsage] = {}
        self.rejected = 0

    def count_request(self, tenant: int) -> None:
        """Count a request of a tenant that this node received."""
        if tenant < len(self.counts):
            self.counts[tenant] += 1

    def report(self, now_ms: float) -> bytes:
        """Return this node's usage report."""
        report = UsageReport(self.generation, now_ms, list(self.counts))
        self.local_usage.add(report, now_ms)
        return msgspec.msgpack.encode(report)

    def receive(self, author: str, value: bytes, now_ms: float) -> None:
        """Record another node's report; a malformed one is counted and ignored."""
        try:
            report = _decode(value)
        except msgspec.MsgspecError:
            self.rejected += 1
            return
        if len(report.counts) != len(self.counts) or min(report.counts, default=0) < 0:
            self.rejected += 1
            return
        usage = self.peer_usage.setdefault(author, PeerUsage(report.generation, now_ms))
        usage.add(report, now_ms)

    def retain(self, names: Iterable[str]) -> None:
        """Drop the usage of all nodes but these."""
        retained = set(names)
        self.peer_usage = {
            name: usage for name, usage in self.peer_usage.items() if name in retained
        }

    def quota_shares(
        self, local_name: str, quorum: QuorumState, now_ms: float, stale_after_ms: float
    ) -> tuple[float, ...]:
        """Return this node's share of each quota, 0 to 1.

        A node whose last report is older than `stale_after_ms` lends nothing of its share.
        """
        if not quorum.has_majority:
            return (1 / quorum.possibly_alive,) * len(self.quotas_per_s)
        usages = [
            self.node_usage(name, local_name, now_ms, stale_after_ms) for name in quorum.reachable
        ]
        index = quorum.reachable.index(local_name)
        return tuple(self._share(tenant, usages, index) for tenant in range(len(self.quotas_per_s)))

    def node_usage(
        self, name: str, local_name: str, now_ms: float, stale_after_ms: float
    ) -> NodeUsage:
        """Return the usage of a node, which may be the local one."""
        if name == local_name:
            return NodeUsage(self.local_usage, is_current=True)
        usage = self.peer_usage.get(name)
        is_current = usage is not None and now_ms - usage.received_ms < stale_after_ms
        return NodeUsage(usage, is_current)

    def _share(self, tenant: int, usages: Sequence[NodeUsage], index: int) -> float:
        """Return the share, 0 to 1, of the node at `index`."""
        quota_per_ms = self.quotas_per_s[tenant] / 1000
        if not quota_per_ms:
            return min(max(1 / len(usages), MIN_QUOTA_SHARE), 1.0)
        even_per_ms = quota_per_ms / len(usages)
        demands = [usage.demand(tenant, even_per_ms) for usage in usages]
        share = max_min_fair(quota_per_ms, demands)[index] / quota_per_ms
        return min(max(share, MIN_QUOTA_SHARE), 1.0)
