"""One member of a cluster, and the features that use the membership protocol. No I/O.

A node and the lab's model use the same class: it publishes reports, receives the updates of other
nodes, and returns the view of the cluster for the policy.
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

# Reports that a node may miss before its usage is stale and it is assigned at least its even share.
MAX_MISSED_REPORTS = 4
# Reports that a node forwards for others in the interval between two of its own reports.
MAX_FORWARDED_REPORTS = 64
# The age at which another node's report of a failing endpoint has decayed to 0.
FAILURE_LIFETIME_MS = 10_000.0

Listener = Callable[[float, str, bytes], None]
"""Called with the time (ms), the author and the value of an update."""


@dataclass(slots=True, frozen=True)
class EndpointList:
    """The node's own endpoint list with its version."""

    version: int = 0
    listed: dict[int, DiscoveredEndpoint] | None = None


NO_ENDPOINTS = EndpointList()


class ClusterMember:
    """A membership protocol with the features that are enabled.

    Args:
        protocol: the membership protocol.
        quotas: the quota of each tenant in requests per second.
        base_report_interval_ms: the interval between two reports in a small cluster.
        features: the names of the enabled features.

    Attributes:
        published: the value published last, by topic.
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
        self._version = 0  # of the latest update
        self.published: dict[str, bytes] = {}
        self._listeners: dict[str, Listener] = {}  # by topic
        for topic in (USAGE_TOPIC, *DRAIN_TOPICS, FAILURE_TOPIC):
            protocol.registers.declare(topic)

    @property
    def report_interval_ms(self) -> float:
        """The interval between two reports (ms).

        It grows with the cluster, so that the traffic on a link does not.
        """
        members = len(self.protocol.table.members)
        forwarded = members * transmit_limit(members)
        return self.base_report_interval_ms * max(1.0, forwarded / MAX_FORWARDED_REPORTS)

    # Registers of other subsystems.

    def subscribe(
        self, topic: str, listener: Listener, urgent: bool = False, direct: bool = False
    ) -> None:
        """Declare another subsystem's topic, and call a listener with its updates.

        Args:
            topic: the name of the topic.
            listener: called with each update.
            urgent: whether updates are forwarded immediately instead of in the next gossip round.
            direct: whether updates are for the recipient only, and not forwarded.
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
        """Publish a value to all nodes, unless it is unchanged."""
        if self.published.get(topic) == value:
            return []
        self.published[topic] = value
        return self.protocol.publish(now_ms, self._update(now_ms, topic, value))

    def _update(self, now_ms: float, topic: str, value: bytes) -> RegisterUpdate:
        """Return an update whose version is above all that nodes of this name have published."""
        self._version = max(self._version + 1, int(now_ms + self.protocol.wall_offset_ms))
        return RegisterUpdate(topic, self.name, self._version, value)

    def receive(
        self, now_ms: float, change: RegisterChanged, endpoints: EndpointList = NO_ENDPOINTS
    ) -> list[DiscoveredEndpoint]:
        """Process another node's update; return the endpoint entries to apply again."""
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

    # Reports to other nodes.

    def report(self, now_ms: float, policy: Policy) -> list[Effect]:
        """Publish this node's usage, and the endpoints that it has ejected as failing."""
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
            now_ms: the current time.
            list_version: the current version of the list.
            changed: the changed entries.
        """
        for endpoint in changed:
            self.drain_gossip.record_local(endpoint, list_version, now_ms)
        effects: list[Effect] = []
        values = self.drain_gossip.announcements(now_ms)
        for topic, value in zip(DRAIN_TOPICS, values, strict=False):
            effects += self.publish(now_ms, topic, value)
        return effects

    # The view of the cluster for the policy.

    def view_change(self, now_ms: float) -> ClusterView | None:
        """Return the view of the cluster for the policy, or None if it has not changed."""
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
    """Return the error rates of the endpoints that this node itself has ejected."""
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
    """Return the view of the cluster for the policy.

    Without a majority, the cluster size is the number of all members that may be alive.
    """
    size = len(quorum.reachable) if quorum.has_majority else quorum.possibly_alive
    index = quorum.reachable.index(local_name)
    return ClusterView(size, index, quorum.possibly_alive, quota_shares, failure_reports)
