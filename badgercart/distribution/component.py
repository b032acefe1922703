"""The components of this package: discovery of servers from replicas, and a replica.

Libraries are imported when a component is built, so that an installation without the component
does not need them.
"""

from __future__ import annotations

import asyncio
import gc
import json
import math
import random
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from badgercart.app.component import ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.core.endpoint_table import DiscoveryUpdate
from badgercart.discovery.freshness import FreshnessLimits, FreshnessState
from badgercart.discovery.log_events import LIST_DOUBTFUL, LIST_FRESH, LIST_STALE
from badgercart.distribution.settings import (
    SERVERS_PREFIX,
    FollowerSettings,
    ReplicaSettings,
    check_follower,
    check_replica,
)
from badgercart.frontends.http.requests import OperatorPage
from badgercart.policy.events import UpdateKind

if TYPE_CHECKING:
    from badgercart.distribution.effects import UpdateTopic
    from badgercart.distribution.follower import Follower
    from badgercart.distribution.follower_driver import FollowerDriver
    from badgercart.distribution.messages import Status
    from badgercart.distribution.replica_driver import ReplicaDriver

# From this size of a snapshot on, its servers are excluded from garbage collection.
GC_FREEZE_MIN_SERVERS = 1000
STATE_EVENTS = {
    FreshnessState.FRESH: LIST_FRESH,
    FreshnessState.DOUBTFUL: LIST_DOUBTFUL,
    FreshnessState.STALE: LIST_STALE,
}
# Changes of these settings take effect only after a restart.
RESTART_ONLY_SETTINGS = ("group", "service")


