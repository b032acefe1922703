"""A node's list from stores, and a store, as parts of an installation."""

from __future__ import annotations

import asyncio
import gc
import json
import random
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.core.endpoint_table import DiscoveredEndpoint, DiscoveryUpdate
from badgercart.core.identifiers import stable_id
from badgercart.discovery.entries import CatalogUpdateReader
from badgercart.discovery.freshness import FreshnessRule, FreshnessState
from badgercart.discovery.log_events import LIST_DOUBTFUL, LIST_FRESH, LIST_STALE
from badgercart.distribution.settings import (
    SERVERS,
    MembersSettings,
    StoreSettings,
    check_members,
    check_store,
)
from badgercart.frontends.http.requests import Page
from badgercart.policy.endpoint import EndpointState as ServerState
from badgercart.policy.events import UpdateKind

if TYPE_CHECKING:
    from badgercart.distribution.driver import FollowerDriver, StoreDriver
    from badgercart.distribution.effects import Take
    from badgercart.distribution.follower import Follower
    from badgercart.distribution.messages import Entry, Status

LONG_LIST = 1000  # servers
AGED = {
    FreshnessState.FRESH: LIST_FRESH,
    FreshnessState.DOUBTFUL: LIST_DOUBTFUL,
    FreshnessState.STALE: LIST_STALE,
}
KEPT = ("group", "service")  # settings that take a restart


