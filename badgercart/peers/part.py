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

from badgercart.core.ports import Final, Intake
from badgercart.core.roster import Member
from badgercart.fronts.http.requests import Page
from badgercart.operator.part import Declaration, Host, Kind
from badgercart.peers import events
from badgercart.peers.settings import PeersSettings, check
from cottonhall.interface import Company

if TYPE_CHECKING:
    from badgercart.peers.machine import Effect
    from badgercart.peers.view import Belief

MAX_TOLD = 512  # changes that `peers why` looks back on
STALE = 4  # reports that a node may miss before it counts as one that wants its even part
FADES = 10_000.0  # ms in which another's word of a failing server fades


def place_of(settings: PeersSettings, host: str) -> tuple[str, str]:
    """Zone and region of an address by the networks in the file; empty where none fits."""
    import netaddr

    for place in settings.place:
        if netaddr.IPAddress(host) in netaddr.IPNetwork(place.network):
            return place.zone, place.region
    return "", ""


class PeersPart:
    """One member of a group, and the policy's company."""

    def __init__(self, host: Host, settings: PeersSettings) -> None:
        from badgercart.peers.driver import Allowed, Driver
        from badgercart.peers.machine import Machine
        from badgercart.peers.uses import DRAINS, FAILING, USE, Hearsay, Rumours, Shares
        from badgercart.peers.view import Claim, Status
        from badgercart.peers.wire import Codec

        self.host, self.settings = host, settings
        config, clock = host.config, host.join.clock
        address = settings.advertise or settings.listen
        zone, region = place_of(settings, address[0])
        if not zone:
            zone = next((name for name, at in config.zones.items() if at == config.settings.zone), "")
        # Later processes have larger numbers; the low bits tell those of one millisecond apart.
        boot = int(time.time() * 1000) << 10 | secrets.randbits(10)
        me = Claim(config.name, 0, Status.ALIVE, address, boot, zone, region)
        offset = time.time() * 1000 - clock()
        rng = random.Random(f"{config.seed} peers")
        expected = config.settings.group_size
        self.machine = Machine(me, settings.timing(), settings.seeds, rng, offset, expected)
        codec = Codec(settings.group, settings.secret.encode())
        allowed = Allowed(settings.allow)
        self.driver = Driver(host.loop, clock, self.machine, codec, settings.listen, allowed, self.act)
        self.shares = Shares(config.settings.quotas, boot, STALE * settings.share_ms)
        self.rumours, self.hearsay = Rumours(), Hearsay(FADES)
        self.topics = (USE, *DRAINS, FAILING)
        for topic in self.topics:
            self.machine.board.follow(topic)
        self.does = frozenset(settings.uses)
        self.standing: dict[str, Any] = {}  # as it was said last
        self.told: deque[dict[str, Any]] = deque(maxlen=MAX_TOLD)
        self.company: Company | None = None
        self.lines: list[Member] = []  # that have changed since drains were told last
        self.number = 0  # of our posts
        self.posted: dict[str, bytes] = {}  # what is out of ours, by topic
        self.timer: asyncio.TimerHandle | None = None
        host.pages[b"/_peers"] = Page(self.page)
        if "drains" in self.does:
            host.roster.amend = self.rumours.amend
            host.roster.on_change.append(self.on_line)
        if "shares" in self.does:
            host.join.observers += (self,)
        self.register()

    def register(self) -> None:
        meters, driver, machine = self.host.meters, self.driver, self.machine
        meters.gauge("badgercart_peers_live", "Nodes in reach.", lambda: len(machine.standing().live))
        meters.gauge("badgercart_peers_may_live", "Nodes that may live.", lambda: machine.standing().may_live)
        meters.gauge("badgercart_peers_unwell", "Local health, 0 is well.", lambda: machine.health.score)
        meters.gauge("badgercart_peers_queue", "News to be passed on.", lambda: len(machine.queue))
        meters.counter("badgercart_peers_bytes_out", "Bytes sent to peers.", lambda: driver.bytes_out)
        meters.counter("badgercart_peers_bytes_in", "Bytes from peers.", lambda: driver.bytes_in)
        meters.counter("badgercart_peers_refused", "Packets refused.", lambda: driver.refused.total())

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
        self.driver.run(self.machine.leave(self.host.join.clock()))
        await asyncio.sleep(self.settings.gossip_ms / 1000)  # those whom it told pass it on

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.driver.close()

    # What the machine says.

    def act(self, effects: list[Effect]) -> None:
        from badgercart.peers.machine import Changed, Conflict, Paused, Posted

        for effect in effects:
            if isinstance(effect, Changed):
                self.on_changed(effect.now)
            elif isinstance(effect, Posted):
                self.on_post(effect.topic, effect.author, effect.said)
            elif isinstance(effect, Conflict):
                does = "stands back" if effect.stands_back else "goes on"
                events.CONFLICT(name=self.machine.me.name, does=does, boot=effect.boot, **self.stamp())
            elif isinstance(effect, Paused):
                events.PAUSED(gap_ms=round(effect.gap), **self.stamp())
        if not self.machine.leaving:
            self.tell()

    def stamp(self) -> dict[str, Any]:
        """The hybrid time of an event of ours, as the timeline reads it."""
        time, count = self.machine.stamp()
        return {"hlc": f"{time}.{count}"}

    def on_changed(self, belief: Belief) -> None:
        claim, stamp = belief.claim, self.stamp()
        fields = {
            "peer": claim.name, "status": claim.status.name.lower(), "word": belief.word,
            "accuser": claim.by, "incarnation": claim.incarnation,
        }  # fmt: skip
        self.told.append(fields | stamp)
        events.CHANGED(**fields, **stamp)

    def on_post(self, topic: str, author: str, said: bytes) -> None:
        from badgercart.peers.uses import DRAINS, FAILING, USE

        now, roster = self.host.join.clock(), self.host.roster
        if topic == USE:
            self.shares.take(author, said, now)
        elif topic == FAILING:
            self.hearsay.take(author, said, now)
        elif topic in DRAINS and "drains" in self.does:
            members = self.rumours.take(said, roster.version, roster.listed)
            for member in members:
                events.DRAINED(server=member.name, author=author, **self.stamp())
            if members:
                roster.renew(members)

    # What is told to others.

    def post(self, topic: str, said: bytes) -> None:
        if self.posted.get(topic) != said:
            self.posted[topic] = said
            # Larger than those of the process that had this name before.
            self.number = max(self.number + 1, int(time.time() * 1000))
            self.driver.run(self.machine.post(self.host.join.clock(), topic, self.number, said))

    def on_line(self, member: Member) -> None:
        if not self.lines:
            self.host.loop.call_soon(self.tell_drains)
        self.lines.append(member)

    def tell_drains(self) -> None:
        """By now the roster knows by which version these lines hold."""
        from badgercart.peers.uses import DRAINS

        lines, self.lines = self.lines, []
        now, version = self.host.join.clock(), self.host.roster.version
        for member in lines:
            self.rumours.note(member, version, now)
        posts = self.rumours.posts(now)
        for topic, said in zip(DRAINS, posts, strict=False):
            self.post(topic, said)
        if over := self.rumours.over(version):
            self.host.roster.renew(over)

    def over(
        self, request_id: int, intake: Intake, final: Final, took: float, server: int, sends: int
    ) -> None:
        self.shares.count(intake.tenant)

    def tick(self) -> None:
        """One round of reports, and of what follows from the others'."""
        from badgercart.peers.uses import FAILING, USE

        # Every node's report goes to every other: in a large group less often, so that a link bears no more.
        nodes = max(1.0, len(self.machine.view.beliefs) / 16)
        self.timer = self.host.loop.call_later(self.settings.share_ms * nodes / 1000, self.tick)
        now, policy = self.host.join.clock(), self.host.join.policy
        if "shares" in self.does:
            self.post(USE, self.shares.report(now))
        if "hearsay" in self.does:
            failing = {
                server_id: max(health.fails for health in policy.servers[server_id].health)
                for server_id in policy.rested
                if server_id in policy.servers
            }
            self.post(FAILING, self.hearsay.report(failing))
        if "drains" in self.does:
            self.tell_drains()
        self.tell()

    def tell(self) -> None:
        """Have the policy know its company, where that has changed."""
        from badgercart.peers.uses import company

        now, standing = self.host.join.clock(), self.machine.standing()
        told = {"standing": str(standing.level), "live": len(standing.live), "may_live": standing.may_live}
        if told != self.standing:
            self.standing = told
            events.LEVEL(**told, **self.stamp())
        names = [name for name in standing.live if name != self.machine.me.name]
        for kept in (self.shares, self.hearsay):
            kept.keep(names)
        parts = self.shares.parts(self.machine.me.name, standing, now) if "shares" in self.does else ()
        hearsay = self.hearsay.levels(names, now) if "hearsay" in self.does else ()
        event = company(self.machine.me.name, standing, parts, hearsay)
        if event != self.company:
            self.company = event
            events.POSTED(size=event.size, may_live=event.may_live)
            self.host.join.tell(event)

    # For operators.

    def page(self) -> bytes:
        now, machine, standing = self.host.join.clock(), self.machine, self.machine.standing()
        members = [
            {
                "name": belief.claim.name,
                "status": belief.status.name.lower(),
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
            "parts": list(self.company.parts) if self.company else [],
            "drained_by_rumour": len(self.rumours.known),
            "refused": dict(self.driver.refused),
            "bytes_out": self.driver.bytes_out,
            "changes": list(self.told),
        }
        return json.dumps(told).encode()


PARTS = (
    Declaration(
        name="peers",
        key=("peers",),
        kind=Kind.SERVICE,
        settings=PeersSettings,
        about="nodes that know each other",
        build=PeersPart,
        extra="peers",
        libraries=("msgspec", "netaddr"),
        check=check,
        commands="badgercart.peers.commands:peers",
    ),
)