class DistributedDiscoveryComponent:
    """Discovers the servers of one service from replicas, and tracks the age of the list.

    Attributes:
        settings: the current settings.
        topic: the followed topic.
        state: the freshness of the list, as last logged.
        driver: runs the follower on its connection; replaced by each reload.
    """

    def __init__(self, host: ComponentHost, settings: FollowerSettings) -> None:
        self.settings = settings
        self.topic = SERVERS_PREFIX + settings.service
        self.state = FreshnessState.STALE
        self._host = host
        self._timer: asyncio.TimerHandle | None = None
        self._is_started = False
        self._refused_before: Counter[str] = Counter()  # counts of replaced drivers
        self.driver = self._build_driver(settings)
        host.list_state = lambda: self.state.value
        host.captured_state_machines["distribution.freshness"] = self.follower.freshness
        host.pages[b"/_distribution"] = OperatorPage(self._render_page)
        self._register_metrics()

    def _build_driver(self, settings: FollowerSettings) -> FollowerDriver:
        from badgercart.distribution.driver import Runtime
        from badgercart.distribution.follower import Follower
        from badgercart.distribution.follower_driver import FollowerDriver
        from badgercart.distribution.messages import Codec
        from badgercart.distribution.replica_selector import FollowerTiming, ReplicaSelector

        config = self._host.config
        timing = FollowerTiming(
            silence_timeout_ms=settings.silence_ms,
            connect_timeout_ms=settings.dial_ms,
            answer_timeout_ms=settings.answer_ms,
            reconnect_window_ms=settings.window_ms,
            max_reconnect_window_ms=settings.window_most_ms,
            max_lag_ms=settings.lag_ms,
        )
        # The node's name is part of the seed: nodes with the same seed setting must still draw
        # different orders of replicas and different reconnect times.
        rng = random.Random(f"{config.seed} {config.name} distribution")
        selector = ReplicaSelector(len(settings.stores), timing, rng)
        rule = FreshnessLimits(settings.doubtful_after_ms, settings.stale_after_ms)
        follower = Follower(config.name, (self.topic,), selector, timing, rule)
        codec = Codec(settings.group, settings.secret.encode())
        runtime = Runtime(self._host.loop, self._host.pipeline.clock, codec)
        driver = FollowerDriver(runtime, follower, settings.stores, self._apply_update)
        driver.on_event = self._check_freshness
        driver.local_host = config.source
        return driver

    @property
    def follower(self) -> Follower:
        """The current follower."""
        return self.driver.follower

    def _register_metrics(self) -> None:
        metrics, clock = self._host.metrics, self._host.pipeline.clock
        metrics.gauge(
            "badgercart_list_age_seconds",
            "Time since the list was whole for sure.",
            lambda: self.follower.age_ms(clock()) / 1000,
        )
        metrics.gauge(
            "badgercart_distribution_number",
            "The number of the last change in force, by topic.",
            self._versions,
            "topic",
        )
        metrics.counter(
            "badgercart_distribution_changes",
            "Changes and whole topics taken.",
            lambda: self.follower.topics.change_count,
        )
        metrics.counter(
            "badgercart_distribution_faults",
            "Gaps that were closed and stores that were left, by kind.",
            lambda: self.follower.faults,
            "kind",
        )
        metrics.counter(
            "badgercart_distribution_refused",
            "Frames and connections refused, by kind.",
            self._refused,
            "kind",
        )
        metrics.counter(
            "badgercart_distribution_dials",
            "Calls to stores.",
            lambda: self.follower.dial_count,
        )

    def _versions(self) -> dict[str, float]:
        return {name: topic.version for name, topic in self.follower.topics.by_name.items()}

    def _refused(self) -> Counter[str]:
        return self._refused_before + self.driver.refused

    # Lifecycle.

    async def start(self) -> None:
        """Start to follow a replica."""
        self._is_started = True
        self._apply_freshness()
        self.driver.start()

    def prepare(self, settings: FollowerSettings) -> Callable[[], None]:
        """Return a function that applies new settings, except those that need a restart."""
        kept = {name: getattr(self.settings, name) for name in RESTART_ONLY_SETTINGS}
        return lambda: self.reload(settings.model_copy(update=kept))

    def reload(self, settings: FollowerSettings) -> None:
        """Replace the follower after a change of settings; the list and its age are kept."""
        if settings == self.settings:
            return
        old_follower, old_driver = self.follower, self.driver
        old_driver.close()
        self._refused_before += old_driver.refused
        self.settings, self.driver = settings, self._build_driver(settings)
        self.follower.take_over_from(old_follower)
        rule = FreshnessLimits(settings.doubtful_after_ms, settings.stale_after_ms)
        self.follower.freshness.rule = rule
        if self._is_started:
            # The setting `when_stale` may have changed.
            self._apply_freshness()
            self.driver.start()

    async def drain(self, deadline_ms: float) -> None:
        """Keep following: requests in flight may still be retried on newly listed servers."""

    def close(self) -> None:
        """Close the connections and timers at once."""
        self._cancel_timer()
        self.driver.close()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # The list.

    def _apply_update(self, update: UpdateTopic) -> None:
        """Apply an update to the endpoint table, or request a snapshot if it is invalid."""
        from badgercart.distribution import log_events
        from badgercart.distribution.server_list import read_servers

        table = self._host.endpoint_table
        try:
            servers = read_servers(self._host.reader, update.entries, table.listed)
            kind = UpdateKind.SNAPSHOT if update.is_snapshot else UpdateKind.DELTA
            table.accept_update(DiscoveryUpdate(kind, update.version, servers))
        except ValueError as error:
            log_events.UNUSABLE(topic=update.topic, number=update.version, error=error)
            now_ms = self._host.pipeline.clock()
            self.driver.perform(self.follower.request_resend(now_ms, update.topic))
            return
        if update.is_snapshot and len(servers) >= GC_FREEZE_MIN_SERVERS:
            # Otherwise each full collection would block the event loop to traverse all servers.
            gc.freeze()

    def _check_freshness(self) -> None:
        """Log a change of the list's freshness, and set the timer for the next change."""
        now_ms, freshness = self._host.pipeline.clock(), self.follower.freshness
        state = freshness.state(now_ms)
        if state is not self.state:
            age_s = f"{freshness.age(now_ms) / 1000:.1f}"
            version = self._host.endpoint_table.version
            STATE_EVENTS[state](age=age_s, was=self.state.value, version=version)
            self.state = state
            self._apply_freshness()
        self._cancel_timer()
        due_ms = freshness.next_change(now_ms)
        if due_ms is not None:
            delay_s = max(0.0, due_ms - now_ms) / 1000 + 0.001
            self._timer = self._host.loop.call_later(delay_s, self._check_freshness)

    def _apply_freshness(self) -> None:
        is_stale = self.state is FreshnessState.STALE
        self._host.endpoint_table.suspend(is_stale and self.settings.when_stale == "refuse")

    # For operators.

    def _render_page(self) -> bytes:
        follower = self.follower
        age_ms = follower.age_ms(self._host.pipeline.clock())
        fields = {
            "name": self._host.config.name,
            "group": self.settings.group,
            "store": self._followed_address(),
            "state": self.state.value,
            "age_ms": round(age_ms, 1) if age_ms < math.inf else None,
            "topics": self._versions(),
            "unknown": sorted(follower.topics.unknown),
            "changes": follower.topics.change_count,
            "dials": follower.dial_count,
            "faults": dict(follower.faults),
            "refused": dict(self._refused()),
        }
        return json.dumps(fields).encode()

    def _followed_address(self) -> str | None:
        replica = self.follower.followed_replica
        if replica is None:
            return None
        host, port = self.settings.stores[replica]
        return f"{host}:{port}"