def members_of(
    reader: CatalogUpdateReader,
    entries: tuple[Entry, ...],
    listed: Mapping[int, DiscoveredEndpoint],
) -> list[DiscoveredEndpoint]:
    """The lines of a topic of servers. A key that is gone has left. ValueError where any line is
    none."""
    members = []
    for key, value in {entry.key: entry.value for entry in entries}.items():
        if value is None:
            if (member := listed.get(stable_id(key.encode()))) is not None:
                members.append(replace(member, entry=replace(member.entry, state=ServerState.GONE)))
            continue
        try:
            line = json.loads(value)
            if line["instanceId"] != key:
                raise ValueError(f"instanceId is {line['instanceId']!r}")
            members.append(reader.read_endpoint(line))
        except KeyError as error:
            raise ValueError(f"{key}: {error} is missing, or none that is known") from None
        except (TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
            raise ValueError(f"{key}: {error}") from None
    return members


class DistributedDiscoveryComponent:
    """The list of one service from the stores, with its age; SIGHUP takes all settings but KEPT."""

    def __init__(self, host: ComponentHost, settings: MembersSettings) -> None:
        self.host, self.settings = host, settings
        self.topic = SERVERS + settings.service
        self.state = FreshnessState.STALE
        self.timer: asyncio.TimerHandle | None = None
        self.started = False
        self.refused: Counter[str] = Counter()  # by drivers before this one
        self.driver = self.build(settings)
        host.list_state = lambda: self.state.value
        host.machines["distribution.freshness"] = self.follower.freshness
        host.pages[b"/_distribution"] = Page(self.page)
        self.register()

    def build(self, settings: MembersSettings) -> FollowerDriver:
        from badgercart.distribution.driver import FollowerDriver
        from badgercart.distribution.follower import Follower, Timing
        from badgercart.distribution.messages import Codec

        config, join = self.host.config, self.host.pipeline
        timing = Timing(
            silence=settings.silence_ms,
            dial=settings.dial_ms,
            answer=settings.answer_ms,
            window=settings.window_ms,
            longest=settings.window_most_ms,
            lag=settings.lag_ms,
        )
        # Each node has an order of stores and moments of its own, also where seeds are the same.
        rng = random.Random(f"{config.seed} {config.name} distribution")
        rule = FreshnessRule(settings.doubtful_after_ms, settings.stale_after_ms)
        follower = Follower(config.name, (self.topic,), len(settings.stores), timing, rng, rule)
        codec = Codec(settings.group, settings.secret.encode())
        return FollowerDriver(
            self.host.loop,
            join.clock,
            follower,
            codec,
            settings.stores,
            self.take,
            self.look,
            config.source,
        )

    @property
    def follower(self) -> Follower:
        return self.driver.follower

    def register(self) -> None:
        meters, clock = self.host.metrics, self.host.pipeline.clock
        meters.gauge(
            "badgercart_list_age_seconds",
            "Time since the list was whole for sure.",
            lambda: self.follower.age(clock()) / 1000,
        )
        meters.gauge(
            "badgercart_distribution_number",
            "The number of the last change in force, by topic.",
            lambda: {topic: held.number for topic, held in self.follower.topics.items()},
            "topic",
        )
        meters.counter(
            "badgercart_distribution_changes",
            "Changes and whole topics taken.",
            lambda: self.follower.changes,
        )
        meters.counter(
            "badgercart_distribution_faults",
            "Gaps that were closed and stores that were left, by kind.",
            lambda: self.follower.faults,
            "kind",
        )
        meters.counter(
            "badgercart_distribution_refused",
            "Frames and connections refused, by kind.",
            lambda: self.refused + self.driver.refused,
            "kind",
        )
        meters.counter(
            "badgercart_distribution_dials", "Calls to stores.", lambda: self.follower.dials
        )

    # Life.

    async def start(self) -> None:
        self.started = True
        self.aged()
        self.driver.start()

    def prepare(self, settings: MembersSettings) -> Callable[[], None]:
        return lambda: self.move(
            settings.model_copy(update={k: getattr(self.settings, k) for k in KEPT})
        )

    def move(self, settings: MembersSettings) -> None:
        """Other stores, secrets and times: the list stays in force, its age runs on."""
        if settings == self.settings:
            return
        old, driver = self.follower, self.driver
        driver.close()
        self.refused += driver.refused
        self.settings, self.driver = settings, self.build(settings)
        self.follower.succeed(old)
        self.follower.freshness.rule = FreshnessRule(
            settings.doubtful_after_ms, settings.stale_after_ms
        )
        if self.started:
            self.aged()  # what follows from the same state may be another thing now
            self.driver.start()

    async def drain(self, until: float) -> None:
        """The list is followed to the end: what is held may still be sent again."""

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.driver.close()

    # The list.

    def take(self, told: Take) -> None:
        """Have a change in force, or have the topic told whole again where that can't be."""
        from badgercart.distribution import log_events as events

        roster = self.host.endpoint_table
        try:
            members = members_of(self.host.reader, told.entries, roster.listed)
            kind = UpdateKind.SNAPSHOT if told.whole else UpdateKind.DELTA
            roster.accept_update(DiscoveryUpdate(kind, told.number, members))
        except ValueError as error:
            events.UNUSABLE(topic=told.topic, number=told.number, error=error)
            self.driver.run(self.follower.ask_whole(self.host.pipeline.clock(), told.topic))
            return
        if told.whole and len(members) >= LONG_LIST:
            # the collector would stop the loop for long to look at all of them again and again
            gc.freeze()

    def look(self) -> None:
        """Say a change of the list's state, and wake up for the next one."""
        now, freshness = self.host.pipeline.clock(), self.follower.freshness
        state = freshness.state(now)
        if state is not self.state:
            age = f"{freshness.age_ms(now) / 1000:.1f}"
            AGED[state](age=age, was=self.state.value, version=self.host.endpoint_table.version)
            self.state = state
            self.aged()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = freshness.next_change(now)
        if due is not None:
            self.timer = self.host.loop.call_later(max(0.0, due - now) / 1000 + 0.001, self.look)

    def aged(self) -> None:
        self.host.endpoint_table.suspend(
            self.state is FreshnessState.STALE and self.settings.when_stale == "refuse"
        )

    # For operators.

    def page(self) -> bytes:
        follower, age = self.follower, self.follower.age(self.host.pipeline.clock())
        host, port = self.settings.stores[max(0, follower.store)]
        told = {
            "name": self.host.config.name,
            "group": self.settings.group,
            "store": f"{host}:{port}" if follower.greeted else None,
            "state": self.state.value,
            "age_ms": round(age, 1) if age < float("inf") else None,
            "topics": {topic: held.number for topic, held in follower.topics.items()},
            "unknown": sorted(follower.unknown),
            "changes": follower.changes,
            "dials": follower.dials,
            "faults": dict(follower.faults),
            "refused": dict(self.refused + self.driver.refused),
        }
        return json.dumps(told).encode()


def store_driver(
    settings: StoreSettings,
    folder: str,
    loop: asyncio.AbstractEventLoop,
    clock: Callable[[], float],
    failed: Callable[[Exception], None],
) -> StoreDriver:
    """A store of what its folder holds. Raises OSError and JournalError."""
    from badgercart.distribution.driver import StoreDriver
    from badgercart.distribution.journal import Journal
    from badgercart.distribution.messages import Codec
    from badgercart.distribution.store import Store, Timing

    journal = Journal(Path(folder) / settings.folder)
    try:
        recovered = journal.recover()
    except BaseException:
        journal.close()
        raise
    timing = Timing(
        settings.heartbeat_ms, settings.election_ms, settings.beat_ms, settings.patience_ms
    )
    names = tuple(entry.name for entry in settings.store)
    voters = tuple(entry.name for entry in settings.store if entry.voter)
    rng = random.Random()  # elections: no two stores may draw alike
    store = Store(settings.name, voters, names, timing, rng, recovered, settings.most_followers)
    addresses = {entry.name: entry.address for entry in settings.store}
    codec = Codec(settings.group, settings.secret.encode())
    return StoreDriver(loop, clock, store, journal, codec, settings.listen, addresses, rng, failed)


def say_listening(settings: StoreSettings, driver: StoreDriver) -> None:
    from badgercart.distribution import log_events as events

    (host, port), store = driver.listen, driver.store
    events.LISTENING(
        name=store.name,
        group=settings.group,
        host=host,
        port=port,
        topics=len(store.topics),
        committed=store.committed,
    )


class StoreComponent:
    """One store, in a process that may do other things."""

    def __init__(self, host: ComponentHost, settings: StoreSettings) -> None:
        self.host, self.settings = host, settings
        self.driver: StoreDriver | None = None
        meters = host.metrics
        meters.gauge(
            "badgercart_store_age_seconds", "Time since it knew that it had all.", self.age
        )
        meters.gauge("badgercart_store_leading", "1 while it leads.", lambda: float(self.leading()))
        meters.gauge(
            "badgercart_store_followers",
            "Nodes that it tells.",
            lambda: self.status(lambda status: status.followers),
        )
        meters.gauge(
            "badgercart_store_committed",
            "Changes in force.",
            lambda: self.status(lambda status: status.committed),
        )
        meters.counter(
            "badgercart_store_refused",
            "Frames and connections refused, by kind.",
            lambda: self.driver.refused if self.driver else {},
            "kind",
        )

    def age(self) -> float:
        return self.status(lambda status: status.age) / 1000 if self.driver else float("inf")

    def leading(self) -> bool:
        return self.driver is not None and self.driver.store.leading

    def status(self, figure: Callable[[Status], float]) -> float:
        return float(figure(self.driver.status())) if self.driver else 0.0

    async def start(self) -> None:
        host, settings = self.host, self.settings
        self.driver = store_driver(
            settings, host.folder, host.loop, host.pipeline.clock, lambda error: None
        )
        await self.driver.start()
        say_listening(settings, self.driver)

    def prepare(self, settings: StoreSettings) -> Callable[[], None] | None:
        return None  # all of it takes a restart: the other stores know it by it

    async def drain(self, until: float) -> None:
        """Nothing is held here; nodes turn to other stores."""

    def close(self) -> None:
        if self.driver is not None:
            self.driver.close()


COMPONENTS = (
    ComponentDeclaration(
        name="distribution",
        key=("members", "distribution"),
        kind=ComponentKind.DISCOVERY,
        settings=MembersSettings,
        about="the server list from stores that tell changes",
        build=DistributedDiscoveryComponent,
        check=check_members,
        reloads=("*",),
        extra="distribution",
        libraries=("msgspec",),
        commands="badgercart.distribution.commands:distribution",
    ),
    ComponentDeclaration(
        name="distribution-store",
        key=("distribution",),
        kind=ComponentKind.SERVICE,
        settings=StoreSettings,
        about="a store that tells changes to nodes",
        build=StoreComponent,
        check=check_store,
        extra="distribution",
        libraries=("msgspec",),
    ),
)
