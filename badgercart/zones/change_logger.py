"""Logs what changed among zones since the last tick, with the events of `log_events`."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

from badgercart.zones import log_events
from badgercart.zones.change_history import (
    Change,
    OverrideRecorded,
    PlanEnded,
    PlanInForce,
    ProposalFailed,
)
from badgercart.zones.circuit_breaker import ZoneCircuitBreaker
from badgercart.zones.failover_controller import FailoverController
from badgercart.zones.failure_detector import Reachability
from badgercart.zones.operator_overrides import OperatorOverride
from badgercart.zones.presentation import BREAKER_WORDS, REACHABILITY_WORDS


class ChangeLogger:
    """Compares the state of a controller with the state that was logged last."""

    def __init__(self, controller: FailoverController, stamp: Callable[[], dict[str, Any]]) -> None:
        """Treat the controller's current state as already logged.

        Args:
            controller: the controller whose changes are logged.
            stamp: returns the hybrid timestamp field that every event has.
        """
        self._controller, self._stamp = controller, stamp
        self._reachability: tuple[Reachability, ...] = ()
        self._exhausted = False
        self._foreign_count = 0
        self.reset()

    def reset(self) -> None:
        """Treat the current states of all breakers as logged, after a change of topology."""
        self._breaker_states = [breaker.state for breaker in self._controller.conditions.breakers]

    def log(self, now_ms: float) -> None:
        """Log everything that changed since the last call."""
        for change in self._controller.history.take_unlogged():
            self._log_change(change, now_ms)
        self._log_reachability()
        for zone, breaker in enumerate(self._controller.conditions.breakers):
            self._log_breaker(zone, breaker)
        self._log_budget()
        self._log_foreign_reports()

    def _log_change(self, change: Change, now_ms: float) -> None:
        match change:
            case PlanInForce(_, epoch, proposer, reason, digest):
                log_events.PLAN_IN_FORCE(
                    epoch=epoch,
                    proposer=proposer,
                    why=reason or "all is well",
                    plan=digest,
                    until_ms=round(self._controller.consensus.lease_left_ms(now_ms)),
                    **self._stamp(),
                )
            case PlanEnded(_, epoch, reason):
                log_events.PLAN_ENDED(epoch=epoch, why=reason, **self._stamp())
            case ProposalFailed(_, epoch):
                log_events.PROPOSAL_FAILED(epoch=epoch, **self._stamp())
            case OverrideRecorded(_, override):
                self._log_override(override)

    def _log_override(self, override: OperatorOverride) -> None:
        until = datetime.fromtimestamp(override.expires_ms / 1000, UTC)
        log_events.OVERRIDE_RECORDED(
            by=override.author,
            what=override.action,
            zone=self._controller.topology.zones[override.zone],
            until=until.isoformat(timespec="seconds"),
            **self._stamp(),
        )

    def _log_reachability(self) -> None:
        names, logged = self._controller.topology.zones, self._reachability
        observed = self._controller.observer.reachability
        for zone, reachability in enumerate(observed):
            if zone >= len(logged) or reachability is not logged[zone]:
                verdict = REACHABILITY_WORDS[reachability]
                log_events.REACHABILITY_CHANGED(zone=names[zone], verdict=verdict, **self._stamp())
        self._reachability = observed

    def _log_breaker(self, zone: int, breaker: ZoneCircuitBreaker) -> None:
        if breaker.state is self._breaker_states[zone]:
            return
        self._breaker_states[zone] = breaker.state
        log_events.BREAKER_CHANGED(
            zone=self._controller.topology.zones[zone],
            state=BREAKER_WORDS[breaker.state],
            hold_s=breaker.hold_ms / 1000,
            **self._stamp(),
        )

    def _log_budget(self) -> None:
        exhausted = self._controller.planner.scheduler.exhausted
        if exhausted and not self._exhausted:
            log_events.PLAN_BUDGET_EXHAUSTED(**self._stamp())
        self._exhausted = exhausted

    def _log_foreign_reports(self) -> None:
        count = self._controller.conditions.reports.foreign_count
        if count > self._foreign_count:
            log_events.FOREIGN_TOPOLOGY(count=count, **self._stamp())
            self._foreign_count = count
