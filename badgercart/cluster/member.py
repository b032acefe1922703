"""One member of a cluster and the features that use what it knows. No I/O.

The same in a node and in the lab's model: reports to other nodes out, their updates in, and the
cluster's view for the policy out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from badgercart.cluster.broadcast_queue import transmit_limit
from badgercart.cluster.drain_gossip import DRAIN_TOPICS, DrainGossip
from badgercart.cluster.effects import Effect, RegisterChanged
from badgercart.cluster.failure_reports import FAILURE_TOPIC, FailureReports
from badgercart.cluster.features import DRAIN_GOSSIP, FAILURE_REPORTS, QUOTA_SHARING
from badgercart.cluster.gossip_registers import RegisterUpdate
from badgercart.cluster.quorum import QuorumState
from badgercart.cluster.quota_sharing import USAGE_TOPIC, QuotaSharing
from badgercart.cluster.swim import SwimProtocol
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.policy.events import ClusterView
from badgercart.policy.policy import Policy

MAX_MISSED_REPORTS = 4  # after which a node counts as one that wants its even share
MAX_FORWARDED_REPORTS = 64  # that a node passes on between two of its own
FAILURE_LIFETIME_MS = 10_000.0  # in which another node's report of a failing endpoint fades

Listener = Callable[[float, str, bytes], None]
"""Called with the time (ms), the author and the value of an update."""


@dataclass(slots=True, frozen=True)
class EndpointList:
    """The node's own list of endpoints."""

    version: int = 0
    listed: dict[int, DiscoveredEndpoint] | None = None


NO_ENDPOINTS = EndpointList()


