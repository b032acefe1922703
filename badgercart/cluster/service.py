"""Cluster membership as a running component: connects the protocol with the rest of the node."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from typing import Any

import netaddr

from badgercart.app.component import ComponentHost
from badgercart.cluster import log_events
from badgercart.cluster.admin_page import cluster_page
from badgercart.cluster.allowlist import AddressAllowlist
from badgercart.cluster.codec import PacketCodec
from badgercart.cluster.driver import ClusterDriver
from badgercart.cluster.effects import Effect, RegisterChanged
from badgercart.cluster.event_log import ClusterEventLog
from badgercart.cluster.features import DRAIN_GOSSIP, QUOTA_SHARING
from badgercart.cluster.member import ClusterMember, EndpointList
from badgercart.cluster.membership_table import MembershipRecord, MemberStatus
from badgercart.cluster.packet_gate import PacketGate
from badgercart.cluster.quorum import QuorumState
from badgercart.cluster.settings import ClusterSettings
from badgercart.cluster.swim import SwimProtocol
from badgercart.cluster.timing import Bootstrap
from badgercart.core.endpoint_table import DiscoveredEndpoint
from badgercart.core.ports import IncomingRequest, RequestOutcome
from badgercart.frontends.http.requests import OperatorPage

# Distinguish processes that start in the same millisecond.
GENERATION_RANDOM_BITS = 10


def zone_and_region_of(settings: ClusterSettings, host: str) -> tuple[str, str]:
    """Return the zone and region of the first configured network with this host, or empty ones."""
    for place in settings.place:
        if netaddr.IPAddress(host) in netaddr.IPNetwork(place.network):
            return place.zone, place.region
    return "", ""


def new_generation() -> int:
    """Return a generation for this process, above those of earlier processes."""
    unix_ms = int(time.time() * 1000)
    return unix_ms << GENERATION_RANDOM_BITS | secrets.randbits(GENERATION_RANDOM_BITS)


def local_record(host: ComponentHost, settings: ClusterSettings) -> MembershipRecord:
    """Return the node's own membership record at its start."""
    config = host.config
    address = settings.advertise or settings.listen
    zone, region = zone_and_region_of(settings, address[0])
    if not zone:
        own_index = config.settings.zone
        zone = next((name for name, index in config.zones.items() if index == own_index), "")
    alive = MemberStatus.ALIVE
    return MembershipRecord(config.name, 0, alive, address, new_generation(), zone, region)


def build_protocol(host: ComponentHost, settings: ClusterSettings) -> SwimProtocol:
    """Return the node's membership protocol, not yet started."""
    return SwimProtocol(
        local_record(host, settings),
        settings.timing(),
        Bootstrap(settings.seeds, host.config.settings.cluster_size),
        random.Random(f"{host.config.seed} peers"),
        time.time() * 1000 - host.pipeline.clock(),
    )


class DrainAnnouncer:
    """Collects changed entries of the node's own endpoint list, and announces its drains."""

    def __init__(self, host: ComponentHost, member: ClusterMember, driver: ClusterDriver) -> None:
        self._host, self._member, self._driver = host, member, driver
        self._changed: list[DiscoveredEndpoint] = []  # since the last announcement
        host.endpoint_table.override = member.drain_gossip.override
        host.endpoint_table.on_change.append(self._endpoint_changed)

    def _endpoint_changed(self, endpoint: DiscoveredEndpoint) -> None:
        if not self._changed:
            # The table learns the version of the list only after all changed entries.
            self._host.loop.call_soon(self.announce)
        self._changed.append(endpoint)

    def announce(self) -> None:
        """Announce drains, and end gossiped drains that the local list has caught up with."""
        changed, self._changed = self._changed, []
        table = self._host.endpoint_table
        now_ms = self._host.pipeline.clock()
        self._driver.run(self._member.announce_drains(now_ms, table.version, changed))
        restored = self._member.drain_gossip.expire(table.version)
        if restored:
            table.reapply(restored)


class ViewReporter:
    """Logs changes of the quorum, and dispatches changed views to the policy."""

    def __init__(
        self, host: ComponentHost, member: ClusterMember, event_log: ClusterEventLog
    ) -> None:
        self._host, self._member, self._event_log = host, member, event_log
        self._logged: dict[str, Any] = {}

    def report(self) -> None:
        """Log a change of the quorum, and dispatch a changed view to the policy."""
        self._log_quorum(self._member.protocol.quorum())
        pipeline = self._host.pipeline
        view = self._member.view_change(pipeline.clock())
        if view is not None:
            log_events.VIEW_DISPATCHED(size=view.size, may_live=view.possibly_alive)
            pipeline.dispatch(view)

    def _log_quorum(self, quorum: QuorumState) -> None:
        fields = {
            "standing": str(quorum.level),
            "live": len(quorum.reachable),
            "may_live": quorum.possibly_alive,
        }
        if fields != self._logged:
            self._logged = fields
            log_events.QUORUM_CHANGED(**fields, **self._event_log.stamp())


