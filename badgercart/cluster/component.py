"""Nodes that know each other, as a part of an installation: the machine on sockets and its uses."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.cluster import log_events as events
from badgercart.cluster.settings import PeersSettings, check
from badgercart.core.endpoint_table import DiscoveredEndpoint as Line
from badgercart.core.ports import IncomingRequest, RequestOutcome
from badgercart.frontends.http.requests import Page

if TYPE_CHECKING:
    from badgercart.cluster.membership_table import MemberState
    from badgercart.cluster.swim import Effect, Posted

MAX_TOLD = 512  # changes that `peers why` looks back on
STATUS_WORDS = (
    "alive",
    "suspect",
    "dead",
    "left",
)  # by a status's number: as the page and the log have it


def place_of(settings: PeersSettings, host: str) -> tuple[str, str]:
    """Zone and region of an address by the networks in the file; empty where none fits."""
    import netaddr

    for place in settings.place:
        if netaddr.IPAddress(host) in netaddr.IPNetwork(place.network):
            return place.zone, place.region
    return "", ""


class ClusterComponent:
    """One member of a group, and the policy's company."""

    def __init__(self, host: ComponentHost, settings: PeersSettings) -> None:
        from badgercart.cluster.codec import Codec
        from badgercart.cluster.driver import Allowed, Driver
        from badgercart.cluster.member import Member
        from badgercart.cluster.membership_table import MembershipRecord, Status
        from badgercart.cluster.swim import SwimProtocol

        self.host, self.settings = host, settings
        config, clock = host.config, host.pipeline.clock
        address = settings.advertise or settings.listen
        zone, region = place_of(settings, address[0])
        if not zone:
            zone = next(
                (name for name, at in config.zones.items() if at == config.settings.zone), ""
            )
        # Later processes have larger numbers; the low bits tell those of one millisecond apart.
        boot = int(time.time() * 1000) << 10 | secrets.randbits(10)
        me = MembershipRecord(config.name, 0, Status.ALIVE, address, boot, zone, region)
        offset = time.time() * 1000 - clock()
        rng = random.Random(f"{config.seed} peers")
        expected = config.settings.cluster_size
        self.machine = SwimProtocol(me, settings.timing(), settings.seeds, rng, offset, expected)
        codec = Codec(settings.group, settings.secret.encode())
        allowed = Allowed(settings.allow)
        self.driver = Driver(
            host.loop, clock, self.machine, codec, settings.listen, allowed, self.act
        )
        self.member = Member(
            self.machine, config.settings.quotas_per_s, settings.share_ms, settings.uses
        )
        does = self.member.does
        self.standing: dict[str, Any] = {}  # as it was said last
        self.told: deque[dict[str, Any]] = deque(maxlen=MAX_TOLD)
        self.lines: list[Line] = []  # that have changed since drains were told last
        self.timer: asyncio.TimerHandle | None = None
        host.pages[b"/_peers"] = Page(self.page)
        host.services["peers"] = self
        if "drains" in does:
            host.endpoint_table.override = self.member.rumours.amend
            host.endpoint_table.on_change.append(self.on_line)
        if "shares" in does:
            host.pipeline.in_flight.observers += (self,)
        self.register()

    def register(self) -> None:
        meters, driver, machine = self.host.metrics, self.driver, self.machine
        meters.gauge(
            "badgercart_peers_live", "Nodes in reach.", lambda: len(machine.standing().live)
        )
        meters.gauge(
            "badgercart_peers_may_live", "Nodes that may live.", lambda: machine.standing().may_live
        )
        meters.gauge(
            "badgercart_peers_unwell", "Local health, 0 is well.", lambda: machine.health.score
        )
        meters.gauge("badgercart_peers_queue", "News to be passed on.", lambda: len(machine.queue))
        meters.counter(
            "badgercart_peers_bytes_out", "Bytes sent to peers.", lambda: driver.bytes_out
        )
        meters.counter("badgercart_peers_bytes_in", "Bytes from peers.", lambda: driver.bytes_in)
        meters.counter(
            "badgercart_peers_refused", "Packets refused.", lambda: driver.refused.total()
        )

    async def start(self) -> None:
        await self.driver.start()
        host, port = self.driver.listen
        events.LISTENING(host=host, port=port, name=self.machine.me.name, group=self.settings.group)
        self.tick()

    def prepare(self, settings: PeersSettings) -> Callable[[], None] | None:
        return None  # all of it takes a restart: others know the node by it

    async def drain(self, until: float) -> None:
        """All that was held is answered: the others may take over what was ours at once."""
        if self.timer is not None:
            self.timer.cancel()
        self.driver.run(self.machine.leave(self.host.pipeline.clock()))
        await asyncio.sleep(self.settings.gossip_ms / 1000)  # those whom it told pass it on

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.driver.close()

    # What the machine says.

    def act(self, effects: list[Effect]) -> None:
        from badgercart.cluster.swim import Changed, Conflict, Paused, Posted

        stands = False  # otherwise than before, perhaps: reports of use wait for the next round
        for effect in effects:
            stands = stands or not isinstance(effect, Posted)
            if isinstance(effect, Changed):
                self.on_changed(effect.now)
            elif isinstance(effect, Posted):
                self.on_post(effect)
            elif isinstance(effect, Conflict):
                does = "stands back" if effect.stands_back else "goes on"
                events.CONFLICT(
                    name=self.machine.me.name, does=does, boot=effect.boot, **self.stamp()
                )
            elif isinstance(effect, Paused):
                events.PAUSED(gap_ms=round(effect.gap), **self.stamp())
        if stands:
            self.tell()

    def stamp(self) -> dict[str, Any]:
        """The hybrid time of an event of ours, as the timeline reads it."""
        time, count = self.machine.stamp()
        return {"hlc": f"{time}.{count}"}

    def on_changed(self, belief: MemberState) -> None:
        claim, stamp = belief.claim, self.stamp()
        fields = {
            "peer": claim.name, "status": STATUS_WORDS[claim.status], "word": belief.word,
            "accuser": claim.by, "incarnation": claim.incarnation,
        }  # fmt: skip
        self.told.append(fields | stamp)
        events.CHANGED(**fields, **stamp)

    def on_post(self, post: Posted) -> None:
        roster = self.host.endpoint_table
        lines = self.member.heard(self.host.pipeline.clock(), post, roster.version, roster.listed)
        for line in lines:
            events.DRAINED(server=line.name, author=post.author, **self.stamp())
        if lines:
            roster.reapply(lines)

    # What is told to others.

    def on_line(self, member: Line) -> None:
        if not self.lines:
            self.host.loop.call_soon(self.tell_drains)
        self.lines.append(member)

    def tell_drains(self) -> None:
        """By now the roster knows by which version these lines hold."""
        lines, self.lines = self.lines, []
        version = self.host.endpoint_table.version
        self.driver.run(self.member.drains(self.host.pipeline.clock(), version, lines))
        if over := self.member.rumours.over(version):
            self.host.endpoint_table.reapply(over)

    def request_finished(
        self,
        request_id: int,
        intake: IncomingRequest,
        final: RequestOutcome,
        took: float,
        server: int,
        sends: int,
    ) -> None:
        self.member.shares.count(intake.tenant)

    def tick(self) -> None:
        """One round of reports, and of what follows from the others'."""
        self.timer = self.host.loop.call_later(self.member.every / 1000, self.tick)
        self.driver.run(self.member.report(self.host.pipeline.clock(), self.host.pipeline.policy))
        if "drains" in self.member.does:
            self.tell_drains()
        self.tell()

    def tell(self) -> None:
        """Have the policy know its company, where that has changed."""
        standing = self.machine.standing()
        told = {
            "standing": str(standing.level),
            "live": len(standing.live),
            "may_live": standing.may_live,
        }
        if told != self.standing:
            self.standing = told
            events.LEVEL(**told, **self.stamp())
        if (event := self.member.company(self.host.pipeline.clock())) is not None:
            events.POSTED(size=event.size, may_live=event.possibly_alive)
            self.host.pipeline.dispatch(event)

    # For operators.

    def page(self) -> bytes:
        now, machine, standing = self.host.pipeline.clock(), self.machine, self.machine.standing()
        members = [
            {
                "name": belief.claim.name,
                "status": STATUS_WORDS[belief.status],
                "address": f"{belief.claim.address[0]}:{belief.claim.address[1]}",
                "zone": belief.claim.zone,
                "region": belief.claim.region,
                "incarnation": belief.claim.incarnation,
                "since_s": round((now - belief.since) / 1000, 1),
                "word": belief.word,
                "accuser": belief.claim.by,
            }
            for belief in sorted(machine.view.beliefs.values(), key=lambda b: b.claim.name)
        ]
        told = {
            "name": machine.me.name,
            "level": str(standing.level),
            "live": len(standing.live),
            "may_live": standing.may_live,
            "unwell": machine.health.score,
            "stands_back": machine.stands_back,
            "members": members,
            "parts": list(self.member.told.quota_shares) if self.member.told else [],
            "drained_by_rumour": len(self.member.rumours.known),
            "refused": dict(self.driver.refused),
            "bytes_out": self.driver.bytes_out,
            "changes": list(self.told),
        }
        return json.dumps(told).encode()


COMPONENTS = (
    ComponentDeclaration(
        name="peers",
        key=("peers",),
        kind=ComponentKind.SERVICE,
        settings=PeersSettings,
        about="nodes that know each other",
        build=ClusterComponent,
        extra="peers",
        libraries=("msgspec", "netaddr"),
        check=check,
        commands="badgercart.cluster.commands:peers",
    ),
)
