"""Changes of what is in force on a node, kept for operators. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from badgercart.zones.operator_overrides import OperatorOverride

MAX_CHANGES = 256


@dataclass(slots=True, frozen=True)
class PlanInForce:
    """A plan is in force from now on. `at` is in ms on the node's clock, as in all changes."""

    at: float
    epoch: int  # in mode `shared` the number of the node's own plan
    proposer: str
    reason: str
    digest: str


@dataclass(slots=True, frozen=True)
class PlanEnded:
    """No plan is in force any more."""

    at: float
    epoch: int
    reason: str


@dataclass(slots=True, frozen=True)
class ProposalFailed:
    """A proposal of this node came to nothing."""

    at: float
    epoch: int


@dataclass(slots=True, frozen=True)
class OverrideRecorded:
    """An operator's override was taken over."""

    at: float
    override: OperatorOverride


Change = PlanInForce | PlanEnded | ProposalFailed | OverrideRecorded


class ChangeHistory:
    """The latest changes, and those that were not logged yet."""

    def __init__(self) -> None:
        """Begin without changes."""
        self.changes: list[Change] = []
        self.plan_count = 0  # plans that were in force
        self._unlogged: list[Change] = []

    def record(self, change: Change) -> None:
        """Keep a change; of more than MAX_CHANGES the oldest go."""
        if isinstance(change, PlanInForce):
            self.plan_count += 1
        for changes in (self.changes, self._unlogged):
            changes.append(change)
            del changes[:-MAX_CHANGES]

    def take_unlogged(self) -> list[Change]:
        """Return the changes since the last call."""
        taken, self._unlogged = self._unlogged, []
        return taken
