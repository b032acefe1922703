"""The history of plans and overrides on a node, for operators. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.zones.operator_overrides import OperatorOverride

# Changes that are kept; the oldest are dropped first.
MAX_RECORDED_CHANGES = 256


@dataclass(slots=True, frozen=True)
class PlanInForce:
    """A plan came into force.

    Attributes:
        at_ms: the time on the node's clock, as in all changes.
        epoch: the plan's epoch; in mode `shared` the number of the node's own plan.
        proposer: the name of the node that proposed the plan.
        reason: why the plan was made, for operators.
        digest: the plan's digest in hexadecimal form.
    """

    at_ms: float
    epoch: int
    proposer: str
    reason: str
    digest: str


@dataclass(slots=True, frozen=True)
class PlanEnded:
    """The plan in force ended, and no other plan replaced it."""

    at_ms: float
    epoch: int
    reason: str


@dataclass(slots=True, frozen=True)
class ProposalFailed:
    """A proposal of this node failed."""

    at_ms: float
    epoch: int


@dataclass(slots=True, frozen=True)
class OverrideRecorded:
    """An operator's override was recorded."""

    at_ms: float
    override: OperatorOverride


Change = PlanInForce | PlanEnded | ProposalFailed | OverrideRecorded


class ChangeHistory:
    """The latest changes, and those that were not logged yet.

    Attributes:
        changes: the latest changes, oldest first.
        plan_count: how many plans came into force.
    """

    def __init__(self) -> None:
        """Start without changes."""
        self.changes: list[Change] = []
        self.plan_count = 0
        self._unlogged: list[Change] = []

    def record(self, change: Change) -> None:
        """Record a change, and drop the oldest beyond MAX_RECORDED_CHANGES."""
        if isinstance(change, PlanInForce):
            self.plan_count += 1
        for changes in (self.changes, self._unlogged):
            changes.append(change)
            del changes[:-MAX_RECORDED_CHANGES]

    def take_unlogged(self) -> list[Change]:
        """Return the changes recorded since the last call."""
        taken, self._unlogged = self._unlogged, []
        return taken
