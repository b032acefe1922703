"""Following etcd as a part of an installation."""

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

LONG_LIST = 1000  # servers


class EtcdComponent:
    """The list from etcd, with its age; SIGHUP takes all of its settings anew."""

    def __init__(self, host: ComponentHost, settings: EtcdSettings) -> None:
        from badgercart.discovery.etcd.client import (
            EtcdSource,
        )  # heavy: only where it is switched on

        self.roster = host.endpoint_table
        self.source: EtcdSource = EtcdSource(
            settings,
            host.reader.read_member,
            self.take,
            self.aged,
            host.pipeline.clock,
            random.Random(host.config.seed),
        )
        host.protocol_machines["etcd.freshness"] = self.source.freshness
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

    def take(self, told: DiscoveryUpdate) -> None:
        self.roster.apply(told)
        if told.kind is UpdateKind.SNAPSHOT and len(told.endpoints) >= LONG_LIST:
            # the collector would stop the loop for long to look at all of them again and again
            gc.freeze()

    def aged(self, state: FreshnessState) -> None:
        """The age of the list has passed a limit, or is as it should be again."""
        self.roster.suspend(
            state is FreshnessState.STALE and self.source.settings.when_stale == "refuse"
        )

    async def start(self) -> None:
        self.source.start()
        if (known := self.source.read_known_file()) is not None:
            try:
                self.roster.accept(known, UpdateKind.CACHED)
            except ValueError as error:
                LIST_KNOWN_MALFORMED(error=error)

    def prepare(self, settings: EtcdSettings) -> Callable[[], None]:
        return lambda: self.source.move(settings)

    async def drain(self, until: float) -> None:
        """The list is followed to the end: what is held may still be sent again."""

    def close(self) -> None:
        self.source.close()


def check(settings: EtcdSettings, file: CheckedFile) -> Iterator[tuple[Path, str]]:
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