class ClusterMember:
    """A membership protocol, and the features that are switched on.

    Args:
        machine: the protocol.
        quotas: by tenant, requests a second.
        share_ms: the time between two reports in a small cluster.
        uses: the names of the features that are on.
    """

    def __init__(
        self,
        protocol: SwimProtocol,
        quotas: Sequence[float],
        base_report_interval_ms: float,
        features: Iterable[str],
    ) -> None:
        self.protocol, self.features = protocol, frozenset(features)
        self.name = protocol.local_record.name
        self.base_report_interval_ms = base_report_interval_ms
        self.quota_sharing = QuotaSharing(quotas, protocol.local_record.generation)
        self.drain_gossip = DrainGossip()
        self.failure_reports = FailureReports(FAILURE_LIFETIME_MS)
        self.last_view: ClusterView | None = None
        self._version = 0  # of the registers' updates
        self.published: dict[str, bytes] = {}  # by topic
        self._listeners: dict[str, Listener] = {}  # of other subsystems, by topic
        for topic in (USAGE_TOPIC, *DRAIN_TOPICS, FAILURE_TOPIC):
            protocol.registers.declare(topic)

    @property
    def report_interval_ms(self) -> float:
        """The time (ms) between two reports.

        It grows with the cluster, so that a link carries no more.
        """
        members = len(self.protocol.table.members)
        forwarded = members * transmit_limit(members)
        return self.base_report_interval_ms * max(1.0, forwarded / MAX_FORWARDED_REPORTS)

    # Registers.

    def subscribe(
        self, topic: str, listener: Listener, urgent: bool = False, direct: bool = False
    ) -> None:
        """Have another subsystem told of the updates on a topic of its own.

        Args:
            topic: its name.
            hear: called with each update.
            urgent: whether updates are passed on as they come, not with the next round.
            direct: whether updates are for the node that they are sent to alone.
        """
        self.protocol.registers.declare(topic, urgent, direct)
        self._listeners[topic] = listener

    def send_value(
        self, now_ms: float, topic: str, value: bytes, recipient: str = ""
    ) -> list[Effect]:
        """Publish an update for another subsystem, to all nodes or to one."""
        if recipient:
            return self.protocol.send_update(now_ms, recipient, self._update(now_ms, topic, value))
        return self.publish(now_ms, topic, value)

    def publish(self, now_ms: float, topic: str, value: bytes) -> list[Effect]:
        """Publish a value to all nodes, unless it is that of the last call."""
        if self.published.get(topic) == value:
            return []
        self.published[topic] = value
        return self.protocol.publish(now_ms, self._update(now_ms, topic, value))

    def _update(self, now_ms: float, topic: str, value: bytes) -> RegisterUpdate:
        """Return an update with a version above all that this name has published before."""
        self._version = max(self._version + 1, int(now_ms + self.protocol.wall_offset_ms))
        return RegisterUpdate(topic, self.name, self._version, value)

    def receive(
        self, now_ms: float, change: RegisterChanged, endpoints: EndpointList = NO_ENDPOINTS
    ) -> list[DiscoveredEndpoint]:
        """Take over another node's update; return the entries of the list to apply again."""
        listener = self._listeners.get(change.topic)
        if listener is not None:
            listener(now_ms, change.author, change.value)
        elif change.topic == USAGE_TOPIC:
            self.quota_sharing.receive(change.author, change.value, now_ms)
        elif change.topic == FAILURE_TOPIC:
            self.failure_reports.receive(change.author, change.value, now_ms)
        elif change.topic in DRAIN_TOPICS:
            return self._receive_drains(change.value, endpoints)
        return []

    def _receive_drains(self, value: bytes, endpoints: EndpointList) -> list[DiscoveredEndpoint]:
        if DRAIN_GOSSIP not in self.features or endpoints.listed is None:
            return []
        return self.drain_gossip.receive(value, endpoints.version, endpoints.listed)

    # What other nodes are told.

    def report(self, now_ms: float, policy: Policy) -> list[Effect]:
        """Publish this node's use, and the endpoints that it finds failing."""
        effects: list[Effect] = []
        if QUOTA_SHARING in self.features:
            effects += self.publish(now_ms, USAGE_TOPIC, self.quota_sharing.report(now_ms))
        if FAILURE_REPORTS in self.features:
            value = self.failure_reports.report(failing_endpoints(policy))
            effects += self.publish(now_ms, FAILURE_TOPIC, value)
        return effects

    def announce_drains(
        self, now_ms: float, list_version: int, changed: Iterable[DiscoveredEndpoint]
    ) -> list[Effect]:
        """Publish the drains of the local list after some of its entries changed.

        Args:
            now_ms: the time.
            list_version: of the list as it is now.
            changed: the entries that changed.
        """
        for endpoint in changed:
            self.drain_gossip.record_local(endpoint, list_version, now_ms)
        effects: list[Effect] = []
        values = self.drain_gossip.announcements(now_ms)
        for topic, value in zip(DRAIN_TOPICS, values, strict=False):
            effects += self.publish(now_ms, topic, value)
        return effects

    # What the policy is told.

    def view_change(self, now_ms: float) -> ClusterView | None:
        """Return the cluster's view for the policy, or None if it has not changed."""
        quorum = self.protocol.quorum()
        others = [name for name in quorum.reachable if name != self.name]
        self.quota_sharing.retain(others)
        self.failure_reports.retain(others)
        view = self._cluster_view(quorum, others, now_ms)
        if view == self.last_view:
            return None
        self.last_view = view
        return view

    def _cluster_view(self, quorum: QuorumState, others: list[str], now_ms: float) -> ClusterView:
        shares: tuple[float, ...] = ()
        if QUOTA_SHARING in self.features:
            stale_after_ms = MAX_MISSED_REPORTS * self.report_interval_ms
            shares = self.quota_sharing.quota_shares(self.name, quorum, now_ms, stale_after_ms)
        reports: tuple[tuple[int, float], ...] = ()
        if FAILURE_REPORTS in self.features:
            reports = self.failure_reports.levels(others, now_ms)
        return cluster_view(self.name, quorum, shares, reports)


def failing_endpoints(policy: Policy) -> dict[int, float]:
    """Return the endpoints that this node itself has ejected, with their error rates."""
    return {
        endpoint_id: max(
            health.failure_rate for health in policy.fleet.endpoints.by_id[endpoint_id].health
        )
        for endpoint_id in policy.fleet.outliers.ejected
        if endpoint_id in policy.fleet.endpoints.by_id
    }


def cluster_view(
    local_name: str,
    quorum: QuorumState,
    quota_shares: tuple[float, ...],
    failure_reports: tuple[tuple[int, float], ...],
) -> ClusterView:
    """Return what the policy is told.

    Without a majority the node counts itself as one of all that may be alive.
    """
    size = len(quorum.reachable) if quorum.has_majority else quorum.possibly_alive
    index = quorum.reachable.index(local_name)
    return ClusterView(size, index, quorum.possibly_alive, quota_shares, failure_reports)
