"""Zones that fail over by one plan, as a part of an installation: the keeper on the node's clock
and sockets."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any, cast

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind, ReloadError
from badgercart.core.endpoint_table import DiscoveredEndpoint as Line
from badgercart.core.ports import IncomingRequest, RequestOutcome
from badgercart.frontends.http.requests import Page
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import AttemptResult, TrafficPlan
from badgercart.zones import log_events as events
from badgercart.zones.failure_detector import VERDICT_WORDS
from badgercart.zones.settings import ZonesSettings, check

if TYPE_CHECKING:
    from badgercart.cluster.component import ClusterComponent
    from badgercart.zones.failover_controller import Fleet

LARGE = (
    4000  # numbers in a plan from which it is worked out beside the loop: it takes about 5 ms then
)


class ZonesComponent:
    """One node's keeper."""

    def __init__(self, host: ComponentHost, settings: ZonesSettings) -> None:
        from badgercart.zones.failover_controller import FailoverController, Fleet

        self.host, self.settings, config = host, settings, host.config
        self.peers = cast("ClusterComponent", host.services["peers"])
        worths = [cls.priority_weight for cls in config.settings.classes]
        geography = settings.geography(config.zones, config.classes, config.tenants)
        ways = settings.ways(config.settings.cluster_size)
        self.keeper = FailoverController(
            self.peers.member, geography, config.settings.zone, worths, ways
        )
        self.keeper.wake = self.wake
        nothing = (0.0,) * len(config.zones)
        self.fleet = Fleet(nothing, nothing, (0,) * len(config.zones), ())
        self.random = random.Random(f"{config.seed} zones")
        self.timer: asyncio.TimerHandle | None = None
        self.waking: asyncio.Handle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.looks = self.told = self.maps = 0
        self.short = False
        self.verdicts: tuple[Any, ...] = ()
        self.states = [gate.state for gate in self.keeper.gates]
        self.place(settings)
        host.pipeline.in_flight.attempt_observers += (self,)
        host.pipeline.in_flight.observers += (self,)
        host.pages[b"/_zones"] = Page(self.page)
        host.pages[b"/_zones/if"] = Page(
            self.if_gone
        )  # by itself: it works out a plan for each zone
        self.register()

    def place(self, settings: ZonesSettings) -> None:
        """Have servers without a zone get that of their network."""
        import netaddr

        zones = self.host.config.zones
        networks = [
            (netaddr.IPNetwork(told.network), zones[told.zone]) for told in settings.network
        ]

        def zone_of(address: str) -> int:
            try:
                ip = netaddr.IPAddress(address)
            except (netaddr.AddrFormatError, ValueError):
                return -1
            return next((zone for network, zone in networks if ip in network), -1)

        self.host.reader.zone_of_host = zone_of if networks else None

    def register(self) -> None:
        meters, keeper, names = self.host.metrics, self.keeper, list(self.host.config.zones)
        meters.gauge("badgercart_zones_epoch", "The plan in force; 0: none.", lambda: self.epoch)
        meters.gauge(
            "badgercart_zones_open", "Of its capacity, what counts of a zone.",
            lambda: {names[z]: gate.factor for z, gate in enumerate(keeper.gates)}, "zone",
        )  # fmt: skip
        meters.gauge(
            "badgercart_zones_share", "Of this node's requests, what goes to a zone by its plan.",
            lambda: dict(zip(names, self.shares(), strict=True)), "zone",
        )  # fmt: skip
        meters.counter(
            "badgercart_zones_plans", "Plans that were in force here.", lambda: keeper.plans
        )

    @property
    def epoch(self) -> int:
        held = self.keeper.council.current
        return held.ballot.epoch if held is not None else 0

    def shares(self) -> list[float]:
        """By zone, over the classes."""
        event, classes = self.keeper.event, self.keeper.geography.classes
        if event is None:
            return [0.0] * len(self.host.config.zones)
        rows = event.shares[:classes]
        return [sum(row[zone] for row in rows) / len(rows) for zone in range(len(rows[0]))]

    # A part's life.

    async def start(self) -> None:
        self.look()

    def prepare(self, settings: ZonesSettings) -> Callable[[], None] | None:
        """Regions, distances and what is bound can change; all else takes a restart."""
        config = self.host.config
        try:
            geography = settings.geography(config.zones, config.classes, config.tenants)
        except KeyError as error:
            raise ReloadError(f"{error} is not known before a restart") from None

        def commit() -> None:
            self.place(settings)
            self.keeper.relocate(self.host.pipeline.clock(), geography, config.settings.zone)
            self.states = [gate.state for gate in self.keeper.gates]

        return commit

    async def drain(self, until: float) -> None:
        """The plan holds until the last answer."""

    def close(self) -> None:
        for handle in (self.timer, self.waking):
            if handle is not None:
                handle.cancel()
        for task in self.tasks:
            task.cancel()

    # What the join tells.

    def zone_of(self, server_id: int) -> int:
        roster = self.host.endpoint_table
        member = roster.listed.get(server_id) or roster.removed.get(server_id)
        return member.entry.zone if member is not None else -1

    def attempt_sent(self, server_id: int) -> None:
        self.keeper.sent(self.host.pipeline.clock(), self.zone_of(server_id), server_id)

    def attempt_ended(self, server_id: int, result: AttemptResult, elapsed: float) -> None:
        self.keeper.ended(self.host.pipeline.clock(), self.zone_of(server_id), result, elapsed)

    def request_finished(
        self,
        request_id: int,
        intake: IncomingRequest,
        final: RequestOutcome,
        took: float,
        server: int,
        sends: int,
    ) -> None:
        self.keeper.asked(intake.class_index, intake.tenant)

    # The look.

    def look(self) -> None:
        from badgercart.zones.failover_controller import LOOK

        self.timer = self.host.loop.call_later(LOOK / 1000, self.look)
        keeper, now = self.keeper, self.host.pipeline.clock()
        self.direct(keeper.look(now, self.fleet_now()))
        if keeper.question is not None and not keeper.answering:
            keeper.answering = True
            numbers = keeper.geography.rows * len(keeper.geography.zones) ** 2
            if numbers < LARGE:
                keeper.answer(now, keeper.work_out(keeper.question))
            else:
                self.spawn(self.work_out())
        for zone in keeper.probes(now):
            self.spawn(self.probe(zone))
        self.flush()
        self.say()

    def fleet_now(self) -> Fleet:
        """The servers by zone; of a long list not at each look."""
        from badgercart.zones.sight import fleet_of, looks_apart

        policy = self.host.pipeline.policy
        if self.looks % looks_apart(policy) == 0:
            self.fleet = fleet_of(policy, self.keeper.geography, self.settings.serves)
        self.looks += 1
        return self.fleet

    def direct(self, event: TrafficPlan | None) -> None:
        if event is not None:
            self.host.pipeline.dispatch(event)

    def spawn(self, what: Any) -> None:
        task = self.host.loop.create_task(what)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def work_out(self) -> None:
        question = self.keeper.question
        assert question is not None
        plan = await self.host.loop.run_in_executor(None, self.keeper.work_out, question)
        self.keeper.answer(self.host.pipeline.clock(), plan)
        self.wake()

    async def probe(self, zone: int) -> None:
        """Ask one server of a zone, drawn anew each time."""
        from badgercart.zones.probe import answers

        there = [m for m in self.host.endpoint_table.listed.values() if fit(m, zone)]
        found, server_id = False, 0
        if there:
            member = self.random.choice(there)
            server_id, settings = member.entry.id, self.settings
            source = self.host.config.source
            found = await answers(member.address, settings.probe_path, settings.probe_ms, source)
        self.keeper.probed(self.host.pipeline.clock(), zone, server_id, found)

    def wake(self) -> None:
        """There is something for the others: once this event is over, all of it at once."""
        if self.waking is None:
            self.waking = self.host.loop.call_soon(self.flush)

    def flush(self) -> None:
        if self.waking is not None:
            self.waking.cancel()
            self.waking = None
        if self.keeper.out:
            effects, self.keeper.out = self.keeper.out, []
            self.peers.driver.run(effects)

    # For people.

    def say(self) -> None:
        """Log what has changed since the last look."""
        keeper, stamp = self.keeper, self.peers.stamp
        names = keeper.geography.zones
        for told in keeper.news():
            if told.epoch:
                events.PLAN(epoch=told.epoch, proposer=told.proposer, why=told.why or "all is well",
                            plan=told.digest, until_ms=round(keeper.lease_left(self.host.pipeline.clock())),
                            **stamp())  # fmt: skip
            elif told.order is not None:
                order = told.order
                until = datetime.fromtimestamp(order.until / 1000, UTC).isoformat(
                    timespec="seconds"
                )
                events.ORDERED(
                    by=order.by, what=order.what, zone=names[order.zone], until=until, **stamp()
                )
            elif told.outdone:
                events.OUTDONE(epoch=told.outdone, **stamp())
            else:
                events.LAPSED(epoch=told.lapsed, why=told.why, **stamp())
        for zone, verdict in enumerate(keeper.verdicts):
            if zone >= len(self.verdicts) or verdict is not self.verdicts[zone]:
                events.SEEN(zone=names[zone], verdict=VERDICT_WORDS[verdict], **stamp())
        self.verdicts = keeper.verdicts
        for zone, gate in enumerate(keeper.gates):
            if gate.state is not self.states[zone]:
                self.states[zone] = gate.state
                events.GATE(
                    zone=names[zone], state=gate.state.value, hold_s=gate.hold / 1000, **stamp()
                )
        if keeper.short and not self.short:
            events.SHORT(**stamp())
        self.short = keeper.short
        if keeper.evidence.other_map > self.maps:
            events.OTHER_MAP(count=keeper.evidence.other_map, **stamp())
            self.maps = keeper.evidence.other_map

    def page(self) -> bytes:
        return json.dumps(self.keeper.page(self.host.pipeline.clock())).encode()

    def if_gone(self) -> bytes:
        return json.dumps(self.keeper.if_gone()).encode()


def fit(member: Line, zone: int) -> bool:
    """Whether a server may be asked for its zone."""
    return member.entry.zone == zone and member.entry.state is EndpointState.READY


COMPONENTS = (
    ComponentDeclaration(
        name="zones",
        key=("zones",),
        kind=ComponentKind.SERVICE,
        settings=ZonesSettings,
        about="zones and regions that fail over by one plan",
        build=ZonesComponent,
        needs=("peers",),
        extra="peers",
        libraries=("msgspec", "netaddr"),
        check=check,
        reloads=("region", "distance", "network", "bound_classes", "bound_tenants"),
        commands="badgercart.zones.commands:zones",
    ),
)