class ClusterComponent:
    """One member of a cluster, as a component of an installation."""

    def __init__(self, host: ComponentHost, settings: ClusterSettings) -> None:
        self.host, self.settings = host, settings
        self.protocol = build_protocol(host, settings)
        codec = PacketCodec(settings.group, settings.secret.encode())
        gate = PacketGate(codec, AddressAllowlist(settings.allow))
        clock = host.pipeline.clock
        self.driver = ClusterDriver(
            host.loop, clock, self.protocol, gate, settings.listen, self.apply
        )
        quotas = host.config.settings.quotas_per_s
        self.member = ClusterMember(self.protocol, quotas, settings.share_ms, settings.uses)
        self.event_log = ClusterEventLog(self.protocol)
        self._views = ViewReporter(host, self.member, self.event_log)
        self._timer: asyncio.TimerHandle | None = None
        features = self.member.features
        self._drains = (
            DrainAnnouncer(host, self.member, self.driver) if DRAIN_GOSSIP in features else None
        )
        if QUOTA_SHARING in features:
            host.pipeline.observers += (self,)
        host.pages[b"/_peers"] = OperatorPage(
            lambda: cluster_page(clock(), self.member, gate, self.event_log)
        )
        host.services["peers"] = self
        self._register_metrics(gate)

    def _register_metrics(self, gate: PacketGate) -> None:
        metrics, protocol = self.host.metrics, self.protocol
        health, queue = protocol.context.health, protocol.sender.queue
        metrics.gauge(
            "badgercart_peers_live", "Nodes in reach.", lambda: len(protocol.quorum().reachable)
        )
        metrics.gauge(
            "badgercart_peers_may_live",
            "Nodes that may live.",
            lambda: protocol.quorum().possibly_alive,
        )
        metrics.gauge("badgercart_peers_unwell", "Local health, 0 is well.", lambda: health.score)
        metrics.gauge("badgercart_peers_queue", "News to be passed on.", lambda: len(queue))
        metrics.counter(
            "badgercart_peers_bytes_out", "Bytes sent to peers.", lambda: gate.bytes_out
        )
        metrics.counter("badgercart_peers_bytes_in", "Bytes from peers.", lambda: gate.bytes_in)
        metrics.counter(
            "badgercart_peers_refused", "Packets refused.", lambda: gate.rejected.total()
        )

    # Lifecycle.

    async def start(self) -> None:
        """Listen, and start to report. Raises OSError if the address is not available."""
        await self.driver.start()
        host, port = self.driver.listen
        name, group = self.protocol.local_record.name, self.settings.group
        log_events.LISTENING(host=host, port=port, name=name, group=group)
        self._report()

    def prepare(self, _settings: ClusterSettings) -> Callable[[], None] | None:
        """Return None: other nodes rely on these settings, so a change needs a restart."""
        return None

    async def drain(self, _deadline_ms: float) -> None:
        """Leave the cluster, so that other nodes take over this node's shares immediately."""
        if self._timer is not None:
            self._timer.cancel()
        self.driver.run(self.protocol.leave(self.host.pipeline.clock()))
        # Wait until the notified members have forwarded it.
        await asyncio.sleep(self.settings.gossip_ms / 1000)

    def close(self) -> None:
        """Cancel the timer, and close the sockets."""
        if self._timer is not None:
            self._timer.cancel()
        self.driver.close()

    # Effects of the protocol.

    def apply(self, effects: list[Effect]) -> None:
        """Process the effects that do not send a packet."""
        for effect in effects:
            if isinstance(effect, RegisterChanged):
                self._register_changed(effect)
            else:
                self.event_log.record(effect)
        # Register updates alone wait for the next report to be evaluated.
        if not all(isinstance(effect, RegisterChanged) for effect in effects):
            self._views.report()

    def _register_changed(self, change: RegisterChanged) -> None:
        table = self.host.endpoint_table
        endpoints = EndpointList(table.version, table.listed)
        changed = self.member.receive(self.host.pipeline.clock(), change, endpoints)
        for endpoint in changed:
            stamp = self.event_log.stamp()
            log_events.ENDPOINT_DRAINED(server=endpoint.name, author=change.author, **stamp)
        if changed:
            table.reapply(changed)

    def stamp(self) -> dict[str, Any]:
        """Return the field of a log event that holds its hybrid timestamp."""
        return self.event_log.stamp()

    # Reports to other nodes.

    def request_finished(
        self,
        _request_id: int,
        request: IncomingRequest,
        _outcome: RequestOutcome,
        _elapsed_ms: float,
        _endpoint_id: int,
        _attempts: int,
    ) -> None:
        """Count the request for its tenant."""
        self.member.quota_sharing.count_request(request.tenant)

    def _report(self) -> None:
        """Report to other nodes, and update the policy's view of the cluster."""
        delay_s = self.member.report_interval_ms / 1000
        self._timer = self.host.loop.call_later(delay_s, self._report)
        pipeline = self.host.pipeline
        self.driver.run(self.member.report(pipeline.clock(), pipeline.policy))
        if self._drains is not None:
            self._drains.announce()
        self._views.report()
