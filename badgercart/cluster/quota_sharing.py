"""Tenants' quotas shared among nodes, by counters of use that only grow. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from badgercart.cluster.quorum import QuorumState

USAGE_TOPIC = "use"
MAX_SHARED_TENANTS = 64  # whose use a register has capacity for
HEADROOM = 1.2  # of its rate is what a node asks for: traffic grows before others are told
RATE_WINDOW_MS = 2000.0  # over which a rate is taken: of fewer requests most is chance
MAX_SAMPLES = 64  # of one node that are kept
MIN_SHARE = 1e-6  # of a quota


class UsageReport(msgspec.Struct, array_like=True, frozen=True):
    """A node's requests by tenant since its process began.

    The order of the fields is the wire format.
    """

    generation: int  # of the author's process
    sent_ms: float  # on the author's own clock
    counts: list[int]


_decode: Callable[[bytes], UsageReport] = msgspec.msgpack.Decoder(UsageReport).decode


@dataclass(slots=True, frozen=True)
class UsageSample:
    """The counts of one report."""

    sent_ms: float  # on the author's clock
    counts: list[int]


@dataclass(slots=True)
class PeerUsage:
    """A node's use, as its reports of the last while tell it."""

    generation: int
    received_ms: float  # on this node's clock
    samples: deque[UsageSample] = field(default_factory=deque)

    def add(self, report: UsageReport, now_ms: float) -> None:
        """Take over a report, unless its counts or its time are no later than the last one's."""
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
        while len(samples) > 2 and (samples[0].sent_ms < oldest_ms or len(samples) > MAX_SAMPLES):
            samples.popleft()

    def rate(self, tenant: int) -> float | None:
        """Return the tenant's requests a ms, or None where too little has been reported."""
        if len(self.samples) < 2:
            return None
        first, last = self.samples[0], self.samples[-1]
        requests = last.counts[tenant] - first.counts[tenant]
        return requests / (last.sent_ms - first.sent_ms)


@dataclass(slots=True, frozen=True)
class NodeUsage:
    """What is known of a node's use, and whether that is recent enough to lend its share."""

    usage: PeerUsage | None
    is_current: bool

    def demand(self, tenant: int, even_per_ms: float) -> float:
        """Return the rate (requests a ms) that the node asks for.

        One that has not been heard lately asks for no less than its even share.
        """
        rate = self.usage.rate(tenant) if self.usage is not None else None
        if rate is None:
            return even_per_ms
        demand = HEADROOM * rate
        return demand if self.is_current else max(demand, even_per_ms)


def max_min_fair(total: float, demands: Sequence[float]) -> list[float]:
    """Return max-min fair shares: nobody gets more than its demand while another lacks.

    What no demand takes is shared out evenly, so that the shares add up to `total`.
    """
    shares, left = [0.0] * len(demands), total
    ascending = sorted(range(len(demands)), key=lambda index: demands[index])
    for position, index in enumerate(ascending):
        shares[index] = min(demands[index], left / (len(ascending) - position))
        left -= shares[index]
    return [share + max(left, 0.0) / len(demands) for share in shares]


class QuotaSharing:
    """The share of each tenant's quota that this node may use.

    All nodes' shares together are the quota. A share that a node does not want is lent to those who
    do. A majority takes over the shares of the dead; other nodes keep to an even share among all
    possibly alive and lend nothing, so that a cluster in parts uses less than half a quota too
    much, however it is cut.

    Args:
        quotas: by tenant, requests a second.
        generation: of this process.
    """

    def __init__(self, quotas: Sequence[float], generation: int) -> None:
        self.quotas_per_s = list(quotas)[:MAX_SHARED_TENANTS]
        self.generation = generation
        self.counts = [0] * len(self.quotas_per_s)
        self.local_usage = PeerUsage(generation, 0.0)
        self.peer_usage: dict[str, PeerUsage] = {}
        self.rejected = 0

    def count_request(self, tenant: int) -> None:
        """Count a request of this node."""
        if tenant < len(self.counts):
            self.counts[tenant] += 1

    def report(self, now_ms: float) -> bytes:
        """Return what others are told of this node's use."""
        report = UsageReport(self.generation, now_ms, list(self.counts))
        self.local_usage.add(report, now_ms)
        return msgspec.msgpack.encode(report)

    def receive(self, author: str, value: bytes, now_ms: float) -> None:
        """Take over another node's report; one that is malformed is counted and ignored."""
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
        """Forget the use of all other nodes."""
        retained = set(names)
        self.peer_usage = {
            name: usage for name, usage in self.peer_usage.items() if name in retained
        }

    def quota_shares(
        self, local_name: str, quorum: QuorumState, now_ms: float, stale_after_ms: float
    ) -> tuple[float, ...]:
        """Return this node's share of each quota, 0 to 1.

        What a node reported more than `stale_after_ms` ago is too old to lend its share.
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
        """Return what is known of a node's use, the local one among them."""
        if name == local_name:
            return NodeUsage(self.local_usage, is_current=True)
        usage = self.peer_usage.get(name)
        is_current = usage is not None and now_ms - usage.received_ms < stale_after_ms
        return NodeUsage(usage, is_current)

    def _share(self, tenant: int, usages: Sequence[NodeUsage], index: int) -> float:
        """Return the share, 0 to 1, of the node at `index` among all."""
        quota_per_ms = self.quotas_per_s[tenant] / 1000
        if not quota_per_ms:
            return min(max(1 / len(usages), MIN_SHARE), 1.0)
        even_per_ms = quota_per_ms / len(usages)
        demands = [usage.demand(tenant, even_per_ms) for usage in usages]
        share = max_min_fair(quota_per_ms, demands)[index] / quota_per_ms
        return min(max(share, MIN_SHARE), 1.0)
