"""Zone failover as a component: runs the controller on the node's clock and sockets.

The required libraries are imported when the component is built, so that a node without zones does
not need them.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, cast

from badgercart.app.component import (
    ComponentDeclaration,
    ComponentHost,
    ComponentKind,
    ReloadError,
)
from badgercart.core.ports import IncomingRequest, RequestOutcome
from badgercart.frontends.http.requests import OperatorPage
from badgercart.policy.events import AttemptResult
from badgercart.zones.endpoint_capacity import (
    EndpointCapacity,
    no_capacity,
    scan_endpoints,
    ticks_between_scans,
)
from badgercart.zones.settings import ZonesSettings, check
from badgercart.zones.topology import UNKNOWN_ZONE

if TYPE_CHECKING:
    from badgercart.cluster.effects import Effect
    from badgercart.cluster.service import ClusterComponent

# Plans with at least this many shares are computed in another thread; they take about 5 ms.
THREAD_THRESHOLD_SHARES = 4000


class ZonesComponent:
    """Ticks a failover controller, and feeds it with the events of the request pipeline."""

    def __init__(self, host: ComponentHost, settings: ZonesSettings) -> None:
        """Build the controller, and register as an observer of the pipeline."""
        from badgercart.zones.change_logger import ChangeLogger
        from badgercart.zones.failover_controller import FailoverController
        from badgercart.zones.health_check import ZoneHealthChecker
        from badgercart.zones.metrics import register_metrics
        from badgercart.zones.outbox_driver import OutboxDriver

        config = host.config
        self._host, self._settings = host, settings
        self._cluster = cast("ClusterComponent", host.services["peers"])
        self.controller = FailoverController(
            self._cluster.member,
            settings.topology(config.zones, config.classes, config.tenants),
            config.settings.zone,
            [request_class.priority_weight for request_class in config.settings.classes],
            settings.failover_settings(config.settings.cluster_size),
        )
        self._outbox = OutboxDriver(self.controller.outbox, host.loop, self._run_effects)
        self._health_checker = ZoneHealthChecker(
            host, settings.probe_path, settings.probe_ms, self.controller.observer
        )
        self._logger = ChangeLogger(self.controller, self._cluster.stamp)
        self._capacity = no_capacity(len(config.zones))
        self._tick_count = 0
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._set_zone_lookup(settings)
        host.pipeline.attempt_observers += (self,)
        host.pipeline.observers += (self,)
        host.pages[b"/_zones"] = OperatorPage(self._status_page)
        # A separate page, since it computes a plan for each zone.
        host.pages[b"/_zones/if"] = OperatorPage(self._forecast_page)
        register_metrics(host.metrics, self.controller, list(config.zones))

    def _set_zone_lookup(self, settings: ZonesSettings) -> None:
        """Assign endpoints without a zone to the zone of their network."""
        from badgercart.zones.endpoint_zones import zone_lookup

        self._host.reader.zone_of_host = zone_lookup(settings.network, self._host.config.zones)

    # Lifecycle.

    async def start(self) -> None:
        """Start to tick."""
        self._tick()

    def prepare(self, settings: ZonesSettings) -> Callable[[], None] | None:
        """Return a function that applies regions, distances and regional traffic.

        All other settings need a restart.

        Raises:
            ReloadError: a class or tenant is not known before a restart.
        """
        config = self._host.config
        try:
            topology = settings.topology(config.zones, config.classes, config.tenants)
        except KeyError as error:
            problem = f"{error} is not known before a restart"
            raise ReloadError(problem) from error

        def commit() -> None:
            self._set_zone_lookup(settings)
            self.controller.change_topology(self._now_ms(), topology, config.settings.zone)
            self._logger.reset()

        return commit

    async def drain(self, _deadline_ms: float) -> None:
        """Do nothing: the plan stays in force until the last response."""

    def close(self) -> None:
        """Cancel the timer and all tasks."""
        if self._timer is not None:
            self._timer.cancel()
        self._outbox.close()
        for task in self._tasks:
            task.cancel()

    def _now_ms(self) -> float:
        return self._host.pipeline.clock()

    # Events of the pipeline.

    def _zone_of(self, endpoint_id: int) -> int:
        table = self._host.endpoint_table
        endpoint = table.listed.get(endpoint_id) or table.removed.get(endpoint_id)
        return endpoint.entry.zone if endpoint is not None else UNKNOWN_ZONE

    def attempt_sent(self, endpoint_id: int) -> None:
        """Notify the controller that an attempt was sent."""
        zone = self._zone_of(endpoint_id)
        self.controller.observer.attempt_sent(self._now_ms(), zone, endpoint_id)

    def attempt_ended(self, endpoint_id: int, result: AttemptResult, elapsed_ms: float) -> None:
        """Notify the controller that an attempt ended, `elapsed_ms` after it was sent."""
        zone = self._zone_of(endpoint_id)
        self.controller.observer.attempt_ended(self._now_ms(), zone, result, elapsed_ms)

    def request_finished(
        self,
        _request_id: int,
        request: IncomingRequest,
        _outcome: RequestOutcome,
        _elapsed_ms: float,
        _endpoint_id: int,
        _attempts: int,
    ) -> None:
        """Count a request in the demand."""
        self.controller.observer.request_completed(request.class_index, request.tenant)

    # Ticks.

    def _tick(self) -> None:
        from badgercart.zones.failover_controller import TICK_INTERVAL_MS

        self._timer = self._host.loop.call_later(TICK_INTERVAL_MS / 1000, self._tick)
        now_ms = self._now_ms()
        update = self.controller.tick(now_ms, self._scan())
        if update is not None:
            self._host.pipeline.dispatch(update)
        self._compute_requested_plan(now_ms)
        for zone in self.controller.observer.zones_to_check(now_ms):
            self._spawn(self._health_checker.check(zone))
        self._outbox.flush()
        self._logger.log(self._now_ms())

    def _scan(self) -> EndpointCapacity:
        """Return the endpoints' capacity; a long endpoint list is not scanned at each tick."""
        policy = self._host.pipeline.policy
        if self._tick_count % ticks_between_scans(policy) == 0:
            topology = self.controller.topology
            self._capacity = scan_endpoints(policy, topology, self._settings.serves)
        self._tick_count += 1
        return self._capacity

    def _compute_requested_plan(self, now_ms: float) -> None:
        """Compute the plan that is requested, a large one in another thread."""
        controller, scheduler = self.controller, self.controller.planner.scheduler
        if scheduler.requested_input is None or scheduler.computing:
            return
        scheduler.computing = True
        topology = controller.topology
        if topology.row_count * len(topology.zones) ** 2 < THREAD_THRESHOLD_SHARES:
            controller.on_plan_computed(now_ms, controller.compute(scheduler.requested_input))
        else:
            self._spawn(self._compute_in_thread())

    async def _compute_in_thread(self) -> None:
        controller = self.controller
        requested_input = controller.planner.scheduler.requested_input
        assert requested_input is not None
        plan = await self._host.loop.run_in_executor(None, controller.compute, requested_input)
        controller.on_plan_computed(self._now_ms(), plan)
        self._outbox.schedule()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._host.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _run_effects(self, effects: list[Effect]) -> None:
        self._cluster.driver.run(effects)

    # Admin pages.

    def _status_page(self) -> bytes:
        from badgercart.zones.presentation import status_page

        return json.dumps(status_page(self.controller, self._now_ms())).encode()

    def _forecast_page(self) -> bytes:
        from badgercart.zones.presentation import loss_forecast

        return json.dumps(loss_forecast(self.controller)).encode()


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
