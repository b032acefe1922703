"""The component that provides the endpoint list from etcd."""

from __future__ import annotations

import gc
import random
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from badgercart.app.component import CheckedFile, ComponentDeclaration, ComponentHost, ComponentKind
from badgercart.app.faults import Path
from badgercart.core.endpoint_table import DiscoveryUpdate
from badgercart.core.log_events import LIST_KNOWN_MALFORMED
from badgercart.discovery.etcd.settings import EtcdSettings
from badgercart.discovery.freshness import FreshnessState
from badgercart.policy.events import UpdateKind

if TYPE_CHECKING:
    from badgercart.discovery.etcd.client import EtcdSource

# Servers from which on a snapshot is moved out of the garbage collector's reach.
LONG_LIST_SERVERS = 1000


class EtcdComponent:
    """Provides the list from etcd, and its age; SIGHUP applies all of its settings."""

    def __init__(self, host: ComponentHost, settings: EtcdSettings) -> None:
        """Register the list's age with the node's metrics, pages and capture."""
        # Imported here because gRPC is slow to load, and needed only where etcd is used.
        from badgercart.discovery.etcd.client import EtcdSource

        self.endpoint_table = host.endpoint_table
        self.source: EtcdSource = EtcdSource(
            settings,
            host.reader.read_entry,
            self.apply,
            self.on_state_changed,
            host.pipeline.clock,
            random.Random(host.config.seed),
        )
        host.captured_state_machines["etcd.freshness"] = self.source.freshness
        host.list_state = lambda: self.source.state.value
        host.metrics.gauge(
            "badgercart_list_age_seconds",
            "Time since the list was whole for sure.",
            lambda: self.source.freshness.age(host.pipeline.clock()) / 1000,
        )
        host.metrics.counter(
            "badgercart_etcd_lists",
            "Whole lists fetched from etcd.",
            lambda: self.source.lists_fetched,
        )

    def apply(self, update: DiscoveryUpdate) -> None:
        """Apply a snapshot or a delta."""
        self.endpoint_table.apply(update)
        if update.kind is UpdateKind.SNAPSHOT and len(update.endpoints) >= LONG_LIST_SERVERS:
            # Otherwise the garbage collector would block the event loop for long, each time that it
            # scans all entries.
            gc.freeze()

    def on_state_changed(self, state: FreshnessState) -> None:
        """Suspend the list while it is stale, where the settings say so."""
        self.endpoint_table.suspend(
            state is FreshnessState.STALE and self.source.settings.when_stale == "refuse"
        )

    async def start(self) -> None:
        """Start to follow etcd, with the list of the known file until the first one is fetched."""
        self.source.start()
        if (known := self.source.read_known_file()) is not None:
            try:
                self.endpoint_table.accept(known, UpdateKind.CACHED)
            except ValueError as error:
                LIST_KNOWN_MALFORMED(error=error)

    def prepare(self, settings: EtcdSettings) -> Callable[[], None]:
        """Return the change to other settings."""
        return lambda: self.source.move(settings)

    async def drain(self, deadline_ms: float) -> None:
        """Follow the list to the end, since requests in flight may still be retried."""

    def close(self) -> None:
        """Stop following etcd."""
        self.source.close()


def check(settings: EtcdSettings, file: CheckedFile) -> Iterator[tuple[Path, str]]:
    """Yield the faults of the settings that go beyond a single setting."""
    if (settings.user is None) != (settings.password_file is None):
        yield ("user",), "user and password_file go together"
    if settings.doubtful_after_ms > settings.stale_after_ms:
        yield ("doubtful_after_ms",), "is later than stale_after_ms"
    if settings.progress_ms >= settings.doubtful_after_ms:
        yield ("progress_ms",), "leaves no time for an answer before doubtful_after_ms"
    if settings.tls is not None and (settings.tls.cert is None) != (settings.tls.key is None):
        yield ("tls", "cert"), "cert and key go together"


COMPONENTS = (
    ComponentDeclaration(
        name="etcd",
        key=("members", "etcd"),
        kind=ComponentKind.DISCOVERY,
        settings=EtcdSettings,
        about="the server list from etcd v3, one key an entry under a prefix",
        build=EtcdComponent,
        check=check,
        reloads=("*",),
        extra="etcd",
        libraries=("grpc", "aetcd"),
        commands="badgercart.discovery.etcd.commands:members",
    ),
)