def build_replica_driver(
    settings: ReplicaSettings,
    folder: str,
    loop: asyncio.AbstractEventLoop,
    clock: Callable[[], float],
) -> ReplicaDriver:
    """Build a replica from the persisted state in its folder.

    Args:
        settings: the replica's settings.
        folder: the folder that a relative `folder` setting refers to.
        loop: the event loop.
        clock: the time in ms.

    Raises:
        OSError: the folder can't be used.
        JournalError: another process uses the folder, or its files are corrupt.
    """
    from badgercart.distribution.driver import Runtime
    from badgercart.distribution.journal import Journal
    from badgercart.distribution.messages import Codec
    from badgercart.distribution.replica import Replica
    from badgercart.distribution.replica_config import ReplicaGroup, ReplicaLimits, ReplicaTiming
    from badgercart.distribution.replica_driver import ReplicaAddresses, ReplicaDriver

    journal = Journal(Path(folder) / settings.folder)
    try:
        recovered = journal.recover()
    except BaseException:
        journal.close()
        raise
    group = ReplicaGroup(
        local=settings.name,
        voters=tuple(entry.name for entry in settings.store if entry.voter),
        members=tuple(entry.name for entry in settings.store),
    )
    timing = ReplicaTiming(
        heartbeat_interval_ms=settings.heartbeat_ms,
        election_timeout_ms=settings.election_ms,
        subscriber_heartbeat_interval_ms=settings.beat_ms,
        reply_timeout_ms=settings.patience_ms,
    )
    # Unseeded: no two replicas may draw the same election timeouts.
    rng = random.Random()
    limits = ReplicaLimits(max_subscribers=settings.most_followers)
    replica = Replica(group, timing, rng, recovered, limits)
    addresses = {entry.name: entry.address for entry in settings.store}
    runtime = Runtime(loop, clock, Codec(settings.group, settings.secret.encode()))
    return ReplicaDriver(
        runtime, replica, journal, ReplicaAddresses(settings.listen, addresses), rng
    )


def log_listening(settings: ReplicaSettings, driver: ReplicaDriver) -> None:
    """Log that a replica has started and listens."""
    from badgercart.distribution import log_events

    (host, port), replica = driver.listen, driver.replica
    log_events.LISTENING(
        name=settings.name,
        group=settings.group,
        host=host,
        port=port,
        topics=len(replica.topics),
        committed=replica.raft.state.log.commit_index,
    )


class ReplicaComponent:
    """A replica that shares its process with other components."""

    def __init__(self, host: ComponentHost, settings: ReplicaSettings) -> None:
        self.driver: ReplicaDriver | None = None
        self._host = host
        self._settings = settings
        self._register_metrics()

    def _register_metrics(self) -> None:
        metrics = self._host.metrics
        metrics.gauge(
            "badgercart_store_age_seconds", "Time since it knew that it had all.", self._age_s
        )
        metrics.gauge(
            "badgercart_store_leading", "1 while it leads.", lambda: float(self._is_leader())
        )
        metrics.gauge(
            "badgercart_store_followers",
            "Nodes that it tells.",
            lambda: self._status_figure(lambda status: status.subscribers),
        )
        metrics.gauge(
            "badgercart_store_committed",
            "Changes in force.",
            lambda: self._status_figure(lambda status: status.commit_index),
        )
        metrics.counter(
            "badgercart_store_refused",
            "Frames and connections refused, by kind.",
            lambda: self.driver.refused if self.driver else {},
            "kind",
        )

    def _age_s(self) -> float:
        if self.driver is None:
            return math.inf
        return self._status_figure(lambda status: status.age_ms) / 1000

    def _is_leader(self) -> bool:
        return self.driver is not None and self.driver.replica.raft.state.is_leader

    def _status_figure(self, figure: Callable[[Status], float]) -> float:
        return float(figure(self.driver.status())) if self.driver else 0.0

    async def start(self) -> None:
        """Recover the persisted state and listen. Raises OSError and JournalError."""
        host, settings = self._host, self._settings
        self.driver = build_replica_driver(settings, host.folder, host.loop, host.pipeline.clock)
        await self.driver.start()
        log_listening(settings, self.driver)

    def prepare(self, settings: ReplicaSettings) -> Callable[[], None] | None:  # noqa: ARG002
        """Return None: nothing is reloaded, since the other replicas know this one by its settings."""
        return None

    async def drain(self, deadline_ms: float) -> None:
        """Do nothing: there are no requests to finish, and nodes reconnect to other replicas."""

    def close(self) -> None:
        """Close the replica's connections and files at once."""
        if self.driver is not None:
            self.driver.close()


COMPONENTS = (
    ComponentDeclaration(
        name="distribution",
        key=("members", "distribution"),
        kind=ComponentKind.DISCOVERY,
        settings=FollowerSettings,
        about="the server list from stores that tell changes",
        build=DistributedDiscoveryComponent,
        check=check_follower,
        reloads=("*",),
        extra="distribution",
        libraries=("msgspec",),
        commands="badgercart.distribution.commands:distribution",
    ),
    ComponentDeclaration(
        name="distribution-store",
        key=("distribution",),
        kind=ComponentKind.SERVICE,
        settings=ReplicaSettings,
        about="a store that tells changes to nodes",
        build=ReplicaComponent,
        check=check_replica,
        extra="distribution",
        libraries=("msgspec",),
    ),
)
